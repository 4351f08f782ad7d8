// Package mesh exchanges state between the nodes of the router.
//
// It has three tasks:
//
//   - Membership: a node registers in the platform's store and reads from there which
//     other nodes (its peers) exist. A peer is live while its digests arrive, or while the
//     digests of other nodes in its failure domain name it. The limits of the fleet are
//     divided by all nodes that exist, live or not, because a silent one may still serve.
//   - Digests: a node sends digests to its peers, to those of its own failure domain several
//     times a second and to others less often; the pause grows with the fleet. It holds the load
//     that the node has in flight, the prompt prefixes that it placed, the requests that
//     crashed upstreams, and the versions of its copies of the platform's records.
//   - Copies: a node whose copy of the records is older than a peer's, for example during
//     an outage of the store, fetches the newer changes from the peer by HTTP. In normal
//     operation only one node of each failure domain watches the store (the reader: the
//     live one with the lowest hash of its name), and the others fetch the changes
//     from it. Digests also confirm copies: they carry the time of the store's clock up to
//     which the sender's copies hold all changes. A node whose copies are not confirmed in
//     time watches the store itself, whatever the readers report.
//
// All state here is soft: when it is lost, placement is worse for a moment, and nothing
// else.
//
// Digests are sent as UDP datagrams rather than over QUIC, because each one supersedes the
// one before it: a lost or late digest must not be retransmitted, and a connection to each
// peer would cost a handshake after every restart.
package mesh
