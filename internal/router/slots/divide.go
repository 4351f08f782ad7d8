package slots

import (
	"sort"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// HolderDemand is one holder's use of an upstream and its demand for more, by tier.
type HolderDemand struct {
	Node string
	// Held counts the running requests, Waiting the queued ones.
	Held    router.TierCounts
	Waiting router.TierCounts
	// Leaving is set while the holder shuts down; it gets no standing slots.
	Leaving bool
}

// Divide divides an upstream's slots between holders and returns their limits, in the order of the demands.
//
// Each tier that has demand first gets up to its minimum, a fraction of the
// slots from 0 to 1. Then the tiers are served from the highest priority to the
// lowest, one slot to each holder in turn. Within a tier, running requests come
// before queued ones: to move a slot between holders of equal priority would
// recall one request to run another. The rest is spread evenly. The limits add
// up to the slots unless every holder is leaving.
func Divide(slots int, dms []HolderDemand, minimums [router.MaxTier + 1]float64) (lms []int) {
	lms = make([]int, len(dms))
	if len(dms) == 0 {
		return lms
	}
	remaining := slots
	held, waiting := demandByTier(dms)
	for tier := range held {
		reserved := min(remaining, int(minimums[tier]*float64(slots)))
		remaining -= reserved - grantInTurn(grantInTurn(reserved, held[tier], lms), waiting[tier], lms)
	}
	for tier := range held {
		remaining = grantInTurn(remaining, held[tier], lms)
		remaining = grantInTurn(remaining, waiting[tier], lms)
	}
	spreadEvenly(remaining, dms, lms)
	return lms
}

// demandByTier returns the held and the waiting counts, indexed by tier and then by holder.
func demandByTier(dms []HolderDemand) (held, waiting [router.MaxTier + 1][]int) {
	for tier := range held {
		for _, one := range dms {
			held[tier] = append(held[tier], one.Held[tier])
			waiting[tier] = append(waiting[tier], one.Waiting[tier])
		}
	}
	return held, waiting
}

// grantInTurn adds slots to the limits, one to each holder in turn, until wanted is met, and returns how many
// slots remain. It decrements wanted by what it grants.
func grantInTurn(remaining int, wanted, lms []int) int {
	for granted := true; granted && remaining > 0; {
		granted = false
		for idx := range wanted {
			if wanted[idx] == 0 || remaining == 0 {
				continue
			}
			wanted[idx]--
			lms[idx]++
			remaining--
			granted = true
		}
	}
	return remaining
}

// spreadEvenly grants each remaining slot to the holder with the lowest limit that is not leaving.
func spreadEvenly(remaining int, dms []HolderDemand, lms []int) {
	staying := make([]int, 0, len(dms))
	for idx, one := range dms {
		if !one.Leaving {
			staying = append(staying, idx)
		}
	}
	for ; remaining > 0 && len(staying) > 0; remaining-- {
		sort.SliceStable(staying, func(one, two int) bool { return lms[staying[one]] < lms[staying[two]] })
		lms[staying[0]]++
	}
}
