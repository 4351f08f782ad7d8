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
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

const (
	testKey   = "test-key"
	bodyLimit = 4096
)

// harness runs a node, without peers, against fake upstreams in the same process.
type harness struct {
	t    *testing.T
	url  string
	node *Node
	// injectors inject faults: one for each engine, then that of the service.
	injectors []*fakes.Injector
	// calls counts the requests that reached an upstream, without health checks; the first closes reached.
	calls   atomic.Int64
	reached chan struct{}
}

// newHarness starts a node with a number of engines and one service as upstreams. wrap, unless nil, wraps the
// engines' handlers.
func newHarness(t *testing.T, opt fakes.EngineOptions, engines int, wrap func(idx int, next http.Handler) http.Handler) *harness {
	t.Helper()
	har := &harness{t: t, reached: make(chan struct{})}
	adrs := make([]string, 0, engines)
	for idx := range engines {
		inj := fakes.NewInjector(1)
		har.injectors = append(har.injectors, inj)
		han := fakes.NewEngine(opt, inj).Handler()
		if wrap != nil {
			han = wrap(idx, han)
		}
		adrs = append(adrs, har.serve(han, inj))
	}
	inj := fakes.NewInjector(1)
	har.injectors = append(har.injectors, inj)
	srv := har.serve(fakes.NewService("shop", time.Millisecond, inj, nil).Handler(), inj)
	har.start(adrs, srv, opt.Slots)
	return har
}

// start starts the node with the addresses of its upstreams.
func (har *harness) start(engines []string, service string, slots int) {
	t := har.t
	doc := conf.Document{Base: conf.Source{File: "base.yaml", Text: settings(engines, service, slots)}}
	nod, err := New(Options{
		Settings: conf.Node{Name: "n", FailureDomain: "here", Region: "home", Table: conf.Table{Kind: conf.Memory}, Objects: conf.Objects{Kind: conf.Memory}},
		Document: &doc,
		Timers:   timer.Real{},
		Log:      slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := nod.loadInitial(context.Background()); err != nil {
		t.Fatal(err)
	}
	nod.ready.Store(true)
	t.Cleanup(nod.close)
	hts := httptest.NewServer(nod.entry.Handler())
	t.Cleanup(hts.Close)
	har.url, har.node = hts.URL, nod
}

// serve starts a server that counts requests and whose connections the switch controls.
func (har *harness) serve(han http.Handler, inj *fakes.Injector) string {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path != fakes.HealthPath {
			if har.calls.Add(1) == 1 {
				close(har.reached)
			}
		}
		han.ServeHTTP(wri, req)
	}))
	srv.Config.ConnContext = inj.ConnContext
	srv.Start()
	har.t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return srv.URL
}

// settings returns a configuration with the pools shop, a service, and model, the engines.
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

// answer is a response as its caller saw it.
type answer struct {
	status   int
	outcome  router.Outcome
	upstream string
	// text is the concatenated content of the streamed events.
	text string
	// complete reports whether the stream ended with its end marker.
	complete bool
	body     string
}

func (har *harness) send(method, target string, bdy []byte, hdr map[string]string) answer {
	har.t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, har.url+target, bytes.NewReader(bdy))
	if err != nil {
		har.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		har.t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		har.t.Error(err)
	}
	ans := answer{
		status:   res.StatusCode,
		outcome:  router.Outcome(res.Header.Get(router.HeaderOutcome)),
		upstream: res.Header.Get(router.HeaderUpstream),
		body:     string(raw),
	}
	for _, lin := range strings.Split(ans.body, "\n") {
		dat, fnd := strings.CutPrefix(lin, "data: ")
		ans.complete = ans.complete || dat == "[DONE]"
		if out := gjson.Get(dat, "error.hornbeamdyke_outcome"); fnd && out.Exists() {
			ans.outcome = router.Outcome(out.String())
		}
		ans.text += gjson.Get(dat, "choices.0.delta.content").String()
	}
	return ans
}

