package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/tidwall/gjson"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const (
	testKey   = "test-key"
	bodyLimit = 4096
)

// path is a node before in-process stand-ins.
type path struct {
	t        *testing.T
	url      string
	node     *Node
	switches []*stand.Switch
	// calls counts the requests that reached an upstream, and reached is closed by the first.
	calls   atomic.Int64
	reached chan struct{}
}

// newPath starts a node before engines, and before one service, each behind its own wrapper.
func newPath(t *testing.T, opt stand.EngineOptions, engines int, wrap func(idx int, next http.Handler) http.Handler) *path {
	t.Helper()
	pth := &path{t: t, reached: make(chan struct{})}
	adrs := make([]string, 0, engines)
	for idx := range engines {
		swt := stand.NewSwitch(1)
		pth.switches = append(pth.switches, swt)
		han := stand.NewEngine(opt, swt).Handler()
		if wrap != nil {
			han = wrap(idx, han)
		}
		adrs = append(adrs, pth.serve(han, swt))
	}
	swt := stand.NewSwitch(1)
	pth.switches = append(pth.switches, swt)
	srv := pth.serve(stand.NewService("shop", time.Millisecond, swt, nil).Handler(), swt)
	doc := conf.Document{Base: conf.Source{File: "base.yaml", Text: settings(adrs, srv, opt.Slots)}}
	nod, err := New(Options{
		Settings: conf.Node{Name: "n", FailureDomain: "here", Region: "home", Table: conf.Table{Kind: conf.Memory}, Objects: conf.Objects{Kind: conf.Memory}},
		Document: &doc,
		Timers:   timer.Real{},
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := nod.begin(context.Background()); err != nil {
		t.Fatal(err)
	}
	nod.ready.Store(true)
	t.Cleanup(nod.close)
	hts := httptest.NewServer(nod.entry.Handler())
	t.Cleanup(hts.Close)
	pth.url, pth.node = hts.URL, nod
	return pth
}

func (pth *path) serve(han http.Handler, swt *stand.Switch) string {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path != stand.HealthPath {
			if pth.calls.Add(1) == 1 {
				close(pth.reached)
			}
		}
		han.ServeHTTP(wri, req)
	}))
	srv.Config.ConnContext = swt.ConnContext
	srv.Start()
	pth.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

func settings(engines []string, service string, slots int) string {
	var bld strings.Builder
	fmt.Fprintf(&bld, `Deployment: test
FailureDomains: [{Name: here, Region: home}]
Classes:
  - {Name: preview, Tier: 0, FirstToken: 200ms, BetweenTokens: 1s, Objective: 0.9, MinimumShare: 0.1}
  - {Name: draft, Tier: 3, FirstToken: 9s, Objective: 0.9, MinimumShare: 0.05, Recallable: true}
Workspaces:
  - {Name: me, KeyDigests: [%s], RequestRate: 10000, Burst: 10000, InFlight: 1000, Classes: [preview, draft]}
Policy: {StallAfter: 300ms, HedgeShare: 0.5}
Limits: {BodyBytes: %d, OrderWait: 1ms}
Pools:
  - Name: shop
    Kind: Service
    Operations:
      - {Name: order, Method: POST, Path: /orders, Idempotent: false}
      - {Name: stock, Method: GET, Path: /stock, Idempotent: true}
    Upstreams: [{Name: shop-1, FailureDomain: here, Address: %q, Slots: 4}]
  - Name: model
    Kind: Engine
    Models: [m]
    Extensions: true
    Upstreams:
`, entry.KeyDigest(testKey), bodyLimit, service)
	for idx, adr := range engines {
		fmt.Fprintf(&bld, "      - {Name: engine-%d, FailureDomain: here, Address: %q, Slots: %d}\n", idx, adr, slots)
	}
	return bld.String()
}

// answer is what a caller got.
type answer struct {
	status   int
	outcome  router.Outcome
	upstream string
	text     string
	whole    bool
	body     string
}

func (pth *path) send(method, target string, bdy []byte, hdr map[string]string) answer {
	pth.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, pth.url+target, bytes.NewReader(bdy))
	if err != nil {
		pth.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		pth.t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		pth.t.Error(err)
	}
	ans := answer{
		status:   res.StatusCode,
		outcome:  router.Outcome(res.Header.Get(router.HeaderOutcome)),
		upstream: res.Header.Get(router.HeaderUpstream),
		body:     string(raw),
	}
	for _, lin := range strings.Split(ans.body, "\n") {
		dat, fnd := strings.CutPrefix(lin, "data: ")
		ans.whole = ans.whole || dat == "[DONE]"
		if out := gjson.Get(dat, "error.hornbeamdyke_outcome"); fnd && out.Exists() {
			ans.outcome = router.Outcome(out.String())
		}
		ans.text += gjson.Get(dat, "choices.0.delta.content").String()
	}
	return ans
}

