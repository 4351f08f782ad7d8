// Package send carries one call to upstreams and their answer to the caller.
//
// Each sending ends in one of four states: nothing was sent, the upstream says
// that it did not execute the call, the upstream may have executed it, or it
// answered. A call is told that it was not run only if every sending ended in
// one of the first two. A call that may run once is sent again only after
// those; an idempotent one also after the third; a resumable stream continues
// after the last event that the caller got.
package send
