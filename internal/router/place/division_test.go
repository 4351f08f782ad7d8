package place

import (
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// fixedShares is the earlier policy: a quarter of the engines for each of the two classes with the lowest gap targets.
var fixedShares = []float64{0.25, 0.25, 0.5}

// delay returns the delay that the prefill of each class causes to the class itself, summed over the classes.
func delay(lods []classLoad, shares []float64) (sum float64) {
	for cls, lod := range lods {
		if lod.PrefillTokens > 0 {
			sum += lod.PrefillTokens * (1 + lod.gapRisk) / shares[cls]
		}
	}
	return sum
}

// TestDivisionFollowsDemand compares the division by demand with fixed shares, under mixes of calls that leave a part of a
// fixed division idle or full.
func TestDivisionFollowsDemand(t *testing.T) {
	cases := map[string]struct {
		loads   []classLoad
		engines int
		slots   int
		// classes whose share must be above and below the fixed one
		above, below []int
	}{
		"the mix that fixed shares were made for": {
			loads: []classLoad{
				{Demand: Demand{Calls: 16, PrefillTokens: 19e3, Running: 17}, gapRisk: 0.7},
				{Demand: Demand{Calls: 8, PrefillTokens: 30e3, Running: 5}, gapRisk: 0.47},
				{Demand: Demand{Calls: 11, PrefillTokens: 100e3, Running: 30}, gapRisk: 0.17},
			}, engines: 12, slots: 64,
		},
		"most prefill in the class of the highest gap target": {
			loads: []classLoad{
				{Demand: Demand{Calls: 40, PrefillTokens: 28e3, Running: 33}, gapRisk: 1},
				{Demand: Demand{Calls: 270, PrefillTokens: 540e3, Running: 40}, gapRisk: 0.7},
				{Demand: Demand{Calls: 300, PrefillTokens: 1500e3, Running: 400}, gapRisk: 0.3},
			}, engines: 89, slots: 16, above: []int{2}, below: []int{0},
		},
		"no calls with long prompts": {
			loads: []classLoad{
				{Demand: Demand{Calls: 100, PrefillTokens: 60e3, Running: 80}, gapRisk: 1},
				{Demand: Demand{Calls: 100, PrefillTokens: 90e3, Running: 40}, gapRisk: 0.5},
				{},
			}, engines: 12, slots: 64, above: []int{0, 1}, below: []int{2},
		},
		"only calls with long prompts": {
			loads:   []classLoad{{}, {}, {Demand: Demand{Calls: 10, PrefillTokens: 90e3, Running: 40}, gapRisk: 0.1}},
			engines: 12, slots: 64, above: []int{2}, below: []int{0, 1},
		},
		"long streams that occupy most slots": {
			loads: []classLoad{
				{Demand: Demand{Calls: 20, PrefillTokens: 1e3, Running: 70}, gapRisk: 1},
				{Demand: Demand{Calls: 20, PrefillTokens: 40e3, Running: 5}, gapRisk: 0.5},
				{Demand: Demand{Calls: 20, PrefillTokens: 90e3, Running: 10}, gapRisk: 0.2},
			}, engines: 20, slots: 16, above: []int{0},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			shares := divide(cas.loads, cas.engines, cas.slots)
			for _, cls := range cas.above {
				if shares[cls] <= fixedShares[cls] {
					t.Errorf("class %d has the share %.2f, a fixed one was %.2f", cls, shares[cls], fixedShares[cls])
				}
			}
			for _, cls := range cas.below {
				if shares[cls] >= fixedShares[cls] {
					t.Errorf("class %d has the share %.2f, a fixed one was %.2f", cls, shares[cls], fixedShares[cls])
				}
			}
			if len(cas.above) > 0 {
				return
			}
			for cls := range shares {
				if math.Abs(shares[cls]-fixedShares[cls]) > divisionTolerance {
					t.Errorf("class %d has the share %.2f, a fixed one was %.2f", cls, shares[cls], fixedShares[cls])
				}
			}
		})
	}
}

