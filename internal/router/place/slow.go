package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// maxSlowRatio is the rate, relative to the median of the service, above which no engine counts as slow. An engine is no longer
	// slow at a rate that is higher than the limit by returnMargin: engines that change their class lose their cached prefixes.
	maxSlowRatio = 0.85
	returnMargin = 0.07
	// slowFor is how long a rate has to be beyond its ratio before the engine moves.
	slowFor = 3 * time.Second
	// slowInterval is how often the rates are compared.
	slowInterval = 500 * time.Millisecond
	// minSlowCount is the number of observations from which the rate of an engine counts, and minRated the number of
	// engines with a rate from which a median does.
	minSlowCount = 5
	minRated     = 4
	// rateError is the error of a rate by one observation, relative to it. The error of a mean falls with the square root of
	// their number; so an engine at half of the speed is found after a few answers, one near the limit after a hundred.
	rateError = 0.5
)

// SpeedChange is the finding that an engine is slow, or no longer.
type SpeedChange struct {
	Service  string
	Instance router.Instance
	Slow     bool
	// Rate is the prefill rate of the engine and Median that of the service, in tokens per millisecond, as the fleet
	// observed them.
	Rate, Median float64
}

// rated reports whether the fleet observed the rate of the engine often enough to compare it. The caller holds the lock.
func (lod *load) rated() bool {
	return lod.rate.fleet.count >= minSlowCount
}

// separatesSlow reports whether slow engines belong to the last class. With a single gap target no class tolerates them better.
func (svc *service) separatesSlow() bool {
	return len(svc.gapTargets) > 1
}

// slowRatio returns the rate, relative to the median of the service, below which an engine is slow: its events during prefill come later than
// the lowest gap target, which usual engines meet. Where usual engines miss that target, or slow ones meet it, it does not help to keep
// calls from slow engines, and they are needed.
func (svc *service) slowRatio() float64 {
	_, gap := svc.speed.get()
	if tgt := svc.gapTargets[0]; gap <= tgt {
		return min(maxSlowRatio, float64(gap)/float64(tgt))
	}
	return 0
}

// updateSlow compares the rates of the engines with their median and returns which engines became slow or are no longer.
func (svc *service) updateSlow(par *partition, now time.Time) (chgs []SpeedChange) {
	if !svc.separatesSlow() || now.Sub(svc.slowUpdated) < slowInterval {
		return nil
	}
	svc.slowUpdated = now
	var all []float64
	medians := make([]float64, len(par.classes))
	for cls, engs := range par.classes {
		var own []float64
		for _, eng := range engs {
			eng.load.mut.Lock()
			if eng.load.rated() {
				own = append(own, eng.load.rate.fleet.value)
			}
			eng.load.mut.Unlock()
		}
		medians[cls] = median(own)
		all = append(all, own...)
	}
	mid := median(all)
	if mid == 0 {
		return nil
	}
	svc.speed.setMedian(mid)
	ratio := svc.slowRatio()
	for cls, engs := range par.classes {
		// The calls of a class may make all of its engines seem slow; that is no reason to move them.
		limit := mid
		if medians[cls] > 0 {
			limit = min(mid, medians[cls])
		}
		for _, eng := range engs {
			if slow, rate, changed := eng.load.updateSlow(ratio*limit, (ratio+returnMargin)*mid, now); changed {
				chgs = append(chgs, SpeedChange{Service: eng.Service, Instance: eng.Instance, Slow: slow, Rate: rate, Median: mid})
			}
		}
	}
	return chgs
}

// updateSlow makes the engine slow once its rate was below one limit for slowFor, and no longer slow once it was above the
// other. It returns whether it is slow, its rate, and whether that changed.
func (lod *load) updateSlow(slowRate, usualRate float64, now time.Time) (slow bool, rate float64, changed bool) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	rate = lod.rate.fleet.value
	highest := rate * (1 + rateError/math.Sqrt(float64(lod.rate.fleet.count)))
	off := lod.rated() && (!lod.slow && highest < slowRate || lod.slow && rate > usualRate)
	switch {
	case !off:
		lod.offSince = time.Time{}
	case lod.offSince.IsZero():
		lod.offSince = now
	case now.Sub(lod.offSince) >= slowFor:
		lod.slow, lod.offSince, changed = !lod.slow, time.Time{}, true
	}
	return lod.slow, rate, changed
}

// slowSpeed returns whether the engine is slow, and its rate in steps of 10%: nodes know nearly the same rates.
func (lod *load) slowSpeed() (slow bool, step int) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	if !lod.slow {
		return false, 0
	}
	return true, int(math.Round(math.Log(lod.rate.fleet.value) / math.Log(1.1)))
}

// median returns the median of some values, or zero if there are fewer than minRated.
func median(vals []float64) float64 {
	if len(vals) < minRated {
		return 0
	}
	slices.Sort(vals)
	return vals[len(vals)/2]
}

// moveSlow exchanges slow engines before the last class, which starts at a position, with others of the last class. If there
// are more slow engines than the last class holds, the slowest ones go there.
//
// The partner of an engine is chosen by rendezvous hashing, preferably in its failure domain, so that few engines move when
// another becomes slow or a boundary moves.
func moveSlow(ord []*engine, start int) {
	var slow []*engine
	for _, eng := range ord {
		if eng.slow, eng.speedStep = eng.load.slowSpeed(); eng.slow {
			slow = append(slow, eng)
		}
	}
	if room := len(ord) - start; len(slow) > room {
		slices.SortStableFunc(slow, func(one, two *engine) int {
			return cmp.Or(cmp.Compare(one.speedStep, two.speedStep), cmp.Compare(one.hash, two.hash))
		})
		slow = slow[:room]
	}
	tolerant := make(map[*engine]bool, len(slow))
	for _, eng := range slow {
		tolerant[eng] = true
	}
	for pos, eng := range ord[:start] {
		if !tolerant[eng] {
			continue
		}
		best, lowest := -1, uint64(math.MaxUint64)
		for num, oth := range ord[start:] {
			val := mix(eng.hash^oth.hash) >> 1
			if oth.FailureDomain != eng.FailureDomain {
				val |= remoteBit
			}
			if !tolerant[oth] && val < lowest {
				best, lowest = start+num, val
			}
		}
		ord[pos], ord[best] = ord[best], ord[pos]
	}
}
