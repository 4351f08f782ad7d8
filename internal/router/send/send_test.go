package send_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/budget"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/link"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const (
	head     = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\n"
	whole    = head + "Content-Length: 2\r\n\r\nok"
	full     = "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	failed   = "HTTP/1.1 500 Error\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 2\r\n\r\nno"
	unproven = "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 0\r\n\r\n"
	foreign  = "HTTP/1.1 200 OK\r\nStand-Id: other\r\nStand-Signed: 1\r\nContent-Length: 2\r\n\r\nok"
	unsigned = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nContent-Length: 2\r\n\r\nok"
	events   = head + "Transfer-Encoding: chunked\r\n\r\n"
	// oneTwo, three and last are chunks of a stream.
	oneTwo = "12\r\nid: 1\na\n\nid: 2\nb\n\n\r\n"
	three  = "9\r\nid: 3\nc\n\n\r\n"
	half   = "8\r\nid: 3\nc\n\r\n"
	last   = "0\r\n\r\n"
)

// patience bounds a job of a test.
const patience = 5 * time.Second

// serve runs a job before upstreams that answer by scripts.
func serve(t testing.TB, rou router.Route, scrs ...*stand.Script) (rec *httptest.ResponseRecorder, rep send.Report, aborted bool) {
	t.Helper()
	grd, stop := guard.New(timer.Real{}, send.CrashStrikes)
	defer stop()
	return serveWith(t, grd, rou, scrs...)
}

// serveWith runs a job on a node that remembers crashes.
func serveWith(t testing.TB, grd *guard.Guard, rou router.Route, scrs ...*stand.Script) (rec *httptest.ResponseRecorder, rep send.Report, aborted bool) {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ros := roster.New(roster.Options{Timers: timer.Real{}, Codec: stand.Codec{}, Log: log, Gone: func(router.Instance) {}})
	var upd follow.Update
	for idx, scr := range scrs {
		upd.Changed = append(upd.Changed, router.Record{
			Key:   string(rune('a'+idx)) + scr.Address,
			Value: []byte("{service: svc, address: '" + scr.Address + "'}"),
		})
	}
	ros.Apply(upd)
	snd := send.New(send.Options{
		Timers:   timer.Real{},
		Dialect:  stand.Dialect{},
		Roster:   ros,
		Balancer: place.New(place.Options{Timers: timer.Real{}}),
		Links:    link.NewBook(),
		Budget:   budget.NewBook(budget.Reserve),
		Log:      log,
		Guard:    grd,
		Strike:   func(stk guard.Strike) { grd.Add(stk) },
	})
	rou.Attempts = max(rou.Attempts, 1)
	rec = httptest.NewRecorder()
	job := send.Job{Service: "svc", Route: &rou, Call: &router.Call{
		ID: "call", Method: http.MethodPost, Host: "h", Target: "/", Body: []byte("body"),
		Header: http.Header{stand.HeaderID: {"call"}}, Arrived: time.Now(), Deadline: time.Now().Add(patience),
	}}
	defer func() {
		val := recover()
		err, _ := val.(error)
		aborted = errors.Is(err, http.ErrAbortHandler)
		if val != nil && !aborted {
			panic(val)
		}
	}()
	return rec, snd.Serve(context.Background(), job, rec), false
}

