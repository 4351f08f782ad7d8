// Package trace reconstructs from the logs of nodes what happened to one request.
//
// A node logs a line for each decision about a request, and a line for each change of its own
// state: its manifest, its upstreams, its connection to the store and its peers. Explain prints the
// lines of a request in order of time, preceded by the lines with the state that applied at the nodes
// that handled it. The logs may be far larger than the memory: they are read twice, line by line.
package trace
