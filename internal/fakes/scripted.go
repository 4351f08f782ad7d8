package fakes

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// ScriptedServer is an upstream that sends the next answer of a list, byte for byte, on each
// request. It closes the connection when none is left.
type ScriptedServer struct {
	Address string

	answers  *AnswerQueue
	listener net.Listener
	mut      sync.Mutex
	// requests holds the requests received, without their bodies.
	requests []*http.Request
	// accepted is the number of connections so far.
	accepted int
}

// Endings that may be appended to an answer; without one, the connection is kept for the next
// request.
const (
	// ThenClose closes the connection after the answer.
	ThenClose = "\x00cut"
	// ThenReset resets the connection after the answer.
	ThenReset = "\x00reset"
	// ThenCrash closes the connection and the listener after the answer.
	ThenCrash = "\x00crash"
	// ThenResetLater resets the connection some time after the answer.
	ThenResetLater = "\x00reset later"
	// ThenHalfClose closes the sending side after the answer, and the connection when the client has closed its own.
	ThenHalfClose = "\x00half-close"
	// ThenHalfCloseReset closes the sending side after the answer, and resets the connection some time later.
	ThenHalfCloseReset = "\x00half-close and reset"
	// ThenHang keeps the connection open after the answer and sends nothing more.
	ThenHang = "\x00silent"
)

// CutEnding parts an answer from its ending, which is empty if it has none. The answer may hold any bytes.
func CutEnding(txt string) (body, end string) {
	for _, end := range []string{ThenClose, ThenReset, ThenResetLater, ThenHalfClose, ThenHalfCloseReset, ThenCrash, ThenHang} {
		if body, fnd := strings.CutSuffix(txt, end); fnd {
			return body, end
		}
	}
	return txt, ""
}

// laterDelay is enough for what was sent to arrive, and for the buffers of a client that sends without end to fill.
const laterDelay = 20 * time.Millisecond

// AnswerQueue is a queue of answers that one or more upstreams consume.
type AnswerQueue struct {
	mut   sync.Mutex
	texts []string
}

// NewAnswerQueue returns a queue with the given answers.
func NewAnswerQueue(texts ...string) *AnswerQueue {
	return &AnswerQueue{texts: texts}
}

func (ans *AnswerQueue) next() (txt string, more bool) {
	ans.mut.Lock()
	defer ans.mut.Unlock()
	if len(ans.texts) == 0 {
		return "", false
	}
	txt, ans.texts = ans.texts[0], ans.texts[1:]
	return txt, true
}

// NewScriptedServer starts an upstream, which is closed when the test ends. In the answers, {ID} is
// replaced by the value of HeaderID of the request.
func NewScriptedServer(t testing.TB, answers ...string) *ScriptedServer {
	t.Helper()
	return NewScriptedServerFrom(t, NewAnswerQueue(answers...))
}

// NewScriptedServerFrom is like NewScriptedServer but takes the answers from a queue that other
// upstreams may share.
func NewScriptedServerFrom(t testing.TB, answers *AnswerQueue) *ScriptedServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	scr := &ScriptedServer{Address: lis.Addr().String(), answers: answers, listener: lis}
	go func() {
		for {
			soc, err := lis.Accept()
			if err != nil {
				return
			}
			scr.mut.Lock()
			scr.accepted++
			scr.mut.Unlock()
			go scr.serve(soc)
		}
	}()
	return scr
}

// Requests returns the requests received so far.
func (scr *ScriptedServer) Requests() []*http.Request {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	return append([]*http.Request(nil), scr.requests...)
}

// Accepted returns the number of connections accepted so far.
func (scr *ScriptedServer) Accepted() int {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	return scr.accepted
}

func (scr *ScriptedServer) serve(soc net.Conn) {
	defer func() { _ = soc.Close() }()
	red := bufio.NewReader(soc)
	for {
		req, err := http.ReadRequest(red)
		if err != nil {
			return
		}
		txt, more := scr.nextAnswer(req)
		if !more {
			return
		}
		txt = strings.ReplaceAll(txt, "{ID}", req.Header.Get(HeaderID))
		body, end := CutEnding(txt)
		if _, err := soc.Write([]byte(body)); err != nil {
			return
		}
		if end != "" {
			scr.end(soc, red, end)
			return
		}
	}
}

// end plays the ending of an answer. Its caller closes the connection.
func (scr *ScriptedServer) end(soc net.Conn, red io.Reader, end string) {
	tcp, ok := soc.(*net.TCPConn)
	if !ok {
		return
	}
	if end == ThenHalfClose || end == ThenHalfCloseReset {
		_ = tcp.CloseWrite()
	}
	switch end {
	case ThenResetLater, ThenHalfCloseReset:
		time.Sleep(laterDelay)
	case ThenHalfClose:
		_, _ = io.Copy(io.Discard, red)
	case ThenHang:
		_, _ = red.Read(make([]byte, 1))
	case ThenCrash:
		_ = scr.listener.Close()
	}
	if end == ThenReset || end == ThenResetLater || end == ThenHalfCloseReset {
		_ = tcp.SetLinger(0)
	}
}

// nextAnswer records a request and returns the next answer.
func (scr *ScriptedServer) nextAnswer(req *http.Request) (txt string, more bool) {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	scr.requests = append(scr.requests, req)
	return scr.answers.next()
}
