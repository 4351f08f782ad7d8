// Package permit divides the rate limits of upstreams between all nodes.
//
// Each upstream that states a rate limit has an owner among the live nodes: the first one by a hash of node and upstream, in the
// failure domain of the upstream if any is live there. A node that is about to send a request to such an upstream asks the
// owner for a permit. The owner spaces its permits by the rate limit. A request that may wait gets the next free permit with
// the delay until it is valid; otherwise the owner tells when a permit will be free, and the node chooses another upstream or
// tells the caller when to come back.
//
// Owners keep nothing and agree on nothing. Nodes that do not hear each other may both own an upstream. So an owner uses only
// the part of the limit that belongs to the nodes it hears, by their number among all listed nodes; nodes of releases that ask
// for no permits count among the latter only. A new owner starts without saved permits. When an owner does not answer, the
// upstream gets nothing from the asking node until the owner answers again or counts as lost.
package permit
