package scale

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

const (
	// planInterval is how often a service is observed and planned.
	planInterval = time.Second
	// callLimit limits the time of an order; the lease must be valid for longer.
	callLimit = time.Second
	// maxRounds limits how often a plan is repeated at once because orders were refused.
	maxRounds = 8
	// maxStep limits the time in which orders are sent before the services are observed again; it is below maxSampleGap, beyond which
	// the demand counts as unknown.
	maxStep = 2 * time.Second
	// minHeard is the share of the listed nodes that must be heard for the demand to cover the fleet.
	minHeard = 0.9
)

// Metrics records the numbers of upstreams and the orders; *meter.Meter implements it.
type Metrics interface {
	Event(name string)
	Gauge(name, pool, upstream string, val float64)
}

// Options are the dependencies of Start.
type Options struct {
	Timers  router.Timers
	Log     *slog.Logger
	Metrics Metrics
	Lease   router.DutyLease
	Duties  router.DutyCaller
	// Services returns the services of the manifest in force; those without Scaling are ignored.
	Services func() map[string]router.ServiceSpec
	// Instances returns all instances of a service, the draining ones included.
	Instances func(service string) []router.Instance
	// Demand returns the demand of the fleet for a service with a list of its instances.
	Demand func(service string, list []router.Instance) place.FleetDemand
	// Nodes returns how many nodes are live and heard, this one included, and how many are listed.
	Nodes func() (heard, listed int)
	// Regions maps failure domains to their regions.
	Regions map[string]string
}

// Runner observes the services of a node, and orders upstreams while the node holds the duties.
type Runner struct {
	options Options
	planner Planner
	stopCtx context.Context

	mut      sync.Mutex
	memories map[string]*Memory
	// fence is the number under which this node last held the duties, and heldSince when it began to; zero while it does not.
	fence     int64
	heldSince time.Time
	// stepEnd is when the running step sends no more orders.
	stepEnd time.Time
}

// Start runs a Runner until stop is called, which cancels an order that is being sent and waits for the running plan.
func Start(opt Options) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	run := &Runner{options: opt, stopCtx: ctx, memories: make(map[string]*Memory)}
	stopTimer := opt.Timers.Every(planInterval, func(time.Time) { run.step() })
	return func() {
		cancel()
		stopTimer()
		run.mut.Lock()
		defer run.mut.Unlock()
	}
}

// step observes and plans all services.
func (run *Runner) step() {
	run.mut.Lock()
	defer run.mut.Unlock()
	if run.stopCtx.Err() != nil {
		return
	}
	run.stepEnd = run.options.Timers.Now().Add(maxStep)
	run.updateFence()
	svcs := run.options.Services()
	for nam := range run.memories {
		if svcs[nam].Scaling == nil {
			delete(run.memories, nam)
		}
	}
	for nam, spc := range svcs {
		if spc.Scaling != nil {
			run.plan(nam, spc)
		}
	}
}

// updateFence notes whether the node holds the duties. What was ordered is forgotten whenever the fence changes, because another
// node may have ordered something since.
func (run *Runner) updateFence() {
	fen, held := run.options.Lease.Fence(callLimit)
	switch {
	case !held:
		run.heldSince = time.Time{}
	case run.heldSince.IsZero() || fen.Number != run.fence:
		if fen.Number != run.fence {
			for _, mem := range run.memories {
				mem.ForgetOrders()
			}
		}
		run.fence, run.heldSince = fen.Number, run.options.Timers.Now()
	}
}

// plan observes a service and sends its orders. While orders are refused, it plans again at once.
func (run *Runner) plan(name string, spc router.ServiceSpec) {
	mem := run.memories[name]
	if mem == nil {
		mem = NewMemory()
		run.memories[name] = mem
	}
	list := run.options.Instances(name)
	heard, listed := run.options.Nodes()
	spc.Name = name
	vew := View{
		Now: run.options.Timers.Now(), Service: spc, Instances: list,
		Demand:   run.options.Demand(name, list),
		Complete: listed > 0 && float64(heard) >= minHeard*float64(listed),
		Regions:  run.options.Regions, PastSlots: mem.slots, HeldSince: run.heldSince,
	}
	mem.Observe(vew)
	for range maxRounds {
		pla := run.planner.Plan(vew, mem)
		mem.Adopt(pla, vew.Now)
		run.report(name, pla)
		if !run.send(pla, vew, mem) {
			return
		}
	}
}

// report updates the gauges of a service.
func (run *Runner) report(name string, pla Plan) {
	if pla.targets == nil {
		return
	}
	run.options.Metrics.Gauge("scale_needed", name, "", float64(pla.Needed))
	run.options.Metrics.Gauge("scale_intended", name, "", float64(pla.Intended))
	run.options.Metrics.Gauge("scale_counted", name, "", float64(pla.Counted))
}

// send sends the orders of a plan and reports whether one was refused. It stops at an order that had no answer, because the following
// would wait as well, and at the end of the step. What was not sent is planned again.
func (run *Runner) send(pla Plan, vew View, mem *Memory) (refused bool) {
	for _, ord := range pla.Orders {
		fen, held := run.options.Lease.Fence(callLimit)
		if !held || fen.Number != run.fence || run.options.Timers.Now().After(run.stepEnd) {
			return false
		}
		ctx, cancel := context.WithTimeout(run.stopCtx, callLimit)
		err := run.options.Duties.Scale(ctx, fen, ord.ScaleOrder)
		cancel()
		now := run.options.Timers.Now()
		mem.Record(ord, now, err)
		run.log(ord, vew, err)
		if errors.Is(err, router.ErrNoCapacity) {
			refused = true
		} else if err != nil {
			return false
		}
	}
	return refused
}

// log writes the line of an order and counts it.
func (run *Runner) log(ord Order, vew View, res error) {
	outcome := "Accepted"
	switch {
	case errors.Is(res, router.ErrNoCapacity):
		outcome = "NoCapacity"
	case res != nil:
		outcome = "Unknown"
	}
	args := []any{
		"Service", ord.Service, "FailureDomain", ord.FailureDomain, "Spot", ord.Spot, "Before", ord.Before, "Count", ord.Count,
		"Reason", string(ord.Reason), "Outcome", outcome, "Needed", ord.Needed, "Intended", ord.Intended, "Counted", ord.Counted,
		"InFlight", vew.Demand.InFlight, "Waiting", vew.Demand.Waiting, "Calls", vew.Demand.Calls, "PrefillTokens", vew.Demand.PrefillTokens, "PrefillRate", vew.Demand.PrefillRate,
	}
	if res != nil {
		args = append(args, "Error", res.Error())
	}
	run.options.Log.Info("upstreams ordered", args...)
	run.options.Metrics.Event("Scale" + string(ord.Reason))
	run.options.Metrics.Event("Scale" + outcome)
}
