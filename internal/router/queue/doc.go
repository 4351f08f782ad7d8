// Package queue orders the requests that wait for a slot of one pool.
//
// Tiered serves tiers in strict priority order, except for minimum shares. Tier 0
// is the highest; a larger number is a lower tier. Each
// class has a first-in-first-out queue and a credit in slot-seconds. While
// requests of the class wait, the credit grows by the class's minimum share of
// the slots and shrinks by the slots that the class holds. A class with positive
// credit is served first, whatever its tier, so every class makes progress and
// none gets more than its minimum share in this way. Credit is in slot-seconds
// rather than in requests because the length of an answer is not known in
// advance: with a share of the requests, a class with long answers could take
// most of the slots.
//
// When the queue is full, the newest request of the lowest tier is shed. A
// request that an upstream has already run in part is never shed.
//
// Fifo ignores tiers. It is the baseline for measurements of Tiered.
package queue
