// Package slots divides the slots of upstreams between the nodes.
//
// Alone gives every node its fair share without a message. It is the baseline,
// and what a node falls back to when the home of an upstream is silent.
package slots
