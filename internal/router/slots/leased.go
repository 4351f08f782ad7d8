package slots

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// reportPeriod is how often a holder renews its leases.
	reportPeriod = 250 * time.Millisecond
	// shortPeriod is the shortest time between two reports, when requests wait.
	shortPeriod = 20 * time.Millisecond
	// reportTimeout is how long a home has to answer; it is below the time between regions and a lease's life.
	reportTimeout = 400 * time.Millisecond
)

// Homes sends reports to homes.
type Homes interface {
	// Home returns the name of the node that is home of an upstream now.
	Home(ups router.Upstream) (node string)
	// Report sends a report to a node and returns the limits it grants.
	Report(ctx context.Context, node string, rep *wire.SlotReport) (lms *wire.SlotLimits, err error)
}

// Source is the scheduler whose demand is reported.
type Source interface {
	// Demand returns what this node holds of and wants from each pool.
	Demand() (dms []router.Demand)
	// Dispatch grants free slots to the waiting requests of a pool after its limits changed.
	Dispatch(pool string)
	// Reclaim recalls requests below a tier until an upstream holds no more than its limit.
	Reclaim(pool, upstream string, tier int)
}

// Leased is a router.Limits by leases from homes, with Alone to fall back to.
type Leased struct {
	timers router.Timers
	alone  *Alone
	homes  Homes
	self   string
	mut    sync.RWMutex
	source Source
	// upstreams are the configured upstreams by name, and pools their pools.
	upstreams map[string]router.Upstream
	pools     map[string]string
	// orders are the places of the upstreams in this node's rendezvous order of their pool.
	orders  map[string]int
	sizes   map[string]int
	leases  map[string]lease
	leaving atomic.Bool
	// short wakes the reporter; it has a buffer of one.
	short chan struct{}
}

type lease struct {
	limit int
	ends  time.Time
}

// NewLeased returns a Leased without upstreams.
func NewLeased(tms router.Timers, self string, aln *Alone, hms Homes) *Leased {
	return &Leased{
		timers:    tms,
		alone:     aln,
		homes:     hms,
		self:      self,
		upstreams: make(map[string]router.Upstream),
		pools:     make(map[string]string),
		orders:    make(map[string]int),
		sizes:     make(map[string]int),
		leases:    make(map[string]lease),
		short:     make(chan struct{}, 1),
	}
}

// Configure sets the upstreams that the node works with and the scheduler to report on.
func (lsd *Leased) Configure(pls []router.Pool, src Source) {
	lsd.mut.Lock()
	defer lsd.mut.Unlock()
	lsd.source = src
	lsd.upstreams = make(map[string]router.Upstream)
	lsd.pools = make(map[string]string)
	lsd.orders = make(map[string]int)
	lsd.sizes = make(map[string]int)
	for _, pol := range pls {
		lsd.sizes[pol.Name] = len(pol.Upstreams)
		for plc, ups := range Subset(lsd.self, pol.Upstreams, func(string) bool { return false }, len(pol.Upstreams)) {
			lsd.orders[ups.Name] = plc
		}
		for _, ups := range pol.Upstreams {
			lsd.upstreams[ups.Name] = ups
			lsd.pools[ups.Name] = pol.Name
		}
	}
}

// Limit returns the leased slots, or the fair share when there is no lease.
func (lsd *Leased) Limit(ups router.Upstream) (slots int) {
	lsd.mut.RLock()
	les, fnd := lsd.leases[ups.Name]
	lsd.mut.RUnlock()
	if fnd && lsd.timers.Now().Before(les.ends) {
		return min(les.limit, ups.Slots)
	}
	return lsd.alone.Limit(ups)
}

// ReportShortage wakes the reporter, because a request waits for want of slots.
func (lsd *Leased) ReportShortage() {
	select {
	case lsd.short <- struct{}{}:
	default:
	}
}

// Leave gives up standing slots, because the node is stopping.
func (lsd *Leased) Leave() {
	lsd.leaving.Store(true)
}

