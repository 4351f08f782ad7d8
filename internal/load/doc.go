// Package load is a load generator: it sends chat requests to a deployment of
// simulated engines and measures latency and correctness from the callers' side.
//
// A Scenario defines the load of each class over time, as a share of the engines'
// capacity, and the faults that are injected. The capacity is the engines' total
// of slots (requests that an engine runs at once). The load is an open loop:
// arrivals form a Poisson process and do not wait for answers, as far as
// maxInFlight allows. The random draws are seeded; arrival times also depend on the
// clock. Each answer is compared with the one that its prompt must
// produce, so that a wrong, truncated or swapped answer misses its target. A Result
// summarizes one run by class, for comparing policies on the same scenario and seed.
package load
