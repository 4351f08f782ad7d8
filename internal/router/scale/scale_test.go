package scale

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// scenario is a load with faults, and what must hold.
type scenario struct {
	start map[Group]int
	spot  float64
	load  func(sec int) int
	// plain is set if the upstreams are no engines and have no prices.
	plain bool
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
	"a reclaim of all upstreams of a plain service": {
		start: map[Group]int{spotA: 4, spotB: 4}, spot: 0.4, load: constant(30), plain: true,
		events: map[int]func(*cloud){
			40: func(cld *cloud) { cld.reclaim("a"); cld.reclaim("b"); refuseAll(cld, true) }, 60: func(cld *cloud) { refuseAll(cld, false) },
		},
		length: 80, lowest: 0, from: 8, to: 9,
	},
	"a burst while orders are slow and none are to be had": {
		start: map[Group]int{regularA: 3, regularB: 3, regularC: 2}, spot: 0.4, load: stepped(30, 30, 60),
		events: map[int]func(*cloud){
			29: func(cld *cloud) { cld.slow = 900 * time.Millisecond; refuseAll(cld, true) },
			35: func(cld *cloud) { cld.slow = 0; refuseAll(cld, false) },
		},
		length: 47, lowest: 8, from: 15, to: 36,
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
	cld := newCloud(scn.load)
	for _, grp := range allGroups {
		cld.set(grp, scn.start[grp], 0)
	}
	spc := spec
	spc.SpotPrice = scn.spot
	engine := &router.EngineSpec{Slots: 10, CacheTokens: 10000}
	if scn.plain {
		spc.Prices, engine = nil, nil
	}
	stop := cld.start(&spc, engine)
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
