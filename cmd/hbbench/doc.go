// Command hbbench measures the overhead of a node: the latency and CPU time that it
// adds to a request, and the cost of its control traffic by the size of the
// deployment.
package main
