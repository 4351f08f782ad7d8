package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result summarizes one run of a scenario. It is encoded as JSON.
type Result struct {
	Scenario string
	// Policy is the name of the policy that the deployment ran. Run leaves it empty.
	Policy  string
	Seed    uint64
	Classes []ClassResult
	// Goodput is the slot time spent on tokens that callers received in the second half of the scenario, as a
	// share of the slot time that the engines have in it.
	Goodput float64
	// Wasted is the share of generated tokens that no caller received.
	Wasted float64
	// Cancelled is the number of streams that the router cancelled at the engines, by preemption or hedging.
	Cancelled int
	// Wrong is the number of answers that ended normally with a text other than the expected one.
	Wrong int
	// LongestStarvation is the longest time in seconds in which no request of a class received its first token
	// or ended, for the class with the longest. The time after the last such event of the scenario does not
	// count, nor does a class that received no token at all.
	LongestStarvation float64
}

// ClassResult summarizes the requests of one class in a run. It is encoded as JSON.
type ClassResult struct {
	Class string
	Sent  int
	// Met is the share of the requests that met their targets; see Sample.Met.
	Met float64
	// Refused counts the requests with the outcome NotRun, and Unknown those with neither Ran nor NotRun,
	// including those without an answer.
	Refused int
	Unknown int
	// FirstP50, FirstP99 and FirstWorst are the median, 99th percentile and maximum of the time to the first token.
	// GapP99 is the 99th percentile of each request's longest gap. All are in milliseconds and leave out requests
	// without any token.
	FirstP50   float64
	FirstP99   float64
	GapP99     float64
	FirstWorst float64
}

const (
	// maxRecorded is the maximum of the histograms in nanoseconds; longer times are recorded as the maximum.
	maxRecorded = int64(time.Minute)
	// histogramDigits is the precision of the histograms in significant decimal digits.
	histogramDigits = 3
)

// result summarizes the samples. generated and cancelled are what the engines counted during the run: generated
// tokens and cancelled streams.
func (drv *driver) result(generated, cancelled float64) (rsl Result) {
	rsl = Result{Scenario: drv.scenario.Name, Seed: drv.seed, Cancelled: int(cancelled)}
	received := 0
	for _, smp := range drv.samples {
		received += smp.Tokens
	}
	opt := drv.fleet.Options
	used := time.Duration(drv.caller.windowTokens.Load())*opt.TokenGap + time.Duration(drv.caller.windowStarts.Load())*(opt.Prefill-opt.TokenGap)
	rsl.Goodput = used.Seconds() / drv.capacity / (drv.scenario.Length / 2).Seconds()
	if generated > 0 {
		rsl.Wasted = max(0, 1-float64(received)/generated)
	}
	for _, wkl := range drv.workloads {
		rsl.Classes = append(rsl.Classes, drv.classResult(wkl))
		rsl.LongestStarvation = max(rsl.LongestStarvation, drv.starvation(wkl).Seconds())
	}
	for _, smp := range drv.samples {
		if smp.Ended && !smp.Correct {
			rsl.Wrong++
		}
	}
	return rsl
}

func (drv *driver) classResult(wkl Workload) (res ClassResult) {
	res.Class = wkl.Class.Name
	fst := hdrhistogram.New(1, maxRecorded, histogramDigits)
	gap := hdrhistogram.New(1, maxRecorded, histogramDigits)
	met := 0
	for _, smp := range drv.samples {
		if smp.Class != wkl.Class.Name {
			continue
		}
		res.Sent++
		if smp.Met(wkl.Class) {
			met++
		}
		switch {
		case smp.Outcome == "NotRun":
			res.Refused++
		case smp.Outcome != "Ran":
			res.Unknown++
		}
		if smp.Tokens > 0 {
			// RecordValue fails only for values above the histogram's maximum.
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

// starvation returns the longest time from the start, or from an event of a class, to the next event within the
// scenario. An event is that a request receives its first token or ends; requests without any token are left out.
func (drv *driver) starvation(wkl Workload) (worst time.Duration) {
	var pts []time.Duration
	for _, smp := range drv.samples {
		if smp.Class == wkl.Class.Name && smp.Tokens > 0 {
			pts = append(pts, smp.Start+smp.FirstToken, smp.End)
		}
	}
	sort.Slice(pts, func(one, two int) bool { return pts[one] < pts[two] })
	last := time.Duration(0)
	for _, at := range pts {
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
