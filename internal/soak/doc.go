// Package soak runs nodes as processes under random faults and checks what callers and upstreams see.
//
// The store and the upstreams are stand-ins in the soak's own process; every
// connection of a node to them goes through a Proxy that can delay, reset, cut
// one way or silence it. Nodes are stopped, paused, killed and restarted by
// signals, and only those that the soak started. A seed fixes the faults and
// their order; their effects depend on the machine's timing.
package soak
