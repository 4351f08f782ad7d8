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
	orders            []string
	// lowest is the lowest number of upstreams that served.
	lowest int
}

type upstream struct {
	router.Instance
	servesAt time.Time
	gone     bool
	endsAt   time.Time
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

// scenario is a load with faults, and what must hold.
type scenario struct {
	start map[Group]int
	spot  float64
	load  func(sec int) int
	// events happen before the plan of their second.
	events map[int]func(cld *cloud)
	length int
	// lowest is the lowest number of upstreams that may have served, and from and to bound those that serve at the end.
	lowest, from, to int
	check            func(t *testing.T, cld *cloud)
}

// spec bounds the upstreams in all scenarios. Failure domains a and b are in one region, c in another.
var spec = router.ScalingSpec{Min: 1, Max: 12, Boot: 8 * time.Second, Prices: map[string]float64{"a": 1, "b": 1, "c": 1.2}}

var scenarios = map[string]scenario{
	"calm, enough upstreams": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, load: constant(30),
		length: 200, lowest: 8, from: 8, to: 8,
		check: func(t *testing.T, cld *cloud) { wantNone(t, cld, 0, 200) },
	},
	"calm, too many at the start": {
		start: map[Group]int{regularA: 6, regularB: 6, regularC: 6}, load: constant(30),
		length: 200, lowest: 8, from: 8, to: 9,
		check: func(t *testing.T, cld *cloud) { wantNone(t, cld, 0, 60) },
	},
	"a burst": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, load: stepped(30, 30, 84),
		length: 60, lowest: 8, from: 18, to: 36,
		check: func(t *testing.T, cld *cloud) {
			if cld.count(30, 31) == 0 {
				t.Errorf("no order in the second of the burst: %v", cld.orders)
			}
		},
	},
	"a wave": {
		start: map[Group]int{regularA: 4, regularB: 4, regularC: 3},
		load: func(sec int) int {
			return 30 + abs(sec%80-40)/2
		},
		length: 400, lowest: 11, from: 11, to: 16,
	},
	"a reclaim in one failure domain": {
		start: map[Group]int{regularA: 2, spotA: 3, regularB: 3, regularC: 1}, spot: 0.4, load: constant(30),
		events: map[int]func(*cloud){40: func(cld *cloud) { cld.reclaim("a"); cld.refuse[spotA], cld.refuse[spotB] = true, true }},
		length: 60, lowest: 6, from: 9, to: 9,
		check: func(t *testing.T, cld *cloud) {
			if cld.count(40, 41) == 0 || cld.number(regularC)+cld.number(spotC) > 1 {
				t.Errorf("not replaced at once in the region: %v", cld.orders)
			}
		},
	},
	"a reclaim with none to be had anywhere": {
		start: map[Group]int{regularA: 2, spotA: 3, regularB: 3, regularC: 1}, spot: 0.4, load: constant(30),
		events: map[int]func(*cloud){
			40: func(cld *cloud) { cld.reclaim("a"); refuseAll(cld, true) },
			52: func(cld *cloud) { refuseAll(cld, false) },
		},
		length: 75, lowest: 6, from: 9, to: 10,
		check: func(t *testing.T, cld *cloud) {
			// Six groups, of which one is paused by its reclaim, within each pause of 5 s.
			if num := cld.count(40, 45); num == 0 || num > len(allGroups) {
				t.Errorf("%d orders within 5 s: %v", num, cld.orders)
			}
		},
	},
	"a change of holder": {
		start:  map[Group]int{regularA: 3, regularB: 3, regularC: 2},
		load:   stepped(30, 30, 60),
		events: map[int]func(*cloud){31: func(cld *cloud) { cld.fence = 2 }, 32: func(cld *cloud) { cld.fence = 0 }, 35: func(cld *cloud) { cld.fence = 3 }},
		length: 60, lowest: 8, from: 16, to: 20,
		check: func(t *testing.T, cld *cloud) { wantNone(t, cld, 31, 40) },
	},
	"a burst just after a cut": {
		start: map[Group]int{regularA: 6, regularB: 6, regularC: 6}, load: stepped(30, 70, 90),
		length: 100, lowest: 15, from: 20, to: 36,
		check: func(t *testing.T, cld *cloud) {
			if cld.count(60, 70) == 0 || cld.count(70, 72) == 0 {
				t.Errorf("no cut, or no order for the burst: %v", cld.orders)
			}
		},
	},
	"crashes of engines that return": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, load: constant(30),
		events: map[int]func(*cloud){
			40: func(cld *cloud) { cld.crash("a", 2, true) }, 46: func(cld *cloud) { cld.crash("a", 2, false) },
		},
		length: 120, lowest: 6, from: 8, to: 8,
		check: func(t *testing.T, cld *cloud) { wantNone(t, cld, 0, 120) },
	},
	"crashes of engines that stay away": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, load: constant(30),
		events: map[int]func(*cloud){40: func(cld *cloud) { cld.crash("a", 2, true) }},
		length: 80, lowest: 6, from: 8, to: 8,
		check: func(t *testing.T, cld *cloud) { wantNone(t, cld, 0, 48) },
	},
	"no data after a start": {
		start: map[Group]int{regularA: 6, regularB: 6, regularC: 6}, load: constant(0),
		length: 200, lowest: 18, from: 18, to: 18,
		check: func(t *testing.T, cld *cloud) { wantNone(t, cld, 0, 200) },
	},
	"idle after a start, with cheaper spot upstreams": {
		start: map[Group]int{regularA: 6, regularB: 6, regularC: 6}, spot: 0.4, load: stepped(0, 14, 20),
		length: 30, lowest: 18, from: 18, to: 18,
		check: func(t *testing.T, cld *cloud) {
			// 18 upstreams may lose 2 at once.
			if got := []int{cld.number(spotA), cld.number(spotB), cld.number(spotC)}; !slices.Equal(got, []int{2, 2, 2}) {
				t.Errorf("spot upstreams %v, want two in each failure domain: %v", got, cld.orders)
			}
			wantNone(t, cld, 14, 30)
		},
	},
	"calls while the upstreams of an idle service are replaced": {
		start: map[Group]int{regularA: 6, regularB: 6, regularC: 6}, spot: 0.4, load: stepped(0, 6, 20),
		length: 60, lowest: 18, from: 18, to: 18,
		check: func(t *testing.T, cld *cloud) {
			if num := cld.count(0, 6); num != 3 {
				t.Errorf("%d orders while idle, want one for each failure domain: %v", num, cld.orders)
			}
		},
	},
	"upstreams that appear one after the other at a start": {
		start: map[Group]int{regularA: 2, regularB: 2, regularC: 2}, spot: 0.4, load: stepped(0, 22, 20),
		events: map[int]func(*cloud){
			2: func(cld *cloud) { cld.set(regularA, 6, 0) }, 3: func(cld *cloud) { cld.set(regularB, 6, 0) }, 4: func(cld *cloud) { cld.set(regularC, 6, 0) },
		},
		length: 30, lowest: 6, from: 18, to: 18,
		check: func(t *testing.T, cld *cloud) {
			if num := cld.number(spotA) + cld.number(spotB) + cld.number(spotC); num != 6 || len(cld.orders) != 6 {
				t.Errorf("%d spot upstreams, want two in each failure domain at once: %v", num, cld.orders)
			}
		},
	},
	"spot upstreams of an idle service are refused": {
		start: map[Group]int{regularA: 6, regularB: 6, regularC: 6}, spot: 0.4, load: constant(0),
		events: map[int]func(*cloud){1: func(cld *cloud) { cld.refuse[spotA], cld.refuse[spotB], cld.refuse[spotC] = true, true, true }},
		length: 10, lowest: 18, from: 18, to: 18,
	},
	"spot upstreams of an idle service are reclaimed before they serve": {
		start: map[Group]int{regularA: 6, regularB: 6, regularC: 6}, spot: 0.4, load: constant(0),
		events: map[int]func(*cloud){6: func(cld *cloud) { cld.reclaim("a"); refuseAll(cld, true) }},
		length: 40, lowest: 18, from: 18, to: 24,
	},
	"a holder cut off from the other nodes": {
		start: map[Group]int{regularA: 4, regularB: 4, regularC: 3}, load: stepped(40, 40, 3),
		events: map[int]func(*cloud){40: func(cld *cloud) { cld.blind = true }},
		length: 200, lowest: 11, from: 11, to: 11,
	},
	"answers of the platform are lost": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, load: stepped(30, 30, 60),
		events: map[int]func(*cloud){29: func(cld *cloud) { cld.lost = true }, 34: func(cld *cloud) { cld.lost = false }},
		length: 60, lowest: 8, from: 15, to: 20,
	},
	"a burst while the platform cannot be reached": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, load: stepped(30, 30, 60),
		events: map[int]func(*cloud){29: func(cld *cloud) { cld.down = true }, 34: func(cld *cloud) { cld.down = false }},
		length: 46, lowest: 8, from: 15, to: 20,
	},
	"a reclaim of upstreams that were ordered just before": {
		start: map[Group]int{regularA: 6, regularB: 6}, spot: 0.4, load: stepped(30, 30, 60),
		events: map[int]func(*cloud){39: func(cld *cloud) {
			cld.reclaim("a")
			cld.reclaim("b")
			cld.refuse[spotA], cld.refuse[spotB] = true, true
		}},
		length: 50, lowest: 11, from: 15, to: 24,
		check: func(t *testing.T, cld *cloud) {
			if cld.count(30, 31) == 0 || cld.count(39, 40) == 0 {
				t.Errorf("no order for the burst, or none for the reclaim: %v", cld.orders)
			}
		},
	},
	"steady, with room for seven spot upstreams": {
		start: map[Group]int{regularA: 11, regularB: 1, regularC: 1}, spot: 0.4, load: constant(50),
		length: 400, lowest: 13, from: 13, to: 15,
		check: func(t *testing.T, cld *cloud) {
			if num := cld.number(spotA); num == 0 || cld.serving()-num < 6 {
				t.Errorf("%d spot upstreams of %d in one failure domain: %v", num, cld.serving(), cld.orders)
			}
		},
	},
	"calm, with cheaper spot upstreams": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, spot: 0.4, load: constant(30),
		length: 400, lowest: 8, from: 8, to: 9,
		check: func(t *testing.T, cld *cloud) {
			spots := 0
			for _, grp := range allGroups {
				if grp.Spot {
					spots += cld.number(grp)
				}
			}
			if spots == 0 || cld.serving()-max(cld.number(spotA), cld.number(spotB), cld.number(spotC)) < 4 {
				t.Errorf("%d spot upstreams: %v", spots, cld.orders)
			}
		},
	},
}

