// Package scale orders the number of upstreams of a service from the platform.
//
// Plan is a pure function: from a View (what is known of a service now) and a Memory (what was observed and
// ordered before) it derives orders, each with a reason. Runner observes each service once a second on every
// node, and plans and sends orders while the node holds the duties.
//
// A Group is the upstreams of one failure domain and kind; orders set the count of a group. An upstream is
// away if it is gone, but may return by itself: crashed upstreams do, within the boot time. It is lost when it
// has been away for longer. Counted upstreams are those that serve, boot or are away.
package scale
