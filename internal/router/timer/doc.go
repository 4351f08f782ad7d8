// Package timer implements the time service that parts subscribe to.
//
// Real follows the machine's monotonic clock. Manual stands still until a test
// advances it, and runs the due subscriptions in order on the caller's
// goroutine, so tests of leases and timeouts need no sleep.
package timer
