package sched

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// gapWeight is the weight of one token gap in the moving mean.
	gapWeight = 0.05
	// forget is the time constant by which an idle upstream's slowdown returns to 1.
	forget = 2 * time.Second
	// silenceFactor is how many median gaps of silence count as slow at once.
	silenceFactor = 4
	// shortestSilence is the least silence that counts, so that scheduling noise does not.
	shortestSilence = 40 * time.Millisecond
	// medianPeriod is how long a pool's median is used before it is computed again.
	medianPeriod = 50 * time.Millisecond
)

// pace is the moving mean of an upstream's token gaps, under a lock of its own.
type pace struct {
	mut  sync.Mutex
	mean time.Duration
	// last is when any stream of the upstream had a token.
	last time.Time
	// streams counts the streams that have had their first token.
	streams int
}

// join counts one more stream that has its first token.
func (pac *pace) join(now time.Time) {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	pac.streams++
	pac.last = now
}

func (pac *pace) leave() {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	pac.streams--
}

// token records a token that came gap after the one before it.
func (pac *pace) token(gap time.Duration, now time.Time) {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	pac.last = now
	if pac.mean == 0 {
		pac.mean = gap
		return
	}
	pac.mean += time.Duration(gapWeight * float64(gap-pac.mean))
}

// slowdown returns the token gap relative to the pool's median; 1 is usual.
func (pac *pace) slowdown(now time.Time, median time.Duration) float64 {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	if pac.mean == 0 || median == 0 {
		return 1
	}
	slw := float64(pac.mean) / float64(median)
	sil := now.Sub(pac.last)
	if pac.streams == 0 {
		return 1 + (slw-1)*math.Exp(-sil.Seconds()/forget.Seconds())
	}
	if sil > max(silenceFactor*median, shortestSilence) {
		slw = max(slw, float64(sil)/float64(median))
	}
	return slw
}

func (pac *pace) gap() time.Duration {
	pac.mut.Lock()
	defer pac.mut.Unlock()
	return pac.mean
}

// medianGap returns the median of the upstreams' mean gaps, or 0 when none is known.
func (pol *pool) medianGap(now time.Time) time.Duration {
	if now.Sub(pol.medianAt) < medianPeriod {
		return pol.median
	}
	gps := make([]time.Duration, 0, len(pol.upstreams))
	for _, ups := range pol.upstreams {
		if gap := ups.pace.gap(); gap > 0 {
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
