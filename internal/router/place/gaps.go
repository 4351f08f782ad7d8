package place

import (
	"math"
	"time"
)

const (
	// fullPrefillTokens is the number of pending tokens from which an engine prefills in every step. A step generates one
	// event of each stream, and engines prefill about 2,000 tokens in it.
	fullPrefillTokens = 6000
	// defaultPrefillGap is the assumed gap between two events of a stream while its engine prefills a prompt, before the
	// first observation. Calls are classified by it as well.
	defaultPrefillGap = 140 * time.Millisecond
	// observedHalfLife is the half-life of past slowdown while new events arrive; two or three events of a stream.
	observedHalfLife = 60 * time.Millisecond
	// unobservedHalfLife is the half-life of a slowdown without new events; slow periods last about 600 ms.
	unobservedHalfLife = 300 * time.Millisecond
	// maxLocalAge is the age up to which an event shows the present slowdown; a few events of a stream.
	maxLocalAge = 150 * time.Millisecond
	// maxSlowdown clamps the slowdown that a single gap shows.
	maxSlowdown = 4.0
	// riseWeight and fallWeight are the weights in the baseline of a gap above and below it. The latter is larger to
	// correct a baseline that was first observed in a slow period.
	riseWeight = 0.03
	fallWeight = 0.1
	// maxBaselineRatio clamps a gap, relative to the baseline, before it enters the baseline, so that slow periods hardly
	// change it.
	maxBaselineRatio = 1.3
	// minBaselineRatio is the gap, relative to the baseline, below which the network delivered events together.
	minBaselineRatio = 0.3
)

// gapTracker estimates the slowdown of an engine, which is the ratio of the present gaps between events of its streams to
// the usual gaps (the baseline).
type gapTracker struct {
	// idleGap and prefillGap are the baselines while no prefill is pending and while the engine prefills in every step;
	// zero before the first observation.
	idleGap, prefillGap time.Duration
	// slowdown is the moving average as of updated.
	slowdown float64
	updated  time.Time
	// fromPeer is set if a peer reported the slowdown.
	fromPeer bool
}

// observe adds a gap between two events of a stream; pending is the number of tokens to prefill meanwhile.
func (gap *gapTracker) observe(dur time.Duration, pending int, now time.Time) {
	if dur <= 0 {
		return
	}
	if gap.idleGap == 0 {
		gap.idleGap, gap.prefillGap, gap.slowdown, gap.updated = dur, max(defaultPrefillGap, dur), 1, now
		return
	}
	share := min(1, float64(pending)/fullPrefillTokens)
	baseline := float64(gap.idleGap) + share*float64(gap.prefillGap-gap.idleGap)
	ratio := float64(dur) / baseline
	// All streams of an engine have their events at the same time; only the first of these carries new information.
	keep := math.Exp2(-min(now.Sub(gap.updated), dur).Seconds() / observedHalfLife.Seconds())
	gap.slowdown = keep*gap.slowdownAt(now) + (1-keep)*min(ratio, maxSlowdown)
	gap.updated, gap.fromPeer = now, false
	if ratio < minBaselineRatio {
		return
	}
	weight := riseWeight
	if ratio < 1 {
		weight = fallWeight
	}
	change := weight * (min(ratio, maxBaselineRatio) - 1)
	switch {
	case pending == 0:
		gap.idleGap += time.Duration(change * float64(gap.idleGap))
	case share == 1:
		gap.prefillGap += time.Duration(change * float64(gap.prefillGap))
	}
}

// local returns the slowdown that this node's own streams show; zero if none had an event within maxLocalAge.
func (gap *gapTracker) local(now time.Time) (slowdown float64) {
	if gap.fromPeer || now.Sub(gap.updated) > maxLocalAge {
		return 0
	}
	return gap.slowdown
}

// setPeer sets the slowdown that a peer reported, unless own streams show one.
func (gap *gapTracker) setPeer(slowdown float64, now time.Time) {
	if gap.local(now) == 0 {
		gap.slowdown, gap.updated, gap.fromPeer = min(slowdown, maxSlowdown), now, true
	}
}

// slowdownAt returns the expected slowdown, which decays towards 1 after the last update.
func (gap *gapTracker) slowdownAt(now time.Time) float64 {
	if gap.updated.IsZero() {
		return 1
	}
	return 1 + (gap.slowdown-1)*math.Exp2(-now.Sub(gap.updated).Seconds()/unobservedHalfLife.Seconds())
}
