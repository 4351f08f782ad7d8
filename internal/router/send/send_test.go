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

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/budget"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/permit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/terms"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// The scripted responses. full states that the call was not run; unproven has the same status without that statement.
// foreign echoes the id of another request, and unsigned lacks the proof that the upstream itself responded.
const (
	head  = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\n"
	whole = head + "Content-Length: 2\r\n\r\nok"
	full  = "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	// unfinished is full with a body of which only a part arrives.
	unfinished = "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nContent-Length: 9\r\n\r\nhalf" + fakes.ThenHang
	declined   = "HTTP/1.1 400 Bad\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 2\r\n\r\nno"
	failed     = "HTTP/1.1 500 Error\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 2\r\n\r\nno"
	unproven   = "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 0\r\n\r\n"
	foreign    = "HTTP/1.1 200 OK\r\nStand-Id: other\r\nStand-Signed: 1\r\nContent-Length: 2\r\n\r\nok"
	unsigned   = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nContent-Length: 2\r\n\r\nok"
	events     = head + "Transfer-Encoding: chunked\r\n\r\n"
	// oneTwo, three and last are chunks of a stream: events 1 and 2, event 3, and the end. half is event 3 without its end.
	oneTwo = "12\r\nid: 1\na\n\nid: 2\nb\n\n\r\n"
	three  = "9\r\nid: 3\nc\n\n\r\n"
	half   = "8\r\nid: 3\nc\n\r\n"
	last   = "0\r\n\r\n"
)

// jobTimeout is the deadline of each job.
const jobTimeout = 5 * time.Second

// loneNode is a fleet of one node.
type loneNode struct{}

func (loneNode) Owner(uint64, string) (node string, self bool) { return "self", true }

func (loneNode) Share() float64 { return 1 }

func (loneNode) SendPermitRequest(string, *wire.PermitRequest) {}

func newPermits(log *slog.Logger) (pms *permit.Service) {
	pms = permit.New(timer.Real{}, log)
	pms.Join(loneNode{})
	return pms
}

// serve sends a job to scripted upstreams; aborted reports whether its response was aborted.
func serve(t testing.TB, rou router.Route, scrs ...*fakes.ScriptedServer) (rec *httptest.ResponseRecorder, rep send.Report, aborted bool) {
	t.Helper()
	grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
	defer stop()
	return serveWith(t, grd, rou, scrs...)
}

// serveWith is serve with a given crash guard.
func serveWith(t testing.TB, grd *guard.Guard, rou router.Route, scrs ...*fakes.ScriptedServer) (rec *httptest.ResponseRecorder, rep send.Report, aborted bool) {
	t.Helper()
	return serveCall(t, grd, rou, router.Call{Body: []byte("body")}, scrs...)
}

// serveCall is serveWith for a call with the given body and prompt.
func serveCall(t testing.TB, grd *guard.Guard, rou router.Route, cal router.Call, scrs ...*fakes.ScriptedServer) (rec *httptest.ResponseRecorder, rep send.Report, aborted bool) {
	t.Helper()
	return sendCall(newSender(grd, scrs...), rou, cal)
}

// newSender returns a Sender to scripted upstreams.
func newSender(grd *guard.Guard, scrs ...*fakes.ScriptedServer) *send.Sender {
	snd, _ := newSenderAndRoster(grd, scrs...)
	return snd
}

// newSenderAndRoster is newSender that also returns the roster with the records of the upstreams.
func newSenderAndRoster(grd *guard.Guard, scrs ...*fakes.ScriptedServer) (snd *send.Sender, ros *roster.Roster) {
	opt := senderOptions(grd, scrs...)
	return send.New(opt), opt.Roster
}

// newAdmittingSender is newSender with admission control.
func newAdmittingSender(grd *guard.Guard, adm router.Admission, scrs ...*fakes.ScriptedServer) (snd *send.Sender) {
	opt := senderOptions(grd, scrs...)
	opt.Admission = adm
	return send.New(opt)
}

