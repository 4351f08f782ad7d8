package sched

import (
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// grant is a slot that a request holds.
type grant struct {
	pool     *pool
	upstream *upstream
	ask      router.Ask
	since    time.Time
	// guaranteed grants came by the class's minimum share and are not recalled.
	guaranteed bool
	// The pool's lock guards recalled and long; tokens and streaming belong to the holder.
	recalled  bool
	long      bool
	tokens    int
	streaming bool
	once      sync.Once
}

// Upstream returns the upstream to send to.
func (grt *grant) Upstream() router.Upstream {
	return grt.upstream.spec
}

// Progress reports one more token and the gap before it; the first token's gap is 0.
func (grt *grant) Progress(gap time.Duration) {
	now := grt.pool.now()
	if !grt.streaming {
		grt.streaming = true
		grt.upstream.pace.join(now)
	}
	if gap > 0 {
		grt.upstream.pace.token(gap, now)
	}
	grt.tokens++
	if grt.tokens == grt.pool.scheduler.options.Live.Get().Policy.LongTokens {
		grt.pool.markLong(grt)
	}
}

// Release returns the slot; further calls do nothing.
func (grt *grant) Release(res router.Result) {
	grt.once.Do(func() { grt.pool.finish(grt, res) })
}
