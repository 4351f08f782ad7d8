package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// ErrRetired is the cause of a request's failure when its connection was retired.
var ErrRetired = errors.New("connection retired as silent")

const (
	// idlePerUpstream is the number of idle connections kept for one upstream.
	idlePerUpstream = 64
	idleTimeout     = 30 * time.Second
	probeTimeout    = time.Second
	healthPath      = "/health"
)

// Call is one request to an upstream.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// Once forbids the connection's own retries; the call is for an order.
	Once bool
}

// Reply is an upstream's response whose body is still to be read.
type Reply struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Relay holds the connections to all upstreams.
type Relay struct {
	dialer *net.Dialer
	mut    sync.Mutex
	sets   map[string]*set
}

// set is the connections to one upstream that were opened since the last retirement.
type set struct {
	transport *http.Transport
	// context is cancelled when the set is retired.
	context context.Context
	cancel  context.CancelCauseFunc
}

// New returns a Relay that gives up connecting after the timeout.
func New(connect time.Duration) *Relay {
	return &Relay{dialer: &net.Dialer{Timeout: connect}, sets: make(map[string]*set)}
}

// Send sends a call; sent is false only if no connection was ever obtained.
func (rel *Relay) Send(ctx context.Context, ups router.Upstream, cal Call) (rep *Reply, sent bool, err error) {
	defer fault.Annotatef(&err, "send to %s", ups.Name)
	cur := rel.set(ups.Address)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(cur.context, func() { cancel(context.Cause(cur.context)) })
	end := func() {
		stop()
		cancel(nil)
	}
	var got atomic.Bool
	trc := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trc), ups, cal)
	if err != nil {
		end()
		return nil, false, err
	}
	res, err := rel.transport(cur, cal.Once).RoundTrip(req)
	if err != nil {
		err = explain(ctx, err)
		end()
		return nil, got.Load(), err
	}
	bdy := &body{ReadCloser: res.Body, context: ctx, end: end}
	return &Reply{Status: res.StatusCode, Header: res.Header, Body: bdy}, true, nil
}

// Probe asks an upstream for its health on a fresh connection.
func (rel *Relay) Probe(ctx context.Context, ups router.Upstream) (err error) {
	defer fault.Annotatef(&err, "probe %s", ups.Name)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := newRequest(ctx, ups, Call{Method: http.MethodGet, Path: healthPath})
	if err != nil {
		return err
	}
	res, err := rel.single().RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("health answered %d", res.StatusCode)
	}
	return nil
}

// Retire fails all requests on the upstream's present connections and closes them.
func (rel *Relay) Retire(ups router.Upstream) {
	rel.mut.Lock()
	old := rel.sets[ups.Address]
	delete(rel.sets, ups.Address)
	rel.mut.Unlock()
	if old != nil {
		old.cancel(ErrRetired)
		old.transport.CloseIdleConnections()
	}
}

// Close closes idle connections; requests in flight go on.
func (rel *Relay) Close() {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	for _, cur := range rel.sets {
		cur.transport.CloseIdleConnections()
	}
}

func (rel *Relay) set(address string) *set {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	cur := rel.sets[address]
	if cur == nil {
		ctx, cancel := context.WithCancelCause(context.Background())
		cur = &set{transport: rel.newTransport(), context: ctx, cancel: cancel}
		rel.sets[address] = cur
	}
	return cur
}

func (rel *Relay) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         rel.dialer.DialContext,
		MaxIdleConnsPerHost: idlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// transport returns the set's transport, or one for a single call.
func (rel *Relay) transport(cur *set, once bool) *http.Transport {
	if once {
		return rel.single()
	}
	return cur.transport
}

func (rel *Relay) single() *http.Transport {
	trp := rel.newTransport()
	trp.DisableKeepAlives = true
	return trp
}

func newRequest(ctx context.Context, ups router.Upstream, cal Call) (req *http.Request, err error) {
	req, err = http.NewRequestWithContext(ctx, cal.Method, strings.TrimSuffix(ups.Address, "/")+cal.Path, bytes.NewReader(cal.Body))
	if err != nil {
		return nil, err
	}
	if cal.Header != nil {
		req.Header = cal.Header.Clone()
	}
	if cal.Once {
		// net/http replays a request with an Idempotency-Key when it can rewind the body.
		req.GetBody = nil
	}
	return req, nil
}

// explain returns the cause of a cancelled context in place of the bare error.
func explain(ctx context.Context, err error) error {
	if cse := context.Cause(ctx); cse != nil && ctx.Err() != nil {
		return cse
	}
	return err
}

// body ends the call's context when it is closed.
type body struct {
	io.ReadCloser

	context context.Context
	end     func()
}

// Read reads the body; a retired connection fails with ErrRetired.
func (bdy *body) Read(buf []byte) (num int, err error) {
	num, err = bdy.ReadCloser.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		err = explain(bdy.context, err)
	}
	return num, err
}

// Close closes the body and ends the call.
func (bdy *body) Close() (err error) {
	err = bdy.ReadCloser.Close()
	bdy.end()
	return err
}
