// Package sched is the request scheduler: it decides which queued request runs next and on which upstream.
//
// The state of each configured pool has its own lock. A slot is a permit for one
// request in flight at an upstream. A request waits in the pool's queue until an
// upstream has a free slot for it. A router.Queue decides the order of the
// requests, a router.Picker the upstream, and a router.SlotLimiter how many slots
// of each upstream this node may use. A grant is a slot held by a request, from
// dispatch to release.
//
// Scheduling is preemptive: when a request has waited for a part of its class's
// target, the scheduler recalls running requests of lower tiers. Tier 0 is the
// highest; a larger number is a lower tier. A recalled
// request stops, keeps the tokens generated so far and is queued again. Requests
// that do not allow a recall, and those granted because their class was below
// its minimum share, are never recalled. A request that has generated many tokens
// is recalled, whatever its tier, if such requests hold more than their share of
// the upstream's slots while others wait.
//
// The slowdown of an upstream is the mean gap between the tokens of its streams,
// divided by the median of the pool. Each node measures it from its own running
// streams, because load reports arrive too late. After a failure an upstream is
// paused, with exponential backoff: it gets no new requests until the pause ends.
package sched
