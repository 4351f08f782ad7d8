package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// execution is a request that a server executed.
type execution struct {
	at      time.Time
	attempt string
	method  string
	// target is the request target as the server received it.
	target string
}

// server is a stand-in of a server of the platform. It executes requests that are addressed to its ID.
type server struct {
	id, service, zone string
	// slots holds a token for each request that is processed, and places one for each that is processed or waits.
	slots, places chan struct{}
	// maxConnections is how many channels the server accepts; it resets further ones.
	maxConnections int32
	connections    atomic.Int32
	// work is how long a plain request takes; a stream has its first event after work and events further ones, one per gap.
	work   time.Duration
	events int
	gap    time.Duration
	born   int64
	// leaving makes all answers say that the server is leaving.
	leaving atomic.Bool

	address string
	http    *http.Server
	// onPoison is called when the server begins to run the request with poisonBody; nil means nothing.
	onPoison func()

	mut      sync.Mutex
	executed []execution
	sequence int64
	warmup   int
}

// start listens on a free port of a loopback address.
func (srv *server) start(host string) error {
	lis, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return err
	}
	srv.address = lis.Addr().String()
	srv.serve(lis)
	return nil
}

// restart begins another lifetime at the same address.
func (srv *server) restart() error {
	lis, err := net.Listen("tcp", srv.address)
	if err != nil {
		return err
	}
	srv.serve(lis)
	return nil
}

func (srv *server) serve(lis net.Listener) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.born, srv.sequence = time.Now().UnixMilli(), 0
	srv.http = &http.Server{Handler: srv, IdleTimeout: 30 * time.Second, ConnState: srv.countConnection}
	go func(hsv *http.Server) { _ = hsv.Serve(lis) }(srv.http)
}

// countConnection resets a new channel if there are too many.
func (srv *server) countConnection(con net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if srv.connections.Add(1) > srv.maxConnections {
			if tcp, ok := con.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = con.Close()
		}
	case http.StateClosed:
		srv.connections.Add(-1)
	}
}

// poisonBody is the body of the request that crashes servers.
const poisonBody = `{"amount":-1}`

// record returns what the server writes about itself in the store.
func (srv *server) record() map[string]any {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.sequence++
	return map[string]any{
		"service": srv.service, "address": srv.address, "zone": srv.zone, "version": "v1", "slots": cap(srv.slots),
		"state": "ready", "warmupLeftMs": srv.warmup, "sequence": srv.sequence, "born": srv.born,
	}
}

// exit ends the server once its requests have ended.
func (srv *server) exit() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_ = srv.http.Shutdown(ctx)
	_ = srv.http.Close()
}

// executions returns what the server executed.
func (srv *server) executions() []execution {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	return append([]execution(nil), srv.executed...)
}

// ServeHTTP implements http.Handler.
func (srv *server) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	hdr := wri.Header()
	if srv.leaving.Load() {
		hdr.Set("Server-Leaving", "1")
	}
	if req.Method == http.MethodGet && req.URL.Path == "/healthz" {
		hdr.Set("Instance-Id", srv.id)
		return
	}
	if want := req.Header.Get("Expected-Instance"); want != "" && want != srv.id {
		hdr.Set("Instance-Id", srv.id)
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Attempt-Id")
	hdr.Set("Attempt-Id", id)
	// Only the first bytes matter, and a body may be large.
	start := make([]byte, len(poisonBody))
	num, _ := io.ReadFull(req.Body, start)
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(req.Context())
	if left, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		ctx, cancel = context.WithTimeout(req.Context(), time.Duration(left)*time.Millisecond)
	}
	defer cancel()
	if !srv.takeSlot(ctx) {
		hdr.Set("Not-Executed", "1")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		<-srv.slots
		<-srv.places
	}()
	srv.mut.Lock()
	srv.executed = append(srv.executed, execution{at: time.Now(), attempt: id, method: req.Method, target: req.RequestURI})
	srv.mut.Unlock()
	if srv.onPoison != nil && string(start[:num]) == poisonBody {
		go srv.onPoison()
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, srv.work) {
		wri.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	hdr.Set("Server-Signature", "signed-by-"+srv.id)
	if srv.events == 0 {
		fmt.Fprintf(wri, "answer to %s", id)
		return
	}
	hdr.Set("Content-Type", "text/event-stream")
	ctl := http.NewResponseController(wri)
	for num := 1; num <= srv.events; num++ {
		fmt.Fprintf(wri, "id: %d\ndata: %s.%d\n\n", num, id, num)
		if ctl.Flush() != nil || !sleep(ctx, srv.gap) {
			panic(http.ErrAbortHandler)
		}
	}
}

// takeSlot waits for a slot. It reports false if the queue is full or the time is over before.
func (srv *server) takeSlot(ctx context.Context) bool {
	select {
	case srv.places <- struct{}{}:
	default:
		return false
	}
	select {
	case srv.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		<-srv.places
		return false
	}
}

// sortExecutions sorts executions by time.
func sortExecutions(exes []execution) {
	slices.SortFunc(exes, func(one, two execution) int { return one.at.Compare(two.at) })
}

// sleep reports whether the time passed before the context ended.
func sleep(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
		return true
	case <-ctx.Done():
		return false
	}
}
