package burn_test

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

var fast = router.Class{Name: "fast", Objective: 0.99, FirstToken: time.Second}

func observation(out router.Outcome, status int, first time.Duration) meter.Observation {
	return meter.Observation{Workspace: "w", Class: fast, Outcome: out, Status: status, FirstToken: first, Tokens: 1}
}

// TestWindows guards against wrong burn rates: requests that missed their target and server errors count as missed,
// client errors do not count at all, and a window excludes requests older than its length.
func TestWindows(t *testing.T) {
	tms := timer.NewManual(time.Unix(1_000_020, 0))
	rec := burn.NewRecorder(tms, "here")
	for range 98 {
		rec.Observe(observation(router.Ran, 200, time.Millisecond))
	}
	rec.Observe(observation(router.Ran, 200, 2*time.Second))
	rec.Observe(observation(router.NotRun, 503, 0))
	// A client error counts neither as met nor as missed.
	rec.Observe(observation(router.NotRun, 400, 0))
	row := rec.Report("n").Rows[0]
	if row.Windows[0] != (burn.Counts{Total: 100, Missed: 2}) || row.Rate(0) < 1.99 || row.Rate(0) > 2.01 {
		t.Fatalf("%+v burns at %g", row, row.Rate(0))
	}
	tms.Advance(10 * time.Minute)
	row = rec.Report("n").Rows[0]
	if row.Windows[0].Total != 0 || row.Windows[1].Total != 100 {
		t.Fatalf("after ten minutes: %+v", row)
	}
	tms.Advance(6 * time.Hour)
	if row = rec.Report("n").Rows[0]; row.Windows[3].Total != 0 {
		t.Fatalf("after six hours: %+v", row)
	}
}

// TestMergeNamesMissingNodes guards against a merged report that hides nodes that did not answer.
func TestMergeNamesMissingNodes(t *testing.T) {
	one := burn.Row{Class: "c", Workspace: "w", Site: "s", Objective: 0.9, Windows: []burn.Counts{{Total: 3, Missed: 1}}}
	rep := burn.Merge([]burn.Report{{Rows: []burn.Row{one}}, {Missing: []string{"hb-2"}}, {Rows: []burn.Row{one}}})
	if len(rep.Rows) != 1 || rep.Rows[0].Windows[0] != (burn.Counts{Total: 6, Missed: 2}) {
		t.Fatalf("%+v", rep.Rows)
	}
	if len(rep.Missing) != 1 || rep.Missing[0] != "hb-2" {
		t.Fatalf("missing %v", rep.Missing)
	}
}
