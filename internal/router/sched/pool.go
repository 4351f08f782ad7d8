package sched

import (
	"net/http"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// pool is the state of one pool under one lock.
type pool struct {
	name      string
	scheduler *Scheduler
	mut       sync.Mutex
	queue     router.Queue
	upstreams []*upstream
	waiting   router.TierCounts
	// recalls counts the slots that were asked back and not yet returned, by the tier they are for.
	recalls int
	median  time.Duration
	// medianAt is when median was last computed.
	medianAt time.Time
}

func newPool(name string, sch *Scheduler) *pool {
	return &pool{name: name, scheduler: sch, queue: newQueue(sch.options.Live.Get().Policy)}
}

func (pol *pool) now() time.Time {
	return pol.scheduler.options.Timers.Now()
}

// enqueue adds an entry and serves what can be served.
func (pol *pool) enqueue(ent *router.Waiting) (err error) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	if !pol.reachable(ent.Ask) {
		return router.Refuse(http.StatusServiceUnavailable, router.CodeNoUpstream,
			"pool %s has no upstream left to try", pol.name)
	}
	pol.waiting[ent.Ask.Class.Tier]++
	if shd := pol.queue.Push(ent); shd != nil {
		pol.waiting[shd.Ask.Class.Tier]--
		close(shd.Dropped)
	}
	pol.serve()
	return nil
}

// abandon takes back an entry whose caller gave up, and the grant if it came at the same moment.
func (pol *pool) abandon(ent *router.Waiting) {
	pol.mut.Lock()
	fnd := pol.queue.Remove(ent)
	if fnd {
		pol.waiting[ent.Ask.Class.Tier]--
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

func (pol *pool) dispatch() {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	pol.serve()
}

// serve grants free slots to waiting requests, then asks for slots back if some still wait.
func (pol *pool) serve() {
	if pol.queue.Len() == 0 {
		return
	}
	now := pol.now()
	pol.queue.Resize(pol.slots(), now)
	for pol.queue.Len() > 0 {
		var ups *upstream
		ent := pol.queue.Pop(now, func(ent *router.Waiting) bool {
			ups = pol.choose(ent.Ask, now)
			return ups != nil
		})
		if ent == nil {
			break
		}
		pol.waiting[ent.Ask.Class.Tier]--
		ent.Ready <- pol.start(ent, ups, now)
	}
	if pol.queue.Len() > 0 {
		pol.recall(now)
		pol.scheduler.options.Limits.Short()
	}
}

// choose returns the upstream for a request, or nil when none has a free slot.
func (pol *pool) choose(ask router.Ask, now time.Time) *upstream {
	med := pol.medianGap(now)
	can := make([]router.Candidate, 0, len(pol.upstreams))
	ups := make([]*upstream, 0, len(pol.upstreams))
	for _, one := range pol.upstreams {
		lim := pol.limit(one)
		if !one.open(now) || one.total() >= lim || ask.Avoid[one.spec.Name] || ask.Suspect && one.suspects > 0 {
			continue
		}
		ups = append(ups, one)
		can = append(can, router.Candidate{
			Upstream: one.spec,
			InFlight: one.total(),
			Slowdown: one.pace.slowdown(now, med),
			Remote:   one.remote,
		})
	}
	if len(can) == 0 {
		return nil
	}
	return ups[pol.scheduler.picker.Pick(ask, can)]
}

func (pol *pool) start(ent *router.Waiting, ups *upstream, now time.Time) *grant {
	grt := &grant{pool: pol, upstream: ups, ask: ent.Ask, guaranteed: ent.Guaranteed, since: now}
	ups.add(grt)
	pol.queue.Hold(ent.Ask.Class, 1, now)
	return grt
}

// finish returns a grant's slot and serves the next request.
func (pol *pool) finish(grt *grant, res router.Result) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	now := pol.now()
	grt.upstream.remove(grt)
	grt.upstream.observe(res, now)
	pol.queue.Hold(grt.ask.Class, -1, now)
	if grt.recalled {
		pol.recalls--
	}
	pol.serve()
}

func (pol *pool) limit(ups *upstream) int {
	return pol.scheduler.options.Limits.Limit(ups.spec)
}

func (pol *pool) slots() (sum int) {
	for _, ups := range pol.upstreams {
		if !ups.leaving {
			sum += pol.limit(ups)
		}
	}
	return sum
}

// reachable reports whether some upstream could ever take the request.
func (pol *pool) reachable(ask router.Ask) bool {
	for _, ups := range pol.upstreams {
		if !ups.leaving && !ask.Avoid[ups.spec.Name] {
			return true
		}
	}
	return false
}

func (pol *pool) retire(name string, leaving bool) {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	for _, ups := range pol.upstreams {
		if ups.spec.Name == name {
			ups.leaving = leaving
		}
	}
	pol.serve()
}

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
	pol.reclass(cls)
	pol.serve()
}

// reclass gives waiting requests the new definition of their class.
func (pol *pool) reclass(cls []router.Class) {
	var ets []*router.Waiting
	all := func(*router.Waiting) bool { return true }
	for ent := pol.queue.Pop(pol.now(), all); ent != nil; ent = pol.queue.Pop(pol.now(), all) {
		ets = append(ets, ent)
	}
	pol.waiting = router.TierCounts{}
	for _, ent := range ets {
		ent.Guaranteed = false
		for _, one := range cls {
			if one.Name == ent.Ask.Class.Name {
				ent.Ask.Class = one
			}
		}
		pol.waiting[ent.Ask.Class.Tier]++
		pol.queue.Push(ent)
	}
}

func (pol *pool) demand() router.Demand {
	pol.mut.Lock()
	defer pol.mut.Unlock()
	hld := make(map[string]router.TierCounts, len(pol.upstreams))
	for _, ups := range pol.upstreams {
		hld[ups.spec.Name] = ups.held
	}
	return router.Demand{Pool: pol.name, Held: hld, Waiting: pol.waiting}
}
