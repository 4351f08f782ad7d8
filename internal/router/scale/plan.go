package scale

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// minKnown is the time for which the demand must be known, and minHeld for which the duties must be held, before any order.
	minKnown, minHeld = 10 * time.Second, 5 * time.Second
	// lowShare is the share of the upstreams below which the needed number is clearly lower.
	lowShare = 0.85
)

// Reason states why an order is made.
type Reason string

// The values of Reason.
const (
	// BelowMinimum means that a failure domain has fewer upstreams than its minimum.
	BelowMinimum Reason = "BelowMinimum"
	// Missing means that upstreams were reclaimed, are lost, or were refused elsewhere.
	Missing Reason = "Missing"
	// Demand means that more are needed than intended before.
	Demand Reason = "Demand"
	// Repeated means that an order had no answer.
	Repeated Reason = "Repeated"
	// Withdrawn means that a cut had no answer and is not wanted any more.
	Withdrawn Reason = "Withdrawn"
	// Surplus means that fewer are needed.
	Surplus Reason = "Surplus"
	// CheaperKind means that a spot upstream is to replace a regular one.
	CheaperKind Reason = "CheaperKind"
	// Replaced means that a regular upstream has been replaced by a spot one.
	Replaced Reason = "Replaced"
)

// Order is an order with the reason for it.
type Order struct {
	router.ScaleOrder

	Reason Reason
	// Before is the count that it changes.
	Before int
	// Needed, Intended and Counted are the numbers of upstreams of the service.
	Needed, Intended, Counted int
}

// Group returns the group whose count the order sets.
func (ord Order) Group() Group {
	return Group{FailureDomain: ord.FailureDomain, Spot: ord.Spot}
}

// String returns the order in one line.
func (ord Order) String() string {
	kind := "regular"
	if ord.Spot {
		kind = "spot"
	}
	return fmt.Sprintf("%s %s %d to %d: %s", ord.FailureDomain, kind, ord.Before, ord.Count, ord.Reason)
}

// Plan holds the orders that follow from a view and a memory.
type Plan struct {
	Orders []Order
	// Needed, Intended and Counted are the numbers of upstreams of the service; zero if the data are not sufficient for a plan.
	Needed, Intended, Counted int

	targets  map[string]int
	exchange *exchange
	cut      bool
}

// Planner derives orders; it is a pure function of a View and a Memory, which it does not change.
type Planner struct{}

// Plan returns the orders for a service whose view the memory has observed. Without sufficient data there are none.
func (Planner) Plan(vew View, mem *Memory) (pla Plan) {
	if vew.HeldSince.IsZero() || vew.Now.Sub(vew.HeldSince) < minHeld || mem.known(vew.Now) < minKnown || vew.slots() == 0 {
		return Plan{}
	}
	drf := newDraft(vew, mem)
	drf.repeat()
	drf.fillMinimum()
	drf.fillTargets()
	drf.grow()
	if len(drf.reasons) == 0 {
		drf.reduce()
	}
	return drf.plan()
}

// draft is a plan in the making.
type draft struct {
	View

	mem *Memory
	// counted and base are the numbers of upstreams by group, as of Memory, with the changes of the draft.
	counted, base map[Group]int
	domains       map[string]bool
	needed        int
	targets       map[string]int
	exchange      *exchange
	reasons       map[Group]Reason
	cutDomains    []string
}

func newDraft(vew View, mem *Memory) *draft {
	drf := &draft{
		View: vew, mem: mem,
		counted: make(map[Group]int), base: make(map[Group]int),
		domains: vew.priced(), needed: mem.needed(vew),
		targets: maps.Clone(mem.targets), exchange: mem.exchange,
		reasons: make(map[Group]Reason),
	}
	if drf.targets == nil {
		drf.targets = mem.initialTargets(vew.Now)
	}
	maps.Copy(drf.domains, mem.domains)
	for grp := range mem.groups() {
		drf.counted[grp], drf.base[grp] = mem.counted(grp, vew.Now, vew.Service.Scaling.Boot), mem.base(grp)
	}
	return drf
}

// plan returns the finished plan, with its orders in a fixed order.
func (drf *draft) plan() (pla Plan) {
	pla = Plan{Needed: drf.needed, Intended: sum(drf.targets), Counted: sum(drf.counted), targets: drf.targets, exchange: drf.exchange, cut: len(drf.cutDomains) > 0}
	for _, grp := range slices.SortedFunc(maps.Keys(drf.reasons), compareGroups) {
		pla.Orders = append(pla.Orders, Order{
			ScaleOrder: router.ScaleOrder{Service: drf.Service.Name, FailureDomain: grp.FailureDomain, Count: drf.base[grp], Spot: grp.Spot},
			Reason:     drf.reasons[grp],
			Before:     drf.mem.base(grp),
			Needed:     pla.Needed, Intended: pla.Intended, Counted: pla.Counted,
		})
	}
	return pla
}

func compareGroups(one, oth Group) int {
	if res := cmp.Compare(one.FailureDomain, oth.FailureDomain); res != 0 || one.Spot == oth.Spot {
		return res
	}
	if oth.Spot {
		return -1
	}
	return 1
}

func sum[Key comparable](nums map[Key]int) (all int) {
	for _, num := range nums {
		all += num
	}
	return all
}

