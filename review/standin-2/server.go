package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that a server began to work on.
type Run struct {
	ID, Server, Tenant, Target, Body string
	Method                           string
	After                            int
	Begun, Ended                     time.Time
	// Complete is set if the whole answer was written.
	Complete bool
}

// Runs holds the runs of all servers.
type Runs struct {
	mut  sync.Mutex
	byID map[string][]*Run
	all  []*Run
}

func (rns *Runs) add(run *Run) {
	rns.mut.Lock()
	defer rns.mut.Unlock()
	rns.byID[run.ID] = append(rns.byID[run.ID], run)
	rns.all = append(rns.all, run)
}

// Of returns the runs of a request.
func (rns *Runs) Of(id string) []Run {
	rns.mut.Lock()
	defer rns.mut.Unlock()
	res := make([]Run, 0, 1)
	for _, run := range rns.byID[id] {
		res = append(res, *run)
	}
	return res
}

// Server is a stand-in of a server. Behave, if it is set, may answer a request instead of it.
type Server struct {
	ID, Service, Zone string

	rec  *Recorder
	runs *Runs

	mut      sync.Mutex
	listener net.Listener
	address  string
	born     int64
	sequence int64
	draining bool
	// left is set when the entry is removed although the server still serves.
	left bool
	// written is what the entry holds besides its number.
	written string
	silent  bool
	conns   map[net.Conn]bool
	work    time.Duration
	events  int
	gap     time.Duration
	behave  func(exc *Exchange) bool
	stopped chan struct{}
}

// Exchange is a request at a server.
type Exchange struct {
	Server  *Server
	Request *http.Request
	Body    []byte
	Conn    net.Conn
	// Gone is closed when the channel ends.
	Gone <-chan struct{}
	run  *Run
	out  *bufio.Writer
	keep bool
}

// NewServer starts a server on a free port.
func NewServer(rec *Recorder, runs *Runs, id, service, zone string) (*Server, error) {
	srv := &Server{
		ID: id, Service: service, Zone: zone, rec: rec, runs: runs, work: 15 * time.Millisecond, events: 12, gap: 20 * time.Millisecond,
		conns: make(map[net.Conn]bool), stopped: make(chan struct{}),
	}
	return srv, srv.start("127.0.0.1:0")
}

func (srv *Server) start(address string) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	srv.mut.Lock()
	srv.listener, srv.address, srv.born, srv.sequence, srv.silent = lis, lis.Addr().String(), time.Now().UnixMilli(), 0, false
	srv.mut.Unlock()
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			srv.mut.Lock()
			srv.conns[con] = true
			srv.mut.Unlock()
			go srv.serve(con)
		}
	}()
	return nil
}

// Crash resets all channels and listens no more.
func (srv *Server) Crash() {
	srv.mut.Lock()
	lis := srv.listener
	srv.silent = true
	cons := srv.conns
	srv.conns = make(map[net.Conn]bool)
	srv.mut.Unlock()
	_ = lis.Close()
	for con := range cons {
		reset(con)
	}
	srv.rec.Line("server %s crashed", srv.ID)
}

// Restart starts the server again at its address, under its id.
func (srv *Server) Restart() error {
	srv.mut.Lock()
	address := srv.address
	srv.mut.Unlock()
	err := srv.start(address)
	srv.rec.Line("server %s started again: %v", srv.ID, err)
	return err
}

// Close ends the server.
func (srv *Server) Close() {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	_ = srv.listener.Close()
	for con := range srv.conns {
		_ = con.Close()
	}
}

// SetBehaviour sets what answers requests before the server does.
func (srv *Server) SetBehaviour(behave func(exc *Exchange) bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.behave = behave
}

// SetDraining sets the state in the record.
func (srv *Server) SetDraining(draining bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.draining = draining
}

// Leave removes the entry of a server that never reports draining; it goes on serving.
func (srv *Server) Leave(str *Store) time.Time {
	srv.mut.Lock()
	srv.left = true
	srv.mut.Unlock()
	str.Set("servers", srv.ID, nil)
	srv.rec.Line("entry of %s removed", srv.ID)
	return time.Now()
}

// Record returns the next record of the server, or nil while it is down. It is also nil if nothing but its number would change, unless all
// is set: the entry changes only when more does.
func (srv *Server) Record(all bool) any {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.silent || srv.left {
		return nil
	}
	srv.sequence++
	state := "ready"
	if srv.draining {
		state = "draining"
	}
	written := fmt.Sprint(state, srv.born)
	if written == srv.written && !all {
		return nil
	}
	srv.written = written
	return map[string]any{
		"service": srv.Service, "address": srv.address, "zone": srv.Zone, "version": "v1", "slots": 64, "state": state,
		"warmupLeftMs": 0, "sequence": srv.sequence, "born": srv.born,
	}
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}

