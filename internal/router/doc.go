// Package router defines the data types and the interfaces that the parts of the hornbeamdyke
// request router share. It starts no goroutines and does no I/O; the packages below it do.
//
// A cluster of nodes accepts HTTP requests from callers and forwards each to an upstream: a model
// engine (an LLM inference server) or a plain HTTP service. There are two request paths:
//
//   - Pools. A request belongs to a workspace (a tenant) and names a Class, which gives its tier
//     (0 has the highest priority) and its latency targets. It is addressed to a Pool, a set of
//     upstreams that serve the same requests. The node queues it, acquires a slot on one upstream
//     (a permit for one request in flight there) from the Scheduler and relays the answer. A slot that
//     a request holds is a Grant.
//   - Routes. A Manifest, read from the platform's store, maps hosts and path prefixes to services.
//     A Dialect decodes the caller's request into a Call, and each Attempt sends the Call to one
//     Instance of a service. An Instance is one incarnation of an upstream, that is, one run of its
//     process. RetryPolicy defines when a Call may be sent again.
//
// Every answer to a caller carries an Outcome, which states whether an upstream executed the request.
package router