// chat sends a streaming chat completion of a class.
func (har *harness) chat(cls, prompt string) answer {
	har.t.Helper()
	bdy, err := json.Marshal(map[string]any{
		"model": "m", "stream": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		har.t.Fatal(err)
	}
	return har.send(http.MethodPost, "/v1/chat/completions", bdy, map[string]string{router.HeaderClass: cls})
}

// mustBeComplete fails the test unless the answer is exactly the output that the prompt must produce.
func (har *harness) mustBeComplete(ans answer, prompt string) {
	har.t.Helper()
	want := fakes.ExpectedAnswer(fakes.RenderPrompt(prompt))
	if ans.status != http.StatusOK || ans.outcome != router.Ran || !ans.complete || ans.text != want {
		har.t.Fatalf("status %d outcome %s complete %v\n got %q\nwant %q\nbody %s", ans.status, ans.outcome, ans.complete, ans.text, want, ans.body)
	}
}

var fastEngine = fakes.EngineOptions{Slots: 4, Gap: time.Millisecond, Prefill: time.Millisecond}

// TestOpenAIClient checks that the public OpenAI client library can use the API: an answer in one piece, a
// streamed one and the list of models.
func TestOpenAIClient(t *testing.T) {
	har := newHarness(t, fastEngine, 1, nil)
	cli := openai.NewClient(option.WithBaseURL(har.url+"/v1"), option.WithAPIKey(testKey))
	prm := openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("tokens=5 hello")},
	}
	want := fakes.ExpectedAnswer(fakes.RenderPrompt("tokens=5 hello"))
	res, err := cli.Chat.Completions.New(context.Background(), prm)
	if err != nil {
		t.Fatal(err)
	}
	if got := res.Choices[0].Message.Content; got != want || res.Usage.CompletionTokens != 5 {
		t.Fatalf("answer in one piece: %q, %d tokens", got, res.Usage.CompletionTokens)
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

// TestRefusedRequestsAreNotSent guards against invalid requests that reach an upstream or get a wrong code.
func TestRefusedRequestsAreNotSent(t *testing.T) {
	har := newHarness(t, fastEngine, 1, nil)
	chat := "/v1/chat/completions"
	for name, tst := range map[string]struct {
		method, target, body string
		header               map[string]string
		status               int
		code                 string
	}{
		"unknown key":                 {"POST", chat, `{}`, map[string]string{"Authorization": "Bearer no"}, 401, router.CodeKey},
		"no key":                      {"POST", chat, `{}`, map[string]string{"Authorization": ""}, 401, router.CodeKey},
		"unknown class":               {"POST", chat, `{}`, map[string]string{router.HeaderClass: "no"}, 400, router.CodeClass},
		"not JSON":                    {"POST", chat, `{"model":`, nil, 400, router.CodeInvalid},
		"not an object":               {"POST", chat, `[1]`, nil, 400, router.CodeInvalid},
		"no messages":                 {"POST", chat, `{"model":"m","messages":[]}`, nil, 400, router.CodeInvalid},
		"unknown model":               {"POST", chat, `{"model":"x","messages":[{"role":"user","content":"a"}]}`, nil, 404, router.CodeModel},
		"oversized":                   {"POST", chat, strings.Repeat("a", bodyLimit+1), nil, 413, router.CodeTooLarge},
		"unknown pool":                {"POST", "/services/no/orders", ``, nil, 404, router.CodePool},
		"engine addressed as service": {"POST", "/services/model/orders", ``, nil, 404, router.CodePool},
		"unknown operation":           {"POST", "/services/shop/refunds", ``, nil, 404, router.CodeOperation},
		"wrong method":                {"GET", "/services/shop/orders", ``, nil, 404, router.CodeOperation},
		"order without key":           {"POST", "/services/shop/orders", `{}`, nil, 400, router.CodeOrderKey},
		"order key too long":          {"POST", "/services/shop/orders", `{}`, map[string]string{router.HeaderOrderKey: strings.Repeat("k", 256)}, 400, router.CodeOrderKey},
		"unknown path":                {"GET", "/nowhere", ``, nil, 404, router.CodeOperation},
	} {
		t.Run(name, func(t *testing.T) {
			before := har.calls.Load()
			ans := har.send(tst.method, tst.target, []byte(tst.body), tst.header)
			code := gjson.Get(ans.body, "error.code").String()
			if ans.status != tst.status || code != tst.code || ans.outcome != router.NotRun {
				t.Fatalf("status %d code %s outcome %s: %s", ans.status, code, ans.outcome, ans.body)
			}
			if har.calls.Load() != before {
				t.Fatal("the refused request was sent to an upstream")
			}
		})
	}
}

// TestCutStreamIsResumed guards against truncated or repeated output when an engine drops its connection in the
// middle of a stream.
func TestCutStreamIsResumed(t *testing.T) {
	var cuts atomic.Int64
	har := newHarness(t, fastEngine, 2, func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			if req.Method == http.MethodPost && cuts.Add(1) == 1 {
				wri = &truncatingWriter{ResponseWriter: wri, remaining: 4}
			}
			next.ServeHTTP(wri, req)
		})
	})
	prompt := "tokens=12 cut me"
	har.mustBeComplete(har.chat("preview", prompt), prompt)
	if cuts.Load() < 2 {
		t.Fatal("the request was not sent again after the cut")
	}
}

