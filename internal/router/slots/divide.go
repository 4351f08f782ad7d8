package slots

import (
	"sort"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Need is what one holder has and wants of an upstream, by tier.
type Need struct {
	Node    string
	Held    router.TierCounts
	Waiting router.TierCounts
	// Leaving holders get no standing slots.
	Leaving bool
}

// Divide shares an upstream's slots between holders and returns a limit for each, in their order.
//
// Each tier that has demand first gets up to its minimum; then the tiers are
// served in order, each holder in turn; what is left over is spread evenly. Within
// a tier, what is held goes before what waits, because moving a slot between
// equals recalls one request to run another. The limits add up to the slots if
// any holder stays.
func Divide(slots int, nds []Need, minimums [router.MaxTier + 1]float64) (lms []int) {
	lms = make([]int, len(nds))
	if len(nds) == 0 {
		return lms
	}
	left := slots
	held, waiting := wants(nds)
	for tier := range held {
		kept := min(left, int(minimums[tier]*float64(slots)))
		left -= kept - deal(deal(kept, held[tier], lms), waiting[tier], lms)
	}
	for tier := range held {
		left = deal(left, held[tier], lms)
		left = deal(left, waiting[tier], lms)
	}
	spread(left, nds, lms)
	return lms
}

// wants returns what the holders have and what they wait for, by tier and holder.
func wants(nds []Need) (held, waiting [router.MaxTier + 1][]int) {
	for tier := range held {
		for _, one := range nds {
			held[tier] = append(held[tier], one.Held[tier])
			waiting[tier] = append(waiting[tier], one.Waiting[tier])
		}
	}
	return held, waiting
}

// deal gives out slots one at a time in turn, up to what each holder wants, and returns what is left.
func deal(left int, want, lms []int) int {
	for more := true; more && left > 0; {
		more = false
		for idx := range want {
			if want[idx] == 0 || left == 0 {
				continue
			}
			want[idx]--
			lms[idx]++
			left--
			more = true
		}
	}
	return left
}

// spread gives each of the left slots to the staying holder with the lowest limit.
func spread(left int, nds []Need, lms []int) {
	ord := make([]int, 0, len(nds))
	for idx, one := range nds {
		if !one.Leaving {
			ord = append(ord, idx)
		}
	}
	for ; left > 0 && len(ord) > 0; left-- {
		sort.SliceStable(ord, func(one, two int) bool { return lms[ord[one]] < lms[ord[two]] })
		lms[ord[0]]++
	}
}
