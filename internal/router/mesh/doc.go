// Package mesh is what the nodes tell each other.
//
// A node sends each peer a Digest several times a second, by datagrams: what it
// has in flight, which prompt prefixes it placed, which requests crashed
// upstreams, and which versions of the platform's records it has. A node that
// the store turns away, or whose copy lags behind a peer's, fetches the peer's
// copy. Everything here is soft: when it is lost, placement is worse for a
// moment, and nothing else.
//
// Datagrams rather than QUIC carry the digests, because each replaces the one
// before it: one that is lost or late must not be repeated, and a connection to
// every peer would cost a handshake after each restart.
package mesh
