package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

const (
	readBuffer  = 2 << 10
	writeBuffer = 32 << 10
	// longBody is the size from which a body is written while the answer is awaited, because an upstream may answer before it has read it.
	longBody = 16 << 10
)

// writers holds buffers for requests.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// Request is what is sent on a connection.
type Request struct {
	Method string
	Host   string
	// Target is the request target as it goes on the wire.
	Target string
	Header http.Header
	Body   []byte
}

// Conn is a connection to an upstream, for one exchange at a time.
type Conn struct {
	// Reused is set when the connection served another exchange before.
	Reused bool

	pool   *Pool
	socket net.Conn
	reader *bufio.Reader
	since  time.Time
	keep   time.Duration
	// cancel stops watching the context of the exchange.
	cancel func() bool
	// written is closed once the request is written; nil when it was written before the answer was read.
	written chan struct{}
	failed  error
}

func newConn(pol *Pool, soc net.Conn) *Conn {
	return &Conn{pool: pol, socket: soc, reader: bufio.NewReaderSize(soc, readBuffer), keep: idleMost}
}

// Send sends a request and returns the head of the answer; the connection closes when the context ends.
//
// After an error the upstream may have received the request. The caller reads
// the body of the answer and then calls Finish, or calls Close.
func (con *Conn) Send(ctx context.Context, req Request) (rsp *http.Response, err error) {
	defer fault.Annotate(&err, "exchange")
	con.cancel = context.AfterFunc(ctx, func() { _ = con.socket.Close() })
	out := con.request(req)
	con.written = nil
	if len(req.Body) > longBody {
		con.written = make(chan struct{})
		go func() {
			con.failed = con.write(out)
			close(con.written)
		}()
	} else if err := con.write(out); err != nil {
		return nil, err
	}
	for {
		rsp, err = http.ReadResponse(con.reader, out)
		if err != nil {
			return nil, err
		}
		if rsp.StatusCode >= http.StatusOK {
			return rsp, nil
		}
		if rsp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("upstream switched protocols")
		}
	}
}

// Finish returns the connection to its pool, if the answer was read to its end and nothing follows it.
func (con *Conn) Finish(rsp *http.Response) {
	clean := con.cancel() && !rsp.Close && framed(rsp) && con.reader.Buffered() == 0 && con.wrote()
	if !clean {
		_ = con.socket.Close()
		return
	}
	con.keep = keepAlive(rsp.Header)
	con.pool.put(con)
}

// Close ends the connection; the upstream stops working on the request.
func (con *Conn) Close() {
	if con.cancel != nil {
		con.cancel()
	}
	_ = con.socket.Close()
}

func (con *Conn) request(req Request) *http.Request {
	adr := &url.URL{Opaque: req.Target}
	if strings.HasPrefix(req.Target, "//") {
		// The library takes such an opaque target for a reference to a host.
		adr = &url.URL{Path: req.Target}
	}
	out := &http.Request{Method: req.Method, Host: req.Host, URL: adr, Header: req.Header, ProtoMajor: 1, ProtoMinor: 1}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
		out.ContentLength = int64(len(req.Body))
	}
	return out
}

func (con *Conn) write(out *http.Request) (err error) {
	wri, _ := writers.Get().(*bufio.Writer)
	wri.Reset(con.socket)
	defer func() {
		wri.Reset(nil)
		writers.Put(wri)
	}()
	if err := out.Write(wri); err != nil {
		return err
	}
	return wri.Flush()
}

// wrote reports whether the whole request was written.
func (con *Conn) wrote() bool {
	if con.written == nil {
		return true
	}
	select {
	case <-con.written:
		return con.failed == nil
	default:
		return false
	}
}

// quiet reports whether an idle connection is open and has received nothing.
func (con *Conn) quiet() (ok bool) {
	raw, err := con.socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Read(func(des uintptr) bool {
		var one [1]byte
		_, rerr := syscall.Read(int(des), one[:])
		ok = rerr == syscall.EAGAIN
		return true
	})
	return ok && err == nil
}

// framed reports whether the end of the answer is marked by something else than the end of the connection.
func framed(rsp *http.Response) bool {
	return rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0
}

// keepAlive returns how long the upstream lets the connection be idle.
func keepAlive(hdr http.Header) time.Duration {
	for _, itm := range strings.Split(hdr.Get("Keep-Alive"), ",") {
		nam, val, fnd := strings.Cut(strings.TrimSpace(itm), "=")
		if !fnd || !strings.EqualFold(nam, "timeout") {
			continue
		}
		num, err := strconv.Atoi(val)
		if err != nil {
			return idleMost
		}
		return max(0, time.Duration(num)*time.Second-idleMargin)
	}
	return idleMost
}
