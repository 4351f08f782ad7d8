package intake

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// connBytes is the memory of an idle connection with its goroutine and buffers, and connPart the inverse of the
	// part of the memory that connections may take.
	connBytes = 32 << 10
	connPart  = 4
	// reservedDescriptors are kept for files, and connShare is the share of the others that connections of callers may take.
	// The rest is for upstreams, other nodes and the store.
	reservedDescriptors = 200
	connShare           = 0.6
	// minConns is the least limit of connections, so that a node with few descriptors serves at all.
	minConns = 16
	// MaxHeaderBytes is the number of bytes that a connection may send before the header of a request is complete. Callers inside
	// the limits send up to 16 KiB.
	MaxHeaderBytes = 64 << 10
	// readAhead is how much of what follows a header may be read with it, the buffer of net/http.
	readAhead = 4 << 10
	// headerTime is the time from the first byte of a header to its end.
	headerTime = 10 * time.Second
	// sweepInterval is the time between two checks of it.
	sweepInterval = time.Second
)

// Listener bounds the open connections of callers, and what each sends before the header of a request is complete.
type Listener struct {
	net.Listener

	options Options
	budget  *Budget
	most    int
	stop    func()

	mut   sync.Mutex
	conns map[*Conn]bool
}

// NewListener returns a Listener for the connections that lis accepts. The server must use its Observe and Context.
func NewListener(lis net.Listener, bud *Budget) *Listener {
	opt := bud.options
	res := &Listener{Listener: lis, options: opt, budget: bud, most: maxConns(opt), conns: make(map[*Conn]bool)}
	res.stop = opt.Timers.Every(sweepInterval, res.sweep)
	return res
}

// maxConns returns the limit of connections.
func maxConns(opt Options) int {
	most := math.MaxInt
	if opt.MemoryBytes > 0 {
		most = int(opt.MemoryBytes / connPart / connBytes)
	}
	if opt.Descriptors > 0 {
		most = min(most, int(connShare*float64(opt.Descriptors-reservedDescriptors)))
	}
	return max(most, minConns)
}

// Open returns the number of open connections.
func (lis *Listener) Open() int {
	lis.mut.Lock()
	defer lis.mut.Unlock()
	return len(lis.conns)
}

// Accept returns the next connection. At the limit it closes another one first.
func (lis *Listener) Accept() (con net.Conn, err error) {
	for {
		soc, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if con := lis.admit(soc); con != nil {
			return con, nil
		}
	}
}

// admit returns the connection for a socket, or nil if it closed the socket: the limit is reached and all connections have a
// complete request.
func (lis *Listener) admit(soc net.Conn) (con *Conn) {
	con = &Conn{Conn: soc, listener: lis, since: lis.options.Timers.Now()}
	lis.mut.Lock()
	var old *Conn
	full := len(lis.conns) >= lis.most
	if full {
		for one := range lis.conns {
			if !one.complete && (old == nil || one.since.Before(old.since)) {
				old = one
			}
		}
		// A connection that was chosen gets no complete request any more, see Complete.
		delete(lis.conns, old)
	}
	if !full || old != nil {
		lis.conns[con] = true
	}
	lis.mut.Unlock()
	switch {
	case old != nil:
		old.refuse(ReasonConnections)
	case full:
		_ = soc.Close()
		lis.options.OnRefuse(ReasonConnections)
		return nil
	}
	return con
}

// Close stops the listening.
func (lis *Listener) Close() (err error) {
	lis.stop()
	return lis.Listener.Close()
}

// sweep closes connections whose header takes too long.
func (lis *Listener) sweep(now time.Time) {
	var late []*Conn
	lis.mut.Lock()
	for con := range lis.conns {
		if !con.begun.IsZero() && now.Sub(con.begun) >= headerTime {
			late = append(late, con)
			delete(lis.conns, con)
		}
	}
	lis.mut.Unlock()
	for _, con := range late {
		con.refuse(ReasonHeaderTime)
	}
}

// Observe follows the state of a connection; it is an http.Server's ConnState.
func (lis *Listener) Observe(one net.Conn, sta http.ConnState) {
	con, ok := one.(*Conn)
	if !ok {
		return
	}
	lis.mut.Lock()
	var hol *Hold
	switch sta {
	case http.StateActive:
		con.active, con.begun = true, time.Time{}
		if con.header != nil {
			defer con.header.Watch(false)
		}
	case http.StateIdle:
		con.active, con.complete, con.since = false, false, lis.options.Timers.Now()
		con.headerBytes = 0
		hol, con.header = con.header, nil
	}
	lis.mut.Unlock()
	if hol != nil {
		hol.Release()
	}
}

// connKey is the key of the Conn in the context of a request.
type connKey struct{}

// Context adds the connection to the context of its requests; it is an http.Server's ConnContext.
func Context(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, con)
}

// InterruptBody ends the reading of the body of the request with the context, unless it was read to its end. The body must have
// a deadline. It reports whether the connection of the request is one of a Listener.
func InterruptBody(ctx context.Context) (known bool) {
	con, known := ctx.Value(connKey{}).(*Conn)
	if known {
		con.interruptRead()
	}
	return known
}

// Complete notes that the request with the context has arrived whole, so that its connection is not closed for another. It
// reports false if that was decided before; the request must not be sent then.
func Complete(ctx context.Context) (open bool) {
	con, ok := ctx.Value(connKey{}).(*Conn)
	if !ok {
		return true
	}
	con.listener.mut.Lock()
	defer con.listener.mut.Unlock()
	con.complete = con.listener.conns[con]
	return con.complete
}