// Run reports until the context ends: periodically, and soon when requests wait.
func (lsd *Leased) Run(ctx context.Context) {
	tic := make(chan struct{}, 1)
	stop := lsd.timers.Every(reportPeriod, func(time.Time) {
		select {
		case tic <- struct{}{}:
		default:
		}
	})
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tic:
		case <-lsd.short:
		}
		lsd.ReportAll(ctx)
		lsd.rest(ctx)
	}
}

// ReportAll sends one report to each home and applies what they grant.
func (lsd *Leased) ReportAll(ctx context.Context) {
	var grp sync.WaitGroup
	for nod, rep := range lsd.reports() {
		grp.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			lms, err := lsd.homes.Report(ctx, nod, rep)
			if err == nil {
				lsd.Apply(lms.GetLimits())
			}
		})
	}
	grp.Wait()
}

// Apply takes over limits from a home, and recalls what is held above them.
func (lsd *Leased) Apply(lms []*wire.SlotLimit) {
	pls := lsd.store(lms)
	for _, lim := range lms {
		pol, fnd := pls[lim.GetUpstream()]
		if !fnd {
			continue
		}
		lsd.source.Reclaim(pol, lim.GetUpstream(), int(lim.GetTier()))
	}
	kck := make(map[string]bool)
	for _, pol := range pls {
		if !kck[pol] {
			kck[pol] = true
			lsd.source.Dispatch(pol)
		}
	}
}

// store keeps the leases and returns the pools of their upstreams.
func (lsd *Leased) store(lms []*wire.SlotLimit) (pls map[string]string) {
	lsd.mut.Lock()
	defer lsd.mut.Unlock()
	pls = make(map[string]string)
	now := lsd.timers.Now()
	for _, lim := range lms {
		pol, fnd := lsd.pools[lim.GetUpstream()]
		if !fnd {
			continue
		}
		pls[lim.GetUpstream()] = pol
		lsd.leases[lim.GetUpstream()] = lease{
			limit: int(lim.GetLimit()),
			ends:  now.Add(time.Duration(lim.GetLifeMs()) * time.Millisecond),
		}
	}
	return pls
}

// reports returns a report for each home.
func (lsd *Leased) reports() (rps map[string]*wire.SlotReport) {
	lsd.mut.RLock()
	src := lsd.source
	lsd.mut.RUnlock()
	rps = make(map[string]*wire.SlotReport)
	if src == nil {
		return rps
	}
	for _, dmd := range src.Demand() {
		for nam, hld := range dmd.Held {
			lsd.add(rps, dmd, nam, hld)
		}
	}
	return rps
}

func (lsd *Leased) add(rps map[string]*wire.SlotReport, dmd router.Demand, name string, held router.TierCounts) {
	lsd.mut.RLock()
	ups, fnd := lsd.upstreams[name]
	size, plc := lsd.sizes[dmd.Pool], lsd.orders[name]
	lsd.mut.RUnlock()
	if !fnd {
		return
	}
	hom := lsd.homes.Home(ups)
	if hom == "" {
		return
	}
	rep := rps[hom]
	if rep == nil {
		rep = &wire.SlotReport{Node: lsd.self, Leaving: lsd.leaving.Load()}
		rps[hom] = rep
	}
	rep.Demands = append(rep.Demands, &wire.SlotDemand{
		Upstream: name,
		Held:     toWire(held),
		Waiting:  toWire(part(dmd.Waiting, plc, size)),
		Limit:    uint32(lsd.Limit(ups)),
	})
}

// rest keeps the shortest time between two reports.
func (lsd *Leased) rest(ctx context.Context) {
	don := make(chan struct{})
	stop := lsd.timers.After(shortPeriod, func(time.Time) { close(don) })
	defer stop()
	select {
	case <-don:
	case <-ctx.Done():
	}
}

// part returns one upstream's part of what waits for a pool; the parts of all places add up to the whole.
func part(whole router.TierCounts, place, size int) (prt router.TierCounts) {
	for tier, num := range whole {
		prt[tier] = num / size
		if place < num%size {
			prt[tier]++
		}
	}
	return prt
}

func toWire(tcs router.TierCounts) (nms []uint32) {
	nms = make([]uint32, len(tcs))
	for idx, num := range tcs {
		nms[idx] = uint32(num)
	}
	return nms
}
