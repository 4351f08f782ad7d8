// Package timer implements router.Timers, the clock with scheduled callbacks.
//
// Real uses the machine's monotonic clock. Manual is a fake clock for tests: its time changes only
// in Advance, which runs the due callbacks in order on the calling goroutine, so that tests of leases
// and timeouts need not sleep.
package timer
