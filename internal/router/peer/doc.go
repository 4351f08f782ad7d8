// Package peer carries requests and replies between nodes over QUIC with mutual TLS.
//
// A call sends one request and receives one reply on a stream of its own. An endpoint dials a
// connection to a peer when a call needs one and shares it among its calls to that peer; calls
// in the other direction use a connection that the peer dials. A connection is closed when a
// call on it fails or times out, because a dead connection looks like a slow peer.
//
// Certificates and keys are reloaded when their files change, so they rotate without a restart.
package peer