// senderOptions returns the options of a Sender to scripted upstreams.
func senderOptions(grd *guard.Guard, scrs ...*fakes.ScriptedServer) (opt send.Options) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ros := roster.New(roster.Options{Timers: timer.Real{}, Codec: fakes.Codec{}, Log: log, OnRemove: func(router.Instance) {}})
	var upd follow.Update
	for idx, scr := range scrs {
		upd.Changed = append(upd.Changed, router.Record{
			Key:   string(rune('a'+idx)) + scr.Address,
			Value: []byte("{service: svc, address: '" + scr.Address + "'}"),
		})
	}
	ros.Apply(upd)
	return send.Options{
		Timers:   timer.Real{},
		Dialect:  fakes.Dialect{},
		Roster:   ros,
		Balancer: place.New(place.Options{Timers: timer.Real{}}),
		Pools:    conns.NewPools(),
		Budget:   budget.NewRegistry(budget.DefaultMaxTokens),
		Log:      log,
		Guard:    grd,
		Terms:    terms.New(timer.Real{}, log),
		Permits:  newPermits(log),
		OnCrash:  func(crs guard.Crash) { grd.Add(crs) },
		OnAnswer: func(parts []uint64, begun time.Time) { grd.Answered(parts, begun) },
	}
}

// sendCall sends a call with the given body and prompt.
func sendCall(snd *send.Sender, rou router.Route, cal router.Call) (rec *httptest.ResponseRecorder, rep send.Report, aborted bool) {
	rou.Attempts = max(rou.Attempts, 1)
	rec = httptest.NewRecorder()
	job := send.Job{Service: "svc", Route: &rou, Call: &router.Call{
		ID: "call", Method: http.MethodPost, Host: "h", Target: "/", Body: cal.Body, Prompt: cal.Prompt,
		Header: http.Header{fakes.HeaderID: {"call"}}, Arrived: time.Now(), Deadline: time.Now().Add(jobTimeout),
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

// TestResponses checks the status, the body and the number of attempts for each kind of response and route.
func TestResponses(t *testing.T) {
	cases := map[string]struct {
		route     router.Route
		responses []string
		status    int
		body      string
		aborted   bool
		attempts  int
	}{
		"complete":                                     {router.Route{}, []string{whole}, 200, "ok", false, 1},
		"upstream error":                               {router.Route{}, []string{failed}, 500, "no", false, 1},
		"error, idempotent call":                       {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{failed, whole}, 200, "ok", false, 2},
		"two errors, idempotent call":                  {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{failed, failed}, 500, "no", false, 2},
		"stream that ends with its connection":         {router.Route{Stream: true}, []string{head + "\r\nid: 3\nc\n\n" + fakes.ThenClose}, 200, "id: 3\nc\n\n", false, 1},
		"stream without a length ends inside an event": {router.Route{Stream: true}, []string{head + "\r\nid: 3\nc\n\nid: 4\nd\n" + fakes.ThenClose}, 200, "id: 3\nc\n\n", true, 1},
		"stream that resumes ends inside an event": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{head + "\r\nid: 2\nb\n\nid: 3\nc\n" + fakes.ThenClose, events + three + last},
			200, "id: 2\nb\n\nid: 3\nc\n\n", false, 2,
		},
		"answer that ends with its connection": {router.Route{}, []string{head + "\r\nok" + fakes.ThenClose}, 200, "ok", false, 1},
		"answer that is reset":                 {router.Route{}, []string{head + "\r\nok" + fakes.ThenReset}, 502, "", false, 1},
		"error before a stream that resumes":   {router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2}, []string{failed, events + three + last}, 200, "id: 3\nc\n\n", false, 2},
		"error before a stream that runs once": {router.Route{Stream: true, Attempts: 2}, []string{failed, events + three + last}, 500, "no", false, 1},
		"full":                                 {router.Route{}, []string{full}, 503, "", false, 1},
		"full, body never arrives":             {router.Route{Attempts: 2}, []string{unfinished, whole}, 200, "ok", false, 2},
		"full, then complete":                  {router.Route{Attempts: 2}, []string{full, whole}, 200, "ok", false, 2},
		"no response, call that runs once":     {router.Route{Attempts: 2}, []string{fakes.ThenClose, whole}, 502, "", false, 1},
		"no response, idempotent call":         {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{fakes.ThenClose, whole}, 200, "ok", false, 2},
		"response to another request":          {router.Route{}, []string{foreign}, 502, "", false, 1},
		"unsigned response":                    {router.Route{}, []string{unsigned}, 502, "", false, 1},
		"503 without not-run statement":        {router.Route{}, []string{unproven}, 502, "", false, 1},
		"unknown, then full":                   {router.Route{Repeat: router.Idempotent, Attempts: 2}, []string{fakes.ThenClose, full}, 502, "", false, 2},
		"cut response":                         {router.Route{}, []string{head + "Content-Length: 9\r\n\r\nok" + fakes.ThenClose}, 502, "", false, 1},
		"stream":                               {router.Route{Stream: true}, []string{events + oneTwo + three + last}, 200, "id: 1\na\n\nid: 2\nb\n\nid: 3\nc\n\n", false, 1},
		"stream cut":                           {router.Route{Stream: true}, []string{events + oneTwo + fakes.ThenClose}, 200, "id: 1\na\n\nid: 2\nb\n\n", true, 1},
		"stream cut inside an event, resumed": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + half + fakes.ThenClose, events + three + last},
			200, "id: 1\na\n\nid: 2\nb\n\nid: 3\nc\n\n", false, 2,
		},
		"stream resumed at a full upstream": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + fakes.ThenClose, full},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream resumed at a failing upstream": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + fakes.ThenClose, failed},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream resumed at an upstream that responds with its error as a stream": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + fakes.ThenClose, head + "\r\nHTTP/1.1 500 Error\r\nStand-Signed: 1\r\n\r\nno\n\n" + fakes.ThenClose},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream resumed at an upstream that responds with text": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + fakes.ThenClose, head + "Content-Length: 9\r\n\r\nerror: 7\n"},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream resumed at an upstream that begins anew": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + fakes.ThenClose, events + oneTwo + three + last},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream resumed at an upstream without a signature": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + oneTwo + fakes.ThenClose, "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nTransfer-Encoding: chunked\r\n\r\n" + three + last},
			200, "id: 1\na\n\nid: 2\nb\n\n", true, 2,
		},
		"stream resumed after an error": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 3},
			[]string{events + oneTwo + fakes.ThenClose, failed, events + three + last},
			200, "id: 1\na\n\nid: 2\nb\n\nid: 3\nc\n\n", false, 3,
		},
		"stream that ends inside an event": {router.Route{Stream: true}, []string{events + oneTwo + half + last}, 200, "id: 1\na\n\nid: 2\nb\n\n", true, 1},
		"stream cut before its first event": {
			router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2},
			[]string{events + fakes.ThenClose, events + three + last},
			200, "id: 3\nc\n\n", false, 2,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			// The responses are used in the order of the requests, whichever upstream is chosen.
			que := &responseQueue{responses: cas.responses}
			scrs := que.upstreams(t, 3)
			rec, rep, aborted := serve(t, cas.route, scrs...)
			body := rec.Body.String()
			if cas.body == "" && cas.status >= 500 {
				body = ""
			}
			if rec.Code != cas.status || body != cas.body || aborted != cas.aborted {
				t.Errorf("status %d, body %q, aborted %t; want %d, %q, %t (%+v)", rec.Code, body, aborted, cas.status, cas.body, cas.aborted, rep)
			}
			if got := que.attempts(scrs); got != cas.attempts {
				t.Errorf("%d attempts, want %d", got, cas.attempts)
			}
		})
	}
}

