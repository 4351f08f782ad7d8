package stand

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// Script is an upstream that answers each request with the next text of a list, byte for byte.
type Script struct {
	Address string

	answers  *Answers
	listener net.Listener
	mut      sync.Mutex
	// requests holds what was received.
	requests []*http.Request
	accepted int
}

// The endings of a script's answer.
const (
	// Cut at the end of an answer closes the connection behind it.
	Cut = "\x00cut"
	// Reset at the end of an answer resets the connection behind it.
	Reset = "\x00reset"
	// Crash at the end of an answer closes the connection and accepts no others from then on.
	Crash = "\x00crash"
	// Silent at the end of an answer leaves the connection open and says no more.
	Silent = "\x00silent"
)

// Answers is a list of texts that one or more scripts use up.
type Answers struct {
	mut   sync.Mutex
	texts []string
}

// NewAnswers returns a list of texts.
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

// NewScript starts an upstream that ends with the test; in answers, {ID} stands for the request's own id.
func NewScript(t testing.TB, answers ...string) *Script {
	t.Helper()
	return NewSharedScript(t, NewAnswers(answers...))
}

// NewSharedScript starts an upstream that takes its answers from a list which it shares with others.
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

// Requests returns what was received so far.
func (scr *Script) Requests() []*http.Request {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	return append([]*http.Request(nil), scr.requests...)
}

// Accepted returns the number of connections so far.
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
		txt, more := scr.answer(req)
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

// answer records a request and returns the next text.
func (scr *Script) answer(req *http.Request) (txt string, more bool) {
	scr.mut.Lock()
	defer scr.mut.Unlock()
	scr.requests = append(scr.requests, req)
	return scr.answers.next()
}
