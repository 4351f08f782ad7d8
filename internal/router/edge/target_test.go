package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
)

// anyPath is a manifest with a public route for all paths.
const anyPath = `
version: 4
routes:
  - {name: any, host: h, prefix: /, public: true, attempts: 1, backends: [{service: svc, weight: 1}]}
`

// forwardTarget sends a request with a target to a node, and returns the status and the target that the upstream received.
func forwardTarget(t testing.TB, url string, scr *fakes.ScriptedServer, target string) (status int, received string) {
	t.Helper()
	soc, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = soc.Close() }()
	before := len(scr.Requests())
	if _, err := io.WriteString(soc, "POST "+target+" HTTP/1.1\r\nHost: h\r\nStand-Id: r1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	rsp, err := http.ReadResponse(bufio.NewReader(soc), nil)
	if err != nil {
		t.Fatalf("target %q: %v", target, err)
	}
	defer func() { _ = rsp.Body.Close() }()
	if reqs := scr.Requests(); len(reqs) > before {
		received = reqs[before].RequestURI
	}
	return rsp.StatusCode, received
}

// TestTargetIsForwardedUnchanged guards against a request that an upstream runs with another path or query than the caller sent.
// Each target reaches the upstream byte for byte, or is refused with 400 or 404.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	targets := map[string]string{
		"plain":                       "/basket/1?amount=1",
		"two slashes, query":          "//basket/1?amount=1",
		"two slashes":                 "//basket/1",
		"only two slashes":            "//",
		"three slashes":               "///basket",
		"two slashes inside":          "/basket//1?a=1",
		"two slashes, escapes":        "//basket/%2F%252F%3F?a=%26",
		"two slashes, empty query":    "//basket?",
		"two slashes, two questions":  "//basket?a?b=1",
		"two slashes, at sign":        "//user@host/basket?a=1",
		"two slashes, colon":          "//host:80/basket?a=1",
		"two slashes, bad port":       "//host:port/basket",
		"two slashes, dots":           "//./../basket?a=1",
		"two slashes, not UTF-8":      "//%ff%fe?a=%80",
		"two slashes, raw bytes":      "//b\xc3\xa4sket\xff?a=1",
		"two slashes, odd characters": "//a\"<>[]{}|\\^`;=,?a=[]{}",
		"dots":                        "/./a/../b",
		"escaped slash":               "/a%2Fb",
		"escaped percent":             "/a%252Fb",
		"escaped question mark":       "/a%3Fb=1",
		"semicolon":                   "/a;b=1?c;d",
		"empty query":                 "/a?",
		"only a question mark":        "/?",
		"not UTF-8":                   "/%ff%fe",
		"raw bytes":                   "/b\xc3\xa4sket\xff",
		"bad escape":                  "/a%zz",
		"two slashes, bad escape":     "//a%zz?b=1",
		"fragment":                    "/a#b",
		"two slashes, fragment":       "//a#b?c=1",
		"asterisk":                    "*",
		"absolute form":               "http://h/basket?a=1",
		"absolute form, two slashes":  "http://h//basket?a=1",
	}
	for name, target := range targets {
		t.Run(name, func(t *testing.T) {
			scr := fakes.NewScriptedServer(t, answer)
			tsn := startNode(t, scr.Address, anyPath)
			status, received := forwardTarget(t, tsn.url, scr, target)
			switch {
			case received == target && status == http.StatusOK:
			case received == "" && (status == http.StatusBadRequest || status == http.StatusNotFound):
			default:
				t.Errorf("target %q: status %d, the upstream received %q", target, status, received)
			}
		})
	}
}

// FuzzTarget is TestTargetIsForwardedUnchanged for generated targets.
func FuzzTarget(f *testing.F) {
	for _, target := range []string{"//basket/1?amount=1", "/a%2Fb?", "//a#b", "http://h//a", "///?%"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if target == "" || strings.ContainsAny(target, " \r\n\x00") {
			t.Skip("no request target")
		}
		scr := fakes.NewScriptedServer(t, answer)
		tsn := startNode(t, scr.Address, anyPath)
		if status, received := forwardTarget(t, tsn.url, scr, target); received != target && received != "" {
			t.Errorf("target %q: status %d, the upstream received %q", target, status, received)
		}
	})
}
