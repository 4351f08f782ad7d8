// Package chaos tests a running deployment by fault injection. It injects faults into the processes of
// a fleet while clients send requests, and checks that the router kept its guarantees:
//
//   - RunOrders: an order, which is a request with an idempotency key to a plain (non-LLM) service, is
//     executed at most once, and the outcome that the client gets is true. Ran means that the service
//     executed the request, NotRun that it did not and will not, Unknown that it may have.
//   - RunConfigurations: a configuration change that was accepted is neither lost nor reverted.
//   - RunPoison: a request that crashes engines is refused after it crashed a few of them.
//   - RunDrain: an upstream gets no new requests a short time after it was marked as leaving.
//   - RunRollingRestart: streams survive a planned restart of every node.
//
// The faults of a schedule, their targets and their times are drawn from a seed. The upstreams and the
// stores are stand-ins, processes that serve fakes and can inject faults into themselves (package fakes).
//
// CheckOrders compares the clients' responses with the journals in which the services record what they
// execute, and does not rely on any state of the router. Where it can, a fault verifies that it took
// effect: a killed process has exited, a stopped node and a store that is down fail health checks.
package chaos
