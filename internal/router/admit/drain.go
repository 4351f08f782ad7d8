package admit

import (
	"slices"
	"time"
)

const (
	// drainWindow is the time over which ended calls are counted.
	drainWindow = 2 * time.Second
	// minDrainCalls is the number of ended calls in drainWindow from which their count is a rate.
	minDrainCalls = 8
	// durationWeight is the weight of the newest call in the mean duration of calls.
	durationWeight = 0.1
	// assumedDuration is the duration of calls before the first one has ended.
	assumedDuration = 5 * time.Second
	// maxEnds bounds the ended calls that are kept, and maxRatios the times of outputs.
	maxEnds   = 1024
	maxRatios = 128
	// minRatios is the number of outputs from which their times are used.
	minRatios = 16
	// lowQuantile is the quantile of the output time by which a call is refused: four of five outputs take longer.
	lowQuantile = 0.2
	// gapWeight is the weight of the newest estimate in the mean time between events.
	gapWeight = 0.1
)

// drain measures how fast calls of this node end.
type drain struct {
	// ends holds the times of the calls that ended within drainWindow.
	ends []time.Time
	// duration is the moving average of the duration of calls; zero before the first one.
	duration time.Duration
}

// add records a call that ended after a time.
func (drn *drain) add(took time.Duration, now time.Time) {
	drn.prune(now)
	if len(drn.ends) == maxEnds {
		drn.ends = drn.ends[1:]
	}
	drn.ends = append(drn.ends, now)
	if drn.duration == 0 {
		drn.duration = took
	}
	drn.duration += time.Duration(durationWeight * float64(took-drn.duration))
}

func (drn *drain) prune(now time.Time) {
	old := 0
	for old < len(drn.ends) && now.Sub(drn.ends[old]) > drainWindow {
		old++
	}
	drn.ends = drn.ends[old:]
}

// rates returns the calls per second that end at this node and in the fleet, given the calls in flight. known is unset if it is
// only assumed.
func (drn *drain) rates(local, fleet int, now time.Time) (own, all float64, known bool) {
	took := drn.duration
	if known = took > 0; !known {
		took = assumedDuration
	}
	took = max(took, time.Millisecond)
	own, all = float64(local)/took.Seconds(), float64(fleet)/took.Seconds()
	drn.prune(now)
	if len(drn.ends) < minDrainCalls {
		return own, all, known
	}
	// Of two estimates, the higher one refuses fewer calls.
	counted := float64(len(drn.ends)) / drainWindow.Seconds()
	own = max(own, counted)
	return own, max(all, counted*float64(fleet)/float64(max(local, 1, min(fleet, len(drn.ends))))), known
}

// outputs learns the time of outputs, relative to the hinted tokens times the time between events that was expected at the start. That
// includes the number of tokens in an event, events that are read together, and changes of the load.
type outputs struct {
	// ratios holds the relative times of the streams that ended last, in a ring that continues at next; sorted is a copy.
	ratios []float64
	next   int
	sorted []float64
	// gap is the moving average of the time between events at the engines that were chosen.
	gap time.Duration
}

// add records a complete stream whose output took a time.
func (out *outputs) add(took time.Duration, hint int, gap time.Duration) {
	if took <= 0 || hint <= 0 || gap <= 0 {
		return
	}
	val := float64(took) / (float64(hint) * float64(gap))
	if len(out.ratios) < maxRatios {
		out.ratios = append(out.ratios, val)
	} else {
		out.ratios[out.next%maxRatios] = val
	}
	out.next++
	out.sorted = nil
}

// observeGap records the time between events at an engine.
func (out *outputs) observeGap(gap time.Duration) {
	if out.gap == 0 {
		out.gap = gap
	}
	out.gap += time.Duration(gapWeight * float64(gap-out.gap))
}

// duration returns how long an output takes at least, with the probability of lowQuantile that it is shorter; zero if unknown.
func (out *outputs) duration(hint int, gap time.Duration) time.Duration {
	if len(out.ratios) < minRatios {
		return 0
	}
	if out.sorted == nil {
		out.sorted = slices.Sorted(slices.Values(out.ratios))
	}
	return time.Duration(out.sorted[int(lowQuantile*float64(len(out.sorted)))] * float64(hint) * float64(gap))
}
