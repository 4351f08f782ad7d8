// Package guard quarantines requests that crash the upstreams that run them.
//
// A request is known by the digest of its body. When an upstream crashes, every
// request it was running gets a strike and becomes a suspect. A suspect that
// then completes is cleared. A suspect with strikes from two crashes is
// quarantined. The scheduler never puts two suspects of a node on one upstream,
// so a neighbour of the request at fault does not share its second crash.
//
// Strikes are passed on to all nodes, because the caller may repeat the request
// anywhere. They expire, and losing them costs two more crashes, no more.
package guard
