package slots

import (
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// LeaseLife is how long a limit holds without renewal.
const LeaseLife = time.Second

// Home divides the slots of the upstreams that this node is home of, each under a lock of its own.
type Home struct {
	timers router.Timers
	// push sends changed limits to a holder; it must not block.
	push func(node string, lms []*wire.SlotLimit)
	mut  sync.Mutex
	// upstreams are the states by upstream name.
	upstreams map[string]*division
}

// division is how the slots of one upstream are divided now.
type division struct {
	mut sync.Mutex
	// since is when this node first heard a report as the upstream's home.
	since   time.Time
	last    time.Time
	holders map[string]*holder
	order   []string
}

type holder struct {
	need Need
	// confirmed is the limit that the holder said it obeys, and granted the last one sent to it.
	confirmed int
	granted   int
	seen      time.Time
}

// Share is what a home needs to know of an upstream.
type Share struct {
	Upstream router.Upstream
	// Minimums are the shares of the slots, from 0 to 1, kept for each tier with demand.
	Minimums [router.MaxTier + 1]float64
	// Fair returns the holder's part while this home is new.
	Fair func(node string) int
}

// NewHome returns a Home without upstreams.
func NewHome(tms router.Timers, push func(node string, lms []*wire.SlotLimit)) *Home {
	return &Home{timers: tms, push: push, upstreams: make(map[string]*division)}
}

// Report takes in a holder's report on one upstream and returns its limit; others are told of theirs if they change.
func (hom *Home) Report(node string, leaving bool, dmd *wire.SlotDemand, shr Share) *wire.SlotLimit {
	now := hom.timers.Now()
	div := hom.division(shr.Upstream.Name, now)
	div.mut.Lock()
	hol := div.hear(node, now)
	hol.need = Need{Node: node, Held: counts(dmd.GetHeld()), Waiting: counts(dmd.GetWaiting()), Leaving: leaving}
	hol.confirmed = int(dmd.GetLimit())
	chg := div.review(hol, shr, now)
	own := hol.limit(shr.Upstream.Name, div.highest())
	div.mut.Unlock()
	for nam, lim := range chg {
		if nam != node {
			hom.push(nam, []*wire.SlotLimit{lim})
		}
	}
	return own
}

// Expire forgets upstreams from which nothing was heard, because another node is their home.
func (hom *Home) Expire(now time.Time) {
	hom.mut.Lock()
	defer hom.mut.Unlock()
	for nam, div := range hom.upstreams {
		div.mut.Lock()
		old := now.Sub(div.last) > 2*LeaseLife
		div.mut.Unlock()
		if old {
			delete(hom.upstreams, nam)
		}
	}
}

// Len returns the number of upstreams that this node is home of.
func (hom *Home) Len() int {
	hom.mut.Lock()
	defer hom.mut.Unlock()
	return len(hom.upstreams)
}

func (hom *Home) division(name string, now time.Time) *division {
	hom.mut.Lock()
	defer hom.mut.Unlock()
	div := hom.upstreams[name]
	if div == nil {
		div = &division{since: now, last: now, holders: make(map[string]*holder)}
		hom.upstreams[name] = div
	}
	return div
}

// hear returns the holder of that name, and forgets those that fell silent.
func (div *division) hear(node string, now time.Time) *holder {
	div.last = now
	div.expire(now)
	hol := div.holders[node]
	if hol == nil {
		hol = &holder{}
		div.holders[node] = hol
		div.order = append(div.order, node)
	}
	hol.seen = now
	return hol
}

// review divides anew after a report and returns the limits that changed, by node.
//
// While the home is new, unknown holders may obey another one's leases; then
// the reporting holder gets its fair share and nobody else changes.
func (div *division) review(hol *holder, shr Share, now time.Time) (chg map[string]*wire.SlotLimit) {
	if now.Sub(div.since) < LeaseLife {
		hol.granted = max(shr.Fair(hol.need.Node), hol.need.Held.Total())
		return nil
	}
	hol.granted = max(hol.granted, min(hol.confirmed, shr.Upstream.Slots))
	return div.divide(shr)
}

// divide moves the limits towards the wanted division as far as no slot is promised twice.
func (div *division) divide(shr Share) (chg map[string]*wire.SlotLimit) {
	nds := make([]Need, 0, len(div.order))
	for _, nam := range div.order {
		nds = append(nds, div.holders[nam].need)
	}
	tgt := Divide(shr.Upstream.Slots, nds, shr.Minimums)
	old := make([]int, len(tgt))
	for idx, nam := range div.order {
		hol := div.holders[nam]
		old[idx] = hol.granted
		if tgt[idx] < hol.granted {
			hol.granted = tgt[idx]
		}
	}
	free := shr.Upstream.Slots
	for _, hol := range div.holders {
		free -= hol.committed()
	}
	for idx, nam := range div.order {
		hol := div.holders[nam]
		add := min(tgt[idx]-hol.granted, free)
		if add <= 0 {
			continue
		}
		was := hol.committed()
		hol.granted += add
		free -= hol.committed() - was
	}
	chg = make(map[string]*wire.SlotLimit)
	for idx, nam := range div.order {
		if div.holders[nam].granted != old[idx] {
			chg[nam] = div.holders[nam].limit(shr.Upstream.Name, div.highest())
		}
	}
	return chg
}

// committed is how many slots the holder may be using: what it was granted, what it still obeys, what it holds.
func (hol *holder) committed() int {
	return max(hol.granted, hol.confirmed, hol.need.Held.Total())
}

func (hol *holder) limit(upstream string, tier int) *wire.SlotLimit {
	return &wire.SlotLimit{
		Upstream: upstream,
		Limit:    uint32(hol.granted),
		LifeMs:   uint32(LeaseLife.Milliseconds()),
		Tier:     uint32(tier),
	}
}

// highest returns the highest tier that waits anywhere; slots below it may be recalled.
func (div *division) highest() int {
	for tier := range router.MaxTier {
		for _, hol := range div.holders {
			if hol.need.Waiting[tier] > 0 {
				return tier
			}
		}
	}
	return router.MaxTier
}

// expire forgets holders whose leases have ended.
func (div *division) expire(now time.Time) {
	kept := div.order[:0]
	for _, nam := range div.order {
		if now.Sub(div.holders[nam].seen) > LeaseLife {
			delete(div.holders, nam)
			continue
		}
		kept = append(kept, nam)
	}
	div.order = kept
}

func counts(nms []uint32) (tcs router.TierCounts) {
	for idx := range min(len(nms), len(tcs)) {
		tcs[idx] = int(nms[idx])
	}
	return tcs
}
