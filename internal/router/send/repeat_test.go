package send_test

import (
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestRepeatedRejectionIsNoAnswer guards against a rejection of an earlier request that an upstream sends once more on a kept
// connection: the request that is under way there may run, so that its caller must not be told that it was not, and it must
// not be sent again if it may run only once.
func TestRepeatedRejectionIsNoAnswer(t *testing.T) {
	const (
		earlier     = "HTTP/1.1 503 Full\r\nStand-Id: earlier\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		nameless    = "HTTP/1.1 503 Full\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		misdirected = "HTTP/1.1 421 Other\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	)
	once, twice := router.Route{Attempts: 1}, router.Route{Attempts: 2}
	idempotent := router.Route{Attempts: 2, Repeat: router.Idempotent}
	cases := map[string]struct {
		// first holds the responses of the upstream that gets the first call, and other those of another one; there is none
		// if it is empty.
		first, other []string
		// route is that of the second call.
		route    router.Route
		statuses [2]int
		outcome  router.Outcome
		// others is how many requests the other upstream gets.
		others int
	}{
		"of an earlier request": {
			first: []string{whole, earlier}, other: []string{whole}, route: twice, statuses: [2]int{200, 502}, outcome: router.Unknown,
		},
		"that names no request": {
			first: []string{whole, nameless}, other: []string{whole}, route: twice, statuses: [2]int{200, 502}, outcome: router.Unknown,
		},
		"421 that names no request": {
			first: []string{whole, misdirected}, other: []string{whole}, route: twice, statuses: [2]int{200, 502}, outcome: router.Unknown,
		},
		"after a rejection": {first: []string{full, nameless}, route: once, statuses: [2]int{503, 502}, outcome: router.Unknown},
		"of an idempotent call": {
			first: []string{whole, nameless}, other: []string{whole}, route: idempotent, statuses: [2]int{200, 200}, outcome: router.Ran, others: 1,
		},
		"of the request itself": {
			first: []string{whole, full}, other: []string{whole}, route: twice, statuses: [2]int{200, 200}, outcome: router.Ran, others: 1,
		},
		"behind the response before": {
			first: []string{whole + earlier, whole}, other: []string{whole}, route: twice, statuses: [2]int{200, 200}, outcome: router.Ran,
		},
		"first on its connection": {first: []string{nameless, whole}, route: once, statuses: [2]int{503, 200}, outcome: router.Ran},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			scrs := []*fakes.ScriptedServer{fakes.NewScriptedServer(t, cas.first...)}
			if len(cas.other) > 0 {
				scrs = append(scrs, fakes.NewScriptedServer(t, cas.other...))
			}
			snd := newSender(grd, scrs...)
			one, _, _ := sendCall(snd, once, router.Call{})
			two, rep, _ := sendCall(snd, cas.route, router.Call{})
			if one.Code != cas.statuses[0] || two.Code != cas.statuses[1] || rep.Outcome != cas.outcome {
				t.Errorf("statuses %d and %d, outcome %s; want %v, %s", one.Code, two.Code, rep.Outcome, cas.statuses, cas.outcome)
			}
			if len(cas.other) > 0 && len(scrs[1].Requests()) != cas.others {
				t.Errorf("the other upstream got %d requests, want %d", len(scrs[1].Requests()), cas.others)
			}
		})
	}
}
