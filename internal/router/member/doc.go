// Package member keeps the membership table of a node: which nodes exist and which of them are up.
//
// The table follows the SWIM protocol. It is a pure state machine: package gossip
// passes it the updates that peers send and the current time; it does no I/O itself.
//
// Every member has a state (Live, Suspect, Leaving or Dead) and an incarnation number. A
// member that does not answer probes becomes Suspect, and Dead if it does not refute that
// in time. An update supersedes another about the same member if its incarnation is
// higher, or if the incarnation is equal and its state comes later in the list above.
//
// The incarnation starts as the start time of the member's process. Only the member itself
// raises it: when it receives an update that supersedes its own record, such as one that calls
// it Suspect, it refutes the update with a higher incarnation. So a node that was paused and
// declared Dead rejoins.
//
// Each update is piggybacked on a limited number of messages, in proportion to the
// logarithm of the number of members.
package member
