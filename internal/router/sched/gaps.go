package sched

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// gapWeight is the smoothing factor of the moving average of token gaps.
	gapWeight = 0.05
	// slowdownDecay is the time constant with which the slowdown of an upstream without streams returns to 1.
	slowdownDecay = 2 * time.Second
	// stallFactor is the time without a token, in median gaps, after which an upstream counts as stalled.
	stallFactor = 4
	// minStall is the lower bound of that time, so that scheduling jitter does not count as a stall.
	minStall = 40 * time.Millisecond
	// medianPeriod is how long the median gap of a pool is cached.
	medianPeriod = 50 * time.Millisecond
)

// gapTracker keeps an exponential moving average of the gaps between the tokens of an upstream's streams.
// It has its own lock, so that streams need not take the pool's lock for each token.
type gapTracker struct {
	mut  sync.Mutex
	mean time.Duration
	// lastToken is the time of the latest token of any stream.
	lastToken time.Time
	// streams is the number of running streams that have had their first token.
	streams int
}

// streamStarted records the first token of a stream.
func (trk *gapTracker) streamStarted(now time.Time) {
	trk.mut.Lock()
	defer trk.mut.Unlock()
	trk.streams++
	trk.lastToken = now
}

func (trk *gapTracker) streamEnded() {
	trk.mut.Lock()
	defer trk.mut.Unlock()
	trk.streams--
}

// observe records a token and the gap since the previous token of its stream.
func (trk *gapTracker) observe(gap time.Duration, now time.Time) {
	trk.mut.Lock()
	defer trk.mut.Unlock()
	trk.lastToken = now
	if trk.mean == 0 {
		trk.mean = gap
		return
	}
	trk.mean += time.Duration(gapWeight * float64(gap-trk.mean))
}

// slowdown returns the mean gap as a multiple of the pool's median gap, or 1 when either is unknown.
// During a stall the time since the latest token is used instead if it is longer; without streams the result decays
// to 1.
func (trk *gapTracker) slowdown(now time.Time, median time.Duration) float64 {
	trk.mut.Lock()
	defer trk.mut.Unlock()
	if trk.mean == 0 || median == 0 {
		return 1
	}
	slw := float64(trk.mean) / float64(median)
	idl := now.Sub(trk.lastToken)
	if trk.streams == 0 {
		return 1 + (slw-1)*math.Exp(-idl.Seconds()/slowdownDecay.Seconds())
	}
	if idl > max(stallFactor*median, minStall) {
		slw = max(slw, float64(idl)/float64(median))
	}
	return slw
}

func (trk *gapTracker) meanGap() time.Duration {
	trk.mut.Lock()
	defer trk.mut.Unlock()
	return trk.mean
}

// medianGap returns the median of the mean gaps of the pool's upstreams, or 0 when none is known.
func (pol *pool) medianGap(now time.Time) time.Duration {
	if now.Sub(pol.medianAt) < medianPeriod {
		return pol.median
	}
	gps := make([]time.Duration, 0, len(pol.upstreams))
	for _, ups := range pol.upstreams {
		if gap := ups.gaps.meanGap(); gap > 0 {
			gps = append(gps, gap)
		}
	}
	pol.medianAt = now
	pol.median = 0
	if len(gps) > 0 {
		slices.Sort(gps)
		pol.median = gps[len(gps)/2]
	}
	return pol.median
}
