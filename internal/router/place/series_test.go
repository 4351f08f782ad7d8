package place

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// record writes the recorded choices anew; it is for changes that are meant to place such services in another way.
var record = flag.Bool("record", false, "write the recorded choices of TestServiceIsPlacedAsBefore")

// running is a call of a series that has been sent to its engine.
type running struct {
	*Reservation

	first, end time.Time
	begun      bool
}

// series places calls on 24 engines of equal speed, and returns the choice for each as a letter. Where earlier choices are
// given, the calls go where these say, so that one choice that differs does not change the load for the next ones.
func series(spec *router.EngineSpec, earlier string) (choices string) {
	const engines, calls, tokensPerMs = 24, 3000, 48
	tms := timer.NewManual(time.Unix(1000, 0))
	bal := New(Options{Timers: tms, FailureDomain: "a", Regions: map[string]string{"a": "one", "b": "one", "c": "two"}})
	list := make([]router.Instance, engines)
	letter := make(map[string]string)
	for num := range list {
		id := fmt.Sprintf("e%02d", num)
		list[num] = router.Instance{ID: id, Address: id, FailureDomain: string("abc"[num%3])}
		letter[id] = string(rune('a' + num))
	}
	kinds := []Request{
		{PromptTokens: 17020, OutputTokens: 200, Target: 2500 * time.Millisecond, GapTarget: time.Second, Ranks: router.Ranks{InTime: 4, Late: 5}},
		{PromptTokens: 9190, OutputTokens: 150, Target: 800 * time.Millisecond, GapTarget: 400 * time.Millisecond, Ranks: router.Ranks{InTime: 2, Late: 3}},
		{PromptTokens: 1460, OutputTokens: 100, Target: 500 * time.Millisecond, GapTarget: 250 * time.Millisecond, Ranks: router.Ranks{Late: 1}},
	}
	shared := []int{13300, 6300, 350}
	bal.SetGapTargets("s", []time.Duration{time.Second, 400 * time.Millisecond, 250 * time.Millisecond})
	rnd := rand.New(rand.NewPCG(1, 2))
	var runs []*running
	var res strings.Builder
	for num := range calls {
		// A burst at twice the usual rate takes the middle third of the series.
		mean := 12.0
		if num/1000 == 1 {
			mean = 6
		}
		tms.Advance(time.Duration(mean * rnd.ExpFloat64() * float64(time.Millisecond)))
		runs = settle(runs, tms.Now())
		knd := rnd.IntN(len(kinds))
		req := kinds[knd]
		req.Service, req.Engine = "s", spec
		part := uint64(100*knd + min(rnd.IntN(20), rnd.IntN(20)))
		req.Prefixes = SharedPrefixes([]router.PromptPart{{ID: part, Tokens: shared[knd]}, {ID: 1 << 40, Tokens: req.PromptTokens - shared[knd]}})
		ins, rsv, _ := bal.Propose(req, list, func(router.Instance) bool { return false })
		res.WriteString(letter[ins.ID])
		if earlier != "" && letter[ins.ID] != earlier[num:num+1] {
			rsv.Release(Inconclusive)
			_, rsv, _ = bal.Propose(req, list, func(ins router.Instance) bool { return letter[ins.ID] != earlier[num:num+1] })
		}
		rsv.Start()
		took := float64(rsv.firstEventWork)/tokensPerMs + 10
		fst := tms.Now().Add(time.Duration(took * float64(time.Millisecond)))
		runs = append(runs, &running{Reservation: rsv, first: fst, end: fst.Add(time.Duration(5*req.OutputTokens) * time.Millisecond)})
	}
	return res.String()
}

// settle reports the events and ends of calls up to a time and returns those that are left.
func settle(runs []*running, now time.Time) (left []*running) {
	for _, run := range runs {
		if !run.begun && !now.Before(run.first) {
			run.begun = true
			run.ObserveEvent()
		}
		if now.Before(run.end) {
			left = append(left, run)
			continue
		}
		run.Release(Served)
	}
	return left
}

// TestServiceIsPlacedAsBefore guards against rules for slow engines, small tokens and scarce cache memory changing the
// choices for a service that has none of these. The recorded choices are those of the code before these rules.
func TestServiceIsPlacedAsBefore(t *testing.T) {
	cases := map[string]struct {
		spec *router.EngineSpec
		// minSame is the share of the choices that must be the same. The price of a copied token differs by a few percent.
		minSame float64
	}{
		"without copies":      {spec: &router.EngineSpec{Slots: 64, CacheTokens: 2e6}, minSame: 1},
		"large tokens copied": {spec: &router.EngineSpec{Slots: 64, CacheTokens: 2e6, TokenBytes: 327680, CopySpeed: 60e9}, minSame: 0.99},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join("testdata", "choices", strings.ReplaceAll(name, " ", "-")+".txt")
			if *record {
				if err := os.WriteFile(file, []byte(series(cas.spec, "")), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got, same := series(cas.spec, string(want)), 0
			for num := range got {
				if got[num] == want[num] {
					same++
				}
			}
			if shr := float64(same) / float64(len(want)); shr < cas.minSame {
				t.Errorf("%.4f of %d choices are the same", shr, len(want))
			}
		})
	}
}
