// Package node assembles one node of the router that serves pools, and runs it as a
// process. Package edge does the same for routes.
//
// A node has an HTTP listener for callers, one for operators (package admin) and, if
// Settings.Peer is set, an endpoint for its peers, the other nodes of the cluster.
// The peers share four things: the membership table (gossip), leases of upstream
// slots, revisions of the configuration, and the crashes for which package guard
// quarantines requests. The leases on an upstream are granted by one node, its home,
// to the nodes that use it, the holders. A node without peers uses fair shares of the
// slots and polls the table service for its configuration.
//
// The listeners and background tasks run as actors of one run.Group: when one
// returns, all stop. A node is ready once it has installed a configuration.
//
// A graceful stop (drain) makes the node unready and announces to the peers that it
// leaves. The node then keeps accepting requests for Limits.StopDelay, while the
// external load balancer removes it, and at last waits without a time limit for the
// requests in flight.
package node
