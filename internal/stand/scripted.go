package stand

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Script is an upstream that sends the next answer of a list, byte for byte, on each request. It
// closes the connection when none is left.
type Script struct {
	Address string

	answers  *Answers
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
	// Cut closes the connection after the answer.
	Cut = "\x00cut"
	// Reset resets the connection after the answer.
	Reset = "\x00reset"
	// Crash closes the connection and the listener after the answer.
	Crash = "\x00crash"
	// Silent keeps the connection open after the answer and sends nothing more.
	Silent = "\x00silent"
)

// Answers is a queue of answers that one or more upstreams consume.
type Answers struct {
	mut   sync.Mutex
	texts []string
}

// NewAnswers returns a queue with the given answers.
func NewAnswers(texts ...string) *Answers {
	return &Answers{texts: texts}
}

func (ans *Answers) next() (txt string, more bool) {
	ans.mut.Lock()
	defer ans.mut.Unlock()
	if len(ans.texts) == 0 {
		return "", false
	}
	txt, ans.texts = ans.texts[0], ans.texts[1:]
	return txt, true
}

// NewScript starts an upstream, which is closed when the test ends. In the answers, {ID} is
// replaced by the value of HeaderID of the request.
func NewScript(t testing.TB, answers ...string) *Script {
	t.Helper()
	return NewSharedScript(t, NewAnswers(answers...))
}

// NewSharedScript is like NewScript but takes the answers from a queue that other upstreams may
// share.
func NewSharedScript(t testing.TB, answers *Answers) *Script {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	scr := &Script{Address: lis.Addr().String(), answers: answers, listener: lis}
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
func (scr *Script) Requests() []*http.Request {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	return append([]*http.Request(nil), scr.requests...)
}

// Accepted returns the number of connections accepted so far.
func (scr *Script) Accepted() int {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	return scr.accepted
}

func (scr *Script) serve(soc net.Conn) {
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
		body, end, _ := strings.Cut(txt, "\x00")
		if _, err := soc.Write([]byte(body)); err != nil {
			return
		}
		switch "\x00" + end {
		case Cut:
			return
		case Crash:
			_ = scr.listener.Close()
			return
		case Reset:
			if tcp, ok := soc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		case Silent:
			_, _ = red.ReadByte()
			return
		}
	}
}

// nextAnswer records a request and returns the next answer.
func (scr *Script) nextAnswer(req *http.Request) (txt string, more bool) {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	scr.requests = append(scr.requests, req)
	return scr.answers.next()
}
