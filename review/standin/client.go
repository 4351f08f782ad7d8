package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// result is how a request of a consumer ended.
type result struct {
	// status is the status of the answer; zero if not even its header arrived.
	status int
	signed bool
	// leaving is set if the answer says that the server is leaving.
	leaving bool
	body    string
	// kept is set if the channel had carried another request before.
	kept bool
	err  error
}

func (res result) String() string {
	if res.err != nil {
		return fmt.Sprintf("status=%d kept=%t, then %v", res.status, res.kept, res.err)
	}
	return fmt.Sprintf("%d signed=%t kept=%t body=%.60q", res.status, res.signed, res.kept, res.body)
}

// request is a request of a consumer.
type request struct {
	method, target, attempt string
	deadline                time.Duration
	header                  string
	body                    []byte
}

// head returns the bytes before the body.
func (req request) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n%sContent-Length: %d\r\n\r\n",
		req.method, req.target, host, req.attempt, req.deadline.Milliseconds(), apiKey, req.header, len(req.body))
}

// channels holds the idle channels of consumers to one address.
type channels struct {
	address string

	mut  sync.Mutex
	idle []*channel
}

// channel is a connection of a consumer.
type channel struct {
	net.Conn

	reader *bufio.Reader
	used   bool
	// idleSince is when the last answer was read.
	idleSince time.Time
}

// maxIdle is how long an idle channel is used again: four fifths of the limit in the manifest.
const maxIdle = 12 * time.Second

// send sends a request on an idle channel, or on a new one, and reads the answer until the consumer's time limit.
func (chs *channels) send(req request) (res result) {
	chn, err := chs.take()
	if err != nil {
		return result{err: err}
	}
	res.kept, chn.used = chn.used, true
	_ = chn.SetDeadline(time.Now().Add(req.deadline))
	_, err = io.WriteString(chn, req.head())
	if err == nil {
		_, err = chn.Write(req.body)
	}
	if err != nil {
		_ = chn.Close()
		res.err = err
		return res
	}
	rsp, err := http.ReadResponse(chn.reader, &http.Request{Method: req.method})
	if err != nil {
		_ = chn.Close()
		res.err = err
		return res
	}
	txt, err := io.ReadAll(rsp.Body)
	_ = rsp.Body.Close()
	res.status, res.body, res.err = rsp.StatusCode, string(txt), err
	res.signed, res.leaving = rsp.Header.Get("Server-Signature") != "", rsp.Header.Get("Server-Leaving") != ""
	if err != nil || rsp.Close {
		_ = chn.Close()
		return res
	}
	chs.mut.Lock()
	defer chs.mut.Unlock()
	chn.idleSince = time.Now()
	chs.idle = append(chs.idle, chn)
	return res
}

// hasIdle reports whether there is an idle channel.
func (chs *channels) hasIdle() bool {
	chs.mut.Lock()
	defer chs.mut.Unlock()
	chs.dropOld()
	return len(chs.idle) > 0
}

// dropOld closes the channels that have been idle for too long; the lock is held.
func (chs *channels) dropOld() {
	for len(chs.idle) > 0 && time.Since(chs.idle[0].idleSince) > maxIdle {
		_ = chs.idle[0].Close()
		chs.idle = chs.idle[1:]
	}
}

// take returns the idle channel that was used last, or a new one.
func (chs *channels) take() (chn *channel, err error) {
	chs.mut.Lock()
	chs.dropOld()
	if num := len(chs.idle); num > 0 {
		chn = chs.idle[num-1]
		chs.idle = chs.idle[:num-1]
	}
	chs.mut.Unlock()
	if chn != nil {
		return chn, nil
	}
	con, err := net.DialTimeout("tcp", chs.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: con, reader: bufio.NewReader(con)}, nil
}
