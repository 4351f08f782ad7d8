package edge

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/logs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/trace"
)

const manifest = `
version: 4
routes:
  - {name: plain, host: h, prefix: /plain/, attempts: 1, target: 1s, backends: [{service: svc, weight: 1}]}
  - {name: stream, host: h, prefix: /stream/, stream: true, attempts: 1, target: 1s, backends: [{service: svc, weight: 1}]}
  - {name: open, host: h, prefix: /open/, public: true, attempts: 1, backends: [{service: svc, weight: 1}]}
accounts:
  - {name: w, keys: [key]}
limits: {bodybytes: 100}
`

// logBuffer collects the log lines of a node.
type logBuffer struct {
	mut sync.Mutex
	buf bytes.Buffer
}

func (lgb *logBuffer) Write(txt []byte) (num int, err error) {
	lgb.mut.Lock()
	defer lgb.mut.Unlock()
	return lgb.buf.Write(txt)
}

func (lgb *logBuffer) explain(t *testing.T, request string) string {
	t.Helper()
	lgb.mut.Lock()
	defer lgb.mut.Unlock()
	log := trace.Log{Name: "node", Open: func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(lgb.buf.Bytes())), nil
	}}
	var out strings.Builder
	// Explain fails until the first line about the request is written.
	if err := trace.Explain(&out, request, log); err != nil && !errors.Is(err, trace.ErrNotFound) {
		t.Fatal(err)
	}
	return out.String()
}

// testNode is a node whose handler is served by httptest rather than by its own listeners.
type testNode struct {
	*Node

	url string
	log *logBuffer
}

func startNode(t *testing.T, address, man string) testNode {
	t.Helper()
	log := &logBuffer{}
	nod := New(Options{
		Settings: conf.Node{Name: "node", FailureDomain: "here", Platform: conf.Platform{RetryReserve: 50, RetryShare: 0.2}},
		Timers:   timer.Real{},
		Log:      logs.New(log, slog.LevelInfo).With("Node", "node"),
		Source:   fakes.NewRecordStore(),
		Codec:    fakes.Codec{},
		Dialect:  fakes.Dialect{},
	})
	t.Cleanup(func() {
		for _, clo := range nod.closers {
			clo()
		}
	})
	if man != "" {
		nod.manifests.MergePeer(router.Changes{Version: 1, Snapshot: true, Records: []router.Record{{Key: "m", Value: []byte(man), Version: 1}}})
		// No store confirms the manifest: it counts as current for an hour.
		nod.manifests.Confirm(follow.Position{LastChange: 1}, 1, -time.Hour)
	}
	nod.instances.MergePeer(router.Changes{Version: 2, Snapshot: true, Records: []router.Record{
		{Key: "up", Value: []byte("{service: svc, address: '" + address + "'}"), Version: 2},
	}})
	srv := httptest.NewServer(nod.handler)
	t.Cleanup(srv.Close)
	return testNode{Node: nod, url: srv.URL, log: log}
}

func (tsn testNode) send(t *testing.T, path, key string, body io.Reader) (rsp *http.Response, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, tsn.url+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(fakes.HeaderID, "r1")
	req.Header.Set(fakes.HeaderKey, key)
	rsp, err = http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer rsp.Body.Close()
	_, err = io.Copy(io.Discard, rsp.Body)
	return rsp, err
}

const answer = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 2\r\n\r\nok"

// TestAdmission guards against requests that reach an upstream although they must be refused (for
// their key, route or size, or because the node is stopping or has no manifest), and against the
// reverse. A node with a stale manifest must answer 503 to what it cannot find, not 404 or 401.
func TestAdmission(t *testing.T) {
	cases := map[string]struct {
		path, key        string
		body             io.Reader
		manifest         string
		prepare          func(nod *Node)
		status           int
		connectionClosed bool
	}{
		"route and key match":        {path: "/plain/x", key: "key", status: 200},
		"unknown key":                {path: "/plain/x", key: "odd", status: 401},
		"no key":                     {path: "/plain/x", status: 401},
		"public route without a key": {path: "/open/x", status: 200},
		"no route":                   {path: "/none/x", key: "key", status: 404},
		"no manifest":                {path: "/plain/x", key: "key", manifest: "none", status: 503},
		"body too large":             {path: "/plain/x", key: "key", body: strings.NewReader(strings.Repeat("x", 101)), status: 413},
		"chunked and too large":      {path: "/plain/x", key: "key", body: io.MultiReader(strings.NewReader(strings.Repeat("x", 101))), status: 413, connectionClosed: true},
		"chunked":                    {path: "/plain/x", key: "key", body: io.MultiReader(strings.NewReader("x")), status: 200, connectionClosed: true},
		"stopping":                   {path: "/plain/x", key: "key", prepare: func(nod *Node) { nod.handler.refusing.Store(true) }, status: 503},
		"no route in a stale manifest": {
			path: "/none/x", key: "key", prepare: func(nod *Node) { nod.handler.stale = func() bool { return true } }, status: 503,
		},
		"unknown key in a stale manifest": {
			path: "/plain/x", key: "odd", prepare: func(nod *Node) { nod.handler.stale = func() bool { return true } }, status: 503,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			man := manifest
			if cas.manifest == "none" {
				man = ""
			}
			scr := fakes.NewScriptedServer(t, answer)
			tsn := startNode(t, scr.Address, man)
			if cas.prepare != nil {
				cas.prepare(tsn.Node)
			}
			rsp, err := tsn.send(t, cas.path, cas.key, cas.body)
			if err != nil {
				t.Fatal(err)
			}
			if rsp.StatusCode != cas.status || rsp.Close != cas.connectionClosed {
				t.Errorf("status %d, connection closed %t; want %d, %t", rsp.StatusCode, rsp.Close, cas.status, cas.connectionClosed)
			}
			if got := len(scr.Requests()); (got > 0) != (cas.status == 200) {
				t.Errorf("status %d, and the upstream got %d requests", cas.status, got)
			}
		})
	}
}

