package edge

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/duty"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/mesh"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/scale"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/usage"
)

// releaseTimeout limits the release of the duty lease by a node that stops.
const releaseTimeout = 3 * time.Second

// DutyKinds tells which of the platform's duty calls the nodes have to make.
type DutyKinds struct {
	Usage   bool
	Scaling bool
}

// dutyParts are the parts of a node that make the platform's duty calls.
type dutyParts struct {
	lease *duty.Lease
	// usage counts requests and reports them; nil if the platform expects no reports.
	usage *usage.Service
	// parts start in this order and stop in the reverse one, so that the lease is released last.
	parts    []dutyPart
	stopOnce sync.Once
	// finishUsage sends the last copy of the usage counts.
	finishUsage func()
}

// dutyPart is a part that acts while the node runs. It makes calls only as far as the lease allows.
type dutyPart struct {
	start, stop func()
}

// newDuties returns the parts, which make no call before start, or nil if the settings name no address for duty calls. Parts that
// make duty calls are added here.
func (nod *Node) newDuties() (dts *dutyParts) {
	opt := nod.options
	set := opt.Settings.Platform.Duties
	if set.Address == "" || opt.Rows == nil || opt.Duties == nil {
		return nil
	}
	les := duty.New(duty.Options{
		Holder: opt.Settings.Name,
		Length: set.Lease(),
		Timers: opt.Timers,
		Rows:   opt.Rows,
		Rank:   func() int { return nod.mesh.RankByHash(duty.RankKey) },
		Log:    opt.Log,
		Meter:  nod.meter,
	})
	if cal, ok := opt.Duties.(router.FencedCaller); ok {
		cal.SetLease(les)
	}
	dts = &dutyParts{lease: les}
	dts.add(les.Start, func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		les.Stop(ctx)
	})
	if opt.DutyKinds.Usage {
		dts.usage = usage.New(usage.Options{
			Node:         opt.Settings.Name,
			Timers:       opt.Timers,
			Log:          opt.Log,
			Meter:        nod.meter,
			Window:       set.Window(),
			ReportWithin: set.ReportWithin(),
			Lease:        les,
			Rows:         opt.Rows,
			Caller:       opt.Duties,
			Era:          func() int64 { return nod.manifests.Position().Era },
		})
	}
	return dts
}

// meshUsage returns what answers the messages of other nodes about usage, or nil.
func (dts *dutyParts) meshUsage() mesh.Usage {
	if dts == nil || dts.usage == nil {
		return nil
	}
	return dts.usage
}

// onRun returns the function that counts a request that an upstream began to execute, or nil.
func (dts *dutyParts) onRun() func(workspace string) {
	if dts == nil || dts.usage == nil {
		return nil
	}
	return dts.usage.OnRun
}

// join adds the parts that need the other nodes and the upstreams, once the node has all of its parts.
func (dts *dutyParts) join(nod *Node) {
	if dts == nil {
		return
	}
	if dts.usage != nil {
		dts.usage.Join(nod.mesh)
		ctx, cancel := context.WithCancel(context.Background())
		stop := func() {}
		dts.add(func() { stop, dts.finishUsage = dts.usage.Start(ctx) }, func() {
			cancel()
			stop()
		})
	}
	if nod.options.DutyKinds.Scaling {
		stop := func() {}
		dts.add(func() { stop = scale.Start(nod.scaleOptions(dts.lease)) }, func() { stop() })
	}
}

// scaleOptions returns the dependencies of the part that orders upstreams.
func (nod *Node) scaleOptions(les router.DutyLease) scale.Options {
	regions := make(map[string]string)
	for _, dom := range nod.options.Settings.Platform.FailureDomains {
		regions[dom.Name] = dom.Region
	}
	return scale.Options{
		Timers:    nod.options.Timers,
		Log:       nod.options.Log,
		Metrics:   nod.meter,
		Lease:     les,
		Duties:    nod.options.Duties,
		Services:  nod.handler.services,
		Instances: nod.roster.Listed,
		Demand:    nod.balancer.FleetDemand,
		Nodes:     func() (heard, listed int) { return nod.mesh.LiveNodes(), nod.mesh.FleetSize() },
		Regions:   regions,
	}
}

// add adds a part, which starts after those that were added before and stops before them.
func (dts *dutyParts) add(start, stop func()) {
	dts.parts = append(dts.parts, dutyPart{start: start, stop: stop})
}

// start starts all parts; a nil receiver has none.
func (dts *dutyParts) start() {
	if dts == nil {
		return
	}
	for _, prt := range dts.parts {
		prt.start()
	}
}

// finish sends the last copy of the usage counts, when all requests have ended.
func (dts *dutyParts) finish() {
	if dts != nil && dts.finishUsage != nil {
		dts.finishUsage()
	}
}

// stop stops all parts and releases the lease. It returns when that is done, also if another call does it.
func (dts *dutyParts) stop() {
	if dts == nil {
		return
	}
	dts.stopOnce.Do(func() {
		for idx := len(dts.parts) - 1; idx >= 0; idx-- {
			dts.parts[idx].stop()
		}
	})
}
