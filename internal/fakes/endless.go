package fakes

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// EndlessServer is an upstream that starts an answer to each request and then repeats a text without end, until the
// connection is closed or it has sent a limit of bytes.
type EndlessServer struct {
	Address string
	// Sent is the number of repeated bytes sent on all connections.
	Sent atomic.Int64
}

// NewEndlessServer starts an upstream, which is closed when the test ends. It sends start once and then text repeatedly,
// up to limit bytes in all.
func NewEndlessServer(t testing.TB, start, text string, limit int64) *EndlessServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	srv := &EndlessServer{Address: lis.Addr().String()}
	go func() {
		for {
			soc, err := lis.Accept()
			if err != nil {
				return
			}
			go srv.serve(soc, start, text, limit)
		}
	}()
	return srv
}

func (srv *EndlessServer) serve(soc net.Conn, start, text string, limit int64) {
	defer func() { _ = soc.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(soc)); err != nil {
		return
	}
	if _, err := soc.Write([]byte(start)); err != nil {
		return
	}
	for srv.Sent.Load() < limit {
		num, err := soc.Write([]byte(text))
		srv.Sent.Add(int64(num))
		if err != nil {
			return
		}
	}
}
