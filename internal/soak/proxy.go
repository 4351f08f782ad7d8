package soak

import (
	"net"
	"sync"
	"time"
)

// Mode is what a Proxy does to connections.
type Mode int

// The values of Mode.
const (
	// Pass forwards both ways.
	Pass Mode = iota
	// Delay forwards after a pause.
	Delay
	// Reset resets open connections and new ones.
	Reset
	// OneWay forwards answers only.
	OneWay
	// Silence forwards nothing on connections that are open or opened meanwhile, and never again.
	Silence

	modes
)

// delay is the pause of Delay.
const delay = 120 * time.Millisecond

// Proxy stands before one address.
type Proxy struct {
	listener net.Listener
	target   string

	mut   sync.Mutex
	mode  Mode
	conns map[*pair]bool
}

// pair is a connection and its continuation.
type pair struct {
	front, back net.Conn

	mut    sync.Mutex
	silent bool
}

// NewProxy returns a running proxy on a free loopback port.
func NewProxy(target string) (prx *Proxy, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx = &Proxy{listener: lis, target: target, conns: make(map[*pair]bool)}
	go prx.run()
	return prx, nil
}

// Address returns where the proxy listens.
func (prx *Proxy) Address() string {
	return prx.listener.Addr().String()
}

// Set changes the mode, for open connections too.
func (prx *Proxy) Set(mod Mode) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	prx.mode = mod
	for par := range prx.conns {
		switch mod {
		case Reset:
			par.reset()
		case Silence:
			par.silence()
		}
	}
}

// Close ends the proxy and its connections.
func (prx *Proxy) Close() {
	_ = prx.listener.Close()
	prx.Set(Reset)
}

func (prx *Proxy) current() Mode {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	return prx.mode
}

func (prx *Proxy) run() {
	for {
		frn, err := prx.listener.Accept()
		if err != nil {
			return
		}
		go prx.serve(frn)
	}
}

func (prx *Proxy) serve(frn net.Conn) {
	bck, err := net.Dial("tcp", prx.target)
	if err != nil {
		_ = frn.Close()
		return
	}
	par := &pair{front: frn, back: bck}
	prx.mut.Lock()
	prx.conns[par] = true
	par.silent = prx.mode == Silence
	if prx.mode == Reset {
		par.reset()
	}
	prx.mut.Unlock()
	done := make(chan struct{}, 2)
	go prx.copy(par, bck, frn, true, done)
	go prx.copy(par, frn, bck, false, done)
	<-done
	_ = frn.Close()
	_ = bck.Close()
	prx.mut.Lock()
	delete(prx.conns, par)
	prx.mut.Unlock()
}

// copy forwards one way as long as the mode allows it.
func (prx *Proxy) copy(par *pair, dst, src net.Conn, forth bool, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		num, err := src.Read(buf)
		if num > 0 && !par.quiet() {
			mod := prx.current()
			if mod == Delay {
				time.Sleep(delay)
			}
			if mod == OneWay && forth {
				// Bytes that were lost never come later, so nothing behind them may.
				par.silence()
				continue
			}
			if _, err := dst.Write(buf[:num]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (par *pair) quiet() bool {
	par.mut.Lock()
	defer par.mut.Unlock()
	return par.silent
}

func (par *pair) silence() {
	par.mut.Lock()
	defer par.mut.Unlock()
	par.silent = true
}

func (par *pair) reset() {
	for _, con := range []net.Conn{par.front, par.back} {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = con.Close()
	}
}
