package sched

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/pick"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/queue"
)

// dispatchPeriod is the interval of dispatches without an event; queue credit grows and pauses end with time alone.
const dispatchPeriod = 50 * time.Millisecond

// Options are the dependencies of a Scheduler.
type Options struct {
	Timers router.Timers
	Live   *conf.Live
	// SlotLimiter limits how many slots of each upstream this node uses.
	SlotLimiter router.SlotLimiter
	// Remote reports whether a failure domain is in another region.
	Remote func(domain string) bool
	// Seed is the seed of the random picker, if that is configured.
	Seed uint64
}

// Scheduler implements router.Scheduler for all pools of one node. It is safe for concurrent use.
type Scheduler struct {
	options Options
	picker  router.Picker
	mut     sync.RWMutex
	pools   map[string]*pool
	stop    func()
}

// New returns a Scheduler without pools. The caller must Close it to stop its timer.
func New(opt Options) *Scheduler {
	sch := &Scheduler{options: opt, picker: newPicker(opt), pools: make(map[string]*pool)}
	sch.stop = opt.Timers.Every(dispatchPeriod, sch.tick)
	return sch
}

// Close stops the periodic dispatch.
func (sch *Scheduler) Close() {
	sch.stop()
}

// Acquire queues a request and waits for its slot. It returns a *router.Refusal when the pool is not configured, no
// upstream may run the request or the queue sheds it, and ctx.Err() when the context ends first.
func (sch *Scheduler) Acquire(ctx context.Context, req router.SlotRequest) (grt router.Grant, err error) {
	pol := sch.pool(req.Pool)
	if pol == nil {
		return nil, router.Refuse(http.StatusNotFound, router.CodePool, "pool %s is not configured", req.Pool)
	}
	ent := &router.QueueEntry{Request: req, Ready: make(chan router.Grant, 1), Dropped: make(chan struct{})}
	if err := pol.enqueue(ent); err != nil {
		return nil, err
	}
	select {
	case grt := <-ent.Ready:
		return grt, nil
	case <-ent.Dropped:
		return nil, router.Refuse(http.StatusServiceUnavailable, router.CodeShed,
			"pool %s has no room in its queue for class %s", req.Pool, req.Class.Name)
	case <-ctx.Done():
		pol.cancel(ent)
		return nil, ctx.Err()
	}
}

// SetDraining stops new requests to an upstream when draining is set, and resumes them otherwise.
func (sch *Scheduler) SetDraining(name, upstream string, draining bool) {
	if pol := sch.pool(name); pol != nil {
		pol.setDraining(upstream, draining)
	}
}

// Configure replaces pools and classes. Running requests continue, also on upstreams that were removed; waiting
// requests get the new definition of their class.
func (sch *Scheduler) Configure(pls []router.Pool, cls []router.Class) {
	sch.mut.Lock()
	defer sch.mut.Unlock()
	nxt := make(map[string]*pool, len(pls))
	for _, spc := range pls {
		pol := sch.pools[spc.Name]
		if pol == nil {
			pol = newPool(spc.Name, sch)
		}
		pol.configure(spc, cls)
		nxt[spc.Name] = pol
	}
	for nam, pol := range sch.pools {
		if nxt[nam] == nil {
			pol.configure(router.Pool{Name: nam}, cls)
		}
	}
	sch.pools = nxt
}

// Dispatch grants free slots to the waiting requests of a pool after its limits changed.
func (sch *Scheduler) Dispatch(name string) {
	if pol := sch.pool(name); pol != nil {
		pol.dispatch()
	}
}

// Reclaim recalls requests of tiers below the given one until an upstream has no more than its limit in flight.
func (sch *Scheduler) Reclaim(name, upstream string, tier int) {
	if pol := sch.pool(name); pol != nil {
		pol.reclaimExcess(upstream, tier)
	}
}

// Demand returns the running and waiting requests of each pool on this node.
func (sch *Scheduler) Demand() (dms []router.Demand) {
	sch.mut.RLock()
	defer sch.mut.RUnlock()
	for _, pol := range sch.pools {
		dms = append(dms, pol.demand())
	}
	return dms
}

// Idle reports whether no request is waiting or running.
func (sch *Scheduler) Idle() bool {
	for _, dmd := range sch.Demand() {
		if dmd.Waiting.Total() > 0 {
			return false
		}
		for _, hld := range dmd.Held {
			if hld.Total() > 0 {
				return false
			}
		}
	}
	return true
}

// Status returns the state of every upstream, sorted by pool and name.
func (sch *Scheduler) Status() (sts []UpstreamStatus) {
	sch.mut.RLock()
	defer sch.mut.RUnlock()
	for _, pol := range sch.pools {
		sts = append(sts, pol.status()...)
	}
	sort.Slice(sts, func(one, two int) bool {
		if sts[one].Pool != sts[two].Pool {
			return sts[one].Pool < sts[two].Pool
		}
		return sts[one].Upstream < sts[two].Upstream
	})
	return sts
}

func (sch *Scheduler) pool(name string) *pool {
	sch.mut.RLock()
	defer sch.mut.RUnlock()
	return sch.pools[name]
}

func (sch *Scheduler) tick(time.Time) {
	sch.mut.RLock()
	defer sch.mut.RUnlock()
	for _, pol := range sch.pools {
		pol.dispatch()
	}
}

func newPicker(opt Options) router.Picker {
	switch opt.Live.Get().Policy.Pick {
	case conf.Random:
		return pick.NewRandom(opt.Seed)
	case conf.LeastInFlight:
		return pick.LeastInFlight{}
	default:
		return pick.Observed{}
	}
}

func newQueue(pcy conf.Policy) router.Queue {
	if pcy.Queue == conf.Fifo {
		return queue.NewFifo(pcy.QueueLength)
	}
	return queue.NewTiered(pcy.QueueLength)
}
