// Package order runs non-idempotent calls at most once.
//
// An order is known by its workspace and idempotency key. Its row in the table
// service moves through states, and every move is a conditional write:
//
//	none ----> Claimed ----> Answered
//	             |  |
//	             |  +------> Lost      sent, and the answer did not arrive
//	             +---------> Closed    proved that it was never sent
//	Closed ----> Claimed               a later attempt
//
// Only the attempt whose claim was acknowledged, or was read back and found to
// be its own, may send, and a claim is never taken over. An attempt that fails
// to learn whether its claim was written closes the row before it gives up, so
// that a late write of the claim finds its condition false.
//
// Next is the protocol as a pure function of what was read. Ledger carries it
// out against a router.Table.
package order