func TestAnswers(t *testing.T) {
	cases := map[string]struct {
		route   router.Route
		answers []string
		status  int
		body    string
		aborted bool
		sends   int
	}{
		"answered":                             {router.Route{}, []string{whole}, 200, "ok", false, 1},
		"own error of the upstream":            {router.Route{}, []string{failed}, 500, "no", false, 1},
		"error of an idempotent call":          {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{failed, whole}, 200, "ok", false, 2},
		"two errors of an idempotent call":     {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{failed, failed}, 500, "no", false, 2},
		"error before a stream that resumes":   {router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2}, []string{failed, events + three + last}, 200, "id: 3\nc\n\n", false, 2},
		"error before a stream that runs once": {router.Route{Stream: true, Attempts: 2}, []string{failed, events + three + last}, 500, "no", false, 1},
		"full":                                 {router.Route{}, []string{full}, 503, "", false, 1},
		"full, then answered":                  {router.Route{Attempts: 2}, []string{full, whole}, 200, "ok", false, 2},
		"no answer to a call that runs once":   {router.Route{Attempts: 2}, []string{stand.Cut, whole}, 502, "", false, 1},
		"no answer to an idempotent call":      {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{stand.Cut, whole}, 200, "ok", false, 2},
		"answer to another request":            {router.Route{}, []string{foreign}, 502, "", false, 1},
		"answer without proof":                 {router.Route{}, []string{unsigned}, 502, "", false, 1},
		"a promise without proof":              {router.Route{}, []string{unproven}, 502, "", false, 1},
		"unknown first, then full":             {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{stand.Cut, full}, 502, "", false, 2},
		"cut answer":                           {router.Route{}, []string{head + "Content-Length: 9\r\n\r\nok" + stand.Cut}, 502, "", false, 1},
		"stream":                               {router.Route{Stream: true}, []string{events + oneTwo + three + last}, 200, "id: 1\na\n\nid: 2\nb\n\nid: 3\nc\n\n", false, 1},
		"stream cut":                           {router.Route{Stream: true}, []string{events + oneTwo + stand.Cut}, 200, "id: 1\na\n\nid: 2\nb\n\n", true, 1},
		"stream cut in an event and resumed": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + half + stand.Cut, events + three + last},
			200, "id: 1\na\n\nid: 2\nb\n\nid: 3\nc\n\n", false, 2,
		},
		"stream resumed at a full upstream": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + stand.Cut, full},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream resumed at a failing upstream": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + stand.Cut, failed},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream that ends in an event": {router.Route{Stream: true}, []string{events + oneTwo + half + last}, 200, "id: 1\na\n\nid: 2\nb\n\n", true, 1},
		"stream cut before its first event": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + stand.Cut, events + three + last},
			200, "id: 3\nc\n\n", false, 2,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			// Each upstream can give each answer, in the order in which they are asked.
			pool := &order{answers: cas.answers}
			scrs := pool.upstreams(t, 2)
			rec, rep, aborted := serve(t, cas.route, scrs...)
			body := rec.Body.String()
			if cas.body == "" && cas.status >= 500 {
				body = ""
			}
			if rec.Code != cas.status || body != cas.body || aborted != cas.aborted {
				t.Errorf("status %d, body %q, aborted %t; want %d, %q, %t (%+v)", rec.Code, body, aborted, cas.status, cas.body, cas.aborted, rep)
			}
			if got := pool.sends(scrs); got != cas.sends {
				t.Errorf("sent %d times, want %d", got, cas.sends)
			}
		})
	}
}

func TestResumesAfterTheLastWholeEvent(t *testing.T) {
	pool := &order{answers: []string{events + oneTwo + half + stand.Cut, events + three + last}}
	scrs := pool.upstreams(t, 2)
	serve(t, router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2}, scrs...)
	after := ""
	for _, scr := range scrs {
		for _, req := range scr.Requests() {
			after += req.Header.Get(stand.HeaderAfter)
		}
	}
	if after != "2" {
		t.Errorf("continued after event %q, want 2", after)
	}
}

func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	rec, rep, _ := serve(t, router.Route{}, &stand.Script{Address: "127.0.0.1:1"})
	if rec.Code != http.StatusServiceUnavailable || rep.Outcome != router.NotRun || rec.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, outcome %s, headers %v", rec.Code, rep.Outcome, rec.Header())
	}
}

// TestSilentUpstreamIsLeftForAnother has the first upstream take a lookup and say nothing.
func TestSilentUpstreamIsLeftForAnother(t *testing.T) {
	pool := &order{answers: []string{stand.Silent, whole}}
	scrs := pool.upstreams(t, 2)
	rec, rep, _ := serve(t, router.Route{Repeat: router.Idempotent, Attempts: 2, Target: 100 * time.Millisecond}, scrs...)
	if rec.Code != http.StatusOK || rep.Sends != 2 {
		t.Errorf("status %d after %d sendings", rec.Code, rep.Sends)
	}
}

