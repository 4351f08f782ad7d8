// Package runner carries one request to its whole answer.
//
// A chat request becomes a session. The session makes attempts, each on one
// granted slot, until one delivers the end of the answer. The attempt that has
// the first token wins the session; a hedge that comes second is cancelled. An
// attempt may end early because its slot was recalled, its connection fell
// silent, or its upstream failed. The session then continues on any upstream
// from the tokens that were relayed already, so the caller gets one whole
// answer.
//
// Retries and hedges spend budgets. An order is never sent twice: it goes
// through the order ledger and has one attempt, unless a failure to connect
// proves that nothing was sent.
package runner
