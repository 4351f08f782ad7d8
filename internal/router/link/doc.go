// Package link keeps the connections to upstreams.
//
// It uses the library's reading and writing of HTTP but not its transport: the
// caller has to know whether a request may have reached the upstream, and a
// connection must never deliver bytes that belong to an earlier request. A
// Conn serves one exchange at a time. It returns to its pool only after an
// answer that was read to its end with nothing behind it.
package link
