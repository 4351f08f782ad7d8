// Package soak is a randomized fault-injection test of a whole cluster: it runs router nodes as
// processes, sends them requests, injects faults and checks the guarantees that callers have.
//
// A run has a store, upstreams and an address for duty calls, which are simulated in the process of the soak, nodes, which are
// child processes, and callers, which send requests in a loop. Every connection of a node to the
// store, to an upstream or to the address for duty calls passes through a Proxy, which can delay, reset or drop the traffic. Nodes
// are paused, stopped and killed by signals, sent only to processes that the soak started. Each
// fault lasts for a random time, and faults overlap. Some of them meet the node that made the last
// duty call.
//
// At all times, a request that must run at most once is not executed twice, and not at all when it
// was refused, and an answer belongs to its request and arrives complete or as a prefix. After the
// faults, nearly all requests succeed again, a draining upstream gets no new requests, and every
// node applies a new configuration.
//
// At all times the duty calls keep the rules that package mock judges. A call that arrives shortly
// after its sender was thawed, or after a path of its sender that was cut recovered, is exempt from
// the rules on order. A restore of the store exempts no call. After the faults, usage reports are
// accepted again, and at least one has the counts of the requests that the upstreams executed in
// its window.
//
// The seed determines which faults are injected, their order and their durations. Their effects
// depend on the timing of the machine, so the same seed can pass and fail.
package soak
