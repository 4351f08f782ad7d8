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
	// reportPeriod is how often a holder reports, and thereby renews its leases.
	reportPeriod = 250 * time.Millisecond
	// minReportPeriod is the minimum pause between two reports while requests wait.
	minReportPeriod = 20 * time.Millisecond
	// reportTimeout bounds the wait for a home's reply. It is longer than a round trip between regions
	// and shorter than LeaseDuration.
	reportTimeout = 400 * time.Millisecond
)

// HomeClient finds the homes of upstreams and sends reports to them.
type HomeClient interface {
	// Home returns the name of the node that is an upstream's home now, or "" if there is none.
	Home(ups router.Upstream) (node string)
	// Report sends a report to a node and returns the limits that it grants.
	Report(ctx context.Context, node string, rep *wire.SlotReport) (lms *wire.SlotLimits, err error)
}

// DemandSource is the scheduler whose demand is reported.
type DemandSource interface {
	// Demand returns the running and the queued requests of this node by pool.
	Demand() (dms []router.Demand)
	// Dispatch grants free slots to the waiting requests of a pool after its limits changed.
	Dispatch(pool string)
	// Reclaim recalls requests of lower priority than a tier until an upstream runs no more than its limit.
	Reclaim(pool, upstream string, tier int)
}

// LeasedLimiter is a router.SlotLimiter whose limits are leases from the upstreams' homes. Without a valid lease it uses
// the fair share.
type LeasedLimiter struct {
	timers router.Timers
	fair   *FairLimiter
	client HomeClient
	self   string
	mut    sync.RWMutex
	source DemandSource
	// upstreams holds the configured upstreams by name, pools the names of their pools.
	upstreams map[string]router.Upstream
	pools     map[string]string
	// ranks are the upstreams' positions in this node's rendezvous order of their pool.
	ranks map[string]int
	// poolSizes counts the upstreams of each pool.
	poolSizes map[string]int
	leases    map[string]lease
	leaving   atomic.Bool
	// reportNow triggers a report; it has a buffer of one.
	reportNow chan struct{}
}

// lease is a limit with its expiry.
type lease struct {
	limit   int
	expires time.Time
}

// NewLeasedLimiter returns a LeasedLimiter without upstreams, for the node self.
func NewLeasedLimiter(tms router.Timers, self string, flm *FairLimiter, cli HomeClient) *LeasedLimiter {
	return &LeasedLimiter{
		timers:    tms,
		fair:      flm,
		client:    cli,
		self:      self,
		upstreams: make(map[string]router.Upstream),
		pools:     make(map[string]string),
		ranks:     make(map[string]int),
		poolSizes: make(map[string]int),
		leases:    make(map[string]lease),
		reportNow: make(chan struct{}, 1),
	}
}

// Configure sets the pools whose upstreams the node uses and the scheduler whose demand is reported.
func (llm *LeasedLimiter) Configure(pls []router.Pool, src DemandSource) {
	llm.mut.Lock()
	defer llm.mut.Unlock()
	llm.source = src
	llm.upstreams = make(map[string]router.Upstream)
	llm.pools = make(map[string]string)
	llm.ranks = make(map[string]int)
	llm.poolSizes = make(map[string]int)
	for _, pol := range pls {
		llm.poolSizes[pol.Name] = len(pol.Upstreams)
		for rank, ups := range Subset(llm.self, pol.Upstreams, func(string) bool { return false }, len(pol.Upstreams)) {
			llm.ranks[ups.Name] = rank
		}
		for _, ups := range pol.Upstreams {
			llm.upstreams[ups.Name] = ups
			llm.pools[ups.Name] = pol.Name
		}
	}
}

// Limit returns the leased limit, or the fair share when there is no valid lease.
func (llm *LeasedLimiter) Limit(ups router.Upstream) (slots int) {
	llm.mut.RLock()
	les, fnd := llm.leases[ups.Name]
	llm.mut.RUnlock()
	if fnd && llm.timers.Now().Before(les.expires) {
		return min(les.limit, ups.Slots)
	}
	return llm.fair.Limit(ups)
}

// ReportShortage triggers a report, because a request waits for a slot.
func (llm *LeasedLimiter) ReportShortage() {
	select {
	case llm.reportNow <- struct{}{}:
	default:
	}
}

// Leave marks the node as shutting down, so that homes grant it no standing slots from its next report on.
func (llm *LeasedLimiter) Leave() {
	llm.leaving.Store(true)
}

