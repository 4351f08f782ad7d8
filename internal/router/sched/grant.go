package sched

import (
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// grant is a slot of an upstream held by a request; it implements router.Grant.
type grant struct {
	pool      *pool
	upstream  *upstream
	request   router.SlotRequest
	startedAt time.Time
	// guaranteed is set when the class was below its minimum share; the grant is then never recalled.
	guaranteed bool
	// recalled and long are guarded by the pool's lock; tokens and streaming are used only by the holder.
	recalled bool
	// long is set once the request has generated Policy.LongTokens tokens.
	long      bool
	tokens    int
	streaming bool
	once      sync.Once
}

// Upstream returns the upstream to which the request is sent.
func (grt *grant) Upstream() router.Upstream {
	return grt.upstream.spec
}

// Progress records a generated token and the time since the previous one, which is 0 for the first token.
// It must not be called concurrently.
func (grt *grant) Progress(gap time.Duration) {
	now := grt.pool.now()
	if !grt.streaming {
		grt.streaming = true
		grt.upstream.gaps.streamStarted(now)
	}
	if gap > 0 {
		grt.upstream.gaps.observe(gap, now)
	}
	grt.tokens++
	if grt.tokens == grt.pool.scheduler.options.Live.Get().Policy.LongTokens {
		grt.pool.markLong(grt)
	}
}

// Release frees the slot and records the result for the upstream; further calls do nothing.
func (grt *grant) Release(res router.Result) {
	grt.once.Do(func() { grt.pool.release(grt, res) })
}
