// Package pick implements the load-balancing policies that choose an upstream
// among those with a free slot.
//
// Observed is the default policy. Random and LeastInFlight are the baselines
// against which it is measured.
package pick