func (pth *path) chat(cls, prompt string) answer {
	pth.t.Helper()
	bdy, err := json.Marshal(map[string]any{
		"model": "m", "stream": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		pth.t.Fatal(err)
	}
	return pth.send(http.MethodPost, "/v1/chat/completions", bdy, map[string]string{router.HeaderClass: cls})
}

// mustBeWhole fails unless an answer is exactly the one that the prompt must produce.
func (pth *path) mustBeWhole(ans answer, prompt string) {
	pth.t.Helper()
	want := stand.Expected(stand.Prompt(prompt))
	if ans.status != http.StatusOK || ans.outcome != router.Ran || !ans.whole || ans.text != want {
		pth.t.Fatalf("status %d outcome %s whole %v\n got %q\nwant %q\nbody %s", ans.status, ans.outcome, ans.whole, ans.text, want, ans.body)
	}
}

var quick = stand.EngineOptions{Slots: 4, Gap: time.Millisecond, Prefill: time.Millisecond}

func TestPublicClient(t *testing.T) {
	pth := newPath(t, quick, 1, nil)
	cli := openai.NewClient(option.WithBaseURL(pth.url+"/v1"), option.WithAPIKey(testKey))
	prm := openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("tokens=5 hello")},
	}
	want := stand.Expected(stand.Prompt("tokens=5 hello"))
	res, err := cli.Chat.Completions.New(context.Background(), prm)
	if err != nil {
		t.Fatal(err)
	}
	if got := res.Choices[0].Message.Content; got != want || res.Usage.CompletionTokens != 5 {
		t.Fatalf("unstreamed: %q, %d tokens", got, res.Usage.CompletionTokens)
	}
	stm := cli.Chat.Completions.NewStreaming(context.Background(), prm)
	acc := openai.ChatCompletionAccumulator{}
	for stm.Next() {
		if !acc.AddChunk(stm.Current()) {
			t.Fatal("chunk does not belong to the completion")
		}
	}
	if err := stm.Err(); err != nil {
		t.Fatal(err)
	}
	if got := acc.Choices[0].Message.Content; got != want {
		t.Fatalf("streamed: %q", got)
	}
	if _, err := cli.Models.List(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func TestRefusals(t *testing.T) {
	pth := newPath(t, quick, 1, nil)
	chat := "/v1/chat/completions"
	for name, tst := range map[string]struct {
		method, target, body string
		header               map[string]string
		status               int
		code                 string
	}{
		"unknown key":           {"POST", chat, `{}`, map[string]string{"Authorization": "Bearer no"}, 401, router.CodeKey},
		"no key":                {"POST", chat, `{}`, map[string]string{"Authorization": ""}, 401, router.CodeKey},
		"unknown class":         {"POST", chat, `{}`, map[string]string{router.HeaderClass: "no"}, 400, router.CodeClass},
		"not JSON":              {"POST", chat, `{"model":`, nil, 400, router.CodeInvalid},
		"not an object":         {"POST", chat, `[1]`, nil, 400, router.CodeInvalid},
		"no messages":           {"POST", chat, `{"model":"m","messages":[]}`, nil, 400, router.CodeInvalid},
		"unknown model":         {"POST", chat, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, nil, 404, router.CodeModel},
		"oversized":             {"POST", chat, strings.Repeat("a", bodyLimit+1), nil, 413, router.CodeTooLarge},
		"unknown pool":          {"POST", "/services/no/orders", ``, nil, 404, router.CodePool},
		"an engine as service":  {"POST", "/services/model/orders", ``, nil, 404, router.CodePool},
		"unknown operation":     {"POST", "/services/shop/refunds", ``, nil, 404, router.CodeOperation},
		"wrong method":          {"GET", "/services/shop/orders", ``, nil, 404, router.CodeOperation},
		"an order without key":  {"POST", "/services/shop/orders", `{}`, nil, 400, router.CodeOrderKey},
		"an order key too long": {"POST", "/services/shop/orders", `{}`, map[string]string{router.HeaderOrderKey: strings.Repeat("k", 256)}, 400, router.CodeOrderKey},
		"unknown path":          {"GET", "/nowhere", ``, nil, 404, router.CodeOperation},
	} {
		t.Run(name, func(t *testing.T) {
			before := pth.calls.Load()
			ans := pth.send(tst.method, tst.target, []byte(tst.body), tst.header)
			code := gjson.Get(ans.body, "error.code").String()
			if ans.status != tst.status || code != tst.code || ans.outcome != router.NotRun {
				t.Fatalf("status %d code %s outcome %s: %s", ans.status, code, ans.outcome, ans.body)
			}
			if pth.calls.Load() != before {
				t.Fatal("something was sent upstream")
			}
		})
	}
}

// TestCutStreamIsResumed cuts the first engine's stream midway; the answer must still be whole.
func TestCutStreamIsResumed(t *testing.T) {
	var cuts atomic.Int64
	pth := newPath(t, quick, 2, func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			if req.Method == http.MethodPost && cuts.Add(1) == 1 {
				wri = &cutter{ResponseWriter: wri, left: 4}
			}
			next.ServeHTTP(wri, req)
		})
	})
	prompt := "tokens=12 cut me"
	pth.mustBeWhole(pth.chat("preview", prompt), prompt)
	if cuts.Load() < 2 {
		t.Fatal("nothing was cut")
	}
}

