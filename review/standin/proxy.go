package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// proxy is a TCP proxy that can hold back all bytes for some time, as a network partition does that heals before the ends give up.
type proxy struct {
	target   string
	listener net.Listener
	// onSend is called with what the client sends, before it is forwarded; nil means nothing.
	onSend func(txt []byte)

	mut       sync.Mutex
	heldUntil time.Time
}

func newProxy(target string) (prx *proxy, err error) {
	prx = &proxy{target: target}
	if prx.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	go prx.accept()
	return prx, nil
}

func (prx *proxy) address() string {
	return prx.listener.Addr().String()
}

// hold delivers bytes, in both directions and in order, no sooner than the given time.
func (prx *proxy) hold(until time.Time) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	prx.heldUntil = until
}

func (prx *proxy) accept() {
	for {
		cli, err := prx.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			prx.wait()
			srv, err := net.Dial("tcp", prx.target)
			if err != nil {
				_ = cli.Close()
				return
			}
			go prx.forward(cli, srv, prx.onSend)
			prx.forward(srv, cli, nil)
		}()
	}
}

// wait waits until bytes may be delivered.
func (prx *proxy) wait() {
	for {
		prx.mut.Lock()
		left := time.Until(prx.heldUntil)
		prx.mut.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (prx *proxy) forward(src, dst net.Conn, onSend func(txt []byte)) {
	defer func() {
		_ = src.Close()
		_ = dst.Close()
	}()
	buf := make([]byte, 64<<10)
	for {
		num, err := src.Read(buf)
		if num > 0 {
			prx.wait()
			if _, err := dst.Write(buf[:num]); err != nil {
				return
			}
			if onSend != nil {
				onSend(bytes.Clone(buf[:num]))
			}
		}
		if err != nil {
			return
		}
	}
}
