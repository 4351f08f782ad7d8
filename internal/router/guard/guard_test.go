package guard_test

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestQuarantine guards against quarantining a request after one crash, also if two nodes report it, and
// against running one again that crashed two upstreams.
func TestQuarantine(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, tst := range map[string]struct {
		crashes []guard.Crash
		clear   bool
		want    bool
	}{
		"one crash makes a suspect":             {crashes: []guard.Crash{{Digest: "d", Upstream: "u1", At: now}}},
		"two crashes quarantine":                {crashes: []guard.Crash{{Digest: "d", Upstream: "u1", At: now}, {Digest: "d", Upstream: "u2", At: now}}, want: true},
		"one crash reported twice counts once":  {crashes: []guard.Crash{{Digest: "d", Upstream: "u1", At: now}, {Digest: "d", Upstream: "u1", At: now.Add(time.Millisecond)}}},
		"completion clears a suspect":           {crashes: []guard.Crash{{Digest: "d", Upstream: "u1", At: now}}, clear: true},
		"completion does not lift a quarantine": {crashes: []guard.Crash{{Digest: "d", Upstream: "u1", At: now}, {Digest: "d", Upstream: "u2", At: now}}, clear: true, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.NewManual(now), guard.DefaultMaxCrashes)
			defer stop()
			for _, crs := range tst.crashes {
				grd.Add(crs)
			}
			if tst.clear {
				grd.Clear("d")
			}
			if got := grd.IsQuarantined("d"); got != tst.want {
				t.Fatalf("quarantined %v, want %v", got, tst.want)
			}
			if grd.IsSuspect("other") {
				t.Fatal("another request is suspect")
			}
		})
	}
}
