package send_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// startFront serves one call on real connections. It is closed when the test ends.
func startFront(t *testing.T, snd *send.Sender, rou router.Route) (url string) {
	t.Helper()
	return startFrontWith(t, snd, rou, "body")
}

// startFrontWith is startFront for a call with a body.
func startFrontWith(t *testing.T, snd *send.Sender, rou router.Route, body string) (url string) {
	t.Helper()
	rou.Attempts = max(rou.Attempts, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		snd.Serve(req.Context(), send.Job{Service: "svc", Route: &rou, Call: &router.Call{
			ID: "call", Method: http.MethodPost, Host: "h", Target: "/", Body: []byte(body),
			Header: http.Header{fakes.HeaderID: {"call"}}, Arrived: time.Now(), Deadline: time.Now().Add(jobTimeout),
		}}, wri)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

// callFront returns what a caller gets: complete is set if the response seems to be whole.
func callFront(t *testing.T, url string) (status int, body string, complete bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer rsp.Body.Close()
	txt, err := io.ReadAll(rsp.Body)
	return rsp.StatusCode, string(txt), err == nil
}

// TestCutHeadIsNoResponse guards against a success with an empty or short body that seems to be whole, or a stream that seems to
// have ended: the upstream sends a part of the head of its response and closes the connection. The head is cut at each byte.
func TestCutHeadIsNoResponse(t *testing.T) {
	const begun = events + oneTwo + fakes.ThenClose
	resumable := router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2}
	cases := map[string]struct {
		route router.Route
		// before is the response of the first attempt, and cut the head of the one that follows.
		before, cut string
	}{
		"body with a length":                           {cut: head + "Content-Length: 20\r\n\r\n"},
		"body in chunks":                               {cut: events},
		"body that ends with its connection":           {cut: head + "\r\n"},
		"lines without carriage returns":               {cut: "HTTP/1.1 200 OK\nStand-Id: {ID}\nStand-Signed: 1\nContent-Length: 20\n\n"},
		"informational response before":                {cut: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 20\r\n\r\n"},
		"long head":                                    {cut: head + "Long: " + strings.Repeat("x", 300) + "\r\nContent-Length: 20\r\n\r\n"},
		"stream in chunks":                             {route: router.Route{Stream: true}, cut: events},
		"stream that ends with its connection":         {route: router.Route{Stream: true}, cut: head + "\r\n"},
		"resumed stream in chunks":                     {route: resumable, before: begun, cut: events},
		"resumed stream with a length":                 {route: resumable, before: begun, cut: head + "Content-Length: 20\r\n\r\n"},
		"resumed stream that ends with its connection": {route: resumable, before: begun, cut: head + "\r\n"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := strings.ReplaceAll(cas.cut, "{ID}", "call")
			for _, ending := range []string{fakes.ThenClose, fakes.ThenReset} {
				for length := range len(text) {
					var responses []string
					if cas.before != "" {
						responses = append(responses, cas.before)
					}
					que := &responseQueue{responses: append(responses, text[:length]+ending)}
					grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
					status, body, complete := callFront(t, startFront(t, newSender(grd, que.upstreams(t, 2)...), cas.route))
					stop()
					if cas.before == "" && status < http.StatusInternalServerError {
						t.Errorf("head cut after %q: status %d, body %q", text[:length], status, body)
					}
					if cas.before != "" && complete {
						t.Errorf("head cut after %q: the stream ends as if it were complete, body %q", text[:length], body)
					}
				}
			}
		})
	}
}

// TestResumedStreamWithoutEvents guards against a stream that ends as if it were complete: the upstream at which it resumes
// closes the connection right after the head of a response whose end only the connection shows.
func TestResumedStreamWithoutEvents(t *testing.T) {
	const begun = events + oneTwo + fakes.ThenClose
	resumable := router.Route{Stream: true, Repeat: router.Resumable, Attempts: 2}
	cases := map[string]struct {
		resumed  string
		complete bool
	}{
		"ends with its connection":              {head + "\r\n" + fakes.ThenClose, false},
		"ends with its connection, one event":   {head + "\r\nid: 3\nc\n\n" + fakes.ThenClose, true},
		"chunks that end, no event is left":     {events + last, true},
		"length of zero, no event is left":      {head + "Content-Length: 0\r\n\r\n", true},
		"chunks that do not end, without event": {events + fakes.ThenClose, false},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			que := &responseQueue{responses: []string{begun, cas.resumed}}
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			_, body, complete := callFront(t, startFront(t, newSender(grd, que.upstreams(t, 2)...), resumable))
			if complete != cas.complete {
				t.Errorf("complete %t, want %t (body %q)", complete, cas.complete, body)
			}
		})
	}
}
