// Package duty decides which node of the fleet makes the calls to the platform that one node at a time may make.
//
// The holder of these duties is the node whose name is in one row of the platform's store, the lease row. It renews the row
// within the length of the lease; a candidate that has seen no renewal for longer replaces it. All writes of the row are
// conditional on its version. Each acquisition increases the fencing token of the row, which identifies the holder in its calls.
//
// Lease implements router.DutyLease: it runs the calls to the store on timers. The decisions are in state, which has neither
// clock nor network. The model of the tests runs the same state against a simulated store and platform.
//
// Times of leases are of the machine's boot-time clock, which counts suspended time.
package duty
