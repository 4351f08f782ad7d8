// Package peer carries messages between nodes over QUIC with mutual TLS.
//
// A call is one request and one reply on a stream of its own. Connections are
// opened when needed, shared by both directions' calls of the dialling side,
// and dropped when a call on them times out, because a silent connection cannot
// be told from a slow peer. Certificates and keys are read again when their
// files change, so they rotate without a restart.
package peer