// repeat sends orders without an answer again, unless upstreams that returned since fill the failure domain. A cut is withdrawn instead
// if more upstreams are needed by now or there was a fault.
func (drf *draft) repeat() {
	for grp, ord := range drf.mem.orders {
		if ord.confirmed || drf.Now.Before(ord.retryAt) {
			continue
		}
		serving := drf.mem.tallies[grp].serving
		switch {
		case ord.count < serving && (sum(drf.counted) < drf.needed || drf.Now.Sub(drf.mem.faultAt) < calmPeriod):
			drf.counted[grp], drf.base[grp], drf.reasons[grp] = serving, serving, Withdrawn
		case ord.count <= serving || drf.occupied(grp.FailureDomain) <= drf.Service.Scaling.Max:
			drf.reasons[grp] = Repeated
		}
	}
}

// change changes the count of a group by one upstream.
func (drf *draft) change(grp Group, step int, rsn Reason) {
	drf.counted[grp] += step
	drf.base[grp] += step
	drf.reasons[grp] = rsn
}

// fillMinimum orders what is missing from the minimum of each failure domain.
func (drf *draft) fillMinimum() {
	for dom := range drf.domains {
		for drf.inDomain(drf.counted, dom) < drf.Service.Scaling.Min {
			grp, fnd := drf.cheapest(func(grp Group) bool { return grp.FailureDomain == dom })
			if !fnd {
				break
			}
			drf.change(grp, 1, BelowMinimum)
		}
	}
}

// fillTargets orders what is missing from the intended number: first in the region in which it is missing, then elsewhere.
func (drf *draft) fillTargets() {
	drf.fit()
	for _, near := range []bool{true, false} {
		for sum(drf.counted) < sum(drf.targets) {
			reg := drf.shortestRegion()
			grp, fnd := drf.cheapest(func(grp Group) bool { return !near || drf.Regions[grp.FailureDomain] == reg })
			if !fnd {
				break
			}
			drf.change(grp, 1, Missing)
		}
	}
}

// fit lowers the intended number to what the bounds of the failure domains allow, for example after a change of the manifest.
func (drf *draft) fit() {
	limits := make(map[string]int)
	for dom := range drf.domains {
		limits[drf.Regions[dom]] += drf.Service.Scaling.Max
	}
	for reg, num := range drf.targets {
		drf.targets[reg] = min(num, limits[reg])
	}
}

// shortestRegion returns the region in which most upstreams are missing.
func (drf *draft) shortestRegion() (reg string) {
	missing := maps.Clone(drf.targets)
	for grp, num := range drf.counted {
		missing[drf.Regions[grp.FailureDomain]] -= num
	}
	for _, one := range slices.Sorted(maps.Keys(missing)) {
		if reg == "" || missing[one] > missing[reg] {
			reg = one
		}
	}
	return reg
}

// grow orders what is needed above the intended number.
func (drf *draft) grow() {
	for max(sum(drf.counted), sum(drf.targets)) < drf.needed {
		grp, fnd := drf.cheapest(func(Group) bool { return true })
		if !fnd {
			return
		}
		drf.change(grp, 1, Demand)
		drf.targets[drf.Regions[grp.FailureDomain]]++
	}
}

// cheapest returns the cheapest group of those allowed in which one more upstream can be ordered. Beyond the share that a reclaim
// may take, spot upstreams are ordered only if there is no regular one to be had.
func (drf *draft) cheapest(allow func(grp Group) bool) (best Group, fnd bool) {
	better := func(one, oth Group) bool {
		if safe := drf.absorbs(one); safe != drf.absorbs(oth) {
			return safe
		}
		return cmp.Or(cmp.Compare(drf.price(one), drf.price(oth)),
			cmp.Compare(drf.inDomain(drf.base, one.FailureDomain), drf.inDomain(drf.base, oth.FailureDomain)),
			compareGroups(one, oth)) < 0
	}
	for dom := range drf.domains {
		for _, spot := range []bool{false, true} {
			grp := Group{FailureDomain: dom, Spot: spot}
			if allow(grp) && drf.canAdd(grp) && (!fnd || better(grp, best)) {
				best, fnd = grp, true
			}
		}
	}
	return best, fnd
}

// canAdd reports whether one more upstream may be ordered in a group.
func (drf *draft) canAdd(grp Group) bool {
	spc := drf.Service.Scaling
	if grp.Spot && spc.SpotPrice <= 0 || drf.Now.Before(drf.mem.refused[grp]) {
		return false
	}
	// An order without an answer is settled first, so that its count does not depend on what was accepted.
	if ord, fnd := drf.mem.orders[grp]; fnd && !ord.confirmed && drf.Now.Before(ord.retryAt) {
		return false
	}
	return drf.occupied(grp.FailureDomain) < spc.Max
}

// occupied returns the upstreams of a failure domain for its maximum: those that the platform is assumed to have, and those whose cut
// has not taken effect.
func (drf *draft) occupied(dom string) (num int) {
	for _, spot := range []bool{false, true} {
		grp := Group{FailureDomain: dom, Spot: spot}
		num += max(drf.base[grp], drf.mem.tallies[grp].serving)
	}
	return num
}

// absorbs reports whether, with one more upstream in a group, the present demand can be served after the spot upstreams of any
// failure domain are reclaimed.
func (drf *draft) absorbs(grp Group) bool {
	if !grp.Spot {
		return true
	}
	all, spots := 1, drf.counted[grp]+1
	for one, num := range drf.counted {
		all += num
		if one.Spot {
			spots = max(spots, num)
		}
	}
	return all-spots >= drf.upstreams(drf.present(), reclaimUtilization)
}

// inDomain returns the sum of both kinds in a failure domain.
func (drf *draft) inDomain(nums map[Group]int, dom string) int {
	return nums[Group{FailureDomain: dom}] + nums[Group{FailureDomain: dom, Spot: true}]
}
