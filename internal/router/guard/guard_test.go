package guard_test

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

func TestQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tst := range map[string]struct {
		strikes []guard.Strike
		clear   bool
		want    bool
	}{
		"one crash makes a suspect":       {strikes: []guard.Strike{{Digest: "d", Upstream: "u1", At: now}}},
		"two crashes quarantine":          {strikes: []guard.Strike{{Digest: "d", Upstream: "u1", At: now}, {Digest: "d", Upstream: "u2", At: now}}, want: true},
		"one crash seen twice counts one": {strikes: []guard.Strike{{Digest: "d", Upstream: "u1", At: now}, {Digest: "d", Upstream: "u1", At: now.Add(time.Millisecond)}}},
		"an answer clears a neighbour":    {strikes: []guard.Strike{{Digest: "d", Upstream: "u1", At: now}}, clear: true},
		"an answer does not free":         {strikes: []guard.Strike{{Digest: "d", Upstream: "u1", At: now}, {Digest: "d", Upstream: "u2", At: now}}, clear: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.NewManual(now), guard.Strikes)
			defer stop()
			for _, stk := range tst.strikes {
				grd.Add(stk)
			}
			if tst.clear {
				grd.Clear("d")
			}
			if got := grd.Quarantined("d"); got != tst.want {
				t.Fatalf("quarantined %v, want %v", got, tst.want)
			}
			if grd.Suspect("other") {
				t.Fatal("another request is suspect")
			}
		})
	}
}
