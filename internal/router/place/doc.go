// Package place decides which upstream a call is sent to.
//
// A Board holds what this node knows of the load of each upstream. Calls with
// prompts go where their shared parts are cached: every node ranks the engines
// for a chain of parts by rendezvous hashing, so that nodes agree without
// messages, and a call steps down the ranking when the work that waits at the
// better engines costs more than copying the shared parts or reading them again.
// Engines are divided among kinds of calls, because a long prompt delays the
// tokens of everything that runs beside it, most of all while a neighbour slows
// the engine. A call that will miss its target anyway is read after those of its
// urgency that can still meet it. Plain calls go to the near upstream with the
// least work.
//
// The choice is in choose.go, what an engine costs a call in cost.go, the division
// of engines in fleet.go, and what is known of an engine in load.go, pace.go and
// cache.go.
package place
