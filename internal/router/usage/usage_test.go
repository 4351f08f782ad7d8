package usage

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// TestOneReportForEachWindow guards against two different reports on a window: several nodes believe to hold the duties, processes
// end between the write of the row, the call and its answer, writes and answers are late or lost, messages between nodes are lost, so
// that collections differ, and the store is restored from an older copy.
func TestOneReportForEachWindow(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 7, 8} {
		for _, knowsEra := range []bool{false, true} {
			playFaults(t, seed, knowsEra)
		}
	}
}

// playFaults plays a random day of a fleet of five nodes; the platform of the model compares the reports.
func playFaults(t *testing.T, seed uint64, knowsEra bool) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	oneIn := func(num int) func() bool { return func() bool { return rng.IntN(num) == 0 } }
	flt := newFleet(t)
	flt.random = rng
	flt.loseMessage, flt.loseAnswer, flt.delayWrite, flt.loseReport = oneIn(3), oneIn(8), oneIn(5), oneIn(3)
	flt.dieAfterWrite, flt.dieInReport = oneIn(8), oneIn(8)
	names := []string{"a", "b", "c", "d", "e"}
	for _, nam := range names {
		flt.start(nam, knowsEra)
	}
	saved := maps.Clone(flt.rows)
	for range 5_000 {
		flt.tms.Advance(100 * time.Millisecond)
		nod := flt.nodes[names[rng.IntN(len(names))]]
		for range 3 {
			flt.count(nod, names[rng.IntN(3)])
		}
		switch rng.IntN(120) {
		case 0, 1, 2, 3:
			flt.acquire(nod)
		case 4, 5, 6:
			nod.believes = false
		case 7, 8:
			flt.start(nod.name, knowsEra)
		case 9:
			nod.cut = !nod.cut
		case 10:
			if rng.IntN(3) == 0 {
				saved = maps.Clone(flt.rows)
			}
		case 11:
			if rng.IntN(3) == 0 {
				flt.restore(saved)
			}
		}
	}
	repeated := 0
	for _, rps := range flt.reports {
		repeated += len(rps) - 1
	}
	t.Logf("seed %d: %d windows reported of %d, %d repeats, era %d", seed, len(flt.reports), len(flt.truth), repeated, flt.era)
	if len(flt.reports) < len(flt.truth)/4 {
		t.Errorf("seed %d: %d windows reported of %d", seed, len(flt.reports), len(flt.truth))
	}
}

// TestSingleFailures guards against a missing, late, different or wrong report after one failure.
func TestSingleFailures(t *testing.T) {
	once := func() func() bool {
		done := false
		return func() bool {
			was := done
			done = true
			return !was
		}
	}
	const gaveUp, omitted = -1, -2
	type play struct {
		fault func(flt *fleet)
		// at is when act is called, after the end of the window.
		at  time.Duration
		act func(flt *fleet)
		// sends is the number of times that the report arrives; zero means that there are several, gaveUp that none of several is
		// answered, and omitted that there is none.
		sends int
	}
	handOver := func(flt *fleet) { flt.acquire(flt.nodes["b"]) }
	cases := map[string]play{
		"none":                         {sends: 1},
		"answer of the write lost":     {fault: func(flt *fleet) { flt.loseAnswer = once() }, sends: 1},
		"write late":                   {fault: func(flt *fleet) { flt.delayWrite = once() }, sends: 1},
		"answer of the call lost":      {fault: func(flt *fleet) { flt.loseReport = once() }, sends: 2},
		"holder ends after the write":  {fault: func(flt *fleet) { flt.dieAfterWrite = once() }, at: 4 * time.Second, act: handOver, sends: 1},
		"holder ends in the call":      {fault: func(flt *fleet) { flt.dieInReport, flt.loseReport = once(), once() }, at: 4 * time.Second, act: handOver, sends: 2},
		"holder ends before the write": {at: 500 * time.Millisecond, act: func(flt *fleet) { flt.kill("a"); handOver(flt) }, sends: 1},
		"two holders":                  {at: 600 * time.Millisecond, act: handOver, sends: 2},
		"no holder for a time": {at: 600 * time.Millisecond, act: func(flt *fleet) {
			flt.nodes["a"].believes = false
			flt.tms.After(6*time.Second, func(time.Time) { handOver(flt) })
		}, sends: 1},
		"messages lost": {fault: func(flt *fleet) { num := 0; flt.loseMessage = func() bool { num++; return num%3 != 0 } }, sends: 1},
		"platform down for 15 s": {fault: func(flt *fleet) {
			end := flt.tms.Now().Add(17 * time.Second)
			flt.loseReport = func() bool { return flt.tms.Now().Before(end) }
		}, sends: 0},
		"platform down for longer":     {fault: func(flt *fleet) { flt.loseReport = func() bool { return true } }, sends: gaveUp},
		"restored before the report":   {at: 100 * time.Millisecond, act: func(flt *fleet) { flt.restore(nil); flt.nodes["a"].believes = false; handOver(flt) }, sends: omitted},
		"restored after the call":      {at: 4 * time.Second, act: func(flt *fleet) { flt.restore(nil); handOver(flt) }, sends: 1},
		"restored after a lost answer": {fault: func(flt *fleet) { flt.loseReport = once() }, at: 1050 * time.Millisecond, act: func(flt *fleet) { flt.restore(nil); flt.acquire(flt.nodes["a"]) }, sends: 2},
		"restored, then a write of another holder applied late": {at: 600 * time.Millisecond, act: func(flt *fleet) {
			saved := maps.Clone(flt.rows)
			late := flt.late(flt.nodes["a"], "some", 1)
			handOver(flt)
			flt.tms.After(4*time.Second, func(time.Time) {
				flt.restore(saved)
				late()
				flt.acquire(flt.nodes["c"])
			})
		}, sends: 2},
		"restored, holder starts after":   {at: 4 * time.Second, act: func(flt *fleet) { flt.restore(nil); flt.acquire(flt.start("b", false)) }, sends: 1},
		"accepted, duties lost, regained": {at: 4 * time.Second, act: func(flt *fleet) { flt.acquire(flt.nodes["a"]) }, sends: 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			flt := newFleet(t)
			flt.random = rand.New(rand.NewPCG(1, 1))
			for _, nam := range []string{"a", "b", "c"} {
				flt.start(nam, true)
			}
			flt.tms.Advance(testWindow)
			win := flt.tms.Now().UnixNano() / int64(testWindow)
			flt.acquire(flt.nodes["a"])
			flt.tms.Advance(3 * time.Second)
			for _, nam := range slices.Sorted(maps.Keys(flt.nodes)) {
				flt.count(flt.nodes[nam], "some")
				flt.count(flt.nodes[nam], "other")
			}
			flt.tms.Advance(2 * time.Second)
			if cas.fault != nil {
				cas.fault(flt)
			}
			flt.tms.Advance(cas.at)
			if cas.act != nil {
				cas.act(flt)
			}
			flt.tms.Advance(3*testWithin - cas.at)
			rps := flt.reports[win]
			if (len(rps) == 0) != (cas.sends == omitted) || cas.sends > 0 && len(rps) != cas.sends {
				t.Fatalf("%d reports, want %d\n%s", len(rps), cas.sends, flt.log.String())
			}
			if cas.sends != omitted && !maps.Equal(rps[0].Counts, flt.truth[win]) {
				t.Errorf("report %v, want %v\n%s", rps[0].Counts, flt.truth[win], flt.log.String())
			}
			late := strings.Contains(flt.log.String(), "time over")
			if late != (cas.sends == gaveUp) {
				t.Errorf("given up: %t\n%s", late, flt.log.String())
			}
		})
	}
}