// Run sends reports until the context ends: periodically, and early when a request waits for a slot.
func (llm *LeasedLimiter) Run(ctx context.Context) {
	tic := make(chan struct{}, 1)
	stop := llm.timers.Every(reportPeriod, func(time.Time) {
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
		case <-llm.reportNow:
		}
		llm.ReportAll(ctx)
		llm.pause(ctx)
	}
}

// ReportAll sends one report to each home and applies the limits that they grant.
// The leases of a home that does not reply stay until they expire.
func (llm *LeasedLimiter) ReportAll(ctx context.Context) {
	var grp sync.WaitGroup
	for nod, rep := range llm.buildReports() {
		grp.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			lms, err := llm.client.Report(ctx, nod, rep)
			if err == nil {
				llm.Apply(lms.GetLimits())
			}
		})
	}
	grp.Wait()
}

// Apply stores limits from a home, recalls requests above them and dispatches queued requests.
func (llm *LeasedLimiter) Apply(lms []*wire.SlotLimit) {
	pls := llm.storeLeases(lms)
	for _, lim := range lms {
		pol, fnd := pls[lim.GetUpstream()]
		if !fnd {
			continue
		}
		llm.source.Reclaim(pol, lim.GetUpstream(), int(lim.GetTier()))
	}
	dispatched := make(map[string]bool)
	for _, pol := range pls {
		if !dispatched[pol] {
			dispatched[pol] = true
			llm.source.Dispatch(pol)
		}
	}
}

// storeLeases stores the leases of configured upstreams and returns the pools of these upstreams.
func (llm *LeasedLimiter) storeLeases(lms []*wire.SlotLimit) (pls map[string]string) {
	llm.mut.Lock()
	defer llm.mut.Unlock()
	pls = make(map[string]string)
	now := llm.timers.Now()
	for _, lim := range lms {
		pol, fnd := llm.pools[lim.GetUpstream()]
		if !fnd {
			continue
		}
		pls[lim.GetUpstream()] = pol
		llm.leases[lim.GetUpstream()] = lease{
			limit:   int(lim.GetLimit()),
			expires: now.Add(time.Duration(lim.GetLifeMs()) * time.Millisecond),
		}
	}
	return pls
}

// buildReports returns the report to each home, by node name.
func (llm *LeasedLimiter) buildReports() (rps map[string]*wire.SlotReport) {
	llm.mut.RLock()
	src := llm.source
	llm.mut.RUnlock()
	rps = make(map[string]*wire.SlotReport)
	if src == nil {
		return rps
	}
	for _, dmd := range src.Demand() {
		for nam, hld := range dmd.Held {
			llm.addDemand(rps, dmd, nam, hld)
		}
	}
	return rps
}

// addDemand adds the demand for one upstream to the report to its home.
func (llm *LeasedLimiter) addDemand(rps map[string]*wire.SlotReport, dmd router.Demand, name string, held router.TierCounts) {
	llm.mut.RLock()
	ups, fnd := llm.upstreams[name]
	size, rank := llm.poolSizes[dmd.Pool], llm.ranks[name]
	llm.mut.RUnlock()
	if !fnd {
		return
	}
	hom := llm.client.Home(ups)
	if hom == "" {
		return
	}
	rep := rps[hom]
	if rep == nil {
		rep = &wire.SlotReport{Node: llm.self, Leaving: llm.leaving.Load()}
		rps[hom] = rep
	}
	rep.Demands = append(rep.Demands, &wire.SlotDemand{
		Upstream: name,
		Held:     toWire(held),
		Waiting:  toWire(splitWaiting(dmd.Waiting, rank, size)),
		Limit:    uint32(llm.Limit(ups)),
	})
}

// pause waits for minReportPeriod or until the context ends.
func (llm *LeasedLimiter) pause(ctx context.Context) {
	don := make(chan struct{})
	stop := llm.timers.After(minReportPeriod, func(time.Time) { close(don) })
	defer stop()
	select {
	case <-don:
	case <-ctx.Done():
	}
}

// splitWaiting returns the share of a pool's queued requests that is reported for the upstream of a rank.
// The shares of all size ranks add up to the total.
func splitWaiting(total router.TierCounts, rank, size int) (share router.TierCounts) {
	for tier, num := range total {
		share[tier] = num / size
		if rank < num%size {
			share[tier]++
		}
	}
	return share
}

// toWire converts counts by tier to their form in a SlotDemand.
func toWire(tcs router.TierCounts) (nms []uint32) {
	nms = make([]uint32, len(tcs))
	for idx, num := range tcs {
		nms[idx] = uint32(num)
	}
	return nms
}
