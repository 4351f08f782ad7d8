package limit_test

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/limit"
)

// TestLimiter guards against a node that admits more or less than its part of the limits of a workspace. All requests
// arrive at the same time.
func TestLimiter(t *testing.T) {
	now := time.Unix(1000, 0)
	spc := router.Workspace{Name: "w", RequestRate: 12, Burst: 6, InFlight: 4}
	for name, tst := range map[string]struct {
		nodes int
		// finish ends each request before the next one arrives.
		finish bool
		want   int
	}{
		"in flight, one node":   {nodes: 1, want: 4},
		"in flight, two nodes":  {nodes: 2, want: 2},
		"burst, one node":       {nodes: 1, finish: true, want: 6},
		"burst, three nodes":    {nodes: 3, finish: true, want: 2},
		"at least one per node": {nodes: 100, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			lim := limit.NewLimiter()
			lim.Configure([]router.Workspace{spc})
			lim.SetNodes(tst.nodes)
			got := 0
			for range 20 {
				done, err := lim.Admit("w", now)
				if err != nil {
					continue
				}
				got++
				if tst.finish {
					done()
				}
			}
			if got != tst.want {
				t.Fatalf("%d admitted, want %d", got, tst.want)
			}
		})
	}
}
