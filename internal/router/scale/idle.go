package scale

import (
	"maps"
	"slices"
	"time"
)

const (
	// idleCalls is the demand, in calls per second, below which a service is idle. The average reaches it some minutes after the last
	// call, when the prefixes in the caches of engines are old.
	idleCalls = 0.01
	// idlePeriod is how long nearly all nodes must have reported no demand. Nodes that have just started report none either.
	idlePeriod = 2 * time.Second
	// maxSpotShare is the largest share of spot upstreams in a failure domain that the exchange of an idle service leads to.
	maxSpotShare = 0.75
	// minLeftShare is the share of all upstreams that must be left when the spot upstreams of a failure domain are reclaimed. An idle
	// service shows no demand by which to judge it.
	minLeftShare = 0.85
)

// swap is an exchange of several upstreams of a failure domain at once.
type swap struct {
	// regular is the number of regular upstreams that are to be cut, and spot the number of spot upstreams that serve by then.
	regular, spot int
}

// observeIdle notes since when the service is idle. While records of upstreams still arrive after a start, it doesn't count as idle,
// because the number of upstreams is not known yet.
func (mem *Memory) observeIdle(vew View) {
	num := mem.serving()
	settled := num == mem.served || len(mem.orders) > 0
	mem.served = num
	switch {
	case !settled || !vew.Complete || vew.Demand.InFlight > 0 || vew.Demand.Calls >= idleCalls:
		mem.idleSince = time.Time{}
	case mem.idleSince.IsZero():
		mem.idleSince = vew.Now
	}
}

// idle reports whether no caller has used the service for some time, so that its upstreams can be replaced at no cost to callers.
func (drf *draft) idle() bool {
	return !drf.mem.idleSince.IsZero() && drf.Now.Sub(drf.mem.idleSince) >= idlePeriod
}

// exchangeIdle replaces regular upstreams of an idle service by spot ones, those of each failure domain at once. The spot ones are ordered
// first, and the regular ones cut when these serve. Under load the cuts that are left are made in small steps.
func (drf *draft) exchangeIdle() {
	for _, dom := range slices.Sorted(maps.Keys(drf.domains)) {
		reg, spot := Group{FailureDomain: dom}, Group{FailureDomain: dom, Spot: true}
		if swp, fnd := drf.swaps[dom]; fnd {
			drf.finishSwap(reg, spot, swp)
		} else if drf.idle() && drf.canAdd(spot) && drf.mem.orders[reg].confirmedOrNone() {
			drf.beginSwap(reg, spot)
		}
	}
}

// confirmedOrNone reports whether no order without an answer is left.
func (ord ordered) confirmedOrNone() bool {
	return ord.confirmed || ord.at.IsZero()
}

// beginSwap orders the spot upstreams that are to replace regular ones.
func (drf *draft) beginSwap(reg, spot Group) {
	spc, dom := drf.Service.Scaling, reg.FailureDomain
	if spc.SpotPrice <= 0 || spc.SpotPrice >= 1 || drf.mem.tallies[reg].lost > 0 || drf.counted[reg] != drf.base[reg] {
		return
	}
	num := int(maxSpotShare*float64(drf.inDomain(drf.base, dom))) - drf.base[spot]
	// All spot upstreams of one failure domain may be reclaimed at once.
	num = min(num, int((1-minLeftShare)*float64(drf.intended()))-drf.base[spot], spc.Max-drf.occupied(dom), drf.base[reg])
	if num <= 0 {
		return
	}
	drf.counted[spot] += num
	drf.base[spot] += num
	drf.reasons[spot] = CheaperKind
	drf.swaps[dom] = swap{regular: num, spot: drf.base[spot]}
}

// intended returns the number of upstreams of the service without those that are only there for an exchange.
func (drf *draft) intended() int {
	return max(drf.needed, sum(drf.targets))
}

// finishSwap cuts the regular upstreams that have been replaced. A swap ends without cuts if its spot upstreams were refused or reclaimed.
func (drf *draft) finishSwap(reg, spot Group, swp swap) {
	if drf.base[spot] < swp.spot {
		delete(drf.swaps, reg.FailureDomain)
		return
	}
	if drf.mem.tallies[spot].serving < swp.spot || drf.mem.tallies[reg].lost > 0 || !drf.mem.orders[reg].confirmedOrNone() {
		return
	}
	if !drf.idle() {
		drf.finishUnderLoad(reg, swp)
		return
	}
	num := min(swp.regular, drf.base[reg])
	drf.counted[reg] -= num
	drf.base[reg] -= num
	drf.reasons[reg] = Replaced
	drf.cutDomains = append(drf.cutDomains, reg.FailureDomain)
	drf.keepSwap(reg, swp, num)
}

// finishUnderLoad cuts replaced upstreams in small steps after calls have arrived. If none can be cut, because they are needed by now, the rest
// stays, and is cut like any other surplus later.
func (drf *draft) finishUnderLoad(reg Group, swp swap) {
	if drf.Now.Sub(drf.mem.cutAt) < cutPeriod || drf.Now.Sub(drf.mem.faultAt) < calmPeriod {
		return
	}
	for _, one := range drf.mem.last(drf.Now, calmPeriod) {
		if !one.complete {
			return
		}
	}
	num := 0
	for num < swp.regular && drf.canCut(reg) {
		drf.change(reg, -1, Replaced)
		drf.cutDomains = append(drf.cutDomains, reg.FailureDomain)
		num++
	}
	if num == 0 {
		delete(drf.swaps, reg.FailureDomain)
		return
	}
	drf.keepSwap(reg, swp, num)
}

// keepSwap keeps what is left of a swap after some of its upstreams were cut.
func (drf *draft) keepSwap(reg Group, swp swap, num int) {
	if swp.regular -= num; swp.regular == 0 {
		delete(drf.swaps, reg.FailureDomain)
	} else {
		drf.swaps[reg.FailureDomain] = swp
	}
}