// TestResumesAfterLastCompleteEvent guards against resuming after an event of which the caller got only a part.
func TestResumesAfterLastCompleteEvent(t *testing.T) {
	que := &responseQueue{responses: []string{events + oneTwo + half + fakes.ThenClose, events + three + last}}
	scrs := que.upstreams(t, 2)
	serve(t, router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2}, scrs...)
	after := ""
	for _, scr := range scrs {
		for _, req := range scr.Requests() {
			after += req.Header.Get(fakes.HeaderLastEventID)
		}
	}
	if after != "2" {
		t.Errorf("resumed after event %q, want 2", after)
	}
}

// TestUnreachableUpstreamIsNotRun guards against an uncertain outcome when no upstream accepts a connection.
func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	rec, rep, _ := serve(t, router.Route{}, &fakes.ScriptedServer{Address: "127.0.0.1:1"})
	if rec.Code != http.StatusServiceUnavailable || rep.Outcome != router.NotRun || rec.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, outcome %s, headers %v", rec.Code, rep.Outcome, rec.Header())
	}
}

// TestSilentUpstreamTimesOutToAnother guards against an idempotent call waiting until its deadline for an upstream
// that accepted it and never responds: the attempt must time out and be retried.
func TestSilentUpstreamTimesOutToAnother(t *testing.T) {
	que := &responseQueue{responses: []string{fakes.ThenHang, whole}}
	scrs := que.upstreams(t, 2)
	rec, rep, _ := serve(t, router.Route{Repeat: router.Idempotent, Attempts: 2, Target: 100 * time.Millisecond}, scrs...)
	if rec.Code != http.StatusOK || rep.Attempts != 2 {
		t.Errorf("status %d after %d attempts", rec.Code, rep.Attempts)
	}
}

