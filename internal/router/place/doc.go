// Package place decides which upstream a call is sent to.
//
// A Board holds what this node knows of the load of each upstream. Calls with
// prompts go where their shared parts are cached: every node ranks the engines
// for a chain of parts by rendezvous hashing, so that nodes agree without
// messages, and a call steps down the ranking when the work that waits at the
// better engines costs more than reading the shared parts again. Short prompts
// keep a part of the engines to themselves, because a long prompt delays the
// tokens of everything that runs beside it. Plain calls go to the near upstream
// with the least work.
package place
