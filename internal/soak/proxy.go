package soak

import (
	"net"
	"sync"
	"time"
)

// Mode defines how a Proxy treats its connections.
type Mode int

// The values of Mode.
const (
	// Pass forwards in both directions.
	Pass Mode = iota
	// Delay forwards each read after a delay.
	Delay
	// Reset resets open and new connections.
	Reset
	// OneWay drops what clients send and forwards what the target sends, until the client of the
	// connection sends anything: from then on the connection forwards nothing in either direction.
	OneWay
	// Blackhole drops all traffic of connections that are open or are opened in this mode. They
	// stay open and forward nothing in later modes either.
	Blackhole

	modeCount
)

// delayTime is the time by which Delay holds back each read.
const delayTime = 120 * time.Millisecond

// Proxy is a TCP proxy for one target address that injects faults.
type Proxy struct {
	listener net.Listener
	target   string

	mut   sync.Mutex
	mode  Mode
	conns map[*pair]bool
}

// pair is a connection from a client and the matching connection to the server at the target.
type pair struct {
	client, server net.Conn

	mut sync.Mutex
	// silent is set when the pair must forward nothing any more.
	silent bool
}

// NewProxy starts a proxy to the target on a free loopback port.
func NewProxy(target string) (prx *Proxy, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	prx = &Proxy{listener: lis, target: target, conns: make(map[*pair]bool)}
	go prx.acceptLoop()
	return prx, nil
}

// Address returns the address that the proxy listens on.
func (prx *Proxy) Address() string {
	return prx.listener.Addr().String()
}

// SetMode sets the mode, also for open connections.
func (prx *Proxy) SetMode(mod Mode) {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	prx.mode = mod
	for par := range prx.conns {
		switch mod {
		case Reset:
			par.reset()
		case Blackhole:
			par.silence()
		}
	}
}

// Close stops the proxy and resets its connections.
func (prx *Proxy) Close() {
	_ = prx.listener.Close()
	prx.SetMode(Reset)
}

func (prx *Proxy) currentMode() Mode {
	prx.mut.Lock()
	defer prx.mut.Unlock()
	return prx.mode
}

func (prx *Proxy) acceptLoop() {
	for {
		cli, err := prx.listener.Accept()
		if err != nil {
			return
		}
		go prx.serve(cli)
	}
}

func (prx *Proxy) serve(cli net.Conn) {
	srv, err := net.Dial("tcp", prx.target)
	if err != nil {
		_ = cli.Close()
		return
	}
	par := &pair{client: cli, server: srv}
	prx.mut.Lock()
	prx.conns[par] = true
	par.silent = prx.mode == Blackhole
	if prx.mode == Reset {
		par.reset()
	}
	prx.mut.Unlock()
	done := make(chan struct{}, 2)
	go prx.forward(par, srv, cli, true, done)
	go prx.forward(par, cli, srv, false, done)
	<-done
	_ = cli.Close()
	_ = srv.Close()
	prx.mut.Lock()
	delete(prx.conns, par)
	prx.mut.Unlock()
}

// forward copies one direction of a pair, subject to the mode, until a read or a write fails.
func (prx *Proxy) forward(par *pair, dst, src net.Conn, toServer bool, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		num, err := src.Read(buf)
		if num > 0 && !par.isSilent() {
			mod := prx.currentMode()
			if mod == Delay {
				time.Sleep(delayTime)
			}
			if mod == OneWay && toServer {
				// TCP delivers no bytes behind a gap, so nothing more is forwarded after dropped
				// bytes.
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

func (par *pair) isSilent() bool {
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
	for _, con := range []net.Conn{par.client, par.server} {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = con.Close()
	}
}
