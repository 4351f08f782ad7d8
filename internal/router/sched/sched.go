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

// tickPeriod is how often a pool is looked at without an event, for credits and pauses that ran out.
const tickPeriod = 50 * time.Millisecond

// Options are what a Scheduler is built from.
type Options struct {
	Timers router.Timers
	Live   *conf.Live
	Limits router.Limits
	// Remote reports whether a failure domain is in another region.
	Remote func(domain string) bool
	Seed   uint64
}

// Scheduler is a router.Scheduler for all pools of one node.
type Scheduler struct {
	options Options
	picker  router.Picker
	mut     sync.RWMutex
	pools   map[string]*pool
	stop    func()
}

// New returns a Scheduler without pools; Close ends its subscription to time.
func New(opt Options) *Scheduler {
	sch := &Scheduler{options: opt, picker: newPicker(opt), pools: make(map[string]*pool)}
	sch.stop = opt.Timers.Every(tickPeriod, sch.tick)
	return sch
}

// Close ends the subscription to time.
func (sch *Scheduler) Close() {
	sch.stop()
}

// Acquire waits for a slot, or returns a *router.Refusal or the context's error.
func (sch *Scheduler) Acquire(ctx context.Context, ask router.Ask) (grt router.Grant, err error) {
	pol := sch.pool(ask.Pool)
	if pol == nil {
		return nil, router.Refuse(http.StatusNotFound, router.CodePool, "pool %s is not configured", ask.Pool)
	}
	ent := &router.Waiting{Ask: ask, Ready: make(chan router.Grant, 1), Dropped: make(chan struct{})}
	if err := pol.enqueue(ent); err != nil {
		return nil, err
	}
	select {
	case grt := <-ent.Ready:
		return grt, nil
	case <-ent.Dropped:
		return nil, router.Refuse(http.StatusServiceUnavailable, router.CodeShed,
			"pool %s has no room in its queue for class %s", ask.Pool, ask.Class.Name)
	case <-ctx.Done():
		pol.abandon(ent)
		return nil, ctx.Err()
	}
}

// Retire stops or resumes new work to an upstream.
func (sch *Scheduler) Retire(name, upstream string, leaving bool) {
	if pol := sch.pool(name); pol != nil {
		pol.retire(upstream, leaving)
	}
}

// Configure replaces pools and classes; running requests go on and waiting ones take the new class.
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

// Kick looks at a pool again after its limits changed.
func (sch *Scheduler) Kick(name string) {
	if pol := sch.pool(name); pol != nil {
		pol.dispatch()
	}
}

// Reclaim recalls requests below a tier until an upstream holds no more than its limit.
func (sch *Scheduler) Reclaim(name, upstream string, tier int) {
	if pol := sch.pool(name); pol != nil {
		pol.reclaim(upstream, tier)
	}
}

// Demand returns what this node holds of and wants from each pool.
func (sch *Scheduler) Demand() (dms []router.Demand) {
	sch.mut.RLock()
	defer sch.mut.RUnlock()
	for _, pol := range sch.pools {
		dms = append(dms, pol.demand())
	}
	return dms
}

// Idle reports whether no request waits or runs.
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

// Status describes every upstream, by pool and name.
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
