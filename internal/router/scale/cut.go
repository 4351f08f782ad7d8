package scale

import (
	"cmp"
	"time"
)

const (
	// lowPeriod is how long fewer upstreams must have been needed before a cut.
	lowPeriod = 15 * time.Second
	// calmPeriod is how long there must have been no queue and no fault.
	calmPeriod = 10 * time.Second
	// cutPeriod is the time in which at most a cutDivisor-th of the upstreams is cut, or one.
	cutPeriod  = 5 * time.Second
	cutDivisor = 10
)

// reduce cuts upstreams that are not needed, or exchanges a regular one for a spot one. It does nothing unless the data are clear and
// there are neither faults nor upstreams that boot.
func (drf *draft) reduce() {
	drf.abandon()
	if !drf.clear() {
		return
	}
	if drf.exchange != nil {
		drf.finishExchange()
		return
	}
	if !drf.low() {
		if !drf.mem.samples[len(drf.mem.samples)-1].low {
			drf.beginExchange()
		}
		return
	}
	limit := max(1, sum(drf.counted)/cutDivisor)
	for range limit {
		grp, fnd := drf.dearest()
		if !fnd {
			return
		}
		drf.cut(grp, Surplus)
	}
}

// clear reports whether the demand of the whole peak window is known from nearly all nodes, with calls in it, and there was no fault.
func (drf *draft) clear() bool {
	mem := drf.mem
	if mem.known(drf.Now) < peakWindow || drf.Now.Sub(mem.faultAt) < calmPeriod {
		return false
	}
	if drf.Service.Engine != nil && drf.Demand.PrefillRate == 0 {
		return false
	}
	calls := 0
	for _, one := range mem.last(drf.Now, peakWindow) {
		if !one.complete {
			return false
		}
		calls += one.calls
	}
	for _, til := range mem.refused {
		if drf.Now.Before(til.Add(calmPeriod)) {
			return false
		}
	}
	for grp := range mem.groups() {
		if tly := mem.tallies[grp]; tly.away > 0 || tly.serving+tly.lost != mem.base(grp) {
			return false
		}
	}
	return calls > 0
}

// low reports whether fewer upstreams were needed for some time, in which this node held the duties.
func (drf *draft) low() bool {
	if drf.Now.Sub(drf.HeldSince) < lowPeriod {
		return false
	}
	for _, one := range drf.mem.last(drf.Now, lowPeriod) {
		if !one.low {
			return false
		}
	}
	return drf.Now.Sub(drf.mem.cutAt) >= cutPeriod
}

// cut removes an upstream from a group.
func (drf *draft) cut(grp Group, rsn Reason) {
	drf.change(grp, -1, rsn)
	drf.targets = make(map[string]int)
	for one, num := range drf.counted {
		drf.targets[drf.Regions[one.FailureDomain]] += num
	}
	drf.cutDomains = append(drf.cutDomains, grp.FailureDomain)
}

// dearest returns the most expensive group of which one upstream can be cut, and among equals that of the largest failure domain.
func (drf *draft) dearest() (best Group, fnd bool) {
	for grp := range drf.counted {
		if !drf.canCut(grp) {
			continue
		}
		if !fnd || cmp.Or(cmp.Compare(drf.price(grp), drf.price(best)),
			cmp.Compare(drf.inDomain(drf.counted, grp.FailureDomain), drf.inDomain(drf.counted, best.FailureDomain)),
			compareGroups(best, grp)) > 0 {
			best, fnd = grp, true
		}
	}
	return best, fnd
}

// canCut reports whether one upstream of a group can be cut, so that the needed number, the minimum and the room for a reclaim stay.
func (drf *draft) canCut(grp Group) bool {
	num, dom := drf.counted[grp], grp.FailureDomain
	all, spots := sum(drf.counted)-1, 0
	if num == 0 || drf.mem.tallies[grp].lost > 0 || all < drf.needed || drf.inDomain(drf.counted, dom) <= drf.Service.Scaling.Min {
		return false
	}
	cuts := 0
	for _, one := range drf.cutDomains {
		if one == dom {
			cuts++
		}
	}
	if cuts >= max(1, (drf.inDomain(drf.counted, dom)+cuts)/cutDivisor) {
		return false
	}
	for one, val := range drf.counted {
		if one == grp {
			val--
		}
		if one.Spot {
			spots = max(spots, val)
		}
	}
	return spots == 0 || grp.Spot || all-spots >= drf.upstreams(drf.present(), reclaimUtilization)
}

// beginExchange orders a spot upstream that is to replace a regular one of the same failure domain.
func (drf *draft) beginExchange() {
	spc := drf.Service.Scaling
	if spc.SpotPrice <= 0 || spc.SpotPrice >= 1 || drf.Now.Sub(drf.HeldSince) < lowPeriod {
		return
	}
	best, fnd := Group{}, false
	for grp, num := range drf.counted {
		spot := Group{FailureDomain: grp.FailureDomain, Spot: true}
		if grp.Spot || num == 0 || drf.mem.tallies[grp].lost > 0 || !drf.canAdd(spot) || !drf.absorbsExchange(spot) {
			continue
		}
		if !fnd || cmp.Or(cmp.Compare(drf.price(grp), drf.price(best)), compareGroups(best, grp)) > 0 {
			best, fnd = grp, true
		}
	}
	if !fnd {
		return
	}
	best.Spot = true
	drf.change(best, 1, CheaperKind)
	drf.exchange = &exchange{domain: best.FailureDomain, count: drf.base[best]}
}

// absorbsExchange reports whether a reclaim can be absorbed after the exchange; the regular upstream no longer counts then.
func (drf *draft) absorbsExchange(spot Group) bool {
	reg := Group{FailureDomain: spot.FailureDomain}
	drf.counted[reg]--
	defer func() { drf.counted[reg]++ }()
	return drf.absorbs(spot)
}

// finishExchange cuts the regular upstream when the spot one has served for the boot time.
func (drf *draft) finishExchange() {
	spot := Group{FailureDomain: drf.exchange.domain, Spot: true}
	reg := Group{FailureDomain: drf.exchange.domain}
	tly := drf.mem.tallies[spot]
	if tly.serving < drf.exchange.count || drf.Now.Sub(tly.newest) < drf.Service.Scaling.Boot {
		return
	}
	if drf.canCut(reg) {
		drf.cut(reg, Replaced)
	}
	drf.exchange = nil
}

// abandon ends an exchange whose spot upstream was reclaimed or not ordered. The regular one that would have been cut stays.
func (drf *draft) abandon() {
	if drf.exchange == nil {
		return
	}
	if spot := (Group{FailureDomain: drf.exchange.domain, Spot: true}); drf.base[spot] < drf.exchange.count {
		drf.exchange = nil
	}
}
