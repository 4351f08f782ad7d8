// Package limit is a rate limiter per workspace: it bounds the rate of requests and the number in flight.
//
// Both limits are configured for the whole deployment. Each node enforces its
// part, which is the limit divided by the number of live nodes; burst and requests
// in flight are rounded up to whole requests. The nodes exchange no messages for
// this, because the platform's load balancer spreads callers evenly over them.
package limit
