package send_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// startBounded starts an upstream that resets connections beyond a number, and returns its address.
func startBounded(t *testing.T, connections int, work time.Duration) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	var open atomic.Int64
	go func() {
		for {
			soc, err := lis.Accept()
			if err != nil {
				return
			}
			if open.Add(1) > int64(connections) {
				open.Add(-1)
				if tcp, ok := soc.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = soc.Close()
				continue
			}
			go func() {
				defer open.Add(-1)
				defer func() { _ = soc.Close() }()
				red := bufio.NewReader(soc)
				for {
					req, err := http.ReadRequest(red)
					if err != nil {
						return
					}
					time.Sleep(work)
					if _, err := soc.Write([]byte(strings.ReplaceAll(whole, "{ID}", req.Header.Get(fakes.HeaderID)))); err != nil {
						return
					}
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// TestFullUpstreamIsNoCrash guards against sound requests that are quarantined: upstreams that have all the connections they
// accept reset further ones, and each reset counted as a crash by the request. Callers send the same request again and again.
func TestFullUpstreamIsNoCrash(t *testing.T) {
	const callers, rounds, connections, work = 48, 20, 4, 20 * time.Millisecond
	grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
	defer stop()
	const upstreams = 3
	scrs := make([]*fakes.ScriptedServer, 0, upstreams)
	for range upstreams {
		scrs = append(scrs, &fakes.ScriptedServer{Address: startBounded(t, connections, work)})
	}
	snd := newSender(grd, scrs...)
	var quarantined, served atomic.Int64
	var wgr sync.WaitGroup
	for range callers {
		wgr.Go(func() {
			for range rounds {
				rec, _, _ := sendCall(snd, router.Route{}, router.Call{})
				if strings.Contains(rec.Body.String(), router.CodeQuarantined) {
					quarantined.Add(1)
				}
				if rec.Code == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	wgr.Wait()
	if quarantined.Load() > 0 || grd.TotalCrashes() > 0 {
		t.Errorf("%d of %d requests refused as quarantined, %d served; %d crashes recorded, and no upstream crashed",
			quarantined.Load(), callers*rounds, served.Load(), grd.TotalCrashes())
	}
}

// stoppingUpstream leaves its first request unanswered and stops when stop is closed; the answers to others say that it leaves.
type stoppingUpstream struct {
	listener net.Listener
	arrived  chan struct{}
	stop     chan struct{}
}

func startStopping(t *testing.T) (ups *stoppingUpstream) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	ups = &stoppingUpstream{listener: lis, arrived: make(chan struct{}, 8), stop: make(chan struct{})}
	go func() {
		for num := 0; ; num++ {
			soc, err := lis.Accept()
			if err != nil {
				return
			}
			go ups.serve(soc, num == 0)
		}
	}()
	return ups
}

func (ups *stoppingUpstream) serve(soc net.Conn, first bool) {
	defer func() { _ = soc.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(soc))
	if err != nil {
		return
	}
	ups.arrived <- struct{}{}
	if first {
		<-ups.stop
		_ = ups.listener.Close()
		return
	}
	_, _ = soc.Write([]byte("HTTP/1.1 200 OK\r\nStand-Id: " + req.Header.Get(fakes.HeaderID) + "\r\nStand-Signed: 1\r\nStand-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"))
}

// TestPlannedStopIsNoCrash guards against sound requests that are quarantined because upstreams stop as planned while they run:
// the connection breaks and a new one is refused, as after a crash.
func TestPlannedStopIsNoCrash(t *testing.T) {
	// settleTime is how long a crash may take to be confirmed in the background.
	const settleTime = 300 * time.Millisecond
	cases := map[string]struct {
		announce func(address string, ros *roster.Roster, snd *send.Sender)
		crashes  int
	}{
		"nothing announces it": {func(string, *roster.Roster, *send.Sender) {}, 1},
		"its record is removed": {func(address string, ros *roster.Roster, _ *send.Sender) {
			ros.Apply(follow.Update{Changed: []router.Record{{Key: "a" + address, Version: 2, Deleted: true}}})
		}, 0},
		"its record says that it leaves": {func(address string, ros *roster.Roster, _ *send.Sender) {
			val := "{service: svc, address: '" + address + "', draining: true}"
			ros.Apply(follow.Update{Changed: []router.Record{{Key: "a" + address, Value: []byte(val), Version: 2}}})
		}, 0},
		"its answers say that it leaves": {func(_ string, _ *roster.Roster, snd *send.Sender) {
			sendCall(snd, router.Route{}, router.Call{})
		}, 0},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			grd, stop := guard.New(timer.Real{}, send.MaxCrashes)
			defer stop()
			ups := startStopping(t)
			snd, ros := newSenderAndRoster(grd, &fakes.ScriptedServer{Address: ups.listener.Addr().String()})
			done := make(chan struct{})
			go func() {
				defer close(done)
				sendCall(snd, router.Route{}, router.Call{})
			}()
			<-ups.arrived
			cas.announce(ups.listener.Addr().String(), ros, snd)
			close(ups.stop)
			<-done
			time.Sleep(settleTime)
			if got := grd.TotalCrashes(); got != cas.crashes {
				t.Errorf("%d crashes, want %d", got, cas.crashes)
			}
		})
	}
}