// TestPromiseIsTrue draws series of answers: a status that promises "not run" never follows a sending that may have run.
func TestPromiseIsTrue(t *testing.T) {
	kinds := map[string]string{
		"whole": whole, "full": full, "failed": failed, "unproven": unproven, "foreign": foreign, "unsigned": unsigned, "cut": stand.Cut,
		"reset": stand.Reset, "stream": events + oneTwo + last, "stream cut": events + oneTwo + stand.Cut,
	}
	names := []string{"whole", "full", "failed", "unproven", "foreign", "unsigned", "cut", "reset", "stream", "stream cut"}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(names), 1, 3).Draw(rt, "answers")
		rou := router.Route{
			Repeat:   router.RetryPolicy(rapid.IntRange(0, 2).Draw(rt, "repeat")),
			Attempts: rapid.IntRange(1, 3).Draw(rt, "attempts"),
		}
		rou.Stream = rou.Repeat == router.Resumable
		pool := &order{}
		for _, nam := range drawn {
			pool.answers = append(pool.answers, kinds[nam])
		}
		scrs := pool.upstreams(t, 3)
		rec, rep, _ := serve(t, rou, scrs...)
		sent := pool.sends(scrs)
		if sent > rou.Attempts {
			rt.Fatalf("sent %d times, allowed %d", sent, rou.Attempts)
		}
		ran := 0
		for _, nam := range drawn[:min(sent, len(drawn))] {
			if nam != "full" {
				ran++
			}
		}
		if rec.Code == http.StatusServiceUnavailable && ran > 0 || rep.Outcome == router.NotRun && ran > 0 {
			rt.Fatalf("told %d, %s after %v, %d sent", rec.Code, rep.Outcome, drawn, sent)
		}
		if rou.Repeat == router.AtMostOnce && ran > 1 {
			rt.Fatalf("a call that runs once may have run %d times after %v", ran, drawn)
		}
	})
}

// order hands out answers to whichever upstream is asked next.
type order struct {
	answers []string
}

// upstreams starts upstreams that each give the same answer at the same place in the order of all requests.
func (ord *order) upstreams(t testing.TB, num int) (scrs []*stand.Script) {
	t.Helper()
	shared := stand.NewAnswers(ord.answers...)
	for range num {
		scrs = append(scrs, stand.NewSharedScript(t, shared))
	}
	return scrs
}

func (ord *order) sends(scrs []*stand.Script) (num int) {
	for _, scr := range scrs {
		num += len(scr.Requests())
	}
	return num
}

func TestWriteRefusal(t *testing.T) {
	rec := httptest.NewRecorder()
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeNoUpstream, "none")
	ref.RetryAfter = 1500 * time.Millisecond
	send.WriteRefusal(rec, ref)
	if got := rec.Header().Get("Retry-After"); got != "1.500" || !strings.Contains(rec.Body.String(), router.CodeNoUpstream) {
		t.Errorf("Retry-After %q, body %s", got, rec.Body)
	}
}

// TestCrashingRequestIsRefused sends one request to upstreams that do not survive it.
func TestCrashingRequestIsRefused(t *testing.T) {
	tms := timer.NewManual(time.Unix(1000, 0))
	grd, stop := guard.New(tms, send.CrashStrikes)
	defer stop()
	for num := range send.CrashStrikes {
		scr := stand.NewScript(t, stand.Crash)
		rec, _, _ := serveWith(t, grd, router.Route{}, scr)
		if rec.Code != http.StatusBadGateway {
			t.Fatalf("crash %d: status %d", num, rec.Code)
		}
		// The crash is confirmed beside the answer.
		for end := time.Now().Add(patience); grd.Total() <= num && time.Now().Before(end); {
			runtime.Gosched()
		}
		tms.Advance(2 * time.Second)
	}
	scr := stand.NewScript(t, whole)
	rec, rep, _ := serveWith(t, grd, router.Route{}, scr)
	if rec.Code != http.StatusServiceUnavailable || rep.Outcome != router.NotRun || len(scr.Requests()) > 0 {
		t.Errorf("status %d, outcome %s, %d sent", rec.Code, rep.Outcome, len(scr.Requests()))
	}
}
