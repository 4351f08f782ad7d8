package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// cloud is a model of the platform with one service of engines with 10 slots. It implements router.DutyCaller and router.DutyLease.
type cloud struct {
	*timer.Manual

	boot   time.Duration
	began  time.Time
	ups    []*upstream
	refuse map[Group]bool
	// load is the number of calls in flight at a second.
	load func(sec int) int
	// fence is the number of the lease; zero if the node does not hold it.
	fence int64
	// lost is set while answers to orders are lost, down while orders are, and blind while no other node is heard.
	lost, down, blind bool
	// slow is how long an order takes, and lag the time that orders took.
	slow, lag time.Duration
	orders    []string
	// lowest is the lowest number of upstreams that served.
	lowest int
	// verify checks an order before it takes effect; nil for none.
	verify func(grp Group, count int, refused bool)
}

type upstream struct {
	router.Instance
	servesAt time.Time
	gone     bool
	endsAt   time.Time
}

// Now returns the time of the manual clock and the time that orders took.
func (cld *cloud) Now() time.Time { return cld.Manual.Now().Add(cld.lag) }

// newCloud returns a platform without upstreams.
func newCloud(load func(sec int) int) *cloud {
	beg := time.Unix(1e9, 0)
	return &cloud{Manual: timer.NewManual(beg), boot: spec.Boot, began: beg, load: load, fence: 1, refuse: make(map[Group]bool), lowest: 1 << 30}
}

// start starts a runner for the service and one without scaling.
func (cld *cloud) start(spc *router.ScalingSpec, engine *router.EngineSpec) (stop func()) {
	return Start(Options{
		Timers: cld, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: noMetrics{}, Lease: cld, Duties: cld,
		Services: func() map[string]router.ServiceSpec {
			return map[string]router.ServiceSpec{"s": {Name: "s", Engine: engine, Scaling: spc}, "fixed": {Name: "fixed"}}
		},
		Instances: cld.instances, Demand: cld.demand,
		Nodes: func() (heard, listed int) {
			if cld.blind {
				return 1, 60
			}
			return 59, 60
		},
		Regions: map[string]string{"a": "north", "b": "north", "c": "south"},
	})
}

func (cld *cloud) second() int { return int(cld.Now().Sub(cld.began) / time.Second) }

func (cld *cloud) Fence(time.Duration) (fen router.Fence, ok bool) {
	return router.Fence{Holder: "node", Number: cld.fence}, cld.fence > 0
}

func (*cloud) Commit(context.Context, ...router.RowWrite) (err error) { return nil }

func (*cloud) ReportUsage(context.Context, router.Fence, router.UsageReport) (err error) { return nil }

func (cld *cloud) Scale(_ context.Context, _ router.Fence, ord router.ScaleOrder) (err error) {
	grp := Group{FailureDomain: ord.FailureDomain, Spot: ord.Spot}
	txt := fmt.Sprintf("%d %s %v %d", cld.second(), ord.FailureDomain, ord.Spot, ord.Count)
	cld.lag += cld.slow
	if cld.verify != nil {
		cld.verify(grp, ord.Count, cld.refuse[grp])
	}
	if cld.refuse[grp] {
		cld.orders = append(cld.orders, txt+" refused")
		return router.ErrNoCapacity
	}
	cld.orders = append(cld.orders, txt)
	if !cld.down {
		cld.set(grp, ord.Count, cld.boot)
	}
	if cld.lost || cld.down {
		return router.ErrUnavailable
	}
	return nil
}

// set starts or drains upstreams until a group has a count.
func (cld *cloud) set(grp Group, count int, boot time.Duration) {
	now, num := cld.Now(), 0
	for _, ups := range slices.Backward(cld.ups) {
		if grp != (Group{FailureDomain: ups.FailureDomain, Spot: ups.Spot}) || ups.Draining {
			continue
		}
		if num++; num > count {
			ups.Draining, ups.endsAt = true, now.Add(3*time.Second)
		}
	}
	for ; num < count; num++ {
		ins := router.Instance{ID: fmt.Sprintf("u%d", len(cld.ups)), Service: "s", FailureDomain: grp.FailureDomain, Spot: grp.Spot, Slots: 10}
		cld.ups = append(cld.ups, &upstream{Instance: ins, servesAt: now.Add(boot)})
	}
}

// reclaim drains the spot upstreams of a failure domain.
func (cld *cloud) reclaim(dom string) {
	cld.set(Group{FailureDomain: dom, Spot: true}, 0, 0)
}

// crash makes upstreams of a group disappear, or return.
func (cld *cloud) crash(dom string, num int, gone bool) {
	for _, ups := range cld.ups {
		if ups.FailureDomain == dom && num > 0 {
			ups.gone = gone
			num--
		}
	}
}

func (cld *cloud) instances(string) (list []router.Instance) {
	for _, ups := range cld.ups {
		if !ups.gone && !ups.servesAt.After(cld.Now()) && (ups.endsAt.IsZero() || ups.endsAt.After(cld.Now())) {
			list = append(list, ups.Instance)
		}
	}
	return list
}

func (cld *cloud) serving() (num int) {
	for _, ins := range cld.instances("") {
		if !ins.Draining {
			num++
		}
	}
	return num
}

func (cld *cloud) demand(string, []router.Instance) place.FleetDemand {
	num := cld.load(cld.second())
	return place.FleetDemand{Calls: float64(num), PrefillTokens: 100 * float64(num), InFlight: num, PrefillRate: 1000}
}

type noMetrics struct{}

func (noMetrics) Event(string)                          {}
func (noMetrics) Gauge(string, string, string, float64) {}

// constant is a load that does not change.
func constant(num int) func(int) int { return func(int) int { return num } }

// stepped is a load that rises or falls at a second.
func stepped(before, second, after int) func(int) int {
	return func(sec int) int {
		if sec < second {
			return before
		}
		return after
	}
}

// count counts the orders from one second to another.
func (cld *cloud) count(from, to int) (num int) {
	for _, txt := range cld.orders {
		sec := 0
		if _, err := fmt.Sscan(txt, &sec); err == nil && sec >= from && sec < to {
			num++
		}
	}
	return num
}

var (
	regularA, spotA = Group{FailureDomain: "a"}, Group{FailureDomain: "a", Spot: true}
	regularB, spotB = Group{FailureDomain: "b"}, Group{FailureDomain: "b", Spot: true}
	regularC, spotC = Group{FailureDomain: "c"}, Group{FailureDomain: "c", Spot: true}
	allGroups       = []Group{regularA, spotA, regularB, spotB, regularC, spotC}
)

// number returns the upstreams of a group that serve.
func (cld *cloud) number(grp Group) (num int) {
	for _, ins := range cld.instances("") {
		if !ins.Draining && grp == (Group{FailureDomain: ins.FailureDomain, Spot: ins.Spot}) {
			num++
		}
	}
	return num
}

func wantNone(t *testing.T, cld *cloud, from, to int) {
	t.Helper()
	if num := cld.count(from, to); num != 0 {
		t.Errorf("%d orders from %d s to %d s, want none: %v", num, from, to, cld.orders)
	}
}

func refuseAll(cld *cloud, refuse bool) {
	for _, grp := range allGroups {
		cld.refuse[grp] = refuse
	}
}

func abs(num int) int { return max(num, -num) }
