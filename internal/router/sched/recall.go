package sched

import (
	"math"
	"time"
)

// recallPart is the part of a class's target that a request waits for a slot to come free before one is recalled.
const recallPart = 8

// recall asks slots back from lower tiers, one for each waiting request of a higher one.
//
// A recall costs the engine another prefill, and slots come free by themselves
// all the time, so the oldest request first waits for a part of its target.
func (pol *pool) recall(now time.Time) {
	bst := pol.queue.Best()
	if bst == nil || now.Sub(bst.Ask.Arrived) < bst.Ask.Class.FirstToken/recallPart {
		return
	}
	tier := bst.Ask.Class.Tier
	for pol.recalls < pol.waiting[tier] {
		vic := pol.victim(tier)
		if vic == nil {
			return
		}
		pol.takeBack(vic)
	}
}

// reclaim asks back what an upstream holds above its limit, from tiers below the given one.
func (pol *pool) reclaim(name string, tier int) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	for _, ups := range pol.upstreams {
		if ups.spec.Name != name {
			continue
		}
		for exc := ups.total() - ups.recalled() - pol.limit(ups); exc > 0; exc-- {
			vic := ups.victim(tier)
			if vic == nil {
				return
			}
			pol.takeBack(vic)
		}
	}
}

// takeBack calls the grant's Recall on a goroutine, because the holder may need the pool's lock.
func (pol *pool) takeBack(grt *grant) {
	grt.recalled = true
	pol.recalls++
	go grt.ask.Recall()
}

// victim returns the running request to recall for a tier, or nil.
func (pol *pool) victim(tier int) (best *grant) {
	for _, ups := range pol.upstreams {
		if ups.leaving {
			continue
		}
		if vic := ups.victim(tier); vic != nil && (best == nil || cheaper(vic, best)) {
			best = vic
		}
	}
	return best
}

func (ups *upstream) victim(tier int) (best *grant) {
	for grt := range ups.running {
		if grt.recallable() && grt.ask.Class.Tier > tier && (best == nil || cheaper(grt, best)) {
			best = grt
		}
	}
	return best
}

func (ups *upstream) recalled() (num int) {
	for grt := range ups.running {
		if grt.recalled {
			num++
		}
	}
	return num
}

func (grt *grant) recallable() bool {
	return grt.ask.Recall != nil && !grt.recalled && !grt.guaranteed
}

// cheaper reports whether recalling one costs less than two: the lowest tier, then the latest start.
func cheaper(one, two *grant) bool {
	if one.ask.Class.Tier != two.ask.Class.Tier {
		return one.ask.Class.Tier > two.ask.Class.Tier
	}
	return one.since.After(two.since)
}

// markLong counts a grant as long, and recalls it when long ones hold more than their share while others wait.
func (pol *pool) markLong(grt *grant) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if _, run := grt.upstream.running[grt]; !run {
		return
	}
	grt.long = true
	grt.upstream.long++
	top := int(math.Ceil(pol.scheduler.options.Live.Get().Policy.LongShare * float64(pol.limit(grt.upstream))))
	if grt.upstream.long > top && pol.queue.Len() > 0 && grt.recallable() {
		pol.takeBack(grt)
	}
}
