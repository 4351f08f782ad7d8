package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
)

// TestMalformedRequests guards against error responses of net/http that lack the outcome: it sends
// requests that cannot be parsed, and expects a 4xx with the outcome and that no handler is called.
func TestMalformedRequests(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{MaxHeaderBytes: 1024, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("a handler was called")
	})}
	go func() { _ = srv.Serve(entry.WrapListener(lis)) }()
	defer func() { _ = srv.Close() }()
	for name, tst := range map[string]struct {
		request string
		status  int
	}{
		"not HTTP":       {"nonsense\r\n\r\n", 400},
		"no host":        {"GET / HTTP/1.1\r\n\r\n", 400},
		"a bad header":   {"GET / HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n", 400},
		"a bad length":   {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400},
		"a large header": {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 8192) + "\r\n\r\n", 431},
	} {
		t.Run(name, func(t *testing.T) {
			con, err := net.Dial("tcp", lis.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = con.Close() }()
			fmt.Fprint(con, tst.request)
			res, err := http.ReadResponse(bufio.NewReader(con), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if res.StatusCode != tst.status || res.Header.Get(router.HeaderOutcome) != string(router.NotRun) {
				t.Fatalf("status %d, header %v", res.StatusCode, res.Header)
			}
		})
	}
}
