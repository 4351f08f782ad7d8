package flood

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

const (
	// endlessCallers is the number of requests that are answered by bytes without end at once, and endlessDescriptors is enough for
	// these, each with a connection to its upstream.
	endlessCallers     = 400
	endlessDescriptors = 1200
	// endlessTime is how long answers without end are played.
	endlessTime = 2500 * time.Millisecond
)

const (
	okLine    = "HTTP/1.1 200 OK\r\n"
	okHead    = okLine + "Attempt-Id: {ID}\r\nServer-Signature: s-{UPSTREAM}\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
	kilobyte  = "400\r\n" + eightLines + eightLines + eightLines + eightLines + eightLines + eightLines + eightLines + eightLines + "\r\n"
	eightLine = "data: 89abcdef\n"
	// eightLines has 128 bytes, without an empty line.
	eightLines = eightLine + eightLine + eightLine + eightLine + eightLine + eightLine + eightLine + eightLine + "data: .\n"
)

// sendEndless sends a request of a route that gets bytes without end.
func sendEndless(route string) func(wri io.Writer, num int) error {
	return func(wri io.Writer, num int) error {
		_, err := io.WriteString(wri, head(route+"/endless", num)+"Content-Length: 0\r\n\r\n")
		return err
	}
}

// shortFields returns fields with different names that take the most memory for their length.
func shortFields(size int) string {
	var txt strings.Builder
	_ = writeFields(&txt, size)
	return txt.String()
}

// endless is an answer of an upstream in trouble.
type endless struct {
	route       string
	start, text string
	// fast is the number of bytes that are sent as fast as they are read; more come slowly.
	fast int64
}

// forever is more than is sent during a test.
const forever = 1 << 40

// playEndless plays answers without end to many requests at once.
func playEndless(t *testing.T, cases map[string]endless) {
	t.Helper()
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			ans := &fakes.EndlessAnswer{Start: cas.start, Text: cas.text, Fast: cas.fast, Delay: time.Second}
			nod := startNodeWith(t, endlessDescriptors, &mock.EndlessUpstream{Upstream: mock.NewUpstream(upstreamID), Answer: ans})
			playOn(t, nod, endlessDescriptors, crowd{size: endlessCallers, send: sendEndless(cas.route), read: true, load: endlessTime})
			t.Logf("%d KiB were sent", ans.Sent.Load()>>10)
		})
	}
}

// TestEndlessHeads guards against upstreams in trouble that send bytes without end in place of a head, as fast as they are read, or slowly
// once they are near the limit of a head.
func TestEndlessHeads(t *testing.T) {
	const headEnd = 60 << 10
	playEndless(t, map[string]endless{
		"bytes that are no answer":  {"lookup", "", "\x01\x02\x03", forever},
		"status line":               {"lookup", "HTTP/1.1 200 ", "x", forever},
		"one field":                 {"lookup", okHead + "Long: ", "x", forever},
		"one field, then slowly":    {"order", okHead + "Long: ", "x", headEnd},
		"many fields":               {"lookup", okHead, "Name: value\r\n", forever},
		"many fields, then slowly":  {"order", okHead, "Name: value\r\n", headEnd},
		"short fields, then slowly": {"order", okHead + shortFields(headEnd) + "Long: ", "x", 0},
		"informational":             {"lookup", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", forever},
		"informational, slowly":     {"order", "HTTP/1.1 103 Early Hints\r\n" + shortFields(headEnd), "x", 0},
		"trailer":                   {"order", okHead + chunked + "0\r\n", "A: b\r\n", forever},
		"size of a chunk":           {"order", okHead + chunked, "0", forever},
		"chunk extension":           {"order", okHead + chunked + "1;", "x", forever},
	})
}

// TestEndlessEvents guards against streams that hold an event without end.
func TestEndlessEvents(t *testing.T) {
	playEndless(t, map[string]endless{
		"events":             {"stream", okHead + "\r\nid: 1\n", "data: x\n\n", forever},
		"event":              {"stream", okHead + "\r\nid: 1\n", "data: x\n", forever},
		"event in chunks":    {"onestream", okHead + chunked, kilobyte, forever},
		"event, then slowly": {"onestream", okHead + "\r\nid: 1\n", "data: x\n", 250 << 10},
		"event of one line":  {"onestream", okHead + "\r\nid: 1\ndata: ", "x", forever},
	})
}

// TestEndlessBodies guards against bodies without end.
func TestEndlessBodies(t *testing.T) {
	playEndless(t, map[string]endless{
		"no length":                {"lookup", okHead + "\r\n", "x", forever},
		"no length, order":         {"order", okHead + "\r\n", "x", forever},
		"chunks":                   {"order", okHead + chunked, kilobyte, forever},
		"huge length":              {"order", okHead + "Content-Length: 9000000000000000000\r\n\r\n", "x", forever},
		"1 MiB, then slowly":       {"order", okHead + "\r\n", "x", 1 << 20},
		"64 KiB, then slowly":      {"order", okHead + "\r\n", "x", 64<<10 - 1},
		"error of the upstream":    {"order", strings.Replace(okHead, "200 OK", "500 Error", 1) + "\r\n", "x", forever},
		"rejection, then its body": {"order", strings.Replace(okHead, "200 OK", "503 Full", 1) + "Not-Executed: 1\r\n\r\n", "x", forever},
	})
}
