// Package soak is a randomized fault-injection test of a whole cluster: it runs router nodes as
// processes, sends them requests, injects faults and checks the guarantees that callers have.
//
// A run has a store and upstreams, which are simulated in the process of the soak, nodes, which are
// child processes, and callers, which send requests in a loop. Every connection of a node to the
// store or to an upstream passes through a Proxy, which can delay, reset or drop the traffic. Nodes
// are paused, stopped and killed by signals, sent only to processes that the soak started. Each
// fault lasts for a random time, and faults overlap.
//
// At all times, a request that must run at most once is not executed twice, and not at all when it
// was refused, and an answer belongs to its request and arrives complete or as a prefix. After the
// faults, nearly all requests succeed again, a draining upstream gets no new requests, and every
// node applies a new configuration.
//
// The seed determines which faults are injected, their order and their durations. Their effects
// depend on the timing of the machine, so the same seed can pass and fail.
package soak
