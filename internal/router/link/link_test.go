package link_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/link"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func exchange(t *testing.T, pol *link.Pool, body string) (string, error) {
	t.Helper()
	con, err := pol.Get(t.Context(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	rsp, err := con.Send(t.Context(), link.Request{Method: "POST", Host: "h", Target: "/p?q=1", Header: http.Header{}, Body: []byte(body)})
	if err != nil {
		con.Close()
		return "", err
	}
	txt, err := io.ReadAll(rsp.Body)
	if err != nil {
		con.Close()
		return string(txt), err
	}
	con.Finish(rsp)
	return string(txt), nil
}

// TestReuse sends two requests one after the other and counts the connections that they took.
func TestReuse(t *testing.T) {
	cases := map[string]struct {
		first string
		conns int
	}{
		"length":                     {fine, 1},
		"chunked":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"connection close":           {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		"ended by the connection":    {"HTTP/1.1 200 OK\r\n\r\nok" + stand.Cut, 2},
		"a second answer behind":     {fine + fine, 2},
		"a byte behind":              {fine + "x", 2},
		"closed after the answer":    {fine + stand.Cut, 2},
		"information before":         {"HTTP/1.1 100 Continue\r\n\r\n" + fine, 1},
		"no time for another one":    {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 2},
		"time for another one":       {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nok", 1},
		"reset after the answer":     {fine + stand.Reset, 2},
		"empty body with a length":   {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1},
		"information several times ": {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + fine, 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			scr := stand.NewScript(t, cas.first, fine)
			pol := link.NewBook().Pool("key", scr.Address)
			if _, err := exchange(t, pol, "body"); err != nil {
				t.Fatal(err)
			}
			settle(t, scr, cas.conns)
			if txt, err := exchange(t, pol, "body"); err != nil || txt != "ok" {
				t.Fatalf("second answer %q, %v", txt, err)
			}
			if got := scr.Accepted(); got != cas.conns {
				t.Errorf("%d connections, want %d", got, cas.conns)
			}
		})
	}
}

// settle gives what the upstream sends behind its answer time to arrive, where the test expects something there.
func settle(t *testing.T, _ *stand.Script, conns int) {
	t.Helper()
	if conns == 1 {
		return
	}
	<-time.After(50 * time.Millisecond)
}

func TestIncompleteAnswers(t *testing.T) {
	cases := map[string]string{
		"cut in the length":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" + stand.Cut,
		"cut in a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok" + stand.Cut,
		"no last chunk":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + stand.Cut,
		"cut in the head":     "HTTP/1.1 200 OK\r\nContent-" + stand.Cut,
		"no answer":           stand.Cut,
		"not the protocol":    "\x01\x02\x03 what\r\n\r\n" + stand.Cut,
		"reset without a end": "HTTP/1.1 200 OK\r\n\r\nok" + stand.Reset,
	}
	for name, txt := range cases {
		t.Run(name, func(t *testing.T) {
			scr := stand.NewScript(t, txt)
			if got, err := exchange(t, link.NewBook().Pool("key", scr.Address), "body"); err == nil {
				t.Errorf("answer %q counts as complete", got)
			}
			if got := len(scr.Requests()); got != 1 {
				t.Errorf("the request was sent %d times", got)
			}
		})
	}
}

func TestRequestGoesUnchanged(t *testing.T) {
	scr := stand.NewScript(t, fine)
	if _, err := exchange(t, link.NewBook().Pool("key", scr.Address), "body"); err != nil {
		t.Fatal(err)
	}
	req := scr.Requests()[0]
	if req.RequestURI != "/p?q=1" || req.Host != "h" || req.ContentLength != 4 {
		t.Errorf("target %q, host %q, length %d", req.RequestURI, req.Host, req.ContentLength)
	}
}

// TestEarlyAnswerToLongBody has the upstream answer and never read the rest; the connection must not carry another request.
func TestEarlyAnswerToLongBody(t *testing.T) {
	scr := stand.NewScript(t, "HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno"+stand.Silent, fine)
	pol := link.NewBook().Pool("key", scr.Address)
	txt, err := exchange(t, pol, strings.Repeat("x", 8<<20))
	if err != nil || txt != "no" {
		t.Fatalf("early answer %q, %v", txt, err)
	}
	if txt, err := exchange(t, pol, "body"); err != nil || txt != "ok" {
		t.Fatalf("second answer %q, %v", txt, err)
	}
	if got := scr.Accepted(); got != 2 {
		t.Errorf("%d connections, want 2", got)
	}
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	scr := stand.NewScript(t, stand.Silent)
	con, err := link.NewBook().Pool("key", scr.Address).Get(t.Context(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := con.Send(ctx, link.Request{Method: "GET", Host: "h", Target: "/", Header: http.Header{}}); err == nil {
		t.Error("the exchange did not end with its context")
	}
	con.Close()
}
