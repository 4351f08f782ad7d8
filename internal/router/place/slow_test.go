package place

import (
	"math/rand/v2"
	"testing"
	"time"
)

var routeTargets = []time.Duration{time.Second, 400 * time.Millisecond, 250 * time.Millisecond}

// kinds returns the three kinds of calls of a service with long, medium and short prompts.
func (mod *model) kinds() []func() Request {
	return []func() Request{
		mod.prompt(13300, 3720, 150, 20, 2500*time.Millisecond, routeTargets[0]),
		mod.prompt(6300, 2890, 100, 20, 800*time.Millisecond, routeTargets[1]),
		mod.prompt(350, 1110, 80, 20, 500*time.Millisecond, routeTargets[2]),
	}
}

// slowShare returns the share of the short prompts placed since a time that went to slow engines.
func (mod *model) slowShare(since time.Time) float64 {
	slow, all := 0.0, 0.0
	for _, cal := range mod.done {
		if cal.req.GapTarget != routeTargets[2] || cal.sent.Before(since) {
			continue
		}
		all++
		if cal.engine.speed < 50 {
			slow++
		}
	}
	return slow / all
}

// TestShortPromptsMeetNoSlowEngineInBurst has a burst of short, urgent prompts at 24 engines. It guards against their streams
// running at slow engines, whose steps are too long for their gap target, once the nodes know these, and against nodes that
// disagree about the classes of engines.
func TestShortPromptsMeetNoSlowEngineInBurst(t *testing.T) {
	cases := map[string]struct{ slowEvery int }{
		"a quarter slow": {slowEvery: 4},
		"none slow":      {},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := newModel(12, 24, cas.slowEvery, 0, routeTargets)
			mod.run(12*time.Second, 5, mod.kinds()...)
			before := mod.slowShare(time.Time{})
			since := mod.timers.Now()
			mod.run(5*time.Second, 10, append(mod.kinds(), mod.kinds()[2], mod.kinds()[2])...)
			if got := mod.slowShare(since); got > 0 {
				t.Errorf("%.2f of the short prompts of the burst met a slow engine, %.2f before", got, before)
			}
			if cas.slowEvery > 0 && before == 0 {
				t.Error("no short prompt met a slow engine before the nodes knew them")
			}
			other, slow := 0, 0
			for _, bal := range mod.nodes {
				mine, first := bal.services["s"].partition, mod.nodes[0].services["s"].partition
				for id, eng := range mine.byID {
					if eng.class != first.byID[id].class {
						other++
					}
					if eng.slow {
						slow++
					}
				}
			}
			if cas.slowEvery == 0 && slow > 0 {
				t.Errorf("%d engines of the usual speed were moved", slow)
			}
			if limit := len(mod.nodes) * len(mod.list) / 10; other > limit {
				t.Errorf("%d engines are in another class than at the first node, want %d at most", other, limit)
			}
		})
	}
}

// TestSlowEngineMovesOnlyIfRateStaysOff guards against engines changing their class, and losing their cached prefixes,
// because of a slow period or a rate near the limit.
func TestSlowEngineMovesOnlyIfRateStaysOff(t *testing.T) {
	cases := map[string]struct {
		rates []float64
		want  bool
	}{
		"usual":                      {rates: []float64{60, 60, 60, 60, 60}},
		"slow period of one second":  {rates: []float64{60, 40, 60, 60, 60}},
		"slow for four seconds":      {rates: []float64{60, 40, 40, 40, 40}, want: true},
		"slow, then between limits":  {rates: []float64{40, 40, 40, 40, 53, 53, 53, 53, 53}, want: true},
		"slow, then usual for a bit": {rates: []float64{40, 40, 40, 40, 60, 60, 40}, want: true},
		"slow, then usual":           {rates: []float64{40, 40, 40, 40, 60, 60, 60, 60}},
		"at the limit":               {rates: []float64{53, 53, 53, 53, 53}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			lod, now := &load{}, time.Unix(1000, 0)
			for _, rate := range cas.rates {
				lod.rate.fleet = average{value: rate, count: minSlowCount}
				lod.updateSlow(maxSlowRatio*60, (maxSlowRatio+returnMargin)*60, now)
				now = now.Add(time.Second)
			}
			if lod.slow != cas.want {
				t.Errorf("slow is %t", lod.slow)
			}
		})
	}
}

// TestSlowestGoToTheTolerantClass has more slow engines than the last class holds. It guards against the slowest of them
// staying with short prompts, and against classes that change their size.
func TestSlowestGoToTheTolerantClass(t *testing.T) {
	mod := newModel(1, 24, 2, 0, routeTargets)
	bal := mod.nodes[0]
	svc := bal.serviceOf("s")
	for num, ins := range mod.list {
		if num%2 == 0 {
			lod := bal.loadOf(ins)
			lod.slow, lod.rate.fleet.value = true, 20+float64(num)
		}
	}
	par := bal.newPartition(mod.list, []float64{0.5, 0.75, 1}, svc)
	if len(par.classes[2]) != 6 {
		t.Fatalf("the last class has %d engines", len(par.classes[2]))
	}
	for _, eng := range par.classes[2] {
		if eng.load.rate.fleet.value > 34 {
			t.Errorf("%s is in the last class, slower ones are not", eng.ID)
		}
	}
}

// TestEqualEnginesAreNotFoundSlowInSurge has a surge at engines of one speed. It guards against engines that lose their cached
// prefixes because outdated data on their queues, or few observations, make them seem slow.
func TestEqualEnginesAreNotFoundSlowInSurge(t *testing.T) {
	for seed := range uint64(4) {
		mod := newModel(12, 48, 0, 514268, routeTargets)
		mod.random = rand.New(rand.NewPCG(seed, 9))
		mod.nodes[0].options.OnSpeed = func(chg SpeedChange) {
			t.Errorf("seed %d: %s has the rate %.1f, the median is %.1f", seed, chg.Instance.ID, chg.Rate, chg.Median)
		}
		mod.run(6*time.Second, 8, mod.kinds()...)
		mod.run(6*time.Second, 22, mod.kinds()...)
	}
}

// TestSlowRatioFollowsGapTargets guards against keeping calls from engines that meet the gap targets of all calls, and from engines that
// are no worse for them than usual ones.
func TestSlowRatioFollowsGapTargets(t *testing.T) {
	cases := map[string]struct {
		gap, target time.Duration
		want        float64
	}{
		"slow engines miss the target":        {150 * time.Millisecond, 250 * time.Millisecond, 0.6},
		"only very slow engines miss it":      {50 * time.Millisecond, 200 * time.Millisecond, 0.25},
		"engines a little slower miss it":     {190 * time.Millisecond, 200 * time.Millisecond, maxSlowRatio},
		"usual engines miss the target":       {150 * time.Millisecond, 120 * time.Millisecond, 0},
		"no call of the service has a target": {150 * time.Millisecond, noGapTarget, 0},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			svc := newService("s")
			svc.setGapTargets([]time.Duration{cas.target, time.Hour})
			svc.speed.prefillGap = cas.gap
			if got := svc.slowRatio(); got < cas.want-0.001 || got > cas.want+0.001 {
				t.Errorf("ratio %.3f, want %.3f", got, cas.want)
			}
		})
	}
}
