// Package pick implements the load-balancing policies that choose an upstream
// among those with a free slot. A slot is a permit for one request in flight.
//
// Observed is the default policy. Random and LeastInFlight are the baselines
// against which it is measured.
package pick
