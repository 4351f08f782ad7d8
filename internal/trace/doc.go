// Package trace finds in the logs of nodes what happened to one request.
//
// A node writes a line for each decision that touches a request, and one for
// each change of what it believes: its manifest, its upstreams, the store, its
// peers. Explain prints the lines of a request in order, and before them the
// beliefs that were in force at its node when it came.
package trace
