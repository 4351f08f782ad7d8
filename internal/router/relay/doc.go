// Package relay is the HTTP client for upstreams. It sends a single attempt of a
// call and keeps the connections to each upstream. It has no retries of its own,
// but net/http may replay a call unless Call.AtMostOnce is set.
//
// A connection may stall: it accepts writes but never answers, while new
// connections to the same upstream work. Relay does not detect this itself. Its
// user probes the upstream on a new connection and then retires the existing
// ones: their requests fail with ErrRetired, and later requests open new ones.
//
// A call that must run at most once uses a connection of its own, so that a
// failure to connect proves that nothing was sent.
package relay
