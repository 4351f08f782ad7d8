package send_test

import (
	"net/http"
	"strconv"
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

// TestNoRequestsToPausedUpstream guards against requests to an upstream that rejected one and stated for how long it accepts no
// others, and against callers that are not told when to come back.
func TestNoRequestsToPausedUpstream(t *testing.T) {
	rejection := func(status, retryAfter string) string {
		return "HTTP/1.1 " + status + " Full\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n"
	}
	cases := map[string]struct {
		first, second string
		statuses      []int
		// requests is what the first upstream gets.
		requests int
	}{
		"another upstream accepts":         {first: rejection("503", "60"), second: whole, statuses: []int{200, 200, 200}, requests: 1},
		"the only upstream":                {first: rejection("503", "60"), statuses: []int{503, 503, 503}, requests: 1},
		"both upstreams":                   {first: rejection("503", "60"), second: rejection("503", "50"), statuses: []int{503, 503, 503}, requests: 1},
		"a fraction of a second, but long": {first: rejection("503", "59.9"), second: whole, statuses: []int{200, 200, 200}, requests: 1},
		"the pause is over":                {first: rejection("503", "0.000001"), statuses: []int{503, 503, 503}, requests: 3},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			scrs := []*fakes.ScriptedServer{fakes.NewScriptedServer(t, cas.first, cas.first, cas.first)}
			if cas.second != "" {
				scrs = append(scrs, fakes.NewScriptedServer(t, cas.second, cas.second, cas.second))
			}
			snd := newSender(grd, scrs...)
			for num, want := range cas.statuses {
				rec, rep, _ := sendCall(snd, router.Route{Attempts: 2}, router.Call{})
				if rec.Code != want || want == http.StatusServiceUnavailable && rep.Outcome != router.NotRun {
					t.Errorf("call %d: status %d, outcome %s, want %d", num, rec.Code, rep.Outcome, want)
				}
				sec, err := strconv.ParseFloat(rec.Header().Get("Retry-After"), 64)
				if want == http.StatusServiceUnavailable && (err != nil || cas.requests == 1 && (sec < 40 || sec > 60)) {
					t.Errorf("call %d: Retry-After %q", num, rec.Header().Get("Retry-After"))
				}
			}
			if got := len(scrs[0].Requests()); got != cas.requests {
				t.Errorf("the upstream got %d requests, want %d", got, cas.requests)
			}
		})
	}
}
