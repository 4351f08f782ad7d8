// Command hbbench measures the overhead of a node: the latency and CPU time that it
// adds to a request, and the cost of its control work (membership, slot leases,
// configuration, order records, connections to peers) by the size of the deployment.
package main
