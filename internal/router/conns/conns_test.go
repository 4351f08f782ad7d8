package conns_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func exchange(t *testing.T, pol *conns.Pool, body string) (string, error) {
	t.Helper()
	con, err := pol.Get(t.Context(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	rsp, err := con.Send(t.Context(), conns.Request{Method: "POST", Host: "h", Target: "/p?q=1", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		con.Close()
		return "", err
	}
	txt, err := io.ReadAll(rsp.Body)
	if err != nil {
		con.Close()
		return string(txt), err
	}
	con.Release(rsp)
	return string(txt), nil
}

// TestReuse guards against reusing a connection that may be closed or may hold data of an earlier response: it sends
// two requests in turn and counts the connections that they used.
func TestReuse(t *testing.T) {
	cases := map[string]struct {
		first    string
		accepted int
	}{
		"length":                       {okResponse, 1},
		"chunked":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"connection close":             {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		"ended by connection close":    {"HTTP/1.1 200 OK\r\n\r\nok" + fakes.ThenClose, 2},
		"second response follows":      {okResponse + okResponse, 2},
		"extra byte follows":           {okResponse + "x", 2},
		"closed after response":        {okResponse + fakes.ThenClose, 2},
		"one 1xx response before":      {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, 1},
		"keep-alive too short":         {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 2},
		"keep-alive long enough":       {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok", 1},
		"reset after response":         {okResponse + fakes.ThenReset, 2},
		"empty body with a length":     {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1},
		"several 1xx responses before": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			scr := fakes.NewScriptedServer(t, cas.first, okResponse)
			pol := conns.NewPools().Pool("key", scr.Address)
			if _, err := exchange(t, pol, "body"); err != nil {
				t.Fatal(err)
			}
			waitForTrailing(t, scr, cas.accepted)
			if txt, err := exchange(t, pol, "body"); err != nil || txt != "ok" {
				t.Fatalf("second response %q, %v", txt, err)
			}
			if got := scr.Accepted(); got != cas.accepted {
				t.Errorf("%d connections, want %d", got, cas.accepted)
			}
		})
	}
}

// waitForTrailing waits for what the upstream sends after its response to arrive, in cases where the connection must
// not be reused.
func waitForTrailing(t *testing.T, _ *fakes.ScriptedServer, accepted int) {
	t.Helper()
	if accepted == 1 {
		return
	}
	<-time.After(50 * time.Millisecond)
}

// TestIncompleteResponses guards against taking a cut response for a complete one, and against a silent retry.
func TestIncompleteResponses(t *testing.T) {
	cases := map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" + fakes.ThenClose,
		"cut in a chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok" + fakes.ThenClose,
		"no last chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + fakes.ThenClose,
		"cut in the header":       "HTTP/1.1 200 OK\r\nContent-" + fakes.ThenClose,
		"no response":             fakes.ThenClose,
		"not HTTP":                "\x01\x02\x03 what\r\n\r\n" + fakes.ThenClose,
		"reset without an end":    "HTTP/1.1 200 OK\r\n\r\nok" + fakes.ThenReset,
	}
	for name, txt := range cases {
		t.Run(name, func(t *testing.T) {
			scr := fakes.NewScriptedServer(t, txt)
			if got, err := exchange(t, conns.NewPools().Pool("key", scr.Address), "body"); err == nil {
				t.Errorf("response %q counts as complete", got)
			}
			if got := len(scr.Requests()); got != 1 {
				t.Errorf("the request was sent %d times", got)
			}
		})
	}
}

// TestRequestIsUnchanged guards against rewriting the target, the host or the body.
func TestRequestIsUnchanged(t *testing.T) {
	scr := fakes.NewScriptedServer(t, okResponse)
	if _, err := exchange(t, conns.NewPools().Pool("key", scr.Address), "body"); err != nil {
		t.Fatal(err)
	}
	req := scr.Requests()[0]
	if req.RequestURI != "/p?q=1" || req.Host != "h" || req.ContentLength != 4 {
		t.Errorf("target %q, host %q, length %d", req.RequestURI, req.Host, req.ContentLength)
	}
}

// TestEarlyResponseToLongBody guards against reusing a connection whose request was not written whole: the upstream
// responds early and never reads the rest of the body.
func TestEarlyResponseToLongBody(t *testing.T) {
	scr := fakes.NewScriptedServer(t, "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno"+fakes.ThenHang, okResponse)
	pol := conns.NewPools().Pool("key", scr.Address)
	txt, err := exchange(t, pol, strings.Repeat("x", 8<<20))
	if err != nil || txt != "no" {
		t.Fatalf("early response %q, %v", txt, err)
	}
	if txt, err := exchange(t, pol, "body"); err != nil || txt != "ok" {
		t.Fatalf("second response %q, %v", txt, err)
	}
	if got := scr.Accepted(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

// TestContextEndClosesConnection guards against an exchange that outlives its context.
func TestContextEndClosesConnection(t *testing.T) {
	scr := fakes.NewScriptedServer(t, fakes.ThenHang)
	con, err := conns.NewPools().Pool("key", scr.Address).Get(t.Context(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := con.Send(ctx, conns.Request{Method: "GET", Host: "h", Target: "/", Header: http.Header{}}); err == nil {
		t.Error("the exchange did not end with its context")
	}
	con.Close()
}

// TestEndlessHeadEndsExchange guards against an upstream in trouble that fills the memory of the node: it sends bytes without
// end before the end of the response's header.
func TestEndlessHeadEndsExchange(t *testing.T) {
	// Far more than the buffers of the kernel hold.
	const limit = 64 << 20
	line := strings.Repeat("x", 1000)
	cases := map[string]struct{ start, text string }{
		"bytes that are no response": {"", "\x01\x02\x03" + line},
		"status line":                {"HTTP/1.1 200 ", line},
		"one header":                 {"HTTP/1.1 200 OK\r\nName: ", line},
		"many headers":               {"HTTP/1.1 200 OK\r\n", "Name: " + line + "\r\n"},
		"folded header":              {"HTTP/1.1 200 OK\r\nName: a\r\n", " " + line + "\r\n"},
		"informational responses":    {"", "HTTP/1.1 103 Early Hints\r\nName: " + line + "\r\n\r\n"},
		"empty lines":                {"HTTP/1.1 200 OK\r\n", "\x00\r"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			srv := fakes.NewEndlessServer(t, fakes.Repetition{Start: cas.start, Text: cas.text, Limit: limit})
			if _, err := exchange(t, conns.NewPools().Pool("key", srv.Address), "body"); err == nil {
				t.Error("the response counts as complete")
			}
			if got := srv.Sent.Load(); got >= limit {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}

// TestInvalidStatusIsNoResponse guards against a response whose status is none, such as 000, on new and on kept connections. Such a
// response was skipped as an informational one, and what followed it was taken for the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	endings := map[string]string{
		"with a length":                     "Content-Length: 2\r\n\r\nok",
		"without a length":                  "\r\nok" + fakes.ThenClose,
		"without a body":                    "\r\n" + fakes.ThenClose,
		"with another response as its body": "Content-Length: 40\r\n\r\n" + okResponse,
		"before another response":           "\r\n" + okResponse,
	}
	for name, line := range fakes.InvalidStatusLines() {
		for nameEnd, end := range endings {
			t.Run(name+" "+nameEnd, func(t *testing.T) {
				scr := fakes.NewScriptedServer(t, line+"\r\n"+end, okResponse, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n"+end)
				pol := conns.NewPools().Pool("key", scr.Address)
				for _, sound := range []bool{false, true, false} {
					if txt, err := exchange(t, pol, ""); sound != (err == nil) {
						t.Errorf("response %q, error %v", txt, err)
					}
				}
				if got := scr.Accepted(); got != 2 {
					t.Errorf("%d connections, want 2", got)
				}
			})
		}
	}
}

// TestInvalidFieldIsNoResponse guards against a response with a malformed field in a head or trailer, on new and on kept connections.
func TestInvalidFieldIsNoResponse(t *testing.T) {
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			malformed := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + line + "\r\nok"
			informational := "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n" + okResponse
			scr := fakes.NewScriptedServer(t, malformed, okResponse, informational, okResponse, malformed)
			pol := conns.NewPools().Pool("key", scr.Address)
			for _, sound := range []bool{false, true, false, true, false} {
				if txt, err := exchange(t, pol, ""); sound != (err == nil) {
					t.Errorf("response %q, error %v", txt, err)
				}
			}
			if got := scr.Accepted(); got != 3 {
				t.Errorf("%d connections, want 3", got)
			}
		})
	}
}

// TestResetDuringUpload guards against a part of a response that counts as complete: the response has no length, and the upstream
// resets the connection while the request is still being written. The system reports the reset once, to the write or to the read; after
// the write got it, the read gets the end of the stream. A response that ends in order stays complete.
func TestResetDuringUpload(t *testing.T) {
	sizes := map[string]int{"no body": 0, "short body": 4 << 10, "long body": 256 << 10, "very long body": 8 << 20}
	for ending, complete := range fakes.UploadEndings() {
		for nameSize, size := range sizes {
			t.Run(ending[1:]+" "+nameSize, func(t *testing.T) {
				t.Parallel()
				scr := fakes.NewScriptedServerFrom(t, fakes.NewAnswerQueue(slices.Repeat([]string{"HTTP/1.1 200 OK\r\n\r\nok" + ending}, uploads)...))
				pol := conns.NewPools().Pool("key", scr.Address)
				body := strings.Repeat("x", size)
				for num := range uploads {
					txt, err := exchange(t, pol, body)
					if !complete && err == nil {
						t.Fatalf("upload %d: response %q counts as complete", num, txt)
					}
					if complete && (err != nil || txt != "ok") {
						t.Fatalf("upload %d: response %q, error %v", num, txt, err)
					}
				}
			})
		}
	}
}

// uploads is how often an upload is repeated whose result depends on what the system reports first.
const uploads = 40
