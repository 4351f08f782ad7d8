// Package relay sends requests to upstreams and tells what became of them.
//
// Each upstream has a set of connections. A set is retired when its
// connections are suspected to be silent, which means that they accept writes
// and never answer while new connections work: its requests fail, and later
// ones use a new set.
//
// Orders use a connection of their own each, so that a failure to connect
// proves that nothing was sent.
package relay
