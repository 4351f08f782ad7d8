package strict

import (
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Conn is a connection of an HTTP/1 client whose reads fail if the head of a response is malformed, or if the connection ended
// other than in order. One goroutine may read while another one writes.
type Conn struct {
	net.Conn

	headMut sync.Mutex
	head    headCheck
	// broken is the defect that was found; every later Read returns it.
	broken error
}

// NewConn returns a Conn on a socket. It checks no head until Begin is called.
func NewConn(soc net.Conn) *Conn {
	return &Conn{Conn: &socket{Conn: soc}}
}

// Begin expects the head of a response, or several if informational responses come first. It is called before the request is
// written.
//
// A Read calls reserve, unless it is nil, before it returns bytes of a long head for which about num more bytes of memory are needed, and
// fails with its error.
func (con *Conn) Begin(reserve func(num int) error) {
	if soc, ok := con.Conn.(*socket); ok {
		soc.begin()
	}
	con.headMut.Lock()
	defer con.headMut.Unlock()
	con.head = headCheck{active: true, reserve: reserve}
}

// Read implements io.Reader. It returns the bytes before the defect of a malformed head, and then a *MalformedError
// or the error of reserve.
func (con *Conn) Read(buf []byte) (num int, err error) {
	if err := con.defect(); err != nil {
		return 0, err
	}
	num, err = con.Conn.Read(buf)
	con.headMut.Lock()
	defer con.headMut.Unlock()
	sound, bad := con.head.check(buf[:num])
	if bad == nil {
		return num, err
	}
	con.broken = bad
	if sound == 0 {
		return 0, bad
	}
	return sound, nil
}

func (con *Conn) defect() error {
	con.headMut.Lock()
	defer con.headMut.Unlock()
	return con.broken
}

// SyscallConn implements syscall.Conn if the underlying connection does.
func (con *Conn) SyscallConn() (raw syscall.RawConn, err error) {
	return syscallConn(con.Conn)
}

func syscallConn(con net.Conn) (raw syscall.RawConn, err error) {
	soc, ok := con.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("%T has no descriptor", con)
	}
	return soc.SyscallConn()
}
