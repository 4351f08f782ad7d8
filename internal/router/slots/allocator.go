package slots

import (
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// LeaseDuration is how long a lease is valid without renewal.
const LeaseDuration = time.Second

// Allocator grants leases on the upstreams whose home is this node. Each upstream has its own lock.
type Allocator struct {
	timers router.Timers
	// push sends changed limits to a holder. It must not block.
	push func(node string, lms []*wire.SlotLimit)
	mut  sync.Mutex
	// upstreams holds the state by upstream name.
	upstreams map[string]*upstreamState
}

// upstreamState is the current division of one upstream's slots.
type upstreamState struct {
	mut sync.Mutex
	// firstReport is when this node, as the home, received its first report on the upstream.
	firstReport time.Time
	lastReport  time.Time
	holders     map[string]*holder
	// holderNames are the keys of holders in the order of their first reports.
	holderNames []string
}

// holder is a node that uses an upstream, as of its last report.
type holder struct {
	demand HolderDemand
	// confirmed is the limit that the holder reported as in use, granted the latest limit that it was sent.
	confirmed  int
	granted    int
	reportedAt time.Time
}

// AllocationPolicy holds the settings by which an upstream is divided.
type AllocationPolicy struct {
	Upstream router.Upstream
	// Minimums are the fractions of the slots, from 0 to 1, that are reserved for each tier that has demand.
	Minimums [router.MaxTier + 1]float64
	// FairShare returns a holder's limit during the first LeaseDuration of this home.
	FairShare func(node string) int
}

// NewAllocator returns an Allocator without upstreams. It calls push, which must not block, to send a holder a
// limit that changed because of another holder's report.
func NewAllocator(tms router.Timers, push func(node string, lms []*wire.SlotLimit)) *Allocator {
	return &Allocator{timers: tms, push: push, upstreams: make(map[string]*upstreamState)}
}

// Report records a holder's report on one upstream and returns its limit.
// It pushes the limits of other holders that change.
//
// dmd counts the holder's requests by tier and carries the limit that it uses now.
// leaving is set while the holder shuts down.
func (alc *Allocator) Report(node string, leaving bool, dmd *wire.SlotDemand, alp AllocationPolicy) *wire.SlotLimit {
	now := alc.timers.Now()
	ust := alc.upstreamState(alp.Upstream.Name, now)
	ust.mut.Lock()
	hol := ust.refreshHolder(node, now)
	hol.demand = HolderDemand{Node: node, Held: tierCounts(dmd.GetHeld()), Waiting: tierCounts(dmd.GetWaiting()), Leaving: leaving}
	hol.confirmed = int(dmd.GetLimit())
	chg := ust.update(hol, alp, now)
	res := hol.limitMessage(alp.Upstream.Name, ust.topWaitingTier())
	ust.mut.Unlock()
	for nam, lim := range chg {
		if nam != node {
			alc.push(nam, []*wire.SlotLimit{lim})
		}
	}
	return res
}

// Expire drops upstreams without a report for two lease durations; their home is another node by then.
func (alc *Allocator) Expire(now time.Time) {
	alc.mut.Lock()
	defer alc.mut.Unlock()
	for nam, ust := range alc.upstreams {
		ust.mut.Lock()
		expired := now.Sub(ust.lastReport) > 2*LeaseDuration
		ust.mut.Unlock()
		if expired {
			delete(alc.upstreams, nam)
		}
	}
}

// Len returns the number of upstreams that have state here.
func (alc *Allocator) Len() int {
	alc.mut.Lock()
	defer alc.mut.Unlock()
	return len(alc.upstreams)
}

// upstreamState returns the state of an upstream, and creates it if there is none.
func (alc *Allocator) upstreamState(name string, now time.Time) *upstreamState {
	alc.mut.Lock()
	defer alc.mut.Unlock()
	ust := alc.upstreams[name]
	if ust == nil {
		ust = &upstreamState{firstReport: now, lastReport: now, holders: make(map[string]*holder)}
		alc.upstreams[name] = ust
	}
	return ust
}

// refreshHolder returns the holder of a node, created if there is none, and records the time of its report.
// It first drops holders whose leases have expired.
func (ust *upstreamState) refreshHolder(node string, now time.Time) *holder {
	ust.lastReport = now
	ust.expire(now)
	hol := ust.holders[node]
	if hol == nil {
		hol = &holder{}
		ust.holders[node] = hol
		ust.holderNames = append(ust.holderNames, node)
	}
	hol.reportedAt = now
	return hol
}

// update recomputes the limits after a report and returns those that changed, by node.
//
// During the first LeaseDuration, holders that have not reported yet may still
// use leases of the previous home. The reporting holder then gets its fair
// share, or what it holds if that is more, and no other limit changes. After that,
// the limit that the holder uses, even one from the previous home, is taken as
// granted, and all limits are rebalanced.
func (ust *upstreamState) update(hol *holder, alp AllocationPolicy, now time.Time) (chg map[string]*wire.SlotLimit) {
	if now.Sub(ust.firstReport) < LeaseDuration {
		hol.granted = max(alp.FairShare(hol.demand.Node), hol.demand.Held.Total())
		return nil
	}
	hol.granted = max(hol.granted, min(hol.confirmed, alp.Upstream.Slots))
	return ust.rebalance(alp)
}

// rebalance moves the limits towards the result of Divide without granting any slot twice: it lowers limits at
// once, and raises them only by slots that no holder may be using. It returns the limits that changed, by node.
func (ust *upstreamState) rebalance(alp AllocationPolicy) (chg map[string]*wire.SlotLimit) {
	dms := make([]HolderDemand, 0, len(ust.holderNames))
	for _, nam := range ust.holderNames {
		dms = append(dms, ust.holders[nam].demand)
	}
	target := Divide(alp.Upstream.Slots, dms, alp.Minimums)
	previous := make([]int, len(target))
	for idx, nam := range ust.holderNames {
		hol := ust.holders[nam]
		previous[idx] = hol.granted
		if target[idx] < hol.granted {
			hol.granted = target[idx]
		}
	}
	free := alp.Upstream.Slots
	for _, hol := range ust.holders {
		free -= hol.committed()
	}
	for idx, nam := range ust.holderNames {
		hol := ust.holders[nam]
		add := min(target[idx]-hol.granted, free)
		if add <= 0 {
			continue
		}
		before := hol.committed()
		hol.granted += add
		free -= hol.committed() - before
	}
	chg = make(map[string]*wire.SlotLimit)
	for idx, nam := range ust.holderNames {
		if ust.holders[nam].granted != previous[idx] {
			chg[nam] = ust.holders[nam].limitMessage(alp.Upstream.Name, ust.topWaitingTier())
		}
	}
	return chg
}

// committed returns how many slots the holder may be using: the highest of its granted limit, its
// confirmed limit and its running requests.
func (hol *holder) committed() int {
	return max(hol.granted, hol.confirmed, hol.demand.Held.Total())
}

// limitMessage returns the holder's lease as a message.
func (hol *holder) limitMessage(upstream string, tier int) *wire.SlotLimit {
	return &wire.SlotLimit{
		Upstream: upstream,
		Limit:    uint32(hol.granted),
		LifeMs:   uint32(LeaseDuration.Milliseconds()),
		Tier:     uint32(tier),
	}
}

// topWaitingTier returns the tier of highest priority in which a request waits, or router.MaxTier if none does.
// Requests of lower priority may be recalled for it.
func (ust *upstreamState) topWaitingTier() int {
	for tier := range router.MaxTier {
		for _, hol := range ust.holders {
			if hol.demand.Waiting[tier] > 0 {
				return tier
			}
		}
	}
	return router.MaxTier
}

// expire drops holders whose leases have expired.
func (ust *upstreamState) expire(now time.Time) {
	kept := ust.holderNames[:0]
	for _, nam := range ust.holderNames {
		if now.Sub(ust.holders[nam].reportedAt) > LeaseDuration {
			delete(ust.holders, nam)
			continue
		}
		kept = append(kept, nam)
	}
	ust.holderNames = kept
}

// tierCounts converts counts from the wire; missing tiers count 0.
func tierCounts(nms []uint32) (tcs router.TierCounts) {
	for idx := range min(len(nms), len(tcs)) {
		tcs[idx] = int(nms[idx])
	}
	return tcs
}
