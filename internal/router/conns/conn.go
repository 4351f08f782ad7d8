package conns

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/strict"
)

const (
	readBuffer  = 2 << 10
	writeBuffer = 32 << 10
	// asyncBodyBytes is the body size above which the request is written concurrently with reading the response,
	// because an upstream may respond before it has read the whole body.
	asyncBodyBytes = 16 << 10
)

// writers is a pool of buffered writers for requests.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// Request is an HTTP request to be sent on a Conn.
type Request struct {
	Method string
	Host   string
	// Target is the request target of the request line, sent unchanged.
	Target string
	Header http.Header
	Body   []byte
	// ReserveHead reserves memory for a long head of the response, see strict.Conn.Begin; it may be nil.
	ReserveHead func(num int) error
}

// Conn is a connection to an upstream. It serves one exchange, a request and its response, at a time.
type Conn struct {
	// Reused is set when the connection served another exchange before.
	Reused bool

	pool        *Pool
	socket      *strict.Conn
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration
	// stopWatch stops watching the context of the exchange; it reports false if the context has ended.
	stopWatch func() bool
	// writeDone is closed once the request is written, with the result in writeErr; it is nil if the request was
	// written before the response was read.
	writeDone chan struct{}
	writeErr  error
}

func newConn(pol *Pool, soc net.Conn) *Conn {
	con := strict.NewConn(soc)
	return &Conn{pool: pol, socket: con, reader: bufio.NewReaderSize(con, readBuffer), idleTimeout: defaultIdleTimeout}
}

// Send sends a request and returns the response with its body unread; informational responses are skipped. A malformed response,
// as package strict defines it, is an error.
// The connection is closed when the context ends.
//
// After an error the upstream may have received the request, unless it is a *NotWrittenError. The caller either reads the
// body of the response and then calls Release, or calls Close.
func (con *Conn) Send(ctx context.Context, req Request) (rsp *http.Response, err error) {
	defer errs.Annotate(&err, "exchange")
	con.stopWatch = context.AfterFunc(ctx, func() { _ = con.socket.Close() })
	con.writeDone = nil
	con.socket.Begin(req.ReserveHead)
	if len(req.Body) > asyncBodyBytes {
		con.writeDone = make(chan struct{})
		go func() {
			con.writeErr = con.write(req)
			close(con.writeDone)
		}()
	} else if err := con.write(req); err != nil {
		return nil, &NotWrittenError{cause: err}
	}
	out := &http.Request{Method: req.Method}
	for {
		rsp, err = http.ReadResponse(con.reader, out)
		if err != nil {
			return nil, err
		}
		if rsp.StatusCode >= http.StatusOK {
			rsp.Body = strict.Body(rsp)
			return rsp, nil
		}
	}
}

// NotWrittenError reports that a request was not written whole, so that its upstream cannot have begun to execute it.
type NotWrittenError struct{ cause error }

// Error returns the cause.
func (err *NotWrittenError) Error() string { return err.cause.Error() }

// Unwrap returns the cause.
func (err *NotWrittenError) Unwrap() error { return err.cause }

// Release returns the connection to its pool if it can be reused, and otherwise closes it. It can be reused if the
// response was read to its end, no data follows it, and the request was written whole.
func (con *Conn) Release(rsp *http.Response) {
	reusable := con.stopWatch() && !rsp.Close && Delimited(rsp) && con.reader.Buffered() == 0 && con.RequestWritten()
	if !reusable {
		_ = con.socket.Close()
		return
	}
	con.idleTimeout = keepAliveTimeout(rsp.Header)
	con.pool.putIdle(con)
}

// Buffered returns the number of bytes that were received and not read yet.
func (con *Conn) Buffered() int {
	return con.reader.Buffered()
}

// Close closes the connection, which cancels the request at the upstream.
func (con *Conn) Close() {
	if con.stopWatch != nil {
		con.stopWatch()
	}
	_ = con.socket.Close()
}

// ownFields are the header fields that write sets itself, and ownFieldsAndAgent also has that of the agent, which is left out if it
// is empty.
var (
	ownFields         = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}
	ownFieldsAndAgent = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "User-Agent": true}
)

// write writes a request. http.Request.Write would change some targets, such as those that begin with two slashes.
func (con *Conn) write(req Request) (err error) {
	if strings.ContainsAny(req.Method+req.Target+req.Host, " \r\n") {
		return errors.New("invalid request line or host")
	}
	wri, _ := writers.Get().(*bufio.Writer)
	wri.Reset(con.socket)
	defer func() {
		wri.Reset(nil)
		writers.Put(wri)
	}()
	// The writer keeps its first error until Flush.
	_, _ = wri.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		_, _ = wri.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	exclude := ownFields
	if req.Header.Get("User-Agent") == "" {
		exclude = ownFieldsAndAgent
	}
	if err := req.Header.WriteSubset(wri, exclude); err != nil {
		return err
	}
	_, _ = wri.WriteString("\r\n")
	_, _ = wri.Write(req.Body)
	return wri.Flush()
}

// RequestWritten reports whether the whole request was written.
func (con *Conn) RequestWritten() bool {
	if con.writeDone == nil {
		return true
	}
	select {
	case <-con.writeDone:
		return con.writeErr == nil
	default:
		return false
	}
}

// isOpen reports whether an idle connection is open and has received no data. It reads without blocking: data or
// an end of stream on an idle connection make it unusable.
func (con *Conn) isOpen() (ok bool) {
	raw, err := con.socket.SyscallConn()
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

// Delimited reports whether the end of the response is marked by a length or by chunks, rather than by the end of
// the connection.
func Delimited(rsp *http.Response) bool {
	return rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0
}

// keepAliveTimeout returns how long a connection may be idle: the timeout of the upstream's Keep-Alive header less
// idleMargin, or defaultIdleTimeout if there is none.
func keepAliveTimeout(hdr http.Header) time.Duration {
	for _, itm := range strings.Split(hdr.Get("Keep-Alive"), ",") {
		nam, val, fnd := strings.Cut(strings.TrimSpace(itm), "=")
		if !fnd || !strings.EqualFold(nam, "timeout") {
			continue
		}
		num, err := strconv.Atoi(val)
		if err != nil {
			return defaultIdleTimeout
		}
		return max(0, time.Duration(num)*time.Second-idleMargin)
	}
	return defaultIdleTimeout
}