// TestNotRunIsTrue guards against the outcome NotRun for a call that an upstream may have executed, and against retrying
// a call that may run only once. It tries random sequences of responses.
func TestNotRunIsTrue(t *testing.T) {
	kinds := map[string]string{
		"whole": whole, "full": full, "failed": failed, "unproven": unproven, "foreign": foreign, "unsigned": unsigned, "cut": fakes.ThenClose,
		"reset": fakes.ThenReset, "stream": events + oneTwo + last, "stream cut": events + oneTwo + fakes.ThenClose,
	}
	names := []string{"whole", "full", "failed", "unproven", "foreign", "unsigned", "cut", "reset", "stream", "stream cut"}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(names), 1, 3).Draw(rt, "answers")
		rou := router.Route{
			Repeat:   router.RetryPolicy(rapid.IntRange(0, 2).Draw(rt, "repeat")),
			Attempts: rapid.IntRange(1, 3).Draw(rt, "attempts"),
		}
		rou.Stream = rou.Repeat == router.Resumable
		que := &responseQueue{}
		for _, nam := range drawn {
			que.responses = append(que.responses, kinds[nam])
		}
		scrs := que.upstreams(t, 3)
		rec, rep, _ := serve(t, rou, scrs...)
		sent := que.attempts(scrs)
		if sent > rou.Attempts {
			rt.Fatalf("%d attempts, allowed %d", sent, rou.Attempts)
		}
		ran := 0
		for _, nam := range drawn[:min(sent, len(drawn))] {
			if nam != "full" {
				ran++
			}
		}
		if rec.Code == http.StatusServiceUnavailable && ran > 0 || rep.Outcome == router.NotRun && ran > 0 {
			rt.Fatalf("status %d, outcome %s after %v, %d attempts", rec.Code, rep.Outcome, drawn, sent)
		}
		if rou.Repeat == router.AtMostOnce && ran > 1 {
			rt.Fatalf("a call that runs once may have run %d times after %v", ran, drawn)
		}
	})
}

// responseQueue holds responses that are shared by several upstreams: each request takes the next one.
type responseQueue struct {
	responses []string
}

// upstreams starts upstreams that share the queue.
func (que *responseQueue) upstreams(t testing.TB, num int) (scrs []*fakes.ScriptedServer) {
	t.Helper()
	shared := fakes.NewAnswerQueue(que.responses...)
	for range num {
		scrs = append(scrs, fakes.NewScriptedServerFrom(t, shared))
	}
	return scrs
}

func (que *responseQueue) attempts(scrs []*fakes.ScriptedServer) (num int) {
	for _, scr := range scrs {
		num += len(scr.Requests())
	}
	return num
}

// TestWriteRefusal guards against a refusal without its Retry-After in seconds or its code.
func TestWriteRefusal(t *testing.T) {
	rec := httptest.NewRecorder()
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeNoUpstream, "none")
	ref.RetryAfter = 1500 * time.Millisecond
	send.WriteRefusal(rec, ref)
	if got := rec.Header().Get("Retry-After"); got != "1.500" || !strings.Contains(rec.Body.String(), router.CodeNoUpstream) {
		t.Errorf("Retry-After %q, body %s", got, rec.Body)
	}
}