// TestDivisionOfAnyDemand checks random demands: no class is left without an engine, and as long as slots are not scarce,
// prefill delays calls no more than with fixed shares.
func TestDivisionOfAnyDemand(t *testing.T) {
	rapid.Check(t, func(rap *rapid.T) {
		engines := rapid.IntRange(12, 400).Draw(rap, "engines")
		lods := make([]classLoad, 3)
		for cls := range lods {
			lods[cls] = classLoad{
				Demand: Demand{
					Calls:         1,
					PrefillTokens: rapid.Float64Range(0, 1e7).Draw(rap, "tokens"),
					Running:       rapid.Float64Range(0, 1e5).Draw(rap, "running"),
				},
				gapRisk: rapid.Float64Range(0, 1).Draw(rap, "risk"),
			}
		}
		slots := rapid.IntRange(0, 64).Draw(rap, "slots")
		shares, sum := divide(lods, engines, slots), 0.0
		for cls, shr := range shares {
			sum += shr
			if !(shr > 0) {
				rap.Errorf("class %d has the share %v", cls, shr)
			}
		}
		if math.Abs(sum-1) > 1e-9 {
			rap.Errorf("the shares add up to %v", sum)
		}
		// The smallest share of an engine costs the other classes at most that share.
		loss := 1 / (1 - 3/float64(engines))
		if got, fixed := delay(lods, divide(lods, engines, 0)), delay(lods, fixedShares); got > loss*fixed {
			rap.Errorf("delay %v, with fixed shares %v", got, fixed)
		}
	})
}

// TestDivisionMovesInSteps has the demand change for good. It guards against a division that jumps, which would move most
// prefixes at once, and against one that never arrives.
func TestDivisionMovesInSteps(t *testing.T) {
	tms := timer.NewManual(time.Unix(1000, 0))
	svc := newService("engines")
	svc.setGapTargets([]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond})
	const engines, seconds = 80, 30
	last := append([]float64(nil), svc.bounds...)
	for range seconds {
		for range 10 {
			svc.begin(2, Request{}, 5000, tms.Now())
			svc.end(2, tms.Now())
			svc.adjust(engines, tms.Now())
			tms.Advance(100 * time.Millisecond)
		}
		for cls, bnd := range svc.bounds {
			if diff := math.Abs(bnd - last[cls]); diff > maxDivisionStep+1e-9 {
				t.Fatalf("a boundary moved by %.3f of the engines in one second", diff)
			}
		}
		copy(last, svc.bounds)
	}
	if svc.bounds[1] > 2.0/engines+divisionTolerance {
		t.Errorf("classes without calls still have %.2f of the engines after %d s", svc.bounds[1], seconds)
	}
}

// TestClassesFollowGapTargets checks which class a call belongs to, by the gap targets of its service's routes.
func TestClassesFollowGapTargets(t *testing.T) {
	const long = 100000
	cases := map[string]struct {
		targets []time.Duration
		req     Request
		want    class
	}{
		"strictest of three":              {targets: []time.Duration{500, 100, 200}, req: Request{GapTarget: 100, PromptTokens: long}, want: 0},
		"between two targets":             {targets: []time.Duration{500, 100, 200}, req: Request{GapTarget: 300}, want: 1},
		"no gap target":                   {targets: []time.Duration{500, 100, 0}, req: Request{}, want: 2},
		"four targets, nearest merged":    {targets: []time.Duration{500, 100, 200, 450}, req: Request{GapTarget: 500}, want: 2},
		"single target, short prompt":     {targets: []time.Duration{500, 500}, req: Request{GapTarget: 500, PromptTokens: 10}, want: 0},
		"single target, long prompt":      {targets: []time.Duration{500, 500}, req: Request{GapTarget: 500, PromptTokens: long}, want: 1},
		"no targets known, long prompt":   {req: Request{GapTarget: 500, PromptTokens: long}, want: 1},
		"stricter than all of the routes": {targets: []time.Duration{500, 100}, req: Request{GapTarget: 50}, want: 0},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			svc := newService("engines")
			svc.setGapTargets(cas.targets)
			if got := svc.classOf(cas.req); got != cas.want {
				t.Errorf("class %d, want %d", got, cas.want)
			}
		})
	}
}

// TestNoClassIsEmpty guards against classes that get no engine by rounding, and against engines in no class.
func TestNoClassIsEmpty(t *testing.T) {
	rapid.Check(t, func(rap *rapid.T) {
		num := rapid.IntRange(1, 40).Draw(rap, "engines")
		fst := rapid.Float64Range(0, 1).Draw(rap, "first")
		snd := rapid.Float64Range(fst, 1).Draw(rap, "second")
		bal := New(Options{Timers: timer.NewManual(time.Unix(1000, 0))})
		list := make([]router.Instance, num)
		for idx := range list {
			list[idx].ID = strconv.Itoa(idx)
		}
		par, sum := bal.newPartition(list, []float64{fst, snd, 1}, newService("engines")), 0
		for cls, engs := range par.classes {
			sum += len(engs)
			if len(engs) == 0 && num >= len(par.classes) {
				rap.Errorf("class %d is empty", cls)
			}
		}
		if sum != num {
			rap.Errorf("%d of %d engines are in a class", sum, num)
		}
	})
}
