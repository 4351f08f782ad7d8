package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run showed.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	Classes  []ClassResult
	// Goodput is the slot time whose tokens reached callers in the second half, as a share of the engines' slot time.
	Goodput float64
	// Wasted is the share of made tokens that no caller got.
	Wasted float64
	// Cancelled counts the streams that engines were told to stop, by recalls and hedges.
	Cancelled int
	// Wrong counts answers that ended as whole and were not the ones their prompts must produce.
	Wrong int
	// LongestStarvation is the longest time in seconds in which some class with callers waiting had no token.
	LongestStarvation float64
}

// ClassResult is what the callers of one class saw; times are in milliseconds.
type ClassResult struct {
	Class      string
	Sent       int
	Met        float64
	Refused    int
	Unknown    int
	FirstP50   float64
	FirstP99   float64
	GapP99     float64
	FirstWorst float64
}

const (
	maxRecorded = int64(time.Minute)
	digits      = 3
)

func (drv *driver) result(made, cancelled float64) (rsl Result) {
	rsl = Result{Scenario: drv.scenario.Name, Seed: drv.seed, Cancelled: int(cancelled)}
	got := 0
	for _, smp := range drv.samples {
		got += smp.Tokens
	}
	opt := drv.fleet.Options
	use := time.Duration(drv.caller.tokens.Load())*opt.TokenGap + time.Duration(drv.caller.starts.Load())*(opt.Prefill-opt.TokenGap)
	rsl.Goodput = use.Seconds() / drv.capacity / (drv.scenario.Length / 2).Seconds()
	if made > 0 {
		rsl.Wasted = max(0, 1-float64(got)/made)
	}
	for _, knd := range drv.kinds {
		rsl.Classes = append(rsl.Classes, drv.classResult(knd))
		rsl.LongestStarvation = max(rsl.LongestStarvation, drv.starvation(knd).Seconds())
	}
	for _, smp := range drv.samples {
		if smp.Ended && !smp.Whole {
			rsl.Wrong++
		}
	}
	return rsl
}

func (drv *driver) classResult(knd Kind) (res ClassResult) {
	res.Class = knd.Class.Name
	fst := hdrhistogram.New(1, maxRecorded, digits)
	gap := hdrhistogram.New(1, maxRecorded, digits)
	met := 0
	for _, smp := range drv.samples {
		if smp.Class != knd.Class.Name {
			continue
		}
		res.Sent++
		if smp.Met(knd.Class) {
			met++
		}
		switch {
		case smp.Outcome == "NotRun":
			res.Refused++
		case smp.Outcome != "Ran":
			res.Unknown++
		}
		if smp.Tokens > 0 {
			// Values within the bounds are always recorded.
			_ = fst.RecordValue(min(int64(smp.FirstToken), maxRecorded))
			_ = gap.RecordValue(min(int64(smp.LongestGap), maxRecorded))
		}
	}
	if res.Sent > 0 {
		res.Met = float64(met) / float64(res.Sent)
	}
	res.FirstP50, res.FirstP99 = millis(fst.ValueAtQuantile(50)), millis(fst.ValueAtQuantile(99))
	res.GapP99, res.FirstWorst = millis(gap.ValueAtQuantile(99)), millis(fst.Max())
	return res
}

// starvation returns the longest time in which a class had requests under way and none got its first token or ended.
func (drv *driver) starvation(knd Kind) (worst time.Duration) {
	var mrk []time.Duration
	for _, smp := range drv.samples {
		if smp.Class == knd.Class.Name && smp.Tokens > 0 {
			mrk = append(mrk, smp.Start+smp.FirstToken, smp.Done)
		}
	}
	sort.Slice(mrk, func(one, two int) bool { return mrk[one] < mrk[two] })
	last := time.Duration(0)
	for _, at := range mrk {
		if at > drv.scenario.Length {
			break
		}
		worst = max(worst, at-last)
		last = at
	}
	return worst
}

func millis(ns int64) float64 {
	return float64(ns) / float64(time.Millisecond)
}