// TestCrashingRequestIsRefused guards against sending a request to yet another upstream after it crashed
// MaxCrashes of them.
func TestCrashingRequestIsRefused(t *testing.T) {
	tms := timer.NewManual(time.Unix(1000, 0))
	grd, stop := guard.New(tms, send.MaxCrashes)
	defer stop()
	for num := range send.MaxCrashes {
		scr := fakes.NewScriptedServer(t, fakes.ThenCrash)
		rec, _, _ := serveWith(t, grd, router.Route{}, scr)
		if rec.Code != http.StatusBadGateway {
			t.Fatalf("crash %d: status %d", num, rec.Code)
		}
		// The crash is confirmed in the background, after the response.
		for end := time.Now().Add(jobTimeout); grd.TotalCrashes() <= num && time.Now().Before(end); {
			runtime.Gosched()
		}
		tms.Advance(2 * time.Second)
	}
	scr := fakes.NewScriptedServer(t, whole)
	rec, rep, _ := serveWith(t, grd, router.Route{}, scr)
	if rec.Code != http.StatusServiceUnavailable || rep.Outcome != router.NotRun || len(scr.Requests()) > 0 {
		t.Errorf("status %d, outcome %s, %d sent", rec.Code, rep.Outcome, len(scr.Requests()))
	}
}

// TestPartThatCrashesUpstreamsIsRefused guards against requests that crash one upstream after the other because they share a
// deadly part of the prompt and nothing else identifies them, and against refusing sound requests with the other parts.
func TestPartThatCrashesUpstreamsIsRefused(t *testing.T) {
	const common, deadly, sound, crashes = 1, 2, 3, 3
	grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
	defer stop()
	requests := 0
	call := func(parts ...uint64) (cal router.Call) {
		requests++
		cal.Body = []byte{byte(requests)}
		for _, prt := range append(parts, uint64(1000+requests)) {
			cal.Prompt = append(cal.Prompt, router.PromptPart{ID: prt, Tokens: 10})
		}
		return cal
	}
	for num := range crashes {
		serveCall(t, grd, router.Route{}, call(common, deadly), fakes.NewScriptedServer(t, fakes.ThenCrash))
		for end := time.Now().Add(jobTimeout); grd.TotalCrashes() <= num && time.Now().Before(end); {
			runtime.Gosched()
		}
		// Crashes at the same time count once.
		time.Sleep(600 * time.Millisecond)
		if rec, _, _ := serveCall(t, grd, router.Route{}, call(common, sound), fakes.NewScriptedServer(t, whole)); rec.Code != http.StatusOK {
			t.Fatalf("sound request after crash %d: status %d", num+1, rec.Code)
		}
		// An upstream that declines a request does not show that its parts are sound.
		serveCall(t, grd, router.Route{}, call(common, deadly), fakes.NewScriptedServer(t, declined))
	}
	cases := map[string]struct {
		parts  []uint64
		status int
	}{
		"the deadly part":                 {[]uint64{common, deadly}, http.StatusServiceUnavailable},
		"the deadly part beside others":   {[]uint64{5, 6, deadly, 7}, http.StatusServiceUnavailable},
		"the other parts of these":        {[]uint64{common, 5, 6, 7}, http.StatusOK},
		"the deadly part as the last one": {[]uint64{common}, http.StatusOK},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			scr := fakes.NewScriptedServer(t, whole)
			cal := call(cas.parts...)
			if strings.Contains(name, "last") {
				cal.Prompt[len(cal.Prompt)-1].ID = deadly
			}
			rec, rep, _ := serveCall(t, grd, router.Route{}, cal, scr)
			refused := cas.status != http.StatusOK
			if rec.Code != cas.status || refused != (rep.Outcome == router.NotRun) || refused != (len(scr.Requests()) == 0) {
				t.Errorf("status %d, outcome %s, %d sent; want status %d", rec.Code, rep.Outcome, len(scr.Requests()), cas.status)
			}
		})
	}
}

