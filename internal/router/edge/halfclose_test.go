package edge

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
)

// TestHalfClosedCallerGetsNoEmptySuccess guards against a 200 that no upstream sent: the caller closes only its sending side, the
// node takes that for its leaving and writes nothing, and net/http completes the response by itself.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	const event = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\na\n\n\r\n"
	cases := map[string]struct {
		path, answer string
		// before and after have to be the beginning and not the end of what the caller receives.
		before, after string
	}{
		"call, upstream silent":      {path: "/plain/x", answer: fakes.ThenHang},
		"stream that has not begun":  {path: "/stream/x", answer: fakes.ThenHang},
		"stream that has begun":      {path: "/stream/x", answer: event + fakes.ThenHang, before: "HTTP/1.1 200 OK", after: "\r\n0\r\n\r\n"},
		"no manifest, so no attempt": {path: "/none/x", answer: fakes.ThenHang, before: "HTTP/1.1 404 Not Found"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			scr := fakes.NewScriptedServer(t, cas.answer)
			tsn := startNode(t, scr.Address, manifest)
			soc, err := net.Dial("tcp", strings.TrimPrefix(tsn.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = soc.Close() }()
			text := "POST " + cas.path + " HTTP/1.1\r\nHost: h\r\nStand-Id: r1\r\nStand-Key: key\r\nContent-Length: 0\r\n\r\n"
			if _, err := io.WriteString(soc, text); err != nil {
				t.Fatal(err)
			}
			for cas.path != "/none/x" && len(scr.Requests()) == 0 {
				time.Sleep(time.Millisecond)
			}
			if cas.after != "" {
				if _, err := io.ReadFull(soc, make([]byte, 1)); err != nil {
					t.Fatal(err)
				}
				cas.before = cas.before[1:]
			}
			if tcp, ok := soc.(*net.TCPConn); ok {
				if err := tcp.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			// A reset ends the response as well.
			txt, _ := io.ReadAll(soc)
			if cas.before == "" && len(txt) > 0 || !strings.HasPrefix(string(txt), cas.before) || cas.after != "" && strings.HasSuffix(string(txt), cas.after) {
				t.Errorf("the caller received %q", txt)
			}
		})
	}
}