func (srv *Server) serve(con net.Conn) {
	defer func() {
		_ = con.Close()
		srv.mut.Lock()
		delete(srv.conns, con)
		srv.mut.Unlock()
	}()
	rdr := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(rdr)
		if err != nil {
			return
		}
		txt, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		gone, stop := make(chan struct{}), make(chan struct{})
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			for {
				_ = con.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, err := rdr.Peek(1)
				if err == nil {
					return
				}
				if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
					close(gone)
					return
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		}()
		exc := &Exchange{Server: srv, Request: req, Body: txt, Conn: con, Gone: gone, out: bufio.NewWriter(con), keep: true}
		srv.answer(exc)
		close(stop)
		<-peeked
		_ = con.SetReadDeadline(time.Time{})
		if !exc.keep {
			return
		}
	}
}

// answer answers a request as a sound server does, unless the behaviour does.
func (srv *Server) answer(exc *Exchange) {
	req := exc.Request
	if req.URL.Path == "/healthz" {
		exc.Write("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", srv.ID)
		return
	}
	if want := req.Header.Get("Expected-Instance"); want != srv.ID {
		exc.Write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", srv.ID)
		return
	}
	srv.mut.Lock()
	behave := srv.behave
	srv.mut.Unlock()
	if behave != nil && behave(exc) {
		return
	}
	if strings.Contains(req.URL.Path, "/draft/") || strings.Contains(req.URL.Path, "/ask/") {
		exc.Stream(srv.events, srv.gap, true)
		return
	}
	exc.Run()
	time.Sleep(srv.work)
	exc.Plain(http.StatusOK, AnswerOf(exc.ID()))
}

// ID returns the id of the request.
func (exc *Exchange) ID() string { return exc.Request.Header.Get("Attempt-Id") }

// Run notes that the server begins to work on the request.
func (exc *Exchange) Run() *Run {
	if exc.run != nil {
		return exc.run
	}
	after, _ := strconv.Atoi(exc.Request.Header.Get("Last-Event-Id"))
	exc.run = &Run{
		ID: exc.ID(), Server: exc.Server.ID, Tenant: exc.Request.Header.Get("Tenant"), Target: exc.Request.RequestURI, Method: exc.Request.Method,
		Body: string(exc.Body), After: after, Begun: time.Now(),
	}
	exc.Server.runs.add(exc.run)
	exc.Server.rec.Line("run %s at %s %s after %d tenant %s", exc.run.ID, exc.Server.ID, exc.run.Target, after, exc.run.Tenant)
	return exc.run
}

func (exc *Exchange) end(complete bool) {
	exc.Server.runs.mut.Lock()
	defer exc.Server.runs.mut.Unlock()
	exc.run.Ended, exc.run.Complete = time.Now(), complete
}

// Write writes text to the channel.
func (exc *Exchange) Write(format string, args ...any) bool {
	_, _ = fmt.Fprintf(exc.out, format, args...)
	if exc.out.Flush() != nil {
		exc.keep = false
		return false
	}
	return true
}

// NotRun turns the request away.
func (exc *Exchange) NotRun(extra string) {
	exc.Write("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", exc.ID(), extra)
}

// Reset resets the channel.
func (exc *Exchange) Reset() {
	exc.keep = false
	reset(exc.Conn)
}

// AnswerOf returns the body of the answer to a plain request.
func AnswerOf(id string) string { return "answer to " + id }

// EventOf returns an event of a stream.
func EventOf(id string, num int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", num, id, num) }

// StreamOf returns the body of a stream with a number of events.
func StreamOf(id string, events int) string {
	var txt strings.Builder
	for num := 1; num <= events; num++ {
		txt.WriteString(EventOf(id, num))
	}
	return txt.String()
}

// Plain writes a whole answer.
func (exc *Exchange) Plain(status int, body string) {
	ok := exc.Write("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), exc.ID(), exc.ID(), len(body), body)
	exc.end(ok)
}

// Stream writes a stream that goes on after the Last-Event-Id of the request; chunked is the framing, else it ends with the channel.
func (exc *Exchange) Stream(events int, gap time.Duration, chunked bool) {
	exc.StreamCut(events, gap, chunked, -1)
}

// StreamCut is Stream that resets the channel after a number of its events, if that is not negative.
func (exc *Exchange) StreamCut(events int, gap time.Duration, chunked bool, cut int) {
	run := exc.Run()
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + exc.ID() + "\r\nServer-Signature: s." + exc.ID() + "\r\nContent-Type: text/event-stream\r\n"
	if chunked {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if !exc.Write("%s\r\n", head) {
		exc.end(false)
		return
	}
	for num := run.After + 1; num <= events; num++ {
		select {
		case <-exc.Gone:
			exc.keep = false
			exc.end(false)
			return
		case <-time.After(gap):
		}
		if cut >= 0 && num-run.After > cut {
			exc.Reset()
			exc.end(false)
			return
		}
		txt := EventOf(exc.ID(), num)
		if chunked {
			txt = fmt.Sprintf("%x\r\n%s\r\n", len(txt), txt)
		}
		if !exc.Write("%s", txt) {
			exc.end(false)
			return
		}
	}
	if chunked {
		exc.end(exc.Write("0\r\n\r\n"))
		return
	}
	exc.keep = false
	exc.end(true)
}
