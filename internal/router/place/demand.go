package place

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of the moving averages of the demand for a class of calls. It is longer than a burst,
	// because prefixes that are cached at engines which change their class are recomputed elsewhere.
	demandHalfLife = 10 * time.Second
	// minDemandAge is the shortest time over which demand is averaged.
	minDemandAge = 300 * time.Millisecond
)

// Demand is the demand of one class of calls for the engines of a service.
type Demand struct {
	// Calls is the number of calls per second.
	Calls float64
	// PrefillTokens is the number of prompt tokens per second that engines prefill.
	PrefillTokens float64
	// Running is the number of calls in flight.
	Running float64
}

func (dem *Demand) add(oth Demand) {
	dem.Calls += oth.Calls
	dem.PrefillTokens += oth.PrefillTokens
	dem.Running += oth.Running
}

// demandMeter measures the demand of one class of calls that arrive at this node.
type demandMeter struct {
	// average holds the moving averages as of updated.
	average Demand
	updated time.Time
	// since is when the measurement began; before that, nothing is known.
	since time.Time
	// running is the present number of calls in flight.
	running int
}

// advance applies the decay since the last update.
func (met *demandMeter) advance(now time.Time) {
	if met.updated.IsZero() {
		met.updated, met.since = now, now
	}
	keep := math.Exp2(-now.Sub(met.updated).Seconds() / demandHalfLife.Seconds())
	met.updated = now
	met.average.Calls *= keep
	met.average.PrefillTokens *= keep
	met.average.Running = keep*met.average.Running + (1-keep)*float64(met.running)
}

// begin adds a call that makes an engine prefill a number of tokens.
func (met *demandMeter) begin(prefillTokens int, now time.Time) {
	met.advance(now)
	perSecond := math.Ln2 / demandHalfLife.Seconds()
	met.average.Calls += perSecond
	met.average.PrefillTokens += perSecond * float64(prefillTokens)
	met.running++
}

// end removes a call in flight.
func (met *demandMeter) end(now time.Time) {
	met.advance(now)
	met.running--
}

// current returns the demand as of now.
func (met *demandMeter) current(now time.Time) Demand {
	met.advance(now)
	// The averages start at zero; the weight of the time since then corrects them.
	weight := 1 - math.Exp2(-max(now.Sub(met.since), minDemandAge).Seconds()/demandHalfLife.Seconds())
	return Demand{Calls: met.average.Calls / weight, PrefillTokens: met.average.PrefillTokens / weight, Running: met.average.Running / weight}
}