// TestOlderManifestIsIgnored guards against a newer record that holds an older or invalid manifest
// replacing the one in force.
func TestOlderManifestIsIgnored(t *testing.T) {
	tsn := startNode(t, "127.0.0.1:1", manifest)
	for _, step := range []struct {
		text string
		want int64
	}{{"version: 9", 9}, {"version: 7", 9}, {"{", 9}, {"version: 12", 12}} {
		rec := router.Record{Key: "m", Value: []byte(step.text), Version: tsn.manifests.LastChange() + 1}
		tsn.manifests.MergePeer(router.Changes{Version: rec.Version, Snapshot: true, Records: []router.Record{rec}})
		if got := tsn.handler.ManifestVersion(); got != step.want {
			t.Errorf("after %q version %d is in force, want %d", step.text, got, step.want)
		}
	}
}

// logTimeout limits the wait for lines of a log.
const logTimeout = 10 * time.Second

func containsAll(txt string, parts []string) bool {
	for _, prt := range parts {
		if !strings.Contains(txt, prt) {
			return false
		}
	}
	return true
}

// TestLogsExplainFailures guards against log lines that do not show the cause of a failed
// request: package trace must find the cause of each of three failures.
func TestLogsExplainFailures(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\na\n\n\r\n"
	cases := map[string]struct {
		path, answer string
		want         []string
	}{
		"plain call, connection cut before the answer": {"/plain/x", fakes.ThenClose, []string{
			`before   `, `"Message":"manifest applied"`, `"Message":"upstream added"`,
			`"What":"no answer"`, `"Upstream":"up"`, `"Outcome":"Unknown"`, `"Status":502`, `"Sends":1`,
		}},
		"stream cut after its first event": {"/stream/x", events + fakes.ThenClose, []string{
			`"What":"stream cut"`, `"Begun":true`, `"Message":"answer broken off"`, `"Events":1`,
		}},
		"rejected by a full upstream": {"/stream/x", "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", []string{
			`"What":"rejected"`, `"Outcome":"NotRun"`, `"Status":503`, `"Reason":"rejected"`,
		}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tsn := startNode(t, fakes.NewScriptedServer(t, cas.answer).Address, manifest)
			_, _ = tsn.send(t, cas.path, "key", nil)
			// The last lines are written after the answer has been sent.
			var got string
			for end := time.Now().Add(logTimeout); time.Now().Before(end); runtime.Gosched() {
				got = tsn.log.explain(t, "r1")
				if containsAll(got, cas.want) {
					return
				}
			}
			t.Errorf("not all of %q in\n%s", cas.want, got)
		})
	}
}

// TestStalledBodyIsRefused guards against a caller that announces a long body and sends little of it: it must not hold
// memory for the announced length, nor the request longer than its deadline. The answer says truly that nothing ran.
func TestStalledBodyIsRefused(t *testing.T) {
	const announced, callers = 8 << 20, 64
	scr := fakes.NewScriptedServer(t, answer)
	tsn := startNode(t, scr.Address, strings.Replace(manifest, "bodybytes: 100", "bodybytes: 16777216", 1))
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	conns := make([]net.Conn, callers)
	for num := range conns {
		soc, err := net.Dial("tcp", strings.TrimPrefix(tsn.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = soc.Close() })
		conns[num] = soc
		fmt.Fprintf(soc, "POST /plain/x HTTP/1.1\r\nHost: h\r\n%s: r1\r\n%s: key\r\n%s: 1000\r\nContent-Length: %d\r\n\r\nx",
			fakes.HeaderID, fakes.HeaderKey, fakes.HeaderTimeLimit, announced)
	}
	for tsn.handler.active.Load() < callers {
		runtime.Gosched()
	}
	runtime.ReadMemStats(&during)
	if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > callers*announced/8 {
		t.Errorf("%d callers that announced %d bytes hold %d", callers, announced, grown)
	}
	for _, soc := range conns {
		rsp, err := http.ReadResponse(bufio.NewReader(soc), nil)
		if err != nil {
			t.Fatal(err)
		}
		if rsp.StatusCode != http.StatusRequestTimeout || rsp.Header.Get(router.HeaderOutcome) != string(router.NotRun) {
			t.Errorf("status %d, outcome %q", rsp.StatusCode, rsp.Header.Get(router.HeaderOutcome))
		}
		_ = rsp.Body.Close()
	}
	if got := len(scr.Requests()); got > 0 {
		t.Errorf("%d requests reached the upstream", got)
	}
}
