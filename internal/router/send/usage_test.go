package send_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestRunsAreCounted guards against usage counts that differ from the requests that upstreams began to execute: attempts that are left
// out although they ran, those that are counted twice, and those that are counted although the upstream states that they did not run.
func TestRunsAreCounted(t *testing.T) {
	idempotent := router.Route{Repeat: router.Idempotent, Attempts: 2}
	stream := router.Route{Stream: true}
	resumable := router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2}
	unwritten := http.Header{"X": {"1"}, fakes.HeaderID: {"call"}}
	cases := map[string]struct {
		route     router.Route
		responses []string
		method    string
		public    bool
		runs      int64
	}{
		"answered":                                      {idempotent, []string{whole}, "POST", false, 1},
		"without a workspace":                           {idempotent, []string{whole}, "POST", true, 0},
		"client error":                                  {idempotent, []string{declined}, "POST", false, 1},
		"error, runs again":                             {idempotent, []string{failed, whole}, "POST", false, 2},
		"timeout of the upstream":                       {idempotent, []string{"HTTP/1.1 504 Late\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 0\r\n\r\n"}, "POST", false, 1},
		"rejected":                                      {router.Route{}, []string{full}, "POST", false, 0},
		"rejected, then answered":                       {idempotent, []string{full, whole}, "POST", false, 1},
		"connection broken, runs again":                 {idempotent, []string{fakes.ThenClose, whole}, "POST", false, 2},
		"connection broken, runs once":                  {router.Route{}, []string{fakes.ThenReset}, "POST", false, 1},
		"answer cut":                                    {router.Route{}, []string{head + "Content-Length: 9\r\n\r\nok" + fakes.ThenClose}, "POST", false, 1},
		"503 without not-run statement":                 {router.Route{}, []string{unproven}, "POST", false, 1},
		"call that is not written":                      {router.Route{}, []string{whole}, "GET /\r\n", false, 0},
		"stream":                                        {stream, []string{events + oneTwo + three + last}, "POST", false, 1},
		"stream cut before its first event":             {resumable, []string{events + fakes.ThenClose, events + three + last}, "POST", false, 2},
		"stream answered by an error":                   {stream, []string{failed}, "POST", false, 1},
		"stream rejected":                               {stream, []string{full}, "POST", false, 0},
		"stream without an answer, upstream still up":   {stream, []string{fakes.ThenReset}, "POST", false, 1},
		"stream resumed":                                {resumable, []string{events + oneTwo + fakes.ThenClose, events + three + last}, "POST", false, 2},
		"stream resumed at an upstream that is full":    {resumable, []string{events + oneTwo + fakes.ThenClose, full}, "POST", false, 1},
		"stream resumed by one that begins anew":        {resumable, []string{events + oneTwo + fakes.ThenClose, events + oneTwo + last}, "POST", false, 2},
		"stream cut inside its first event, runs twice": {resumable, []string{events + half + fakes.ThenClose, events + three + last}, "POST", false, 2},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			que := &responseQueue{responses: cas.responses}
			opt := senderOptions(grd, que.upstreams(t, 3)...)
			var runs atomic.Int64
			opt.OnRun = func(workspace string) {
				if workspace != "some" {
					t.Errorf("counted for workspace %q", workspace)
				}
				runs.Add(1)
			}
			job := send.Job{Service: "svc", Workspace: "some", Route: &cas.route, Call: &router.Call{
				ID: "call", Method: cas.method, Host: "h", Target: "/", Body: []byte("body"), Header: unwritten,
				Arrived: time.Now(), Deadline: time.Now().Add(jobTimeout),
			}}
			if cas.public {
				job.Workspace = ""
			}
			cas.route.Attempts = max(cas.route.Attempts, 1)
			func() {
				defer func() { _ = recover() }()
				send.New(opt).Serve(context.Background(), job, httptest.NewRecorder())
			}()
			// A lost answer is counted once a connect has shown that the upstream is up.
			for end := time.Now().Add(jobTimeout); runs.Load() < cas.runs && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if got := runs.Load(); got != cas.runs {
				t.Errorf("%d runs counted, want %d", got, cas.runs)
			}
		})
	}
}
