package strict

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// socket is a connection whose reads report a reset that the system reported to a write.
type socket struct {
	net.Conn

	// readDecides is set if a write of a request that has begun does not report the end of the connection. The response may have
	// arrived before, and http.Transport closes a connection whose write failed, so that it could not be read any more. A read gets
	// the response and then the end.
	readDecides bool

	// writeMut is held while a write is in progress; writeErr is the first error of one.
	writeMut sync.Mutex
	writeErr error
	// begun is set once bytes of the current request were written.
	begun bool
}

// begin begins a request.
func (soc *socket) begin() {
	soc.writeMut.Lock()
	defer soc.writeMut.Unlock()
	soc.begun = false
}

// Read implements io.Reader.
func (soc *socket) Read(buf []byte) (num int, err error) {
	num, err = soc.Conn.Read(buf)
	if errors.Is(err, io.EOF) {
		err = soc.endError()
	}
	return num, err
}

// Write implements io.Writer.
func (soc *socket) Write(buf []byte) (num int, err error) {
	soc.writeMut.Lock()
	defer soc.writeMut.Unlock()
	num, err = soc.Conn.Write(buf)
	if soc.writeErr == nil {
		soc.writeErr = err
	}
	var ended syscall.Errno
	if soc.readDecides && soc.begun && errors.As(err, &ended) {
		return len(buf), nil
	}
	soc.begun = soc.begun || num > 0
	return num, err
}

// endError returns the error of a read that found the end of the stream: io.EOF if the peer closed its side, or else how the connection
// ended. The system reports a reset or a timeout once. If that was to a write, a read finds the end of the stream without any error.
//
// A write in progress is ended: nobody needs the rest of a request after the end of its response.
func (soc *socket) endError() error {
	_ = soc.SetWriteDeadline(time.Unix(0, 1))
	soc.writeMut.Lock()
	defer soc.writeMut.Unlock()
	// After the peer closed its side, the system reports a reset to a write as EPIPE.
	if soc.writeErr == nil || errors.Is(soc.writeErr, os.ErrDeadlineExceeded) || errors.Is(soc.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return soc.writeErr
}

// SyscallConn implements syscall.Conn if the underlying connection does.
func (soc *socket) SyscallConn() (raw syscall.RawConn, err error) {
	return syscallConn(soc.Conn)
}
