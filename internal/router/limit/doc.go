// Package limit admits requests by workspace: a rate and a number in flight.
//
// Both are set for the whole deployment's nodes together; a node enforces its
// part, which is the setting divided by the number of live nodes. The
// platform's balancer spreads callers evenly, and no message is needed.
package limit