// truncatingWriter drops the connection after a number of writes.
type truncatingWriter struct {
	http.ResponseWriter

	remaining int
}

func (twr *truncatingWriter) Write(buf []byte) (num int, err error) {
	if twr.remaining == 0 {
		panic(http.ErrAbortHandler)
	}
	twr.remaining--
	return twr.ResponseWriter.Write(buf)
}

func (twr *truncatingWriter) Flush() {
	if flu, can := twr.ResponseWriter.(http.Flusher); can {
		flu.Flush()
	}
}

// TestDeadUpstreamSpendsNoBudget guards against refused connections using up the retry budget: one of two
// engines accepts no connection, and all of many requests must still succeed.
func TestDeadUpstreamSpendsNoBudget(t *testing.T) {
	har := newHarness(t, fastEngine, 2, nil)
	doc := *har.node.options.Document
	adr, _ := har.node.live.Get().Upstream("engine-0")
	doc.Base.Text = strings.Replace(doc.Base.Text, adr.Address, "http://127.0.0.1:1", 1)
	if err := har.node.installDocument(doc); err != nil {
		t.Fatal(err)
	}
	var grp sync.WaitGroup
	for num := range 60 {
		prompt := fmt.Sprint("tokens=2 number ", num)
		grp.Go(func() { har.mustBeComplete(har.chat("preview", prompt), prompt) })
	}
	grp.Wait()
}

// TestStalledStreamIsResumed guards against a stream that hangs after its connection stops carrying data
// without being closed.
func TestStalledStreamIsResumed(t *testing.T) {
	har := newHarness(t, fakes.EngineOptions{Slots: 4, Gap: 20 * time.Millisecond, Prefill: time.Millisecond}, 1, nil)
	prompt := "tokens=20 silence"
	time.AfterFunc(100*time.Millisecond, func() { har.injectors[0].Set(fakes.Faults{SilenceOld: true}) })
	har.mustBeComplete(har.chat("draft", prompt), prompt)
	if har.calls.Load() < 2 {
		t.Fatal("the stalled stream was not sent again")
	}
}

// TestStalledLookupIsRetried guards against a failed lookup when a kept-alive connection stopped carrying data
// between two requests.
func TestStalledLookupIsRetried(t *testing.T) {
	har := newHarness(t, fastEngine, 1, nil)
	for range 2 {
		ans := har.send(http.MethodGet, "/services/shop/stock", nil, nil)
		if ans.outcome != router.Ran {
			t.Fatalf("outcome %s: %s", ans.outcome, ans.body)
		}
		har.injectors[1].Set(fakes.Faults{SilenceOld: true})
	}
	if got := har.calls.Load(); got != 3 {
		t.Fatalf("%d calls, want 3: one of them on a stalled connection", got)
	}
}

// TestRecalledRequestIsResumed guards against a preempted request that loses output: a request of tier 3 has the
// only slot, one of tier 0 takes it, and both answers must be complete.
func TestRecalledRequestIsResumed(t *testing.T) {
	har := newHarness(t, fakes.EngineOptions{Slots: 1, Gap: 5 * time.Millisecond, Prefill: time.Millisecond}, 1, nil)
	draft, preview := "tokens=150 draft", "tokens=3 preview"
	var grp sync.WaitGroup
	grp.Go(func() { har.mustBeComplete(har.chat("draft", draft), draft) })
	<-har.reached
	har.mustBeComplete(har.chat("preview", preview), preview)
	grp.Wait()
	if har.calls.Load() < 3 {
		t.Fatal("the draft was not recalled")
	}
}

