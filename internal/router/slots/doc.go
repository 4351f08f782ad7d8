// Package slots divides the concurrency limits of upstreams between the nodes.
//
// A slot of an upstream is a permit for one request in flight. Each upstream has a
// fixed number of slots, which all nodes share; a node's limit is how many of
// them it may use now. When a limit falls below the requests in flight, the node's
// scheduler may recall (preempt) requests of lower tiers.
//
// FairLimiter (setting Policy.Slots: Alone) grants each node an equal share,
// computed from a hash of names without any message. It is the baseline, and the
// fallback while an upstream's home does not answer.
//
// LeasedLimiter (setting Policy.Slots: Leased) obtains leases: limits that expire
// unless they are renewed. The leases on an upstream are granted by its home, one
// live node of the upstream's region that rendezvous hashing selects. The nodes
// that use the upstream are its holders: they report the slots that they use and
// the requests that wait, by tier; tier 0 has the highest priority. The home's
// Allocator divides the slots in tier order, reserves a minimum for each tier
// that has demand, and spreads the rest as standing slots, which no request needs
// yet, so that an uncontended request costs no message. An Allocator never grants
// a slot that another holder may still use: a lowered limit counts in full until
// the holder confirms it or its lease expires.
//
// The Allocator's state is kept in memory only. For the first LeaseDuration, a
// new home collects reports and grants no more than the fair share, or what a
// holder already uses. When a home changes, the old and the new one together
// commit at most twice an upstream's slots, for at most one LeaseDuration; the
// upstream queues the excess by priority.
package slots
