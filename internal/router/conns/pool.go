package conns

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

const (
	// dialTimeout limits connecting; it is several times the longest round trip between regions.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails (TCP_USER_TIMEOUT).
	// It tolerates two packet losses in a row between regions.
	unackedTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how much earlier than the upstream the pool closes an idle connection, so that no request is
	// sent while the upstream closes it.
	idleMargin = time.Second
	// maxIdlePerPool bounds the idle connections of a pool.
	maxIdlePerPool = 64
)

// Pools holds one connection pool for each incarnation of an upstream.
type Pools struct {
	dialer *net.Dialer
	mut    sync.Mutex
	pools  map[string]*Pool
}

// NewPools returns an empty set of pools.
func NewPools() *Pools {
	return &Pools{
		dialer: &net.Dialer{
			Timeout: dialTimeout,
			// A connection whose peer or network path no longer responds fails within three seconds.
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
			Control:         setUnackedTimeout,
		},
		pools: make(map[string]*Pool),
	}
}

// Pool returns the pool of the incarnation that key identifies; it creates a pool to the address on first use.
func (pls *Pools) Pool(key, address string) *Pool {
	pls.mut.Lock()
	defer pls.mut.Unlock()
	pol := pls.pools[key]
	if pol == nil {
		pol = &Pool{dialer: pls.dialer, address: address}
		pls.pools[key] = pol
	}
	return pol
}

// Remove removes a pool and closes its idle connections; those in use are closed when their exchange ends.
func (pls *Pools) Remove(key string) {
	pls.mut.Lock()
	pol := pls.pools[key]
	delete(pls.pools, key)
	pls.mut.Unlock()
	if pol != nil {
		pol.close()
	}
}

// Pool holds the idle connections to one incarnation of an upstream.
type Pool struct {
	dialer  *net.Dialer
	address string

	mut    sync.Mutex
	idle   []*Conn
	closed bool
}

// Get returns a pooled connection that has been idle for less than maxIdle, or else a new one.
//
// An error means that nothing was sent.
func (pol *Pool) Get(ctx context.Context, maxIdle time.Duration) (con *Conn, err error) {
	if con := pol.takeIdle(maxIdle); con != nil {
		return con, nil
	}
	return pol.Dial(ctx)
}

// Dial returns a new connection; an error means that nothing was sent.
func (pol *Pool) Dial(ctx context.Context) (con *Conn, err error) {
	defer errs.Annotate(&err, "connect")
	soc, err := pol.dialer.DialContext(ctx, "tcp", pol.address)
	if err != nil {
		return nil, err
	}
	return newConn(pol, soc), nil
}

// CloseIdle closes all idle connections, for example after a sign that the network path dropped them.
func (pol *Pool) CloseIdle() {
	pol.mut.Lock()
	old := pol.idle
	pol.idle = nil
	pol.mut.Unlock()
	for _, con := range old {
		_ = con.socket.Close()
	}
}

// takeIdle removes and returns the most recently used connection that is still usable, or nil. It closes the
// unusable ones that it finds.
func (pol *Pool) takeIdle(maxIdle time.Duration) *Conn {
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
		if time.Since(con.idleSince) < min(con.idleTimeout, maxIdle) && con.isOpen() {
			return con
		}
		_ = con.socket.Close()
	}
}

// putIdle returns a connection to the pool, or closes it if the pool is full or closed. It also closes the oldest
// connection if that has expired.
func (pol *Pool) putIdle(con *Conn) {
	con.idleSince = time.Now()
	con.Reused = true
	pol.mut.Lock()
	full := pol.closed || len(pol.idle) >= maxIdlePerPool
	if !full {
		pol.idle = append(pol.idle, con)
	}
	var stale *Conn
	if len(pol.idle) > 0 && time.Since(pol.idle[0].idleSince) > pol.idle[0].idleTimeout {
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
	pol.CloseIdle()
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) (err error) {
	cerr := raw.Control(func(des uintptr) {
		err = unix.SetsockoptInt(int(des), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if cerr != nil {
		return cerr
	}
	return err
}