// TestLostNodeIsCounted guards against counts beyond the tolerance when a node ends in the middle of a window and is started again, or
// ends together with one of the two nodes that keep its copies.
func TestLostNodeIsCounted(t *testing.T) {
	const tolerance = 0.05
	cases := map[string][]string{
		"one node, started again": {"e"},
		"with one of its holders": {"e", "b"},
		"holder of the duties":    {"a"},
	}
	for name, killed := range cases {
		t.Run(name, func(t *testing.T) {
			flt := newFleet(t)
			flt.random = rand.New(rand.NewPCG(1, 1))
			names := []string{"a", "b", "c", "d", "e"}
			for _, nam := range names {
				flt.start(nam, true)
			}
			flt.acquire(flt.nodes["a"])
			flt.tms.Advance(testWindow)
			win := flt.tms.Now().UnixNano() / int64(testWindow)
			for num := range 500 {
				flt.tms.Advance(10 * time.Millisecond)
				if num == 300 {
					for _, nam := range killed {
						flt.start(nam, true)
					}
					flt.acquire(flt.nodes["c"])
				}
				for _, nam := range names {
					flt.count(flt.nodes[nam], "some")
				}
				flt.count(flt.nodes["e"], "rare")
			}
			flt.tms.Advance(2 * testWithin)
			rps := flt.reports[win]
			if len(rps) == 0 {
				t.Fatalf("no report\n%s", flt.log.String())
			}
			for wsp, want := range flt.truth[win] {
				if got := rps[0].Counts[wsp]; math.Abs(float64(got-want)) > tolerance*float64(want) {
					t.Errorf("workspace %s: %d requests reported of %d", wsp, got, want)
				}
			}
		})
	}
}

// TestStoppingNodeIsCounted guards against the loss of the requests that a node completes after it has stopped to report.
func TestStoppingNodeIsCounted(t *testing.T) {
	flt := newFleet(t)
	for _, nam := range []string{"a", "b", "c"} {
		flt.start(nam, true)
	}
	flt.tms.Advance(testWindow)
	flt.acquire(flt.nodes["a"])
	win := flt.tms.Now().UnixNano() / int64(testWindow)
	old := flt.nodes["c"]
	flt.count(old, "some")
	flt.tms.Advance(500 * time.Millisecond)
	old.stop()
	flt.count(old, "some")
	flt.tms.Advance(1500 * time.Millisecond)
	flt.count(old, "some")
	old.finish()
	flt.kill("c")
	flt.tms.Advance(testWithin)
	if rps := flt.reports[win]; len(rps) == 0 || rps[0].Counts["some"] != 3 {
		t.Errorf("reports %v, want 3 requests", rps)
	}
}

// TestOldRowsAreRemoved guards against rows of reports that fill the store, and against the removal of rows that are still needed.
func TestOldRowsAreRemoved(t *testing.T) {
	flt := newFleet(t)
	flt.start("a", true)
	flt.acquire(flt.nodes["a"])
	flt.tms.Advance(20 * time.Minute)
	var rows []router.StoredRow
	for key, row := range flt.rows {
		if strings.HasPrefix(key, rowPrefix) {
			rows = append(rows, row)
		}
	}
	if least, most := int(time.Minute/testWindow), 30; len(rows) < least || len(rows) > most {
		t.Errorf("%d rows, want %d to %d", len(rows), least, most)
	}
	if got := len(flt.reports); got < 235 {
		t.Errorf("%d reports in 20 minutes", got)
	}
}
