package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestMemoryShort guards against a request that is refused for lack of memory although it was sent to an upstream, against a refusal
// without Retry-After, and against reading on from a connection whose body was not read, which stays open then. Another request holds all memory.
func TestMemoryShort(t *testing.T) {
	const (
		bound   = 1 << 20
		stalled = 2200 * time.Millisecond
	)
	cases := map[string]struct {
		// held is what the other request holds, and sent the part of the body of 100 bytes that arrives.
		held       int64
		sent       int
		status     int
		retryAfter bool
		requests   int
	}{
		"memory is free":           {sent: 100, status: 200, requests: 1},
		"memory stays short":       {held: bound, sent: 100, status: 503, retryAfter: true},
		"body stalls, others wait": {held: bound - 200, sent: 99, status: 408},
		"little memory is free":    {held: bound - 200, sent: 100, status: 200, requests: 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scr := fakes.NewScriptedServer(t, answer)
			tsn := startNode(t, scr.Address, manifest)
			bud := intake.New(intake.Options{Timers: timer.Real{}, MemoryBytes: 3 * bound, OnRefuse: func(string) {}})
			tsn.handler.memory = bud
			other := bud.Open(intake.Answer, -1, func() {})
			other.Take(cas.held)
			defer other.Release()
			soc, err := net.Dial("tcp", strings.TrimPrefix(tsn.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = soc.Close() }()
			fmt.Fprintf(soc, "POST /plain/x HTTP/1.1\r\nHost: h\r\nStand-Id: r1\r\nStand-Key: key\r\nStand-Left: 20000\r\nContent-Length: 100\r\n\r\n%s", strings.Repeat("x", cas.sent))
			if cas.sent < 100 {
				// One that begins to wait when the body has made no progress for long.
				defer time.AfterFunc(stalled, func() { _ = bud.Open(intake.Answer, -1, func() {}).Grow(t.Context(), bound) }).Stop()
			}
			rea := bufio.NewReader(soc)
			rsp, err := http.ReadResponse(rea, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer rsp.Body.Close()
			if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
				t.Fatal(err)
			}
			refused := cas.status != 200
			if rsp.StatusCode != cas.status || (rsp.Header.Get("Retry-After") != "") != cas.retryAfter || rsp.Close != refused {
				t.Errorf("status %d, Retry-After %q, closed %t; want %d", rsp.StatusCode, rsp.Header.Get("Retry-After"), rsp.Close, cas.status)
			}
			if got := len(scr.Requests()); got != cas.requests {
				t.Errorf("%d requests reached the upstream, want %d", got, cas.requests)
			}
			if !refused {
				return
			}
			_ = soc.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := rea.ReadByte(); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stays open after the refusal")
			}
		})
	}
}
