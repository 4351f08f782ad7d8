// Package revise publishes configurations as a sequence of immutable revisions.
//
// The table service holds a head row, which names the highest revision, a row
// for each revision, and a row for each change by the identifier that the
// operator's client chose. Accepting a change is one transaction on all three,
// conditional on the head that the change was made against: of operators who
// race, one wins and the others get a Conflict. A lost answer is resolved by
// reading the change's own row, so a change may be sent again safely.
//
// A Follower keeps one node at the highest revision that it has heard of and
// never moves back. It hears of revisions from the table service, if the node
// is one of the few that poll, and from peers.
package revise
