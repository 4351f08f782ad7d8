package send_test

import (
	"net/http"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// The responses of an upstream that is leaving: to a request that it has run, and to one that it has not.
const (
	lastWhole = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nStand-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"
	lastFull  = "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nStand-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
)

// TestNoRequestsToLeavingUpstream guards against new requests to an upstream whose answers state that it is leaving, although
// its record does not.
func TestNoRequestsToLeavingUpstream(t *testing.T) {
	cases := map[string]struct {
		// leaving and staying are the responses of the two upstreams, each repeated.
		leaving, staying string
		// statuses are those of successive calls; one upstream alone gets them if staying is empty.
		statuses []int
	}{
		"after an answer":                 {leaving: lastWhole, staying: whole, statuses: []int{200, 200, 200, 200, 200}},
		"after a rejection":               {leaving: lastFull, staying: whole, statuses: []int{200, 200, 200, 200, 200}},
		"the only upstream is leaving":    {leaving: lastWhole, statuses: []int{200, 503, 503}},
		"the only upstream turns it away": {leaving: lastFull, statuses: []int{503, 503, 503}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			repeat := func(rsp string) (rsps []string) {
				for range len(cas.statuses) {
					rsps = append(rsps, rsp)
				}
				return rsps
			}
			scrs := []*fakes.ScriptedServer{fakes.NewScriptedServer(t, repeat(cas.leaving)...)}
			if cas.staying != "" {
				scrs = append(scrs, fakes.NewScriptedServer(t, repeat(cas.staying)...))
			}
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			snd := newSender(grd, scrs...)
			for num, want := range cas.statuses {
				rec, _, _ := sendCall(snd, router.Route{Attempts: 2}, router.Call{})
				if rec.Code != want {
					t.Errorf("call %d: status %d, want %d", num, rec.Code, want)
				}
				if rec.Code == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") == "" {
					t.Errorf("call %d: no Retry-After", num)
				}
			}
			if got := len(scrs[0].Requests()); got > 1 {
				t.Errorf("the leaving upstream got %d requests", got)
			}
		})
	}
}