// TestLoads plays loads and faults against a model of the platform. It guards against cuts that callers notice, replacements that come
// late or twice, and orders on data that are not clear.
func TestLoads(t *testing.T) {
	for nam, scn := range scenarios {
		t.Run(nam, scn.play)
	}
}

// play runs the scenario and checks it.
func (scn scenario) play(t *testing.T) {
	beg := time.Unix(1e9, 0)
	cld := &cloud{Manual: timer.NewManual(beg), boot: spec.Boot, began: beg, load: scn.load, fence: 1, refuse: make(map[Group]bool), lowest: 1 << 30}
	for _, grp := range allGroups {
		cld.set(grp, scn.start[grp], 0)
	}
	spc := spec
	spc.SpotPrice = scn.spot
	stop := Start(Options{
		Timers: cld, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: noMetrics{}, Lease: cld, Duties: cld,
		Services: func() map[string]router.ServiceSpec {
			return map[string]router.ServiceSpec{"s": {Name: "s", Engine: &router.EngineSpec{Slots: 10, CacheTokens: 10000}, Scaling: &spc}, "fixed": {Name: "fixed"}}
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
	defer stop()
	for sec := 1; sec <= scn.length; sec++ {
		if fun := scn.events[sec]; fun != nil {
			fun(cld)
		}
		cld.Advance(time.Second)
		cld.lowest = min(cld.lowest, cld.serving())
	}
	if num := cld.serving(); cld.lowest < scn.lowest || num < scn.from || num > scn.to {
		t.Errorf("at least %d served, and %d at the end, want %d, and %d to %d: %v", cld.lowest, num, scn.lowest, scn.from, scn.to, cld.orders)
	}
	if scn.check != nil {
		scn.check(t, cld)
	}
}

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
