package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestListener guards against connections without bound, against closing one that carries a complete request, and against
// headers that go on for as long as they are read. Each case is named by its load; the limit is 16 connections.
func TestListener(t *testing.T) {
	type state struct {
		// header is what the caller sends, and active is set if a request with a complete header runs.
		header   string
		active   bool
		complete bool
	}
	idle, serving := state{}, state{active: true, complete: true}
	mixed := slices.Repeat([]state{serving}, minConns+1)
	mixed[3], mixed[minConns] = state{active: true}, idle
	cases := map[string]struct {
		conns []state
		// wait passes after all have been accepted, a second apart from each other.
		wait   time.Duration
		open   int
		closed []int
		reason string
	}{
		"below the limit":                      {conns: []state{idle, idle}, open: 2},
		"more idle connections than the limit": {conns: make([]state, minConns+2), open: minConns, closed: []int{0, 1}, reason: ReasonConnections},
		"all connections have a complete request": {
			conns: append(slices.Repeat([]state{serving}, minConns), idle), open: minConns, closed: []int{minConns}, reason: ReasonConnections,
		},
		"a body is not complete":       {conns: mixed, open: minConns, closed: []int{3}, reason: ReasonConnections},
		"header that is not completed": {conns: []state{{header: "GET"}, idle}, wait: headerTime, open: 1, closed: []int{0}, reason: ReasonHeaderTime},
		"header without end":           {conns: []state{{header: strings.Repeat("a:b\r\n", 20_000)}, idle}, open: 1, closed: []int{0}, reason: ReasonHeaderBytes},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			man := timer.NewManual(time.Unix(1000, 0))
			reason := ""
			bud := New(Options{Timers: man, MemoryBytes: 48 * mib, Descriptors: reservedDescriptors, OnRefuse: func(rsn string) { reason = rsn }})
			lis := NewListener(nil, bud)
			defer lis.stop()
			socs, conns := make([]net.Conn, len(cas.conns)), make([]*Conn, len(cas.conns))
			for idx, sta := range cas.conns {
				soc, far := net.Pipe()
				defer func() { _ = far.Close() }()
				socs[idx], conns[idx] = soc, lis.admit(soc)
				readHeader(conns[idx], far, sta.header)
				if sta.active {
					lis.Observe(conns[idx], http.StateActive)
				}
				if sta.complete {
					Complete(Context(t.Context(), conns[idx]))
				}
				man.Advance(100 * time.Millisecond)
			}
			man.Advance(cas.wait)
			if lis.Open() != cas.open || reason != cas.reason {
				t.Errorf("%d open, last reason %q; want %d, %q", lis.Open(), reason, cas.open, cas.reason)
			}
			for _, idx := range cas.closed {
				if _, err := socs[idx].Write(nil); err == nil {
					t.Errorf("connection %d is open", idx)
				}
			}
			for _, con := range conns {
				if con != nil {
					_ = con.Close()
				}
			}
			if bud.Held() != 0 {
				t.Errorf("%d bytes held after all connections were closed", bud.Held())
			}
		})
	}
}

// readHeader reads what the far end sends until the connection ends.
func readHeader(con *Conn, far net.Conn, txt string) {
	go func() { _, _ = io.WriteString(far, txt) }()
	buf := make([]byte, 4<<10)
	for left := len(txt); left > 0; {
		num, err := con.Read(buf)
		if err != nil {
			return
		}
		left -= num
	}
}

// TestHeaderMemory guards against headers that stay counted, or are not counted, when a connection carries several requests, and
// against reading on while memory is short.
func TestHeaderMemory(t *testing.T) {
	man := timer.NewManual(time.Unix(1000, 0))
	bud := New(Options{Timers: man, MemoryBytes: 48 * mib, OnRefuse: func(string) {}})
	lis := NewListener(nil, bud)
	defer lis.stop()
	soc, far := net.Pipe()
	con := lis.admit(soc)
	buf := make([]byte, 4<<10)
	for range 3 {
		for range 10 {
			go func() { _, _ = io.WriteString(far, strings.Repeat("a:b\r\n", 800)) }()
			if _, err := io.ReadFull(con, buf[:4000]); err != nil {
				t.Fatal(err)
			}
		}
		if want := int64(10 * (headerFactor*4000 + lineBytes*800)); bud.Held() != want {
			t.Errorf("%d bytes held, want %d", bud.Held(), want)
		}
		lis.Observe(con, http.StateActive)
		lis.Observe(con, http.StateIdle)
		if bud.Held() != 0 {
			t.Errorf("%d bytes held between requests", bud.Held())
		}
	}
	// The header that stops for lack of memory is the one of the least progress.
	bud.Open(Answer, -1, func() {}).Take(16 * mib)
	go func() { _, _ = io.WriteString(far, "GET") }()
	res := make(chan error, 1)
	go func() { _, err := con.Read(buf); res <- err }()
	isSettled(bud, res, 1)
	man.Advance(shedAfter)
	if err := <-res; err == nil || lis.Open() != 0 {
		t.Errorf("a header above the bound: error %v, %d connections open", err, lis.Open())
	}
}

// TestLateClose guards against closing a connection whose request became complete after the close was decided: the request might
// have been sent to an upstream.
func TestLateClose(t *testing.T) {
	cases := map[string]func(lis *Listener, con *Conn) (closing func()){
		"for another connection": func(lis *Listener, _ *Conn) func() {
			return func() {
				for range minConns {
					soc, far := net.Pipe()
					defer func() { _, _ = soc.Close(), far.Close() }()
					lis.admit(soc)
				}
			}
		},
		"header late": func(lis *Listener, con *Conn) func() {
			con.begun = con.begun.Add(-headerTime)
			return func() { lis.sweep(lis.options.Timers.Now()) }
		},
		"memory short": func(_ *Listener, con *Conn) func() { return con.header.abort },
	}
	for name, decide := range cases {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, complete before %t", name, before), func(t *testing.T) {
				man := timer.NewManual(time.Unix(1000, 0))
				bud := New(Options{Timers: man, MemoryBytes: mib, OnRefuse: func(string) {}})
				lis := NewListener(nil, bud)
				defer lis.stop()
				soc, far := net.Pipe()
				defer func() { _ = far.Close() }()
				con := lis.admit(&closingConn{Conn: soc})
				ctx := Context(t.Context(), con)
				readHeader(con, far, "GET")
				man.Advance(time.Second)
				closing := decide(lis, con)
				complete := func() bool {
					lis.Observe(con, http.StateActive)
					return Complete(ctx)
				}
				one := con.Conn.(*closingConn)
				sent := false
				if before {
					sent = complete()
				} else {
					one.onClose = func() { sent = complete() }
				}
				closing()
				if sent != before || one.closed == before {
					t.Errorf("sent %t, closed %t", sent, one.closed)
				}
			})
		}
	}
}

// closingConn calls a function when it is closed.
type closingConn struct {
	net.Conn
	onClose func()
	closed  bool
}

func (con *closingConn) Close() (err error) {
	con.closed = true
	if con.onClose != nil {
		con.onClose()
	}
	return con.Conn.Close()
}
