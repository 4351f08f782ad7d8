package sched

import (
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// pool is the scheduling state of one pool. Its lock guards all fields but name and scheduler.
type pool struct {
	name      string
	scheduler *Scheduler
	mut       sync.Mutex
	queue     router.Queue
	upstreams []*upstream
	// waiting counts the queued requests by tier.
	waiting router.TierCounts
	// recalls is the number of recalled grants that are not yet released, over all tiers.
	recalls int
	// median is the cached result of medianGap, computed at medianAt.
	median   time.Duration
	medianAt time.Time
}

func newPool(name string, sch *Scheduler) *pool {
	return &pool{name: name, scheduler: sch, queue: newQueue(sch.options.Live.Get().Policy)}
}

func (pol *pool) now() time.Time {
	return pol.scheduler.options.Timers.Now()
}

// enqueue queues a request and dispatches what can run. If the queue is full, an entry is shed, possibly this one.
// It returns a *router.Refusal when no upstream of the pool could ever run the request.
func (pol *pool) enqueue(ent *router.QueueEntry) (err error) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if !pol.hasUpstream(ent.Request) {
		return router.Refuse(http.StatusServiceUnavailable, router.CodeNoUpstream,
			"pool %s has no upstream left to try", pol.name)
	}
	pol.waiting[ent.Request.Class.Tier]++
	if shd := pol.queue.Push(ent); shd != nil {
		pol.waiting[shd.Request.Class.Tier]--
		close(shd.Dropped)
	}
	pol.dispatchLocked()
	return nil
}

// cancel removes the entry of a request whose context ended, or releases its grant if one was made concurrently.
func (pol *pool) cancel(ent *router.QueueEntry) {
	pol.mut.Lock()
	fnd := pol.queue.Remove(ent)
	if fnd {
		pol.waiting[ent.Request.Class.Tier]--
	}
	pol.mut.Unlock()
	if fnd {
		return
	}
	select {
	case grt := <-ent.Ready:
		grt.Release(router.Result{})
	default:
	}
}

// dispatch takes the lock and calls dispatchLocked.
func (pol *pool) dispatch() {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	pol.dispatchLocked()
}

// dispatchLocked grants free slots to waiting requests and recalls lower tiers if some still wait.
// The caller must hold the pool's lock.
func (pol *pool) dispatchLocked() {
	if pol.queue.Len() == 0 {
		return
	}
	now := pol.now()
	pol.queue.Resize(pol.totalSlots(), now)
	for pol.queue.Len() > 0 {
		var ups *upstream
		ent := pol.queue.Pop(now, func(ent *router.QueueEntry) bool {
			ups = pol.pickUpstream(ent.Request, now)
			return ups != nil
		})
		if ent == nil {
			break
		}
		pol.waiting[ent.Request.Class.Tier]--
		ent.Ready <- pol.startGrant(ent, ups, now)
	}
	if pol.queue.Len() > 0 {
		pol.recallLowerTiers(now)
		pol.scheduler.options.SlotLimiter.ReportShortage()
	}
}

// pickUpstream returns the upstream on which a request should run, or nil when none can run it now.
// Requests that are crash suspects never share an upstream.
func (pol *pool) pickUpstream(req router.SlotRequest, now time.Time) *upstream {
	med := pol.medianGap(now)
	can := make([]router.Candidate, 0, len(pol.upstreams))
	ups := make([]*upstream, 0, len(pol.upstreams))
	for _, one := range pol.upstreams {
		lim := pol.limit(one)
		if !one.available(now) || one.inFlight() >= lim || req.Avoid[one.spec.Name] || req.CrashSuspect && one.suspects > 0 {
			continue
		}
		ups = append(ups, one)
		can = append(can, router.Candidate{
			Upstream: one.spec,
			InFlight: one.inFlight(),
			Slowdown: one.gaps.slowdown(now, med),
			Remote:   one.remote,
		})
	}
	if len(can) == 0 {
		return nil
	}
	return ups[pol.scheduler.picker.Pick(req, can)]
}

// startGrant takes a slot of an upstream for an entry that was popped from the queue.
func (pol *pool) startGrant(ent *router.QueueEntry, ups *upstream, now time.Time) *grant {
	grt := &grant{pool: pol, upstream: ups, request: ent.Request, guaranteed: ent.Guaranteed, startedAt: now}
	ups.addGrant(grt)
	pol.queue.AdjustHeld(ent.Request.Class, 1, now)
	return grt
}

// release frees the slot of a grant, records the result and dispatches waiting requests.
func (pol *pool) release(grt *grant, res router.Result) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	now := pol.now()
	grt.upstream.removeGrant(grt)
	grt.upstream.recordResult(res, now)
	pol.queue.AdjustHeld(grt.request.Class, -1, now)
	if grt.recalled {
		pol.recalls--
	}
	pol.dispatchLocked()
}

// limit returns the number of slots of an upstream that this node may use now.
func (pol *pool) limit(ups *upstream) int {
	return pol.scheduler.options.SlotLimiter.Limit(ups.spec)
}

// totalSlots returns the sum of the limits of all upstreams that are not draining.
func (pol *pool) totalSlots() (sum int) {
	for _, ups := range pol.upstreams {
		if !ups.draining {
			sum += pol.limit(ups)
		}
	}
	return sum
}

// hasUpstream reports whether the pool has an upstream that may run the request once it has a free slot.
func (pol *pool) hasUpstream(req router.SlotRequest) bool {
	for _, ups := range pol.upstreams {
		if !ups.draining && !req.Avoid[ups.spec.Name] {
			return true
		}
	}
	return false
}

// setDraining stops or resumes dispatch to an upstream; running requests continue.
func (pol *pool) setDraining(name string, draining bool) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	for _, ups := range pol.upstreams {
		if ups.spec.Name == name {
			ups.draining = draining
		}
	}
	pol.dispatchLocked()
}

// configure replaces the upstreams; an upstream that keeps its name and address keeps its state.
func (pol *pool) configure(spc router.Pool, cls []router.Class) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	old := make(map[string]*upstream)
	for _, ups := range pol.upstreams {
		old[ups.spec.Name] = ups
	}
	pol.upstreams = nil
	for _, one := range spc.Upstreams {
		ups := old[one.Name]
		if ups == nil || ups.spec.Address != one.Address {
			ups = newUpstream()
		}
		ups.spec = one
		ups.remote = pol.scheduler.options.Remote(one.FailureDomain)
		pol.upstreams = append(pol.upstreams, ups)
	}
	pol.updateClasses(cls)
	pol.dispatchLocked()
}

// updateClasses queues all waiting requests again with the new definitions of their classes.
func (pol *pool) updateClasses(cls []router.Class) {
	var ets []*router.QueueEntry
	all := func(*router.QueueEntry) bool { return true }
	for ent := pol.queue.Pop(pol.now(), all); ent != nil; ent = pol.queue.Pop(pol.now(), all) {
		ets = append(ets, ent)
	}
	pol.waiting = router.TierCounts{}
	for _, ent := range ets {
		ent.Guaranteed = false
		for _, one := range cls {
			if one.Name == ent.Request.Class.Name {
				ent.Request.Class = one
			}
		}
		pol.waiting[ent.Request.Class.Tier]++
		pol.queue.Push(ent)
	}
}

// demand returns the running and waiting requests of the pool.
func (pol *pool) demand() router.Demand {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	hld := make(map[string]router.TierCounts, len(pol.upstreams))
	for _, ups := range pol.upstreams {
		hld[ups.spec.Name] = ups.held
	}
	return router.Demand{Pool: pol.name, Held: hld, Waiting: pol.waiting}
}
