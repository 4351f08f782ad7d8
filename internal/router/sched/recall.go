package sched

import (
	"math"
	"time"
)

// recallDelayDivisor sets how long a request waits before a grant is recalled for it: the first-token target of its
// class, divided by recallDelayDivisor.
const recallDelayDivisor = 8

// recallLowerTiers recalls grants of lower tiers for the highest tier that waits, until there are as many recalls as
// that tier has waiting requests.
//
// A recall costs the engine another prefill, and running requests finish all
// the time, so nothing is recalled until the oldest request of the tier has
// waited for a part of its target.
func (pol *pool) recallLowerTiers(now time.Time) {
	old := pol.queue.OldestOfHighestTier()
	if old == nil || now.Sub(old.Request.Arrived) < old.Request.Class.FirstToken/recallDelayDivisor {
		return
	}
	tier := old.Request.Class.Tier
	for pol.recalls < pol.waiting[tier] {
		vic := pol.victim(tier)
		if vic == nil {
			return
		}
		pol.recallGrant(vic)
	}
}

// reclaimExcess recalls grants of tiers below the given one until an upstream has no more than its limit in flight.
func (pol *pool) reclaimExcess(name string, tier int) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	for _, ups := range pol.upstreams {
		if ups.spec.Name != name {
			continue
		}
		for exc := ups.inFlight() - ups.recalledGrants() - pol.limit(ups); exc > 0; exc-- {
			vic := ups.victim(tier)
			if vic == nil {
				return
			}
			pol.recallGrant(vic)
		}
	}
}

// recallGrant calls the grant's Recall on its own goroutine, because the holder may take the pool's lock in it.
func (pol *pool) recallGrant(grt *grant) {
	grt.recalled = true
	pol.recalls++
	go grt.request.Recall()
}

// victim returns the grant of a lower tier whose recall costs least, or nil. It skips upstreams that are draining,
// because their slots cannot be granted again.
func (pol *pool) victim(tier int) (best *grant) {
	for _, ups := range pol.upstreams {
		if ups.draining {
			continue
		}
		if vic := ups.victim(tier); vic != nil && (best == nil || cheaperVictim(vic, best)) {
			best = vic
		}
	}
	return best
}

// victim returns the grant of a lower tier on this upstream whose recall costs least, or nil.
func (ups *upstream) victim(tier int) (best *grant) {
	for grt := range ups.running {
		if grt.recallable() && grt.request.Class.Tier > tier && (best == nil || cheaperVictim(grt, best)) {
			best = grt
		}
	}
	return best
}

// recalledGrants returns the number of running grants that have been recalled.
func (ups *upstream) recalledGrants() (num int) {
	for grt := range ups.running {
		if grt.recalled {
			num++
		}
	}
	return num
}

// recallable reports whether the grant may be recalled and has not been yet.
func (grt *grant) recallable() bool {
	return grt.request.Recall != nil && !grt.recalled && !grt.guaranteed
}

// cheaperVictim reports whether one should be recalled before two: the lower tier first, then the later start.
func cheaperVictim(one, two *grant) bool {
	if one.request.Class.Tier != two.request.Class.Tier {
		return one.request.Class.Tier > two.request.Class.Tier
	}
	return one.startedAt.After(two.startedAt)
}

// markLong marks a grant that has reached Policy.LongTokens. It recalls the grant if long grants then exceed
// Policy.LongShare of the upstream's limit while requests wait.
func (pol *pool) markLong(grt *grant) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if _, run := grt.upstream.running[grt]; !run {
		return
	}
	grt.long = true
	grt.upstream.longGrants++
	lim := int(math.Ceil(pol.scheduler.options.Live.Get().Policy.LongShare * float64(pol.limit(grt.upstream))))
	if grt.upstream.longGrants > lim && pol.queue.Len() > 0 && grt.recallable() {
		pol.recallGrant(grt)
	}
}
