package intake

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// The memory that a header takes: its text twice, once in a buffer, and for each line an entry of the map of net/http, 94 bytes of
// memory a line with the shortest fields (165 allocated), and one of the copy that is forwarded.
const (
	headerFactor = 2
	lineBytes    = 192
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn

	listener *Listener
	closing  sync.Once

	deadline sync.Mutex
	// bounded is set while reads have a deadline.
	bounded bool

	// All below is guarded by the lock of the listener.

	// since is when the connection was opened or its last request ended, and complete is set while it has a complete request.
	since    time.Time
	complete bool
	// active is set from the end of a header to the end of the request.
	active bool
	// begun is when the first byte of a header arrived; zero if none has or the header is complete.
	begun       time.Time
	headerBytes int
	// header is the memory of the header; nil before its first byte.
	header *Hold
}

// Read reads from the caller. Before the header is complete it counts what it reads, and waits for memory.
func (con *Conn) Read(buf []byte) (num int, err error) {
	num, err = con.Conn.Read(buf)
	if num == 0 {
		return num, err
	}
	hol, tooLong := con.count(num)
	if tooLong {
		con.refuse(ReasonHeaderBytes)
		return 0, con.readError(net.ErrClosed)
	}
	if hol == nil {
		return num, err
	}
	hol.Progress()
	lines := int64(bytes.Count(buf[:num], []byte("\n")))
	if gerr := hol.Grow(context.Background(), headerFactor*int64(num)+lineBytes*lines); gerr != nil {
		_ = con.Close()
		return 0, con.readError(gerr)
	}
	return num, err
}

// abortHeader closes the connection, unless the header has become complete since that was decided.
func (con *Conn) abortHeader() {
	lis := con.listener
	lis.mut.Lock()
	active := con.active
	if !active {
		delete(lis.conns, con)
	}
	lis.mut.Unlock()
	if !active {
		_ = con.Close()
	}
}

// readError returns an error that net/http takes for a failed connection, which gets no answer.
func (con *Conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: con.RemoteAddr(), Err: err}
}

// count counts bytes of a header and returns its memory, or nil if the bytes are not part of one.
func (con *Conn) count(num int) (hol *Hold, tooLong bool) {
	lis := con.listener
	lis.mut.Lock()
	defer lis.mut.Unlock()
	if con.active || !lis.conns[con] {
		return nil, false
	}
	if con.header == nil {
		con.header = lis.budget.Open(Request, -1, con.abortHeader)
	}
	if con.begun.IsZero() {
		con.begun = lis.options.Timers.Now()
	}
	con.headerBytes += num
	return con.header, con.headerBytes > MaxHeaderBytes+readAhead
}

// refuse closes the connection for a reason.
func (con *Conn) refuse(reason string) {
	_ = con.Close()
	con.listener.options.OnRefuse(reason)
}

// Close closes the connection and releases what it holds.
func (con *Conn) Close() (err error) {
	con.closing.Do(func() {
		lis := con.listener
		lis.mut.Lock()
		delete(lis.conns, con)
		hol := con.header
		con.header = nil
		lis.mut.Unlock()
		if hol != nil {
			hol.Release()
		}
	})
	return con.Conn.Close()
}

// SetReadDeadline sets the deadline of reads; zero is none.
func (con *Conn) SetReadDeadline(end time.Time) (err error) {
	con.deadline.Lock()
	defer con.deadline.Unlock()
	con.bounded = !end.IsZero()
	return con.Conn.SetReadDeadline(end)
}

// interruptRead ends reads if they have a deadline. net/http removes it at the end of a body, and reads on to notice that the
// caller leaves; an interrupt of that read would cancel a request that has arrived whole.
func (con *Conn) interruptRead() {
	con.deadline.Lock()
	defer con.deadline.Unlock()
	if con.bounded {
		_ = con.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseWrite closes the sending side, which net/http does before it closes a connection whose caller may still send.
func (con *Conn) CloseWrite() (err error) {
	if soc, ok := con.Conn.(interface{ CloseWrite() error }); ok {
		return soc.CloseWrite()
	}
	return nil
}