// cutter drops the connection after a number of writes.
type cutter struct {
	http.ResponseWriter

	left int
}

func (cut *cutter) Write(buf []byte) (num int, err error) {
	if cut.left == 0 {
		panic(http.ErrAbortHandler)
	}
	cut.left--
	return cut.ResponseWriter.Write(buf)
}

func (cut *cutter) Flush() {
	if flu, can := cut.ResponseWriter.(http.Flusher); can {
		flu.Flush()
	}
}

// TestDeadUpstreamSpendsNoBudget sends many requests while one of two engines accepts no connection.
func TestDeadUpstreamSpendsNoBudget(t *testing.T) {
	pth := newPath(t, quick, 2, nil)
	doc := *pth.node.options.Document
	adr, _ := pth.node.live.Get().Upstream("engine-0")
	doc.Base.Text = strings.Replace(doc.Base.Text, adr.Address, "http://127.0.0.1:1", 1)
	if err := pth.node.installDocument(doc); err != nil {
		t.Fatal(err)
	}
	var grp sync.WaitGroup
	for num := range 60 {
		prompt := fmt.Sprint("tokens=2 number ", num)
		grp.Go(func() { pth.mustBeWhole(pth.chat("preview", prompt), prompt) })
	}
	grp.Wait()
}

// TestSilentConnection makes the open connections fall silent in the middle of a stream.
func TestSilentConnection(t *testing.T) {
	pth := newPath(t, stand.EngineOptions{Slots: 4, Gap: 20 * time.Millisecond, Prefill: time.Millisecond}, 1, nil)
	prompt := "tokens=20 silence"
	time.AfterFunc(100*time.Millisecond, func() { pth.switches[0].Set(stand.Faults{SilenceOld: true}) })
	pth.mustBeWhole(pth.chat("draft", prompt), prompt)
	if pth.calls.Load() < 2 {
		t.Fatal("the stream did not fall silent")
	}
}

// TestSilentLookup makes the open connections to a service fall silent between two lookups.
func TestSilentLookup(t *testing.T) {
	pth := newPath(t, quick, 1, nil)
	for range 2 {
		ans := pth.send(http.MethodGet, "/services/shop/stock", nil, nil)
		if ans.outcome != router.Ran {
			t.Fatalf("outcome %s: %s", ans.outcome, ans.body)
		}
		pth.switches[1].Set(stand.Faults{SilenceOld: true})
	}
	if got := pth.calls.Load(); got != 3 {
		t.Fatalf("%d calls, want 3: one of them on a silent connection", got)
	}
}

// TestRecall fills the only slot with a draft; a preview takes it, and both answers are whole.
func TestRecall(t *testing.T) {
	pth := newPath(t, stand.EngineOptions{Slots: 1, Gap: 5 * time.Millisecond, Prefill: time.Millisecond}, 1, nil)
	draft, preview := "tokens=150 draft", "tokens=3 preview"
	var grp sync.WaitGroup
	grp.Go(func() { pth.mustBeWhole(pth.chat("draft", draft), draft) })
	<-pth.reached
	pth.mustBeWhole(pth.chat("preview", preview), preview)
	grp.Wait()
	if pth.calls.Load() < 3 {
		t.Fatal("the draft was not recalled")
	}
}

