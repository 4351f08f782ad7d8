// Package place is the load balancer: it chooses the upstream that each call is sent to.
//
// Calls without a prompt (plain calls) go to the upstream with the fewest calls in
// flight, with penalties for distance and recent failures. Calls with a prompt go to
// an LLM inference engine. An engine prefills a prompt (processes its tokens into KV
// cache, unless a prefix is cached already) and then streams events with the output.
// Two service level objectives (SLOs) apply to a call: the time to its first event and
// the longest gap between two events. Prefill of one prompt delays the events of all
// other calls at the engine.
//
// # Cost
//
// The Balancer sends a call with a prompt to the engine of the lowest expected cost.
// The unit of cost is the expected SLO miss: a cost of 1 is as bad as one call that
// misses an SLO, and a chance of 0.2 that a call misses one costs 0.2. It counts misses
// of the call itself as well as of the calls that already run at the engine. Work that
// causes no miss by itself, such as recomputing a cached prefix or copying KV cache, is
// converted to misses at prices that the users state. All weights are in cost.go.
//
// # Prefix affinity
//
// Calls whose prompts share a prefix should go to the engine that has it cached. Every
// node ranks the engines for a prefix by rendezvous hashing, so that nodes agree without
// messages. A call moves down the ranking when the work queued at the first engines costs
// more than copying or recomputing the prefix elsewhere.
//
// # Classes
//
// The calls of a service are divided into classes by the gap targets of their routes, and its engines are partitioned
// among the classes. This keeps long prompts away from calls whose events they would delay, especially while an engine is
// slow. A call may use an engine of another class at an extra cost.
//
// The share of a class follows from its demand: the prefill work of its calls, the risk to their gaps, and the slots
// that they occupy. Nodes tell each other the demand that they see, so that they come to nearly the same division, and
// move its boundaries in small steps; see divide.
//
// Engines that prefill more slowly than others of the service, by the rates that nodes exchange, belong to the class with
// the highest gap target; calls of other classes don't use them there. See updateSlow.
//
// # Cache memory
//
// Where the calls in all slots of an engine need more than its KV cache, the time until there is memory and a slot for a call
// counts as waiting time, prefixes that the engine has evicted since their last use don't count as cached, and what the
// engine evicts for the call has a price. See memoryView.
//
// # Ranks
//
// Engines prefill queued prompts in the order of their rank. A call that will miss its
// target anyway gets a rank behind those of its tier (priority level) that can still
// meet it.
//
// # Load
//
// The load of an upstream is what this node has in flight there plus what its peers
// report. It is kept per incarnation, that is, per run of the upstream's process. Nodes
// also share how much slower than usual an engine streams (its slowdown, for example by
// a noisy neighbour on the host) and which prefixes they placed where.
package place
