// Package runner runs a request that is addressed to a pool on the pool's upstreams
// until it has a complete answer. It retries, hedges, detects stalls and resumes
// interrupted streams.
//
// # Chat requests
//
// The state of a chat request is its session. It proceeds in rounds: each round
// acquires a slot from the scheduler and sends an attempt to the upstream of the
// slot. If no token arrives within a fraction of the class's first-token target, a
// hedge, a second attempt, goes to another upstream. The first attempt that has an
// event to relay wins the round; the other one is cancelled.
//
// A round may end before the answer is complete:
//
//   - The scheduler recalls (preempts) the slot for a request of a higher tier.
//   - The connection stalls, or the upstream fails.
//   - The upstream streams too slowly for the class's target between tokens.
//
// The next round then continues after the text that was relayed already, on any
// upstream, so that the caller receives one uninterrupted answer. This takes an
// answer of a single text and engines that can continue one (Pool.Extensions). If
// nothing was relayed yet, any request can start over.
//
// # Plain services
//
// An idempotent call is sent until an upstream answers or the retry budgets are
// spent. An order, a call that is not idempotent, is sent at most once: it goes
// through the ledger in package order and has one attempt. If a failure to connect
// proves that nothing was sent, the caller can send the order again.
//
// # Quarantine
//
// If a health check fails after a chat attempt broke off, the upstream counts as
// crashed by the request. Package guard quarantines requests with several crashes.
//
// # Budgets
//
// Most retries, all hedges and all moves off slow upstreams spend budgets (see
// package budget).
package runner
