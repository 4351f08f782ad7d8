// Package queue orders the requests that wait for one pool.
//
// Tiered serves tiers strictly in order but for minimum shares. Each class has
// a lane with a credit in slot-seconds. While a lane waits, its credit grows by
// the class's share of the slots and falls by the slots the class holds. A lane
// whose credit is above zero goes first, whatever its tier, so every class
// makes progress and none gets more than its share that way. Credit is counted
// in slot-seconds rather than requests because nobody knows how long an answer
// will be: a share of grants would let a class of long answers take most of the
// slots.
//
// When the queue is full, the newest request of the lowest tier is dropped. A
// request of which a part has run is never dropped.
//
// Fifo ignores tiers; it is the baseline that Tiered is measured against.
package queue
