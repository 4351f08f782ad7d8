package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// stopGrace is the grace period of the node that stops. A third of it passes before the node refuses requests.
const stopGrace = 3 * time.Second

// stopCase is a request that is in flight when the node gets SIGTERM.
type stopCase struct {
	path string
	// timeLimit is the time limit that the caller states.
	timeLimit string
	// incomplete leaves out the end of the body until the node refuses requests; missing leaves it out for good.
	incomplete, missing bool
	// upstream answers the attempt of a number; refusing is closed when the node refuses requests.
	upstream func(attempt int64, wri http.ResponseWriter, req *http.Request, refusing <-chan struct{})
	status   int
	outcome  router.Outcome
	// attempts is the number of requests that reach an upstream.
	attempts int64
	// cut is set if the response breaks off.
	cut bool
}

// runStopCase sends the request, stops the node and returns the response; status is zero if the connection ends without one.
func runStopCase(t *testing.T, cas stopCase) (status int, outcome router.Outcome, attempts int64, cut bool) {
	t.Helper()
	var count atomic.Int64
	arrived, refusing := make(chan struct{}, 8), make(chan struct{})
	ups := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		num := count.Add(1)
		arrived <- struct{}{}
		wri.Header().Set(fakes.HeaderID, req.Header.Get(fakes.HeaderID))
		wri.Header().Set(fakes.HeaderSigned, "1")
		cas.upstream(num, wri, req, refusing)
	}))
	t.Cleanup(ups.Close)
	second := httptest.NewServer(ups.Config.Handler)
	t.Cleanup(second.Close)
	tsn := startNode(t, ups.Listener.Addr().String(), strings.Replace(manifest, "attempts: 1", "attempts: 2", 1))
	tsn.instances.MergePeer(router.Changes{Version: 3, Records: []router.Record{
		{Key: "other", Value: []byte("{service: svc, address: '" + second.Listener.Addr().String() + "'}"), Version: 3},
	}})
	tsn.budget.SetMaxTokens(10)
	set := *tsn.settings.Load()
	set.Platform.Grace = stopGrace
	tsn.settings.Store(&set)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: tsn.handler}
	go func() { _ = srv.Serve(lis) }()
	soc, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = soc.Close() }()
	text := "POST " + cas.path + " HTTP/1.1\r\nHost: h\r\nStand-Id: r1\r\nStand-Key: key\r\nStand-Left: " + cas.timeLimit + "\r\nContent-Length: 4\r\n\r\nbody"
	if cas.incomplete || cas.missing {
		text = text[:len(text)-2]
	}
	if _, err := io.WriteString(soc, text); err != nil {
		t.Fatal(err)
	}
	if cas.incomplete || cas.missing {
		for tsn.handler.active.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
	} else {
		<-arrived
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tsn.shutDown(srv)
		_ = srv.Close()
	}()
	for !tsn.handler.refusing.Load() {
		time.Sleep(time.Millisecond)
	}
	close(refusing)
	if cas.incomplete {
		if _, err := io.WriteString(soc, "dy"); err != nil {
			t.Fatal(err)
		}
	}
	rsp, err := http.ReadResponse(bufio.NewReader(soc), nil)
	if err == nil {
		defer rsp.Body.Close()
		_, err = io.Copy(io.Discard, rsp.Body)
		status, outcome = rsp.StatusCode, router.Outcome(rsp.Header.Get(router.HeaderOutcome))
	}
	<-ended
	return status, outcome, count.Load(), err != nil
}

// TestStopAnswersRequests guards against requests that a stopping node takes or passes on late in its grace period, and whose
// connections it closes without an answer when the period ends. A request that may run only once is lost then.
func TestStopAnswersRequests(t *testing.T) {
	silent := func(_ int64, _ http.ResponseWriter, req *http.Request, _ <-chan struct{}) { <-req.Context().Done() }
	rejecting := func(attempt int64, wri http.ResponseWriter, req *http.Request, refusing <-chan struct{}) {
		if attempt > 1 {
			<-req.Context().Done()
			return
		}
		<-refusing
		wri.Header().Set(fakes.HeaderNotRun, "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
	}
	slow := func(_ int64, wri http.ResponseWriter, _ *http.Request, refusing <-chan struct{}) {
		<-refusing
		_, _ = wri.Write([]byte("ok"))
	}
	begun := func(_ int64, wri http.ResponseWriter, req *http.Request, _ <-chan struct{}) {
		_, _ = wri.Write([]byte("id: 1\na\n\n"))
		_ = http.NewResponseController(wri).Flush()
		<-req.Context().Done()
	}
	cases := map[string]stopCase{
		"body arrives late, no time is left":    {path: "/plain/x", timeLimit: "60000", incomplete: true, upstream: silent, status: 503, outcome: router.NotRun},
		"body arrives late, short time limit":   {path: "/plain/x", timeLimit: "1500", incomplete: true, upstream: slow, status: 200, attempts: 1},
		"body never arrives":                    {path: "/plain/x", timeLimit: "60000", missing: true, upstream: silent, status: 503, outcome: router.NotRun},
		"rejected late":                         {path: "/plain/x", timeLimit: "60000", upstream: rejecting, status: 503, outcome: router.NotRun, attempts: 1},
		"answered after new ones are refused":   {path: "/plain/x", timeLimit: "60000", upstream: slow, status: 200, attempts: 1},
		"upstream does not answer":              {path: "/plain/x", timeLimit: "60000", upstream: silent, status: 504, outcome: router.Unknown, attempts: 1},
		"stream that has not begun":             {path: "/stream/x", timeLimit: "60000", upstream: silent, status: 504, outcome: router.Unknown, attempts: 1},
		"stream that has begun is not complete": {path: "/stream/x", timeLimit: "60000", upstream: begun, status: 200, attempts: 1, cut: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, outcome, attempts, cut := runStopCase(t, cas)
			if status != cas.status || outcome != cas.outcome || attempts != cas.attempts || cut != cas.cut {
				t.Errorf("status %d, outcome %q, %d attempts, cut %t; want %d, %q, %d, %t",
					status, outcome, attempts, cut, cas.status, cas.outcome, cas.attempts, cas.cut)
			}
		})
	}
}
