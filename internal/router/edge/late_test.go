package edge

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// lateBody calls a function between the end of a body and its return to the reader.
type lateBody struct {
	io.ReadCloser
	atEnd func()
}

func (bod lateBody) Read(buf []byte) (num int, err error) {
	num, err = bod.ReadCloser.Read(buf)
	if err == io.EOF {
		bod.atEnd()
	}
	return num, err
}

// TestAbortAfterBody guards against an abort for lack of memory that comes after the last byte of a body: it closed the connection
// of a request that had arrived whole, and might have been sent to an upstream.
func TestAbortAfterBody(t *testing.T) {
	const bound = 1 << 20
	scr := fakes.NewScriptedServer(t, answer)
	tsn := startNode(t, scr.Address, manifest)
	aborted := make(chan string, 10)
	bud := intake.New(intake.Options{Timers: timer.Real{}, MemoryBytes: 3 * bound, OnRefuse: func(rsn string) { aborted <- rsn }})
	tsn.handler.memory = bud
	soc, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := intake.NewListener(soc, bud)
	han := http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		req.Body = lateBody{ReadCloser: req.Body, atEnd: func() {
			go func() { _ = bud.Open(intake.Answer, -1, func() {}).Grow(t.Context(), bound) }()
			<-aborted
			// net/http notices the end of its read on a goroutine of its own.
			time.Sleep(50 * time.Millisecond)
		}}
		tsn.handler.ServeHTTP(wri, req)
	})
	srv := &http.Server{Handler: han, ConnState: lis.Observe, ConnContext: intake.Context}
	go func() { _ = srv.Serve(lis) }()
	defer func() { _ = srv.Close() }()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+soc.Addr().String()+"/plain/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header = http.Header{"Stand-Id": {"r1"}, "Stand-Key": {"key"}, "Stand-Left": {"20000"}}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = rsp.Body.Close()
	if rsp.StatusCode != http.StatusOK || len(scr.Requests()) != 1 {
		t.Errorf("status %d, %d requests", rsp.StatusCode, len(scr.Requests()))
	}
}

// deadlineWriter records the deadline of writes.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	end time.Time
}

func (wri *deadlineWriter) SetWriteDeadline(end time.Time) (err error) {
	wri.end = end
	return nil
}

// TestWritesEnd guards against a caller that reads nothing and keeps a connection for good: the node would wait in the write of a
// refusal, or of the end of a stream.
func TestWritesEnd(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nStand-Id: {ID}\r\nStand-Signed: 1\r\nContent-Length: 9\r\n\r\nid: 1\na\n\n"
	cases := map[string]struct {
		path, answer string
		status       int
	}{
		"refused by the node":   {path: "/none/x", answer: answer, status: http.StatusNotFound},
		"refused by the sender": {path: "/plain/x", answer: "no HTTP\r\n\r\n", status: http.StatusBadGateway},
		"end of a stream":       {path: "/stream/x", answer: stream, status: http.StatusOK},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tsn := startNode(t, fakes.NewScriptedServer(t, cas.answer).Address, manifest)
			req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h"+cas.path, nil)
			req.Header = http.Header{"Stand-Id": {"r1"}, "Stand-Key": {"key"}}
			wri := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
			tsn.handler.ServeHTTP(wri, req)
			if wri.Code != cas.status || wri.end.IsZero() {
				t.Errorf("status %d, deadline of writes %s; want %d", wri.Code, wri.end, cas.status)
			}
		})
	}
}
