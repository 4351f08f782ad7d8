package chaos

import (
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// TestCheckOrdersFindsViolations guards against a check that passes although a guarantee about orders was violated.
func TestCheckOrdersFindsViolations(t *testing.T) {
	done := []fakes.Execution{{Key: "k", Request: "r1"}}
	for name, tst := range map[string]struct {
		response   Response
		executed   []fakes.Execution
		ok         bool
		unresolved int
	}{
		"executed once, answered Ran":   {Response{Key: "k", RequestID: "r1", Outcome: router.Ran, Body: orderDigest("k")}, done, true, 0},
		"executed twice":                {Response{Key: "k", RequestID: "r1", Outcome: router.Ran, Body: orderDigest("k")}, append(done, done...), false, 0},
		"answered NotRun but executed":  {Response{Key: "k", RequestID: "r1", Outcome: router.NotRun}, done, false, 0},
		"another attempt executed":      {Response{Key: "k", RequestID: "r2", Outcome: router.NotRun}, done, true, 0},
		"another order's answer":        {Response{Key: "k", RequestID: "r1", Outcome: router.Ran, Body: orderDigest("x")}, done, false, 0},
		"answered Ran but not executed": {Response{Key: "k", RequestID: "r1", Outcome: router.Ran, Body: orderDigest("k")}, nil, false, 0},
		"outcome unresolved":            {Response{Key: "k", RequestID: "r1", Outcome: router.Unknown}, done, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			rsl := CheckOrders([]Response{tst.response}, map[string][]fakes.Execution{"k": tst.executed})
			if rsl.OK() != tst.ok || rsl.Unresolved != tst.unresolved {
				t.Fatalf("%s", rsl)
			}
		})
	}
}
