package edge

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/logs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
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

// lines is a log that a test reads.
type lines struct {
	mut sync.Mutex
	buf bytes.Buffer
}

func (lns *lines) Write(txt []byte) (num int, err error) {
	lns.mut.Lock()
	defer lns.mut.Unlock()
	return lns.buf.Write(txt)
}

func (lns *lines) explain(t *testing.T, request string) string {
	t.Helper()
	lns.mut.Lock()
	defer lns.mut.Unlock()
	var log trace.Log
	if err := log.Read(bytes.NewReader(lns.buf.Bytes())); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	// Before the first line the request is unknown.
	_ = log.Explain(&out, request)
	return out.String()
}

// started is a node without its own listeners.
type started struct {
	*Node

	url string
	log *lines
}

func start(t *testing.T, address, man string) started {
	t.Helper()
	log := &lines{}
	nod := New(Options{
		Settings: conf.Node{Name: "node", FailureDomain: "here", Platform: conf.Platform{RetryReserve: 50, RetryShare: 0.2}},
		Timers:   timer.Real{},
		Log:      logs.New(log, slog.LevelInfo).With("Node", "node"),
		Source:   stand.NewSource(),
		Codec:    stand.Codec{},
		Dialect:  stand.Dialect{},
	})
	t.Cleanup(func() {
		for _, clo := range nod.closers {
			clo()
		}
	})
	if man != "" {
		nod.manifests.Offer(router.Changes{Version: 1, Snapshot: true, Records: []router.Record{{Key: "m", Value: []byte(man), Version: 1}}})
	}
	nod.instances.Offer(router.Changes{Version: 2, Snapshot: true, Records: []router.Record{
		{Key: "up", Value: []byte("{service: svc, address: '" + address + "'}"), Version: 2},
	}})
	srv := httptest.NewServer(nod.front)
	t.Cleanup(srv.Close)
	return started{Node: nod, url: srv.URL, log: log}
}

func (sta started) send(t *testing.T, path, key string, body io.Reader) (rsp *http.Response, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, sta.url+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(stand.HeaderID, "r1")
	req.Header.Set(stand.HeaderKey, key)
	rsp, err = http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer rsp.Body.Close()
	_, err = io.Copy(io.Discard, rsp.Body)
	return rsp, err
}

const answer = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 2\r\n\r\nok"

func TestJudges(t *testing.T) {
	cases := map[string]struct {
		path, key string
		body      io.Reader
		manifest  string
		prepare   func(nod *Node)
		status    int
		closes    bool
	}{
		"answered":              {path: "/plain/x", key: "key", status: 200},
		"unknown key":           {path: "/plain/x", key: "odd", status: 401},
		"no key":                {path: "/plain/x", status: 401},
		"no key needed":         {path: "/open/x", status: 200},
		"no route":              {path: "/none/x", key: "key", status: 404},
		"no manifest":           {path: "/plain/x", key: "key", manifest: "none", status: 503},
		"body too large":        {path: "/plain/x", key: "key", body: strings.NewReader(strings.Repeat("x", 101)), status: 413},
		"chunked and too large": {path: "/plain/x", key: "key", body: io.MultiReader(strings.NewReader(strings.Repeat("x", 101))), status: 413, closes: true},
		"chunked":               {path: "/plain/x", key: "key", body: io.MultiReader(strings.NewReader("x")), status: 200, closes: true},
		"stopping":              {path: "/plain/x", key: "key", prepare: func(nod *Node) { nod.front.refusing.Store(true) }, status: 503},
		"no route in an old manifest": {
			path: "/none/x", key: "key", prepare: func(nod *Node) { nod.front.stale = func() bool { return true } }, status: 503,
		},
		"unknown key in an old manifest": {
			path: "/plain/x", key: "odd", prepare: func(nod *Node) { nod.front.stale = func() bool { return true } }, status: 503,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			man := manifest
			if cas.manifest == "none" {
				man = ""
			}
			scr := stand.NewScript(t, answer)
			sta := start(t, scr.Address, man)
			if cas.prepare != nil {
				cas.prepare(sta.Node)
			}
			rsp, err := sta.send(t, cas.path, cas.key, cas.body)
			if err != nil {
				t.Fatal(err)
			}
			if rsp.StatusCode != cas.status || rsp.Close != cas.closes {
				t.Errorf("status %d, closes %t; want %d, %t", rsp.StatusCode, rsp.Close, cas.status, cas.closes)
			}
			if got := len(scr.Requests()); (got > 0) != (cas.status == 200) {
				t.Errorf("status %d, and the upstream got %d requests", cas.status, got)
			}
		})
	}
}

func TestManifestNeverGoesBack(t *testing.T) {
	sta := start(t, "127.0.0.1:1", manifest)
	for _, step := range []struct {
		text string
		want int64
	}{{"version: 9", 9}, {"version: 7", 9}, {"{", 9}, {"version: 12", 12}} {
		rec := router.Record{Key: "m", Value: []byte(step.text), Version: sta.manifests.Newest() + 1}
		sta.manifests.Offer(router.Changes{Version: rec.Version, Snapshot: true, Records: []router.Record{rec}})
		if got := sta.front.Version(); got != step.want {
			t.Errorf("after %q version %d is in force, want %d", step.text, got, step.want)
		}
	}
}

// patience bounds the wait for lines of a log.
const patience = 10 * time.Second

func containsAll(txt string, parts []string) bool {
	for _, prt := range parts {
		if !strings.Contains(txt, prt) {
			return false
		}
	}
	return true
}

// TestLogsExplain brings about three failures and finds their causes in the lines.
func TestLogsExplain(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\na\n\n\r\n"
	cases := map[string]struct {
		path, answer string
		want         []string
	}{
		"order without an answer": {"/plain/x", stand.Cut, []string{
			`before   `, `"Message":"manifest applied"`, `"Message":"upstream added"`,
			`"What":"no answer"`, `"Upstream":"up"`, `"Outcome":"Unknown"`, `"Status":502`, `"Sends":1`,
		}},
		"stream broken off": {"/stream/x", events + stand.Cut, []string{
			`"What":"stream cut"`, `"Begun":true`, `"Message":"answer broken off"`, `"Events":1`,
		}},
		"refused by a full upstream": {"/stream/x", "HTTP/1.1 503 Full\r\nStand-Id: {ID}\r\nStand-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", []string{
			`"What":"rejected"`, `"Outcome":"NotRun"`, `"Status":503`, `"Reason":"rejected"`,
		}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			sta := start(t, stand.NewScript(t, cas.answer).Address, manifest)
			_, _ = sta.send(t, cas.path, "key", nil)
			// The last lines are written after the answer.
			var got string
			for end := time.Now().Add(patience); time.Now().Before(end); runtime.Gosched() {
				got = sta.log.explain(t, "r1")
				if containsAll(got, cas.want) {
					return
				}
			}
			t.Errorf("not all of %q in\n%s", cas.want, got)
		})
	}
}
