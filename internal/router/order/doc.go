// Package order runs non-idempotent calls at most once.
//
// An order is a call that the upstream must not run twice. It is identified by
// its workspace and the caller's idempotency key; an attempt is one try by one
// node to run it. Each order has a row in the table service, the platform's
// transactional key-value store. The row's state changes only by conditional
// writes:
//
//	none ----> Claimed ----> Answered
//	             |  |
//	             |  +------> Lost      sent, but no answer arrived
//	             +---------> Closed    proved that it was never sent
//	Closed ----> Claimed               by a later attempt
//
// An attempt may send only if the write of its claim was acknowledged, or if it
// read its own claim back. No attempt takes over the claim of another one. An
// attempt that cannot determine whether its claim was written closes the row before
// it gives up, so that a delayed write of the claim fails its condition.
//
// NextStep is the protocol as a pure function of the row that was read. Ledger
// executes it against a router.Table.
package order
