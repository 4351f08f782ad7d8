package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// runHalfClose lets consumers close their sending side after the request and wait for the answer.
func runHalfClose(dep *deployment, trouble bool) (broken bool, err error) {
	if err := addTradeServers(dep); err != nil {
		return false, err
	}
	for _, srv := range dep.servers {
		srv.work = 300 * time.Millisecond
	}
	dep.store.set("op", "config", config(1))
	if err := dep.startNodes(func(string) string { return dep.storeAddr }); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for _, nod := range dep.nodes {
		req := order("half-" + nod.name)
		con, err := net.Dial("tcp", nod.front)
		if err != nil {
			return false, err
		}
		_ = con.SetDeadline(time.Now().Add(req.deadline))
		_, _ = io.WriteString(con, req.head()+string(req.body))
		time.Sleep(100 * time.Millisecond)
		if tcp, ok := con.(*net.TCPConn); ok && trouble {
			_ = tcp.CloseWrite()
		}
		rsp, err := http.ReadResponse(bufio.NewReader(con), nil)
		if err != nil {
			dep.rec.add("request %s: %v", req.attempt, err)
			_ = con.Close()
			continue
		}
		signed := rsp.Header.Get("Server-Signature") != ""
		dep.rec.add("request %s: status %d, signed=%t", req.attempt, rsp.StatusCode, signed)
		broken = broken || rsp.StatusCode/100 == 2 && !signed
		_ = rsp.Body.Close()
		_ = con.Close()
	}
	if broken {
		dep.rec.add("MIXED: consumers got a success without the server's signature")
	}
	return broken, nil
}
