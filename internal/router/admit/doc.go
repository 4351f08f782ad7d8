// Package admit decides which calls start, wait or are refused while a service is short of capacity.
//
// A service is short of capacity while all slots of its usable upstreams are taken, or while calls wait for one. Each node has a queue of its
// own for each service. Waiting calls start in the order of their tier, of the use of their workspace and of their
// age, at the rate at which calls end in the fleet (the drain rate) times this node's part of the waiting calls.
//
// A call is refused only if it is unlikely to end before its deadline, or if its caller is expected to have left before its
// first event. Nothing of a call that waits has been sent, so that a refused one has not run.
package admit
