// Package revise stores configurations as a sequence of immutable, numbered
// revisions and keeps each node at the newest one.
//
// The table service, the platform's transactional key-value store, holds a head
// row with the highest revision number, a row for each revision, and a row for
// each change. A change is an operator's edit, identified by a string that the
// operator's client chose; the base of a change is the revision that it was made
// against. Store.Accept writes all three rows in one transaction, on condition
// that the head still is the base: of concurrent changes, one is accepted and the
// others get a Conflict. If the reply is lost, the change's own row shows whether
// it was accepted, so a client may safely send a change again.
//
// A Follower installs the highest revision that its node has received, and never
// an older one. It receives revisions from peers and, on the few nodes that poll,
// from the table service. A process that was paused, for example with its VM, may
// have missed revisions: its requests wait, for a limited time, until the Follower
// has caught up.
package revise
