package entry

import (
	"bytes"
	"net"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Listen wraps a listener so that callers whose requests net/http cannot read
// are told that nothing was run.
//
// The server answers such requests by itself, before any handler sees them, in
// one write that begins with the status line and plainHeader.
func Listen(lis net.Listener) net.Listener {
	return listener{lis}
}

const plainHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"

type listener struct{ net.Listener }

// Accept returns the next connection.
func (lis listener) Accept() (con net.Conn, err error) {
	con, err = lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: con}, nil
}

// conn adds the outcome to the server's own refusals.
type conn struct{ net.Conn }

// Write writes to the caller and reports the length of what it was given.
func (con *conn) Write(buf []byte) (num int, err error) {
	end := bytes.Index(buf, []byte("\r\n"))
	if end < 0 || !bytes.HasPrefix(buf, []byte("HTTP/1.1 ")) || !bytes.HasPrefix(buf[end:], []byte(plainHeader)) {
		return con.Conn.Write(buf)
	}
	out := append([]byte(nil), buf[:end]...)
	out = append(out, "\r\n"+router.HeaderOutcome+": "+string(router.NotRun)...)
	if _, err := con.Conn.Write(append(out, buf[end:]...)); err != nil {
		return 0, err
	}
	return len(buf), nil
}
