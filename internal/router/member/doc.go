// Package member keeps a node's view of the other nodes.
//
// A View is a pure state machine: it is told what peers say and what time it
// is, and does no input or output. Each member has an incarnation, which is the
// time its process started and grows by one with each refuted suspicion. Of two
// statements about a member the one with the higher incarnation holds, then the
// worse state: Live, Suspect, Leaving, Dead. Only a member itself raises its
// incarnation, so a node that was paused and is taken for dead comes back by
// refuting what it hears of itself.
//
// Changes are passed on a bounded number of times, which grows with the
// logarithm of the number of members.
package member
