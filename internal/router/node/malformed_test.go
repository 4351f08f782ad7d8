package node

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// newRawHarness starts a node whose upstreams, an engine and a service, answer each request except health checks with the bytes of
// text and close the connection.
func newRawHarness(t *testing.T, text string) *harness {
	t.Helper()
	har := &harness{t: t, reached: make(chan struct{})}
	body, end := fakes.CutEnding(text)
	raw := http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.URL.Path == fakes.HealthPath {
			return
		}
		soc, _, err := http.NewResponseController(wri).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = soc.Close() }()
		_, _ = soc.Write([]byte(body))
		if tcp, ok := soc.(*net.TCPConn); ok && end == fakes.ThenReset {
			_ = tcp.SetLinger(0)
		}
	})
	engine := har.serve(raw, fakes.NewInjector(1))
	service := har.serve(raw, fakes.NewInjector(1))
	har.start([]string{engine}, service, 4)
	return har
}

// rawCalls are the kinds of requests whose answers are read in different ways.
var rawCalls = map[string]func(har *harness) answer{
	"order": func(har *harness) answer {
		return har.send(http.MethodPost, "/services/shop/orders", []byte(`{}`), map[string]string{router.HeaderOrderKey: "k1"})
	},
	"lookup": func(har *harness) answer { return har.send(http.MethodGet, "/services/shop/stock", nil, nil) },
	"stream": func(har *harness) answer { return har.chat("preview", "tokens=2 hello") },
	"collected chat": func(har *harness) answer {
		return har.send(http.MethodPost, "/v1/chat/completions", []byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`),
			map[string]string{router.HeaderClass: "preview"})
	},
	"forwarded chat": func(har *harness) answer {
		return har.send(http.MethodPost, "/v1/chat/completions", []byte(`{"model":"m","n":2,"messages":[{"role":"user","content":"a"}]}`),
			map[string]string{router.HeaderClass: "preview"})
	},
}

// checkUnknown checks that each kind of request that is answered by these bytes gets the outcome Unknown, also when it is repeated,
// and that an order is sent once.
func checkUnknown(t *testing.T, text string) {
	t.Helper()
	for _, kind := range slices.Sorted(maps.Keys(rawCalls)) {
		har := newRawHarness(t, text)
		for attempt := range 2 {
			ans := rawCalls[kind](har)
			if ans.outcome != router.Unknown || ans.status != http.StatusBadGateway && ans.status != http.StatusConflict {
				t.Errorf("%s, attempt %d: status %d, outcome %q, body %q", kind, attempt, ans.status, ans.outcome, ans.body)
			}
		}
		if got := har.calls.Load(); kind == "order" && got != 1 {
			t.Errorf("the order was sent %d times", got)
		}
	}
}

// TestLostAnswerIsUnknown guards against a status that callers take for a promise that the request has not run, such as 503: the
// upstreams closed the connection without an answer, and none was left to try.
func TestLostAnswerIsUnknown(t *testing.T) {
	checkUnknown(t, "")
}

// TestInvalidStatusIsNoAnswer guards against an answer whose status is none, such as 000, which reached the caller or ended its
// connection, and which was stored as the answer to an order.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for name, line := range fakes.InvalidStatusLines() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkUnknown(t, line+"\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// TestInvalidFieldIsNoAnswer guards against an answer with a malformed field in a head or trailer: callers got it as an answer, and if
// the field was one of the framing, with a body that is not the upstream's.
func TestInvalidFieldIsNoAnswer(t *testing.T) {
	const statusLine, chunks = "HTTP/1.1 200 OK\r\n", "\r\n2\r\n{}\r\n0\r\n"
	cases := make(map[string]string)
	for name, line := range fakes.InvalidFields() {
		cases[name] = statusLine + "Content-Length: 2\r\n" + line + "\r\n{}"
		cases[name+" in an error"] = "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n" + line + "\r\n{}"
		if name != "folded value" {
			cases[name+" as a trailer"] = statusLine + "Transfer-Encoding: chunked\r\n" + chunks + line + "\r\n"
		}
	}
	for name, line := range fakes.InvalidLengths() {
		cases["length, "+name] = statusLine + strings.ReplaceAll(line, "{LENGTH}", "2") + "\r\n{}"
	}
	for name, line := range fakes.InvalidChunked() {
		cases["chunked, "+name] = statusLine + line + chunks + "\r\n"
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkUnknown(t, text)
		})
	}
}

// TestLongChat guards against a long chat that is cut, or that another upstream continues from a part of its text: the text that is kept
// for a continuation is bounded.
func TestLongChat(t *testing.T) {
	const events = 700
	content := strings.Repeat("x", 1024)
	tokens := strings.Repeat(`data: {"choices":[{"delta":{"content":"`+content+`"}}]}`+"\n\n", events)
	stream := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + tokens
	t.Run("complete", func(t *testing.T) {
		har := newRawHarness(t, stream+"data: [DONE]\n\n")
		ans := har.chat("preview", "a")
		if ans.outcome != router.Ran || !ans.complete || ans.text != strings.Repeat(content, events) {
			t.Errorf("status %d, outcome %s, complete %t, %d bytes of text", ans.status, ans.outcome, ans.complete, len(ans.text))
		}
	})
	t.Run("cut", func(t *testing.T) {
		har := newRawHarness(t, stream)
		ans := har.chat("preview", "a")
		if ans.outcome != router.Unknown || ans.complete || ans.text != strings.Repeat(content, events) || har.calls.Load() != 1 {
			t.Errorf("status %d, outcome %s, complete %t, %d bytes of text, %d calls", ans.status, ans.outcome, ans.complete, len(ans.text), har.calls.Load())
		}
	})
	t.Run("collected", func(t *testing.T) {
		har := newRawHarness(t, stream+strings.Repeat(tokens, 6)+"data: [DONE]\n\n")
		if ans := rawCalls["collected chat"](har); ans.outcome != router.Unknown || ans.status != http.StatusBadGateway {
			t.Errorf("beyond the limit: status %d, outcome %s", ans.status, ans.outcome)
		}
	})
}

// TestLongErrorIsWhole guards against the begin of an upstream's error that counts as all of it.
func TestLongErrorIsWhole(t *testing.T) {
	cases := map[string]struct {
		size, status int
		outcome      router.Outcome
	}{
		"100 KiB":          {100 << 10, http.StatusBadRequest, router.Ran},
		"beyond the limit": {5 << 20, http.StatusBadGateway, router.Unknown},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			body := strings.Repeat("x", cas.size)
			har := newRawHarness(t, "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
			ans := har.chat("preview", "a")
			if ans.status != cas.status || ans.outcome != cas.outcome || cas.outcome == router.Ran && ans.body != body {
				t.Errorf("status %d, outcome %s, body of %d bytes", ans.status, ans.outcome, len(ans.body))
			}
		})
	}
}
