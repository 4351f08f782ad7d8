package scale

import (
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

// Group is the upstreams of a service of one failure domain and kind.
type Group struct {
	FailureDomain string
	Spot          bool
}

// View is what is known of a service at one time.
type View struct {
	Now     time.Time
	Service router.ServiceSpec
	// Instances are all instances with a record, the draining ones included.
	Instances []router.Instance
	Demand    place.FleetDemand
	// Complete is set if nearly all nodes are heard, so that Demand covers the fleet.
	Complete bool
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// PastSlots is the number of slots of an upstream that was last known; it counts while there are none.
	PastSlots int
	// HeldSince is when this node acquired the duties; zero if it does not hold them.
	HeldSince time.Time
}

// Utilization that upstreams are planned for.
const (
	// plannedUtilization leaves room for unequal load of upstreams, for a peak that is multiplied by the highest burst.
	plannedUtilization = 0.6
	// presentUtilization is the highest for the present calls, with which gap targets are still met.
	presentUtilization = 0.7
	// reclaimUtilization is the highest for the time in which reclaimed spot upstreams are being replaced.
	reclaimUtilization = 0.85
)

// load is a demand for the resources of upstreams.
type load struct {
	// running is the number of calls in flight, prefill the prompt tokens per second, cache the tokens in KV cache.
	running, prefill, cache float64
}

// load returns the demand with a number of calls in flight.
func (vew View) load(running float64) (lod load) {
	lod = load{running: running, prefill: vew.Demand.PrefillTokens}
	if vew.Demand.Calls > 0 {
		lod.cache = running * vew.Demand.PrefillTokens / vew.Demand.Calls
	}
	return lod
}

// upstreams returns how many upstreams serve a load at a utilization. Prefill counts only if the rate of engines is known.
func (vew View) upstreams(lod load, utilization float64) int {
	num := lod.running / float64(vew.slots())
	if eng := vew.Service.Engine; eng != nil {
		if vew.Demand.PrefillRate > 0 {
			num = max(num, lod.prefill/vew.Demand.PrefillRate)
		}
		if eng.CacheTokens > 0 {
			num = max(num, lod.cache/float64(eng.CacheTokens))
		}
	}
	return int(math.Ceil(num/utilization - 1e-9))
}

// slots returns the slots of an upstream, or zero if they are not known.
func (vew View) slots() int {
	if eng := vew.Service.Engine; eng != nil && eng.Slots > 0 {
		return eng.Slots
	}
	if len(vew.Instances) == 0 {
		return vew.PastSlots
	}
	sum := 0
	for _, ins := range vew.Instances {
		if ins.Slots <= 0 {
			return 0
		}
		sum += ins.Slots
	}
	return max(1, sum/len(vew.Instances))
}

// maxQueue is the prefill work of the fleet above which calls wait, as time of all engines.
const maxQueue = 500 * time.Millisecond

// overloaded reports whether calls wait for engines or slots.
func (vew View) overloaded(serving int) bool {
	if vew.Demand.Waiting > 0 || vew.Demand.InFlight >= max(1, serving*vew.slots()) {
		return true
	}
	capacity := vew.Demand.PrefillRate * float64(serving) * maxQueue.Seconds()
	return capacity > 0 && float64(vew.Demand.PendingTokens) > capacity
}

// calls returns the present number of calls, those that wait included.
func (vew View) calls() int {
	return vew.Demand.InFlight + vew.Demand.Waiting
}

// present returns the demand of the present moment.
func (vew View) present() load {
	return vew.load(float64(vew.calls()))
}

// price returns the relative price of an upstream of a group.
func (vew View) price(grp Group) (price float64) {
	price = 1
	if one, fnd := vew.Service.Scaling.Prices[grp.FailureDomain]; fnd {
		price = one
	}
	if grp.Spot {
		price *= vew.Service.Scaling.SpotPrice
	}
	return price
}

// priced returns the failure domains that have a price and are known.
func (vew View) priced() (dms map[string]bool) {
	dms = make(map[string]bool)
	for dom := range vew.Service.Scaling.Prices {
		// A domain that no node knows has no region; an order for it is probably a mistake in the manifest.
		if _, fnd := vew.Regions[dom]; fnd {
			dms[dom] = true
		}
	}
	return dms
}
