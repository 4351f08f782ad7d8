// Package router holds the model of hornbeamdyke: the plain data that every
// part shares and the interfaces behind which behaviour varies.
//
// A caller's request belongs to a workspace and a class. The class gives the
// tier (0 goes first) and the latency target. A request asks for a pool, which
// is a set of upstreams of one kind. A node queues the request, is granted a
// slot on one upstream, relays the answer, and reports an Outcome that says
// whether the request was run.
//
// Implementations live in the packages below this one. Nothing here starts a
// goroutine or does input or output.
package router
