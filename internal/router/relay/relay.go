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

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/strict"
)

// ErrRetired is the error of a request whose connection was retired by Retire.
var ErrRetired = errors.New("connection retired as silent")

const (
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream.
	maxIdlePerUpstream = 64
	idleTimeout        = 30 * time.Second
	probeTimeout       = time.Second
	healthPath         = "/health"
)

// Call is one request to an upstream.
type Call struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
	// AtMostOnce forbids net/http to replay the call, and sends it on a connection of its own.
	AtMostOnce bool
}

// Response is the response of an upstream. The caller must close its Body.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Relay sends calls to upstreams and keeps their connections. Its methods may be called concurrently.
type Relay struct {
	dialer *net.Dialer
	mut    sync.Mutex
	// sets holds the current connections by the address of the upstream.
	sets map[string]*connSet
}

// connSet is the set of connections to one upstream that were opened since the last retirement.
type connSet struct {
	transport *strict.RoundTripper
	// context is cancelled when the set is retired.
	context context.Context
	cancel  context.CancelCauseFunc
}

// New returns a Relay whose timeout for opening a connection is connect.
func New(connect time.Duration) *Relay {
	return &Relay{dialer: &net.Dialer{Timeout: connect}, sets: make(map[string]*connSet)}
}

// Send sends a call and returns when the header of the response has arrived. If sent is false, no
// connection was obtained, so nothing was sent.
func (rel *Relay) Send(ctx context.Context, ups router.Upstream, cal Call) (rsp *Response, sent bool, err error) {
	defer errs.Annotatef(&err, "send to %s", ups.Name)
	set := rel.connSet(ups.Address)
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(set.context, func() { cancel(context.Cause(set.context)) })
	release := func() {
		stop()
		cancel(nil)
	}
	var connected atomic.Bool
	trc := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trc), ups, cal)
	if err != nil {
		release()
		return nil, false, err
	}
	res, err := rel.transport(set, cal.AtMostOnce).RoundTrip(req)
	if err != nil {
		err = causeOf(ctx, err)
		release()
		return nil, connected.Load(), err
	}
	bdy := &body{ReadCloser: res.Body, context: ctx, release: release}
	return &Response{Status: res.StatusCode, Header: res.Header, Body: bdy}, true, nil
}

// Probe checks the health of an upstream on a new connection; it fails unless the upstream answers 200
// within a second.
func (rel *Relay) Probe(ctx context.Context, ups router.Upstream) (err error) {
	defer errs.Annotatef(&err, "probe %s", ups.Name)
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := newRequest(ctx, ups, Call{Method: http.MethodGet, Path: healthPath})
	if err != nil {
		return err
	}
	res, err := rel.singleUse().RoundTrip(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("health check answered status %d", res.StatusCode)
	}
	return nil
}

// Retire fails all requests in flight to an upstream with ErrRetired, also those on connections of their
// own, and closes the connections. Later requests open new ones.
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

// Close closes idle connections. Requests in flight continue.
func (rel *Relay) Close() {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	for _, set := range rel.sets {
		set.transport.CloseIdleConnections()
	}
}

// connSet returns the current connections to an address.
func (rel *Relay) connSet(address string) *connSet {
	rel.mut.Lock()
	defer rel.mut.Unlock()
	set := rel.sets[address]
	if set == nil {
		ctx, cancel := context.WithCancelCause(context.Background())
		set = &connSet{transport: rel.newTransport(true), context: ctx, cancel: cancel}
		rel.sets[address] = set
	}
	return set
}

// newTransport returns a transport that fails malformed responses, as package strict defines them.
func (rel *Relay) newTransport(keepAlive bool) *strict.RoundTripper {
	return strict.Transport(&http.Transport{
		DialContext:         rel.dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		DisableKeepAlives:   !keepAlive,
	})
}

// transport returns the transport of the set or, with atMostOnce, a new one for a single call.
func (rel *Relay) transport(set *connSet, atMostOnce bool) *strict.RoundTripper {
	if atMostOnce {
		return rel.singleUse()
	}
	return set.transport
}

// singleUse returns a transport that closes its connection after one call.
func (rel *Relay) singleUse() *strict.RoundTripper {
	return rel.newTransport(false)
}

func newRequest(ctx context.Context, ups router.Upstream, cal Call) (req *http.Request, err error) {
	req, err = http.NewRequestWithContext(ctx, cal.Method, strings.TrimSuffix(ups.Address, "/")+cal.Path, bytes.NewReader(cal.Body))
	if err != nil {
		return nil, err
	}
	if cal.Header != nil {
		req.Header = cal.Header.Clone()
	}
	if cal.AtMostOnce {
		// net/http replays a request with an Idempotency-Key when it can rewind the body.
		req.GetBody = nil
	}
	return req, nil
}

// causeOf returns the cause of the context if it was cancelled, otherwise err.
func causeOf(ctx context.Context, err error) error {
	if cse := context.Cause(ctx); cse != nil && ctx.Err() != nil {
		return cse
	}
	return err
}

// body is a response body whose Close also cancels the context of the call.
type body struct {
	io.ReadCloser

	context context.Context
	release func()
}

// Read reads from the body; it fails with ErrRetired if the connection was retired.
func (bdy *body) Read(buf []byte) (num int, err error) {
	num, err = bdy.ReadCloser.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		err = causeOf(bdy.context, err)
	}
	return num, err
}

// Close closes the body and cancels the context of the call.
func (bdy *body) Close() (err error) {
	err = bdy.ReadCloser.Close()
	bdy.release()
	return err
}
