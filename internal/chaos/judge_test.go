package chaos

import (
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

// TestJudge checks that the judge sees each kind of broken promise.
func TestJudge(t *testing.T) {
	done := []stand.Execution{{Key: "k", Request: "r1"}}
	for name, tst := range map[string]struct {
		told      Told
		executed  []stand.Execution
		holds     bool
		remaining int
	}{
		"executed and told":      {Told{Key: "k", Request: "r1", Outcome: router.Ran, Body: digestOf("k")}, done, true, 0},
		"executed twice":         {Told{Key: "k", Request: "r1", Outcome: router.Ran, Body: digestOf("k")}, append(done, done...), false, 0},
		"told NotRun and ran":    {Told{Key: "k", Request: "r1", Outcome: router.NotRun}, done, false, 0},
		"another sending ran":    {Told{Key: "k", Request: "r2", Outcome: router.NotRun}, done, true, 0},
		"another order's answer": {Told{Key: "k", Request: "r1", Outcome: router.Ran, Body: digestOf("x")}, done, false, 0},
		"told Ran and never ran": {Told{Key: "k", Request: "r1", Outcome: router.Ran, Body: digestOf("k")}, nil, false, 0},
		"left unknown":           {Told{Key: "k", Request: "r1", Outcome: router.Unknown}, done, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ver := Judge([]Told{tst.told}, map[string][]stand.Execution{"k": tst.executed})
			if ver.Holds() != tst.holds || ver.Open != tst.remaining {
				t.Fatalf("%s", ver)
			}
		})
	}
}