// TestEndlessResponses guards against an upstream in trouble that fills the memory of the node, holds a call past its
// deadline, or has a response without an end taken for a complete one.
func TestEndlessResponses(t *testing.T) {
	const limit = 64 << 20
	line := strings.Repeat("x", 1000)
	stream := head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		route       router.Route
		start, text string
		aborted     bool
		status      int
	}{
		"body beyond its length":      {start: head + "Content-Length: 2\r\n\r\nok", text: line, status: 200},
		"body without a length":       {start: head + "\r\n", text: line, status: 502},
		"body of one huge chunk":      {start: stream + "7fffffff\r\n", text: line, status: 502},
		"chunk size":                  {start: stream, text: "1", status: 502},
		"chunk extension":             {start: stream + "2;", text: line, status: 502},
		"chunks with long extensions": {start: stream, text: "1;" + line + "\r\nx\r\n", status: 502},
		"trailers":                    {start: stream + "2\r\nok\r\n0\r\n", text: "Name: " + line + "\r\n", status: 502},
		"error body":                  {start: "HTTP/1.1 500 Error\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\n\r\n", text: line, status: 502},
		"event without an end":        {route: router.Route{Stream: true}, start: stream + "7fffffff\r\n", text: line, status: 502},
		"event without an end, after an event": {
			route: router.Route{Stream: true}, start: stream + "9\r\nid: 1\na\n\n\r\n7fffffff\r\n", text: line, aborted: true, status: 200,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			srv := fakes.NewEndlessServer(t, fakes.Repetition{Start: strings.ReplaceAll(cas.start, "{ID}", "call"), Text: cas.text, Limit: limit})
			rec, _, aborted := serve(t, cas.route, &fakes.ScriptedServer{Address: srv.Address})
			if rec.Code != cas.status || aborted != cas.aborted {
				t.Errorf("status %d, aborted %t; want %d, %t", rec.Code, aborted, cas.status, cas.aborted)
			}
			if got := srv.Sent.Load(); got >= limit {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}

// TestSlowResponses guards against a response that a byte now and then keeps open past the timeout of its route, and against
// cutting a slow stream that is sound.
func TestSlowResponses(t *testing.T) {
	const events, timeout = 20, 300 * time.Millisecond
	const event = "9\r\nid: 3\nc\n\n\r\n"
	stream := head + "Transfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		route   router.Route
		answer  fakes.Repetition
		status  int
		aborted bool
	}{
		"body of single bytes": {
			route: router.Route{Timeout: timeout}, status: 504,
			answer: fakes.Repetition{Start: head + "Content-Length: 100000\r\n\r\n", Text: "x", Limit: 1 << 20, Pause: 5 * time.Millisecond},
		},
		"head of single bytes": {
			route: router.Route{Timeout: timeout}, status: 504,
			answer: fakes.Repetition{Start: "HTTP/1.1 200 OK\r\nName: ", Text: "x", Limit: 1 << 20, Pause: 5 * time.Millisecond},
		},
		"event of single bytes": {
			route: router.Route{Stream: true, Timeout: timeout}, status: 504,
			answer: fakes.Repetition{Start: stream, Text: "1\r\nx\r\n", Limit: 1 << 20, Pause: 5 * time.Millisecond},
		},
		"event of single bytes, after an event": {
			route: router.Route{Stream: true, Timeout: timeout}, status: 200, aborted: true,
			answer: fakes.Repetition{Start: stream + event, Text: "1\r\nx\r\n", Limit: 1 << 20, Pause: 5 * time.Millisecond},
		},
		"slow stream that is sound": {
			route: router.Route{Stream: true, Timeout: jobTimeout, GapTarget: time.Millisecond}, status: 200,
			answer: fakes.Repetition{Start: stream, Text: event, End: last, Limit: int64(events * len(event)), Pause: 20 * time.Millisecond},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			cas.answer.Start = strings.ReplaceAll(cas.answer.Start, "{ID}", "call")
			srv := fakes.NewEndlessServer(t, cas.answer)
			rec, rep, aborted := serve(t, cas.route, &fakes.ScriptedServer{Address: srv.Address})
			if rec.Code != cas.status || aborted != cas.aborted {
				t.Errorf("status %d, aborted %t; want %d, %t", rec.Code, aborted, cas.status, cas.aborted)
			}
			if cas.answer.End != "" && rep.Events != events {
				t.Errorf("%d events, want %d", rep.Events, events)
			}
		})
	}
}
