package sched

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// firstPause is how long an upstream gets no request after its first failure in a row.
	firstPause = 250 * time.Millisecond
	// longestPause bounds the doubling of the pause.
	longestPause = 4 * time.Second
)

// upstream is the state of one upstream; the pool's lock guards it, but for pace.
type upstream struct {
	spec     router.Upstream
	remote   bool
	leaving  bool
	held     router.TierCounts
	running  map[*grant]struct{}
	suspects int
	long     int
	failures int
	// closedUntil ends the pause after a failure.
	closedUntil time.Time
	pace        pace
}

// UpstreamStatus describes an upstream as this node sees it.
type UpstreamStatus struct {
	Pool     string
	Upstream string
	Leaving  bool
	Paused   bool
	InFlight int
	Limit    int
	Waiting  int
	Slowdown float64
}

func newUpstream() *upstream {
	return &upstream{running: make(map[*grant]struct{})}
}

// open reports whether the upstream takes new requests.
func (ups *upstream) open(now time.Time) bool {
	return !ups.leaving && !now.Before(ups.closedUntil)
}

func (ups *upstream) total() int {
	return len(ups.running)
}

func (ups *upstream) add(grt *grant) {
	ups.running[grt] = struct{}{}
	ups.held[grt.ask.Class.Tier]++
	if grt.ask.Suspect {
		ups.suspects++
	}
}

func (ups *upstream) remove(grt *grant) {
	delete(ups.running, grt)
	ups.held[grt.ask.Class.Tier]--
	if grt.ask.Suspect {
		ups.suspects--
	}
	if grt.long {
		ups.long--
	}
	if grt.streaming {
		ups.pace.leave()
	}
}

// observe counts failures in a row and lengthens the pause with each; a slow upstream gets the first pause.
func (ups *upstream) observe(res router.Result, now time.Time) {
	if res.Slow {
		ups.closedUntil = now.Add(firstPause)
		return
	}
	if !res.Failed {
		ups.failures = 0
		ups.closedUntil = time.Time{}
		return
	}
	if now.Before(ups.closedUntil) {
		return
	}
	pse := firstPause << min(ups.failures, 10)
	ups.failures++
	ups.closedUntil = now.Add(min(pse, longestPause))
}

func (pol *pool) status() (sts []UpstreamStatus) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	now := pol.now()
	for _, ups := range pol.upstreams {
		sts = append(sts, UpstreamStatus{
			Pool:     pol.name,
			Upstream: ups.spec.Name,
			Leaving:  ups.leaving,
			Paused:   now.Before(ups.closedUntil),
			InFlight: ups.total(),
			Limit:    pol.limit(ups),
			Waiting:  pol.queue.Len(),
			Slowdown: ups.pace.slowdown(now, pol.medianGap(now)),
		})
	}
	return sts
}
