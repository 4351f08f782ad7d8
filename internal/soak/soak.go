package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

const (
	// settle is how long after the faults all promises must hold again: a feed that went silent is noticed within the wait of one call and its slack.
	settle = 15 * time.Second
	// calm is how long callers go on after that.
	calm = 2 * time.Second
	// drainBound is how long after its record an upstream that leaves may get new work.
	drainBound = 3 * time.Second
	// readyLimit bounds the start of the nodes.
	readyLimit = 20 * time.Second
	// pauseLeast and pauseMost bound the time between two faults, holdLeast and holdMost how long one lasts.
	pauseLeast = 50 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
	holdLeast  = 200 * time.Millisecond
	holdMost   = 2500 * time.Millisecond
)

// Options are what a run is made of.
type Options struct {
	// Binary is the path of the product's program.
	Binary string
	// Dir is where settings and logs go.
	Dir       string
	Seed      uint64
	Nodes     int
	Upstreams int
	Callers   int
	// Faults is how long faults are injected.
	Faults time.Duration
}

// Report is what a run saw.
type Report struct {
	Seed     uint64
	Requests int
	// Answered counts whole answers, Refused promises that a request was not run, and Unknown all others.
	Answered, Refused, Unknown int
	Faults                     map[string]int
	// Broken names each broken promise.
	Broken []string
}

// world is everything in one run.
type world struct {
	options Options
	rnd     *rand.Rand
	store   *mock.Store
	ups     []*upstream
	nodes   []*node
	callers *callers
	version atomic.Int64

	mut    sync.Mutex
	faults map[string]int
	broken []string
	// stopping holds the faults that still last.
	lasting sync.WaitGroup
}

// upstream is a stand-in with the proxy before it.
type upstream struct {
	*mock.Upstream

	proxy    *Proxy
	mut      sync.Mutex
	born     int64
	draining bool
}

// Run plays one seed; err tells why it could not be played.
func Run(ctx context.Context, opt Options) (rep Report, err error) {
	defer fault.Annotatef(&err, "soak seed %d", opt.Seed)
	wrd := &world{options: opt, rnd: rand.New(rand.NewPCG(opt.Seed, 1)), faults: make(map[string]int)}
	stop, err := wrd.build()
	defer stop()
	if err != nil {
		return Report{}, err
	}
	wrd.callers = newCallers(wrd, opt.Callers)
	wrd.callers.start(ctx)
	wrd.injectFaults(ctx)
	wrd.lasting.Wait()
	timer.Sleep(ctx, settle)
	wrd.callers.mark()
	timer.Sleep(ctx, calm)
	wrd.checkDrain(ctx)
	wrd.checkVersions(ctx)
	wrd.callers.stop()
	wrd.callers.judge()
	return wrd.report(), nil
}

func (wrd *world) report() Report {
	rep := wrd.callers.count()
	wrd.mut.Lock()
	defer wrd.mut.Unlock()
	rep.Seed, rep.Faults, rep.Broken = wrd.options.Seed, wrd.faults, wrd.broken
	return rep
}

// breaks records a broken promise.
func (wrd *world) breaks(format string, args ...any) {
	wrd.mut.Lock()
	defer wrd.mut.Unlock()
	wrd.broken = append(wrd.broken, fmt.Sprintf(format, args...))
}

func serve(han http.Handler) (address string, stop func(), err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), func() { _ = srv.Close() }, nil
}

// build starts the stand-ins and the nodes, and waits until all nodes serve.
func (wrd *world) build() (stop func(), err error) {
	var stops []func()
	stop = func() {
		for idx := len(stops) - 1; idx >= 0; idx-- {
			stops[idx]()
		}
	}
	wrd.store = mock.NewStore(stand.NewSwitch(wrd.options.Seed))
	adr, end, err := serve(wrd.store.Handler())
	if err != nil {
		return stop, err
	}
	stops = append(stops, end)
	wrd.version.Store(1)
	wrd.store.Set("op", "config", mock.Config(1))
	for num := range wrd.options.Upstreams {
		ups := &upstream{Upstream: mock.NewUpstream(fmt.Sprintf("u-%d", num)), born: 1}
		back, end, err := serve(ups.Upstream)
		if err != nil {
			return stop, err
		}
		stops = append(stops, end)
		if ups.proxy, err = NewProxy(back); err != nil {
			return stop, err
		}
		stops = append(stops, ups.proxy.Close)
		wrd.ups = append(wrd.ups, ups)
		wrd.publish(ups)
	}
	for num := range wrd.options.Nodes {
		prx, err := NewProxy(adr)
		if err != nil {
			return stop, err
		}
		stops = append(stops, prx.Close)
		nod, err := newNode(wrd.options, num, prx)
		if err != nil {
			return stop, err
		}
		if err := nod.start(); err != nil {
			return stop, err
		}
		stops = append(stops, func() { nod.signal(syscall.SIGCONT); nod.signal(syscall.SIGKILL) })
		wrd.nodes = append(wrd.nodes, nod)
	}
	return stop, wrd.awaitReady()
}

func (wrd *world) awaitReady() (err error) {
	for _, nod := range wrd.nodes {
		end := time.Now().Add(readyLimit)
		for wrd.status(nod, "lookup", "start-"+nod.name) != http.StatusOK {
			if time.Now().After(end) {
				txt, _ := os.ReadFile(nod.log)
				return fmt.Errorf("%s does not serve: %.400s", nod.name, txt)
			}
			time.Sleep(pauseLeast)
		}
	}
	return nil
}

// status sends one request on a connection of its own and returns the status, or 0.
func (wrd *world) status(nod *node, route, id string) int {
	res := ask(context.Background(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, nod, route, id)
	return res.status
}

// publish writes the record of an upstream.
func (wrd *world) publish(ups *upstream) {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	wrd.store.Set("servers", ups.ID, mock.ServerRecord(ups.proxy.Address(), "here", ups.draining, ups.born))
}

// checkDrain has an upstream leave in quiet times; nothing may reach it after the bound.
func (wrd *world) checkDrain(ctx context.Context) {
	ups := wrd.ups[0]
	ups.mut.Lock()
	ups.draining = true
	ups.mut.Unlock()
	wrd.publish(ups)
	bound := time.Now().Add(drainBound)
	timer.Sleep(ctx, drainBound+calm)
	if last := ups.LastRequest(); last.After(bound) {
		wrd.breaks("Drain: a request reached %s %s after the bound", ups.ID, last.Sub(bound))
	}
}

// checkVersions asks every node for a route of the newest configuration and one of the one before.
func (wrd *world) checkVersions(ctx context.Context) {
	ver := wrd.version.Add(1)
	wrd.store.Set("op", "config", mock.Config(ver))
	timer.Sleep(ctx, drainBound)
	for _, nod := range wrd.nodes {
		if sta := wrd.status(nod, fmt.Sprintf("v%d", ver), "new-"+nod.name); sta != http.StatusOK {
			wrd.breaks("Config: %s answers %d on a route of version %d", nod.name, sta, ver)
		}
		if sta := wrd.status(nod, fmt.Sprintf("v%d", ver-1), "old-"+nod.name); sta != http.StatusNotFound {
			wrd.breaks("Config: %s answers %d on a route that version %d dropped", nod.name, sta, ver)
		}
	}
}
