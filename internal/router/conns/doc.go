// Package conns pools HTTP/1.1 connections to upstreams.
//
// It uses net/http to read responses, on connections of package strict, but not
// http.Transport: the user of this package must learn whether a request may have
// reached the upstream, and a connection must never deliver bytes that belong to
// an earlier request. A Conn serves one exchange at a time and returns to its pool only after
// its response was read to the end and no data followed it.
//
// There is one Pool for each incarnation of an upstream, so that a connection to
// a process that has been replaced is never reused.
package conns
