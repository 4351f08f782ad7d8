package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Result is what a client saw of a request.
type Result struct {
	ID, Path, Body string
	Node           string
	Kept           bool
	Sent, Ended    time.Time
	// Status is zero if the channel ended without an answer.
	Status   int
	Header   http.Header
	Answer   string
	Complete bool
	Err      error
}

// Client sends requests to a node on a channel that it keeps.
type Client struct {
	rec     *Recorder
	address string
	node    string

	mut  sync.Mutex
	con  net.Conn
	rdr  *bufio.Reader
	used bool
}

// Request is what a client sends.
type Request struct {
	ID, Method, Path, Key, Body string
	Header                      string
	Deadline                    time.Duration
	// Slow, if it is set, is the pause after each kilobyte that the client reads of the answer.
	Slow time.Duration
}

// Do sends a request and reads its answer.
func (cli *Client) Do(ctx context.Context, req Request) (res Result) {
	if req.Method == "" {
		req.Method = http.MethodPost
	}
	if req.Deadline == 0 {
		req.Deadline = 5 * time.Second
	}
	res = Result{ID: req.ID, Path: req.Path, Body: req.Body, Node: cli.node}
	defer func() {
		res.Ended = time.Now()
		cli.rec.Line("answer %s from %s: %d complete %t outcome %s bytes %d %v", res.ID, cli.node, res.Status, res.Complete, res.Header.Get("Hornbeamdyke-Outcome"), len(res.Answer), res.Err)
	}()
	res.Sent = time.Now()
	if cli.con == nil {
		con, err := net.DialTimeout("tcp", cli.address, time.Second)
		if err != nil {
			res.Err = err
			return res
		}
		cli.con, cli.rdr, cli.used = con, bufio.NewReader(con), false
	}
	res.Kept = cli.used
	cli.used = true
	con := cli.con
	stop := context.AfterFunc(ctx, func() { _ = con.Close() })
	defer stop()
	_ = con.SetDeadline(time.Now().Add(req.Deadline))
	cli.rec.Line("send %s to %s %s", res.ID, cli.node, req.Path)
	txt := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: %d\r\n%s", req.Method, req.Path, Host, req.ID, req.Key,
		req.Deadline.Milliseconds(), req.Header)
	if req.Method == http.MethodPost {
		txt += fmt.Sprintf("Content-Length: %d\r\n", len(req.Body))
	}
	if _, err := io.WriteString(con, txt+"\r\n"+req.Body); err != nil {
		res.Err = err
		cli.Close()
		return res
	}
	rsp, err := http.ReadResponse(cli.rdr, &http.Request{Method: req.Method})
	if err != nil {
		res.Err = err
		cli.Close()
		return res
	}
	res.Status, res.Header = rsp.StatusCode, rsp.Header
	var src io.Reader = rsp.Body
	if req.Slow > 0 {
		src = &slowReader{source: rsp.Body, pause: req.Slow}
	}
	body, err := io.ReadAll(src)
	res.Answer, res.Complete, res.Err = string(body), err == nil, err
	if err != nil || rsp.Close {
		cli.Close()
	}
	return res
}

// Close closes the channel.
func (cli *Client) Close() {
	if cli.con != nil {
		_ = cli.con.Close()
		cli.con = nil
	}
}

type slowReader struct {
	source io.Reader
	pause  time.Duration
}

func (slo *slowReader) Read(buf []byte) (int, error) {
	time.Sleep(slo.pause)
	return slo.source.Read(buf[:min(len(buf), 1024)])
}
