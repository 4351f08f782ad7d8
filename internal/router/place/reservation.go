package place

import (
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Estimate holds the estimates on which the choice of an upstream was based.
type Estimate struct {
	// AheadTokens is how many prompt tokens were to be prefilled before the call, and PrefillTokens how many of its own.
	AheadTokens, PrefillTokens int
	// Rank is the call's position in the order in which the engine prefills prompts; 0 is first.
	Rank int
	// Source is the address of an engine from which the KV cache of shared prefixes is copied; empty for none.
	Source string
	// Slowdown is how many times longer than usual the engine's gaps between events were; at least 1.
	Slowdown float64
	// Running is how many calls were in flight at the upstream.
	Running int
	// FirstEvent is the expected time to the first event, and EventGap the expected time between events after that; zero if unknown.
	FirstEvent, EventGap time.Duration
	// Late is set if the call was expected to miss its target.
	Late bool
	// SavedTokens is how many tokens of the prompt were not prefilled because they were cached or copied.
	SavedTokens int
	// Wait is the estimated time until the engine had memory and a slot for the call.
	Wait time.Duration
	// Passed is why an engine that holds more of the prompt's prefix was passed over.
	Passed Passed
}

// Crowded reports whether a call has to wait at an instance: all its slots are taken, or the call will miss its target.
func (est Estimate) Crowded(ins router.Instance) bool {
	return est.Late || ins.Slots > 0 && est.Running >= ins.Slots
}

// Reservation counts a call in the load of an upstream until Release is called. ObserveEvent must not be called
// concurrently.
type Reservation struct {
	Estimate

	// onStart is called when the call is sent; nil for plain calls.
	onStart func()
	// onCached is called at the first event, when the engine has prefilled the shared prefixes; nil for plain calls.
	onCached func()
	load     *load
	now      func() time.Time
	// service and class identify the demand that the call is part of; service is nil for plain calls, and before Start.
	service *service
	class   class
	// pending is how many tokens of the call the engine still has to prefill.
	pending int
	// firstEventWork is how many tokens the engine had to prefill until the call's first event, as of sentAt.
	firstEventWork int
	sentAt         time.Time
	// gapRisk is the call's part of the GapRisk in the load.
	gapRisk float64
	// cacheTokens is the call's part of the CacheTokens in the load.
	cacheTokens int
	// remote is set if the engine is in another region.
	remote bool
	// probe is set if the call probes an ejected upstream.
	probe bool
	// lastEvent is when the last event arrived, and lastPending the number of tokens pending at the engine then.
	lastEvent   time.Time
	lastPending int
	once        sync.Once
}

// Start records that the call is sent to the upstream.
func (rsv *Reservation) Start() {
	if rsv.onStart != nil {
		rsv.onStart()
	}
}

// PrefillDone reports the first event of the response, which shows that the prompt is prefilled, and updates the prefill
// rate of the engine; further calls do nothing.
func (rsv *Reservation) PrefillDone() {
	lod := rsv.load
	lod.mut.Lock()
	defer lod.mut.Unlock()
	if rsv.pending == 0 {
		return
	}
	lod.local.Pending[rsv.Rank] -= rsv.pending
	rsv.pending = 0
	lod.observeRate(rsv, rsv.now())
}

// ObserveEvent reports an event of the response; its gap to the event before updates the slowdown of the engine.
func (rsv *Reservation) ObserveEvent() {
	if rsv.lastEvent.IsZero() && rsv.onCached != nil {
		rsv.onCached()
	}
	rsv.PrefillDone()
	lod, now := rsv.load, rsv.now()
	lod.mut.Lock()
	defer lod.mut.Unlock()
	all := lod.local
	all.add(lod.peers, 1)
	pending := all.Pending.total()
	if !rsv.lastEvent.IsZero() {
		lod.gaps.observe(now.Sub(rsv.lastEvent), max(rsv.lastPending, pending), now)
		if rsv.service != nil && max(rsv.lastPending, pending) >= fullPrefillTokens {
			rsv.service.speed.observeGap(lod.gaps.prefillGap)
		}
	}
	rsv.lastEvent, rsv.lastPending = now, pending
}

// Release ends the reservation with the call's result; further calls do nothing.
func (rsv *Reservation) Release(res Result) {
	rsv.once.Do(func() {
		rsv.load.release(rsv, res)
		if rsv.service != nil {
			now := rsv.now()
			rsv.service.end(rsv.class, now)
			rsv.service.observeResidence(rsv.class, now.Sub(rsv.sentAt))
		}
	})
}

// Result is how a call at an upstream ended.
type Result int

// The values of Result.
const (
	// Served means that the upstream answered.
	Served Result = iota
	// Failed means that the upstream answered with an error or broke off the response.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Rejected means that the upstream rejected the call without running it.
	Rejected
	// Inconclusive means that the call ended for a reason unrelated to the upstream, such as cancellation.
	Inconclusive
)
