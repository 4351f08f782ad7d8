package fakes

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Repetition is an answer of an upstream in trouble: Start is sent once and then Text again and again, up to Limit bytes in
// all, and End if the limit is reached.
type Repetition struct {
	Start, Text, End string
	// Limit is in bytes of Text, over all connections.
	Limit int64
	// Pause is the time between two repetitions of Text.
	Pause time.Duration
}

// EndlessServer is an upstream that answers each request with a Repetition.
type EndlessServer struct {
	Address string

	repetition Repetition
	// Sent is the number of repeated bytes sent on all connections.
	Sent atomic.Int64
}

// NewEndlessServer starts an upstream, which is closed when the test ends.
func NewEndlessServer(t testing.TB, rep Repetition) *EndlessServer {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	srv := &EndlessServer{Address: lis.Addr().String(), repetition: rep}
	go func() {
		for {
			soc, err := lis.Accept()
			if err != nil {
				return
			}
			go srv.serve(soc)
		}
	}()
	return srv
}

func (srv *EndlessServer) serve(soc net.Conn) {
	defer func() { _ = soc.Close() }()
	rep := srv.repetition
	if _, err := http.ReadRequest(bufio.NewReader(soc)); err != nil {
		return
	}
	if _, err := soc.Write([]byte(rep.Start)); err != nil {
		return
	}
	for srv.Sent.Load() < rep.Limit {
		num, err := soc.Write([]byte(rep.Text))
		srv.Sent.Add(int64(num))
		if err != nil {
			return
		}
		time.Sleep(rep.Pause)
	}
	_, _ = soc.Write([]byte(rep.End))
}
