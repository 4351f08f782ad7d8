package entry

import (
	"bytes"
	"net"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// WrapListener adds the outcome header to the error responses that net/http writes by itself, so
// that a caller whose request cannot be parsed also receives the outcome NotRun.
//
// net/http writes such a response before any handler is called, in one write that begins with the
// status line and serverErrorHeader.
func WrapListener(lis net.Listener) net.Listener {
	return listener{lis}
}

const serverErrorHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"

type listener struct{ net.Listener }

// Accept returns the next connection.
func (lis listener) Accept() (con net.Conn, err error) {
	con, err = lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: con}, nil
}

// conn adds the outcome header to error responses of net/http.
type conn struct{ net.Conn }

// Write returns the number of bytes of buf written, without the added header.
func (con *conn) Write(buf []byte) (num int, err error) {
	end := bytes.Index(buf, []byte("\r\n"))
	if end < 0 || !bytes.HasPrefix(buf, []byte("HTTP/1.1 ")) || !bytes.HasPrefix(buf[end:], []byte(serverErrorHeader)) {
		return con.Conn.Write(buf)
	}
	out := append([]byte(nil), buf[:end]...)
	out = append(out, "\r\n"+router.HeaderOutcome+": "+string(router.NotRun)...)
	if _, err := con.Conn.Write(append(out, buf[end:]...)); err != nil {
		return 0, err
	}
	return len(buf), nil
}
