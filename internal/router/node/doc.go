// Package node assembles the parts of one process and runs them.
//
// A node has a listener for callers and one for operators. Its parts run as
// actors of one group: when one returns, all stop. A planned stop first makes
// the node unready, serves on while the balancer takes it out, then waits for
// the requests in progress, however long they take.
package node
