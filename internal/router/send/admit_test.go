package send_test

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// scriptedAdmission is an admission with fixed decisions.
type scriptedAdmission struct {
	refuse, waits, unfit, spare bool
	starts, ends, outputs       int
}

func (adm *scriptedAdmission) Admit(ctx context.Context, _ router.AdmissionRequest) (tkt router.AdmissionTicket, ref *router.Refusal) {
	if adm.waits {
		<-ctx.Done()
		return nil, nil
	}
	if adm.refuse {
		return nil, router.Refuse(http.StatusServiceUnavailable, router.CodeShed, "full")
	}
	return adm, nil
}

func (adm *scriptedAdmission) Check(router.UpstreamEstimate) bool { return !adm.unfit }

func (adm *scriptedAdmission) Refuse() (ref *router.Refusal) {
	if adm.spare {
		return nil
	}
	return router.Refuse(http.StatusServiceUnavailable, router.CodeShed, "late")
}

func (adm *scriptedAdmission) Start(int) { adm.starts++ }

func (adm *scriptedAdmission) End(output time.Duration) {
	adm.ends++
	if output > 0 {
		adm.outputs++
	}
}

// TestAdmission guards against sending a call that was refused or still waits, which its caller is told has not run, and against a
// call that ends without its end being counted.
func TestAdmission(t *testing.T) {
	stream := events + oneTwo + three + last
	cases := map[string]struct {
		admission scriptedAdmission
		responses []string
		// want has the counts of starts, ends and complete outputs.
		want   scriptedAdmission
		status int
		sent   int
	}{
		"admitted":                        {responses: []string{stream}, want: scriptedAdmission{starts: 1, ends: 1, outputs: 1}, status: 200, sent: 1},
		"stream that breaks":              {responses: []string{events + oneTwo + fakes.ThenClose}, want: scriptedAdmission{starts: 1, ends: 1}, status: 200, sent: 1},
		"refused":                         {admission: scriptedAdmission{refuse: true}, status: 503},
		"deadline while it waits":         {admission: scriptedAdmission{waits: true}, status: 503},
		"fits nowhere":                    {admission: scriptedAdmission{unfit: true}, want: scriptedAdmission{ends: 1}, status: 503},
		"fits nowhere, sent nevertheless": {admission: scriptedAdmission{unfit: true, spare: true}, responses: []string{stream}, want: scriptedAdmission{starts: 1, ends: 1, outputs: 1}, status: 200, sent: 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			scr := fakes.NewScriptedServer(t, cas.responses...)
			adm := cas.admission
			rec, rep, _ := sendCall(newAdmittingSender(grd, &adm, scr), router.Route{Stream: true, Timeout: 300 * time.Millisecond}, router.Call{})
			if rec.Code != cas.status || len(scr.Requests()) != cas.sent {
				t.Errorf("status %d, %d requests", rec.Code, len(scr.Requests()))
			}
			if rec.Code == http.StatusServiceUnavailable && rep.Outcome != router.NotRun {
				t.Errorf("outcome %s", rep.Outcome)
			}
			if adm.starts != cas.want.starts || adm.ends != cas.want.ends || adm.outputs != cas.want.outputs {
				t.Errorf("got %+v, want %+v", adm, cas.want)
			}
		})
	}
}

// TestAdmissionWithoutShortage guards against other responses or delays than before where the service is not short of capacity.
func TestAdmissionWithoutShortage(t *testing.T) {
	for name, slots := range map[string]int{"free slots": 100, "slots unknown": 0} {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			tms := timer.NewManual(time.Now().Add(-time.Hour))
			decisions := 0
			ctl := admit.New(admit.Options{
				Timers: tms, Log: slog.New(slog.DiscardHandler), OnEvent: func(string) { decisions++ },
				View: func(string) router.ServiceView { return router.ServiceView{Slots: slots, Running: slots * 9 / 10} },
			})
			tms.Advance(time.Minute)
			responses := []string{events + oneTwo + three + last, full, failed, events + oneTwo + fakes.ThenClose}
			with, without := fakes.NewScriptedServer(t, responses...), fakes.NewScriptedServer(t, responses...)
			fst, snd := newAdmittingSender(grd, ctl, with), newSender(grd, without)
			for num := range responses {
				rec, rep, aborted := sendCall(fst, router.Route{Stream: true}, router.Call{})
				oth, othRep, othAborted := sendCall(snd, router.Route{Stream: true}, router.Call{})
				if rec.Code != oth.Code || rec.Body.String() != oth.Body.String() || rep.Outcome != othRep.Outcome || aborted != othAborted {
					t.Errorf("call %d: %d %q, without admission %d %q", num, rec.Code, rec.Body, oth.Code, oth.Body)
				}
			}
			if decisions > 0 {
				t.Errorf("%d calls waited or were refused", decisions)
			}
		})
	}
}