// TestHedge lets one of two engines never begin; whatever is picked, the answer comes.
func TestHedge(t *testing.T) {
	pth := newPath(t, quick, 2, func(idx int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			if idx == 0 && req.Method == http.MethodPost {
				// The body must be read for the caller's departure to be noticed.
				_, _ = io.Copy(io.Discard, req.Body)
				<-req.Context().Done()
				return
			}
			next.ServeHTTP(wri, req)
		})
	})
	for num := range 6 {
		prompt := fmt.Sprint("tokens=4 hedge ", num)
		ans := pth.chat("preview", prompt)
		pth.mustBeWhole(ans, prompt)
		if ans.upstream != "engine-1" {
			t.Fatalf("answered by %s", ans.upstream)
		}
	}
}

// TestPoisonIsQuarantined sends a request that crashes every engine that runs it.
func TestPoisonIsQuarantined(t *testing.T) {
	var dead [3]atomic.Bool
	pth := newPath(t, quick, 3, func(idx int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			raw, _ := io.ReadAll(req.Body)
			req.Body = io.NopCloser(bytes.NewReader(raw))
			if bytes.Contains(raw, []byte("poison")) {
				dead[idx].Store(true)
			}
			if dead[idx].Load() {
				panic(http.ErrAbortHandler)
			}
			next.ServeHTTP(wri, req)
		})
	})
	if ans := pth.chat("preview", "poison"); ans.outcome != router.Unknown {
		t.Fatalf("outcome %s: %s", ans.outcome, ans.body)
	}
	before := pth.calls.Load()
	ans := pth.chat("preview", "poison")
	if ans.status != http.StatusUnprocessableEntity || ans.outcome != router.NotRun || pth.calls.Load() != before {
		t.Fatalf("status %d outcome %s", ans.status, ans.outcome)
	}
	healthy := 0
	for idx := range dead {
		if !dead[idx].Load() {
			healthy++
		}
	}
	if healthy != 1 {
		t.Fatalf("%d engines survived, want 1", healthy)
	}
	pth.mustBeWhole(pth.chat("preview", "tokens=3 fine"), "tokens=3 fine")
}

// TestLostOrder loses the answer of an executed order; nobody may be told NotRun, and it runs once.
func TestLostOrder(t *testing.T) {
	pth := newPath(t, quick, 1, nil)
	shop := pth.switches[1]
	shop.Set(stand.Faults{LoseShare: 1})
	hdr := map[string]string{router.HeaderOrderKey: "k1"}
	if ans := pth.send(http.MethodPost, "/services/shop/orders", []byte(`{}`), hdr); ans.outcome != router.Unknown {
		t.Fatalf("outcome %s: %s", ans.outcome, ans.body)
	}
	shop.Set(stand.Faults{})
	if ans := pth.send(http.MethodPost, "/services/shop/orders", []byte(`{}`), hdr); ans.outcome != router.Unknown {
		t.Fatalf("repeat: outcome %s: %s", ans.outcome, ans.body)
	}
	if got := pth.calls.Load(); got != 1 {
		t.Fatalf("the order was sent %d times", got)
	}
	ans := pth.send(http.MethodGet, "/services/shop/stock?item=3", nil, nil)
	if ans.outcome != router.Ran || ans.status != http.StatusOK {
		t.Fatalf("lookup: %s %s", ans.outcome, ans.body)
	}
}

// TestLeavingUpstream retires the only engine while a stream runs: it ends whole, and nothing new is sent.
func TestLeavingUpstream(t *testing.T) {
	pth := newPath(t, stand.EngineOptions{Slots: 2, Gap: 5 * time.Millisecond, Prefill: time.Millisecond}, 1, nil)
	prompt := "tokens=30 stay"
	var grp sync.WaitGroup
	grp.Go(func() { pth.mustBeWhole(pth.chat("preview", prompt), prompt) })
	<-pth.reached
	pth.node.scheduler.SetDraining("model", "engine-0", true)
	if ans := pth.chat("preview", "tokens=1 new"); ans.outcome != router.NotRun {
		t.Fatalf("outcome %s", ans.outcome)
	}
	grp.Wait()
	if got := pth.calls.Load(); got != 1 {
		t.Fatalf("%d requests were sent", got)
	}
}
