// Package pick chooses the upstream of a request among those with a free slot.
//
// Observed is the policy. Random and LeastInFlight are the baselines it is
// measured against.
package pick
