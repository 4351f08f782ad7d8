package main

import (
	"net"
	"sync"
	"time"
)

// ProxyMode is how a proxy treats its channels.
type ProxyMode int

// The values of ProxyMode.
const (
	// ProxyPass forwards.
	ProxyPass ProxyMode = iota
	// ProxyCut forwards nothing, also on channels that are open; they stay silent afterwards.
	ProxyCut
	// ProxyReset resets channels.
	ProxyReset
	// ProxyHold holds bytes back until the mode changes.
	ProxyHold
)

// Proxy is a TCP proxy on loopback.
type Proxy struct {
	listener net.Listener
	target   string

	mut   sync.Mutex
	mode  ProxyMode
	delay time.Duration
	pairs map[*proxyPair]bool
}

type proxyPair struct {
	one, two net.Conn
	mut      sync.Mutex
	silent   bool
}

// NewProxy starts a proxy to a target.
func NewProxy(target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx := &Proxy{listener: lis, target: target, pairs: make(map[*proxyPair]bool)}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go prx.serve(con)
		}
	}()
	return prx, nil
}

// Address returns where the proxy listens.
func (prx *Proxy) Address() string { return prx.listener.Addr().String() }

// Set sets the mode.
func (prx *Proxy) Set(mode ProxyMode) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	prx.mode = mode
	for par := range prx.pairs {
		switch mode {
		case ProxyReset:
			reset(par.one)
			reset(par.two)
		case ProxyCut:
			par.mut.Lock()
			par.silent = true
			par.mut.Unlock()
		}
	}
}

// SetDelay sets how long each piece is held back.
func (prx *Proxy) SetDelay(delay time.Duration) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	prx.delay = delay
}

func (prx *Proxy) state() (ProxyMode, time.Duration) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	return prx.mode, prx.delay
}

func (prx *Proxy) serve(con net.Conn) {
	mode, _ := prx.state()
	if mode == ProxyReset {
		reset(con)
		return
	}
	srv, err := net.Dial("tcp", prx.target)
	if err != nil {
		reset(con)
		return
	}
	par := &proxyPair{one: con, two: srv, silent: mode == ProxyCut}
	prx.mut.Lock()
	prx.pairs[par] = true
	prx.mut.Unlock()
	done := make(chan struct{}, 2)
	go prx.forward(par, con, srv, done)
	go prx.forward(par, srv, con, done)
	<-done
	_ = con.Close()
	_ = srv.Close()
	prx.mut.Lock()
	delete(prx.pairs, par)
	prx.mut.Unlock()
}

func (prx *Proxy) forward(par *proxyPair, dst, src net.Conn, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		num, err := src.Read(buf)
		for {
			mode, delay := prx.state()
			if mode != ProxyHold {
				time.Sleep(delay)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		par.mut.Lock()
		silent := par.silent
		par.mut.Unlock()
		if num > 0 && !silent {
			if _, err := dst.Write(buf[:num]); err != nil {
				return
			}
		}
		if err != nil && silent {
			time.Sleep(time.Minute)
		}
		if err != nil {
			return
		}
	}
}

// Close ends the proxy.
func (prx *Proxy) Close() {
	_ = prx.listener.Close()
	prx.Set(ProxyReset)
}
