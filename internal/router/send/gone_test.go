package send_test

import (
	"net/http"
	"slices"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// replaced is the response of another incarnation than the one that the request names.
const replaced = "HTTP/1.1 421 Other\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// TestCallsOfReplacedUpstreams guards against refusing calls that may be sent once because the upstream that was chosen has crashed and
// another one has its address, and against sending more calls to that address.
func TestCallsOfReplacedUpstreams(t *testing.T) {
	cases := map[string]struct {
		// replaced is the number of upstreams whose addresses others have; one more upstream answers.
		replaced int
		statuses []int
	}{
		"one":                    {replaced: 1, statuses: []int{200, 200, 200}},
		"two":                    {replaced: 2, statuses: []int{200, 200, 200}},
		"more than a call tries": {replaced: 6, statuses: []int{503, 503, 200}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			scrs := make([]*fakes.ScriptedServer, 0, cas.replaced+1)
			for range cas.replaced {
				scrs = append(scrs, fakes.NewScriptedServer(t, replaced, replaced))
			}
			// The roster orders upstreams of equal cost by name, so that the last one is chosen last.
			scrs = append(scrs, fakes.NewScriptedServer(t, slices.Repeat([]string{whole}, len(cas.statuses))...))
			snd := newSender(grd, scrs...)
			for num, want := range cas.statuses {
				rec, rep, _ := sendCall(snd, router.Route{Attempts: 1}, router.Call{})
				if rec.Code != want {
					t.Errorf("call %d: status %d, want %d", num, rec.Code, want)
				}
				if rec.Code == http.StatusServiceUnavailable && rep.Outcome != router.NotRun {
					t.Errorf("call %d: outcome %s", num, rep.Outcome)
				}
			}
			for num, scr := range scrs[:cas.replaced] {
				if got := len(scr.Requests()); got > 1 {
					t.Errorf("upstream %d got %d requests", num, got)
				}
			}
		})
	}
}
