package relay_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
)

// ways are the ways in which an answer is read: on a kept connection, on one of its own, and for a health check. Each returns the body
// and whether the call was sent.
var ways = map[string]func(ctx context.Context, rel *relay.Relay, ups router.Upstream) (body string, sent bool, err error){
	"kept connection": func(ctx context.Context, rel *relay.Relay, ups router.Upstream) (body string, sent bool, err error) {
		return sendCall(ctx, rel, ups, relay.Call{Method: http.MethodPost, Path: "/p"})
	},
	"connection of its own": func(ctx context.Context, rel *relay.Relay, ups router.Upstream) (body string, sent bool, err error) {
		return sendCall(ctx, rel, ups, relay.Call{Method: http.MethodPost, Path: "/p", AtMostOnce: true})
	},
	"health check": func(ctx context.Context, rel *relay.Relay, ups router.Upstream) (body string, sent bool, err error) {
		return "", true, rel.Probe(ctx, ups)
	},
}

func sendCall(ctx context.Context, rel *relay.Relay, ups router.Upstream, cal relay.Call) (body string, sent bool, err error) {
	rsp, sent, err := rel.Send(ctx, ups, cal)
	if err != nil {
		return "", sent, err
	}
	defer rsp.Body.Close()
	txt, err := io.ReadAll(rsp.Body)
	return string(txt), sent, err
}

// checkMalformed checks that a malformed response is an error of a call that was sent, also on a connection that carried a sound
// response before.
func checkMalformed(t *testing.T, malformed string) {
	t.Helper()
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for way, call := range ways {
		scr := fakes.NewScriptedServer(t, sound, malformed)
		rel := relay.New(time.Second)
		ups := router.Upstream{Name: "u", Address: "http://" + scr.Address}
		if _, _, err := call(t.Context(), rel, ups); err != nil {
			t.Errorf("%s: sound response: %v", way, err)
		}
		if body, sent, err := call(t.Context(), rel, ups); err == nil || !sent {
			t.Errorf("%s: body %q, sent %t, error %v", way, body, sent, err)
		}
		if got := len(scr.Requests()); got != 2 {
			t.Errorf("%s: %d requests reached the upstream, want 2", way, got)
		}
		rel.Close()
	}
}

// TestInvalidStatusIsNoResponse guards against a response whose status is none, such as 000.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for name, line := range fakes.InvalidStatusLines() {
		t.Run(name, func(t *testing.T) {
			checkMalformed(t, line+"\r\nContent-Length: 2\r\n\r\nok")
			checkMalformed(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n\r\nok"+fakes.ThenClose)
		})
	}
}

// TestInvalidFieldIsNoResponse guards against a response with a malformed field, also one of the framing, in a head or trailer.
func TestInvalidFieldIsNoResponse(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	for name, line := range fakes.InvalidFields() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, statusLine+"Content-Length: 2\r\n"+line+"\r\nok")
			checkMalformed(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+statusLine+"Content-Length: 2\r\n\r\nok")
		})
	}
	for name, line := range fakes.InvalidLengths() {
		t.Run("length, "+name, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, statusLine+strings.ReplaceAll(line, "{LENGTH}", "2")+"\r\nok"+fakes.ThenClose)
		})
	}
	for name, line := range fakes.InvalidChunked() {
		t.Run("chunked, "+name, func(t *testing.T) {
			t.Parallel()
			checkMalformed(t, statusLine+line+"\r\n2\r\nok\r\n0\r\n\r\n"+fakes.ThenClose)
		})
	}
}

// TestResetDuringUpload guards against a part of a response that counts as complete: the response has no length, and the upstream
// resets the connection while the request is still being written. A response that ends in order stays as it is.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 40
	body := bytes.Repeat([]byte("x"), 4<<20)
	for ending, complete := range fakes.UploadEndings() {
		for _, atMostOnce := range []bool{false, true} {
			t.Run(ending[1:]+" "+strconv.FormatBool(atMostOnce), func(t *testing.T) {
				t.Parallel()
				scr := fakes.NewScriptedServerFrom(t, fakes.NewAnswerQueue(slices.Repeat([]string{"HTTP/1.1 200 OK\r\n\r\nok" + ending}, uploads)...))
				rel := relay.New(time.Second)
				defer rel.Close()
				for num := range uploads {
					txt, sent, err := sendCall(t.Context(), rel, router.Upstream{Name: "u", Address: "http://" + scr.Address},
						relay.Call{Method: http.MethodPost, Path: "/p", Body: body, AtMostOnce: atMostOnce})
					if !sent || (err == nil) != complete || complete && txt != "ok" {
						t.Fatalf("upload %d: response %q, sent %t, error %v", num, txt, sent, err)
					}
				}
			})
		}
	}
}

// TestAnswerBeforeReset guards against the loss of a complete answer: it has arrived, but is not read yet, when the upstream resets the
// connection while the request is still being written.
func TestAnswerBeforeReset(t *testing.T) {
	// The answer fits into the buffers of the kernel.
	body := strings.Repeat("a", 60<<10)
	cases := map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body + fakes.ThenHalfCloseReset,
		"no length": "HTTP/1.1 200 OK\r\n\r\n" + body + fakes.ThenHalfCloseReset,
		"error":     "HTTP/1.1 413 Too Large\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body + fakes.ThenHalfCloseReset,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scr := fakes.NewScriptedServer(t, text)
			rel := relay.New(time.Second)
			defer rel.Close()
			rsp, _, err := rel.Send(t.Context(), router.Upstream{Name: "u", Address: "http://" + scr.Address},
				relay.Call{Method: http.MethodPost, Path: "/p", Body: bytes.Repeat([]byte("x"), 8<<20)})
			if err != nil {
				t.Fatal(err)
			}
			defer rsp.Body.Close()
			time.Sleep(200 * time.Millisecond)
			if txt, err := io.ReadAll(rsp.Body); err != nil || string(txt) != body {
				t.Errorf("%d bytes, error %v", len(txt), err)
			}
		})
	}
}
