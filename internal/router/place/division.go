package place

import (
	"math"
	"time"
)

const (
	// minCallRate is the demand, in calls per second, below which a division of the engines is not computed.
	minCallRate = 1
	// divisionInterval is how often the division is adjusted to the demand.
	divisionInterval = time.Second
	// maxDivisionStep is the largest change of a boundary at one adjustment, as a share of the engines; prefixes that are
	// cached at engines which change their class are recomputed elsewhere.
	maxDivisionStep = 0.06
	// divisionTolerance is the share of the engines by which a boundary may differ from the computed one before it moves.
	divisionTolerance = 0.08
	// slotFill is the share of its slots that a class may occupy on average; bursts triple it.
	slotFill = 0.3
)

// classLoad is what the division of the engines depends on for one class of calls.
type classLoad struct {
	Demand

	// gapRisk is the probability that a call misses its gap target while its engine prefills another prompt.
	gapRisk float64
}

// divide returns the share of the engines of each class.
//
// The delay that a class suffers from its own prefill is proportional to its utilization, the prefill work for each
// of its engines, and its misses grow with the risk to its gaps. The sum of these over the classes is lowest if the
// engines are divided by the square roots of work and risk. A class gets at least one engine and the slots that its
// calls occupy.
func divide(lods []classLoad, engines, slots int) (shares []float64) {
	weights, floors := make([]float64, len(lods)), make([]float64, len(lods))
	for cls, lod := range lods {
		weights[cls] = math.Sqrt(lod.PrefillTokens * (1 + lod.gapRisk))
		floors[cls] = 1 / float64(engines)
		if slots > 0 {
			floors[cls] = max(floors[cls], lod.Running/(slotFill*float64(slots*engines)))
		}
	}
	shares = make([]float64, len(lods))
	fixed := make([]bool, len(lods))
	for range lods {
		left, sum := 1.0, 0.0
		for cls := range lods {
			if fixed[cls] {
				left -= shares[cls]
			} else {
				sum += weights[cls]
			}
		}
		done := true
		for cls := range lods {
			if fixed[cls] {
				continue
			}
			shares[cls] = 0
			if sum > 0 {
				shares[cls] = max(0, left) * weights[cls] / sum
			}
			if shares[cls] < floors[cls] {
				shares[cls], fixed[cls], done = floors[cls], true, false
			}
		}
		if done {
			break
		}
	}
	return normalize(shares)
}

// normalize scales shares to a sum of 1.
func normalize(shares []float64) []float64 {
	sum := 0.0
	for _, one := range shares {
		sum += one
	}
	for num := range shares {
		shares[num] /= sum
	}
	return shares
}

// moveBoundaries moves the boundaries between classes by at most limit towards the given shares, and reports whether any
// moved. A boundary is the share of the engines that belong to its class or to one before it.
func moveBoundaries(bounds, shares []float64, limit float64) (moved bool) {
	sum := 0.0
	for cls := range bounds {
		sum += shares[cls]
		diff := sum - bounds[cls]
		if math.Abs(diff) <= divisionTolerance {
			continue
		}
		bounds[cls] += min(max(diff, -limit), limit)
		moved = true
	}
	return moved
}