// TestHedge guards against a request that waits for ever for an engine that never begins to answer: a hedge, a
// second copy of the request, must be sent to the other engine.
func TestHedge(t *testing.T) {
	har := newHarness(t, fastEngine, 2, func(idx int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			if idx == 0 && req.Method == http.MethodPost {
				// net/http detects that the client has disconnected only after the body is read.
				_, _ = io.Copy(io.Discard, req.Body)
				<-req.Context().Done()
				return
			}
			next.ServeHTTP(wri, req)
		})
	})
	for num := range 6 {
		prompt := fmt.Sprint("tokens=4 hedge ", num)
		ans := har.chat("preview", prompt)
		har.mustBeComplete(ans, prompt)
		if ans.upstream != "engine-1" {
			t.Fatalf("answered by %s", ans.upstream)
		}
	}
}

// TestPoisonIsQuarantined guards against a request that crashes one engine after the other: after two crashes it
// must be refused, and the third engine must survive.
func TestPoisonIsQuarantined(t *testing.T) {
	var dead [3]atomic.Bool
	har := newHarness(t, fastEngine, 3, func(idx int, next http.Handler) http.Handler {
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
	if ans := har.chat("preview", "poison"); ans.outcome != router.Unknown {
		t.Fatalf("outcome %s: %s", ans.outcome, ans.body)
	}
	before := har.calls.Load()
	ans := har.chat("preview", "poison")
	if ans.status != http.StatusUnprocessableEntity || ans.outcome != router.NotRun || har.calls.Load() != before {
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
	har.mustBeComplete(har.chat("preview", "tokens=3 fine"), "tokens=3 fine")
}

// TestLostOrderIsNotRepeated guards against a second execution of an order whose answer was lost, and against
// reporting it as not run.
func TestLostOrderIsNotRepeated(t *testing.T) {
	har := newHarness(t, fastEngine, 1, nil)
	shop := har.injectors[1]
	shop.Set(fakes.Faults{LoseShare: 1})
	hdr := map[string]string{router.HeaderOrderKey: "k1"}
	if ans := har.send(http.MethodPost, "/services/shop/orders", []byte(`{}`), hdr); ans.outcome != router.Unknown {
		t.Fatalf("outcome %s: %s", ans.outcome, ans.body)
	}
	shop.Set(fakes.Faults{})
	if ans := har.send(http.MethodPost, "/services/shop/orders", []byte(`{}`), hdr); ans.outcome != router.Unknown {
		t.Fatalf("repeat: outcome %s: %s", ans.outcome, ans.body)
	}
	if got := har.calls.Load(); got != 1 {
		t.Fatalf("the order was sent %d times", got)
	}
	ans := har.send(http.MethodGet, "/services/shop/stock?item=3", nil, nil)
	if ans.outcome != router.Ran || ans.status != http.StatusOK {
		t.Fatalf("lookup: %s %s", ans.outcome, ans.body)
	}
}

// TestDrainingUpstream guards against new requests at an upstream that is being drained, and against cutting a
// stream that it still runs.
func TestDrainingUpstream(t *testing.T) {
	har := newHarness(t, fakes.EngineOptions{Slots: 2, Gap: 5 * time.Millisecond, Prefill: time.Millisecond}, 1, nil)
	prompt := "tokens=30 stay"
	var grp sync.WaitGroup
	grp.Go(func() { har.mustBeComplete(har.chat("preview", prompt), prompt) })
	<-har.reached
	har.node.scheduler.SetDraining("model", "engine-0", true)
	if ans := har.chat("preview", "tokens=1 new"); ans.outcome != router.NotRun {
		t.Fatalf("outcome %s", ans.outcome)
	}
	grp.Wait()
	if got := har.calls.Load(); got != 1 {
		t.Fatalf("%d requests were sent", got)
	}
}
