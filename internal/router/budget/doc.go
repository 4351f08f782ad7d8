// Package budget implements retry budgets, which bound extra attempts (retries
// and hedges) to a share of the first attempts.
//
// A budget is a token bucket. Each first attempt adds a share of a token, and
// each extra attempt takes a whole one. When all upstreams of a service fail,
// its load therefore rises by no more than that share in the long run, however
// many callers wait. The maximum number of tokens bounds a burst of extra
// attempts.
package budget
