package sched

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// initialPause is the pause of an upstream after the first of consecutive failures; each further one doubles it.
	initialPause = 250 * time.Millisecond
	// maxPause is the upper bound of the pause.
	maxPause = 4 * time.Second
)

// upstream is the scheduling state of one upstream. The pool's lock guards all fields but gaps.
type upstream struct {
	spec     router.Upstream
	remote   bool
	draining bool
	// held counts the running grants by tier.
	held    router.TierCounts
	running map[*grant]struct{}
	// suspects is the number of running grants with SlotRequest.CrashSuspect set.
	suspects int
	// longGrants is the number of running grants that are marked long.
	longGrants          int
	consecutiveFailures int
	// pausedUntil is the end of the pause after a failure or a slow request.
	pausedUntil time.Time
	gaps        gapTracker
}

// UpstreamStatus is the state of an upstream as observed by this node.
type UpstreamStatus struct {
	Pool     string
	Upstream string
	// Leaving is set while the upstream is draining.
	Leaving  bool
	Paused   bool
	InFlight int
	// Limit is the number of slots that this node may use.
	Limit int
	// Waiting is the number of requests that wait in the pool, for any of its upstreams.
	Waiting  int
	Slowdown float64
}

func newUpstream() *upstream {
	return &upstream{running: make(map[*grant]struct{})}
}

// available reports whether the upstream is neither draining nor paused.
func (ups *upstream) available(now time.Time) bool {
	return !ups.draining && !now.Before(ups.pausedUntil)
}

func (ups *upstream) inFlight() int {
	return len(ups.running)
}

func (ups *upstream) addGrant(grt *grant) {
	ups.running[grt] = struct{}{}
	ups.held[grt.request.Class.Tier]++
	if grt.request.CrashSuspect {
		ups.suspects++
	}
}

func (ups *upstream) removeGrant(grt *grant) {
	delete(ups.running, grt)
	ups.held[grt.request.Class.Tier]--
	if grt.request.CrashSuspect {
		ups.suspects--
	}
	if grt.long {
		ups.longGrants--
	}
	if grt.streaming {
		ups.gaps.streamEnded()
	}
}

// recordResult updates the pause after a request: each consecutive failure doubles it up to maxPause, a slow request
// sets it to initialPause and a success ends it. Failures during a pause are not counted, because they are of requests
// that were already running.
func (ups *upstream) recordResult(res router.Result, now time.Time) {
	if res.Slow {
		ups.pausedUntil = now.Add(initialPause)
		return
	}
	if !res.Failed {
		ups.consecutiveFailures = 0
		ups.pausedUntil = time.Time{}
		return
	}
	if now.Before(ups.pausedUntil) {
		return
	}
	pse := initialPause << min(ups.consecutiveFailures, 10)
	ups.consecutiveFailures++
	ups.pausedUntil = now.Add(min(pse, maxPause))
}

// status returns the state of every upstream of the pool.
func (pol *pool) status() (sts []UpstreamStatus) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	now := pol.now()
	for _, ups := range pol.upstreams {
		sts = append(sts, UpstreamStatus{
			Pool:     pol.name,
			Upstream: ups.spec.Name,
			Leaving:  ups.draining,
			Paused:   now.Before(ups.pausedUntil),
			InFlight: ups.inFlight(),
			Limit:    pol.limit(ups),
			Waiting:  pol.queue.Len(),
			Slowdown: ups.gaps.slowdown(now, pol.medianGap(now)),
		})
	}
	return sts
}
