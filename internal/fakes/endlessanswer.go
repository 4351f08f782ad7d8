package fakes

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// EndlessAnswer is an HTTP handler of an upstream in trouble, which answers with bytes without end. It writes them to the connection
// itself, so that they need not be a response.
type EndlessAnswer struct {
	// Start is the begin of the answer.
	Start string
	// Text follows again and again.
	Text string
	// Fast is the number of bytes on a connection that are sent as fast as they are read. After these, a byte follows now and then.
	Fast int64
	// Delay is the time from the end of a request to its answer. It lets many requests wait, so that their answers come at once.
	Delay time.Duration
	// Sent is the number of bytes sent on all connections, without Start.
	Sent atomic.Int64
}

const (
	// slowInterval is the time between two bytes after the fast ones.
	slowInterval = 100 * time.Millisecond
	// endlessPiece is the number of bytes that are written at once.
	endlessPiece = 16 << 10
)

// ServeHTTP answers until the client closes the connection.
func (end *EndlessAnswer) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	end.Answer(wri, req, end.Start)
}

// Answer is ServeHTTP with another start.
func (end *EndlessAnswer) Answer(wri http.ResponseWriter, req *http.Request, start string) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	soc, _, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = soc.Close() }()
	time.Sleep(end.Delay)
	if _, err := io.WriteString(soc, start); err != nil {
		return
	}
	text := []byte(strings.Repeat(end.Text, max(1, endlessPiece/len(end.Text))))
	for sent := int64(0); sent < end.Fast; {
		num, err := soc.Write(text[:min(int64(len(text)), end.Fast-sent)])
		sent += int64(num)
		end.Sent.Add(int64(num))
		if err != nil {
			return
		}
	}
	for num := 0; ; num++ {
		time.Sleep(slowInterval)
		if _, err := soc.Write(text[num%len(text):][:1]); err != nil {
			return
		}
	}
}
