package link

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

const (
	// dialTimeout limits connecting; it holds the longest round trip between regions several times.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails; it leaves time for two losses in a row between regions.
	unackedTimeout = time.Second
	// idleMost is how long an idle connection is kept when the upstream names no timeout.
	idleMost = 10 * time.Second
	// idleMargin is how much earlier than the upstream a connection is given up, so that no request crosses the close.
	idleMargin = time.Second
	// idlePerUpstream bounds the idle connections to one upstream.
	idlePerUpstream = 64
)

// Book holds a pool of connections for each address.
type Book struct {
	dialer *net.Dialer
	mut    sync.Mutex
	pools  map[string]*Pool
}

// NewBook returns a Book without connections.
func NewBook() *Book {
	return &Book{
		dialer: &net.Dialer{
			Timeout: dialTimeout,
			// A path that went silent is noticed within three seconds.
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control:         setUnackedTimeout,
		},
		pools: make(map[string]*Pool),
	}
}

// Pool returns the pool of an incarnation, which the key names, at an address.
func (bok *Book) Pool(key, address string) *Pool {
	bok.mut.Lock()
	defer bok.mut.Unlock()
	pol := bok.pools[key]
	if pol == nil {
		pol = &Pool{dialer: bok.dialer, address: address}
		bok.pools[key] = pol
	}
	return pol
}

// Retire closes the idle connections of a pool; those in use close when they return.
func (bok *Book) Retire(key string) {
	bok.mut.Lock()
	pol := bok.pools[key]
	delete(bok.pools, key)
	bok.mut.Unlock()
	if pol != nil {
		pol.close()
	}
}

// Pool is the connections to one incarnation of an upstream.
type Pool struct {
	dialer  *net.Dialer
	address string

	mut    sync.Mutex
	idle   []*Conn
	closed bool
}

// Get returns an idle connection that has been idle for less than the given time, or a new one.
//
// An error means that nothing was sent.
func (pol *Pool) Get(ctx context.Context, idle time.Duration) (con *Conn, err error) {
	if con := pol.take(idle); con != nil {
		return con, nil
	}
	return pol.Dial(ctx)
}

// Dial returns a new connection; an error means that nothing was sent.
func (pol *Pool) Dial(ctx context.Context) (con *Conn, err error) {
	defer fault.Annotate(&err, "connect")
	soc, err := pol.dialer.DialContext(ctx, "tcp", pol.address)
	if err != nil {
		return nil, err
	}
	return newConn(pol, soc), nil
}

// Flush closes all idle connections, after a sign that the path lost them.
func (pol *Pool) Flush() {
	pol.mut.Lock()
	old := pol.idle
	pol.idle = nil
	pol.mut.Unlock()
	for _, con := range old {
		_ = con.socket.Close()
	}
}

// take returns the connection that was used last, if it is still good.
func (pol *Pool) take(idle time.Duration) *Conn {
	for {
		pol.mut.Lock()
		num := len(pol.idle)
		if num == 0 {
			pol.mut.Unlock()
			return nil
		}
		con := pol.idle[num-1]
		pol.idle = pol.idle[:num-1]
		pol.mut.Unlock()
		if time.Since(con.since) < min(con.keep, idle) && con.quiet() {
			return con
		}
		_ = con.socket.Close()
	}
}

func (pol *Pool) put(con *Conn) {
	con.since = time.Now()
	con.Reused = true
	pol.mut.Lock()
	full := pol.closed || len(pol.idle) >= idlePerUpstream
	if !full {
		pol.idle = append(pol.idle, con)
	}
	var stale *Conn
	if len(pol.idle) > 0 && time.Since(pol.idle[0].since) > pol.idle[0].keep {
		stale = pol.idle[0]
		pol.idle = append(pol.idle[:0], pol.idle[1:]...)
	}
	pol.mut.Unlock()
	if stale != nil {
		_ = stale.socket.Close()
	}
	if full {
		_ = con.socket.Close()
	}
}

func (pol *Pool) close() {
	pol.mut.Lock()
	pol.closed = true
	pol.mut.Unlock()
	pol.Flush()
}

func setUnackedTimeout(_, _ string, raw syscall.RawConn) (err error) {
	cerr := raw.Control(func(des uintptr) {
		err = unix.SetsockoptInt(int(des), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}
