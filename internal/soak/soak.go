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

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

const (
	// recoveryTime is the time from the end of the faults until the cluster must work normally
	// again. A node detects a store connection that went silent only when a call that waits for
	// changes on it exceeds its timeout.
	recoveryTime = 15 * time.Second
	// calmTime is how long callers send requests after recovery; minAnsweredShare of these must be
	// answered.
	calmTime = 2 * time.Second
	// maxDrainDelay is how long an upstream may get new requests after its record marks it as
	// draining.
	maxDrainDelay = 3 * time.Second
	// limitTime is how long requests are counted at an upstream with a rate limit of statedLimit requests per second, from
	// limitLearnTime after it first states the limit. It may get half as many again and limitSlack.
	limitTime      = 4 * time.Second
	limitLearnTime = time.Second
	statedLimit    = 5.0
	limitSlack     = 5
	// startTimeout is the time within which a started node must answer requests.
	startTimeout = 20 * time.Second
	// The time between the starts of two faults.
	minFaultInterval = 50 * time.Millisecond
	maxFaultInterval = 500 * time.Millisecond
	// The duration of a fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// Options are the parameters of a run.
type Options struct {
	// Binary is the path of the router's executable.
	Binary string
	// Dir is the directory for the settings and logs of the nodes.
	Dir string
	// Seed determines the faults, their order and their durations.
	Seed      uint64
	Nodes     int
	Upstreams int
	Callers   int
	// Faults is the time during which faults are injected.
	Faults time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Answered counts requests with a complete answer of status 200, Refused those with status 503,
	// which promises that the request was not executed, and Unknown all others.
	Answered, Refused, Unknown int
	// Reports counts the windows with an accepted usage report, Calm those that lie in the time after recovery, and Correct the
	// ones of Calm whose counts match the executions.
	Reports, Calm, Correct int
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// Broken describes each violation of a guarantee.
	Broken []string
}

// harness is the state of one run.
type harness struct {
	options   Options
	rnd       *rand.Rand
	store     *mock.Store
	duties    *mock.Duties
	upstreams []*upstream
	nodes     []*node
	callers   *callers
	// version is the version of the newest configuration; configMut orders the writes of configurations.
	version   atomic.Int64
	configMut sync.Mutex

	mut sync.Mutex
	// faults counts the injected faults by kind.
	faults     map[string]int
	violations []string
	// activeFaults tracks the faults that have not ended yet.
	activeFaults sync.WaitGroup
}

// upstream is a simulated upstream and the proxy in front of it.
type upstream struct {
	*mock.Upstream

	proxy *Proxy
	mut   sync.Mutex
	// born is the start time in the upstream's record, which distinguishes its incarnations.
	born     int64
	draining bool
	// sequence is the number of the last record.
	sequence int64
}

// Run runs the test with one seed. The error states why it could not run; violations are in the
// report.
func Run(ctx context.Context, opt Options) (rep Report, err error) {
	defer errs.Annotatef(&err, "soak seed %d", opt.Seed)
	har := &harness{options: opt, rnd: rand.New(rand.NewPCG(opt.Seed, 1)), faults: make(map[string]int)}
	stop, err := har.startCluster()
	defer stop()
	if err != nil {
		return Report{}, err
	}
	har.callers = newCallers(har, opt.Callers)
	har.callers.start(ctx)
	har.awaitDuties(ctx)
	har.activeFaults.Go(func() { har.restoreStore(ctx) })
	har.activeFaults.Go(func() { har.injectDutyFaults(ctx) })
	har.injectFaults(ctx)
	har.activeFaults.Wait()
	timer.Sleep(ctx, recoveryTime)
	har.callers.markFaultsEnded()
	calm := time.Now()
	timer.Sleep(ctx, calmTime)
	har.checkDrain(ctx)
	har.checkConfig(ctx)
	har.checkRateLimit(ctx)
	stopped := time.Now()
	har.callers.stop()
	har.callers.check()
	rep = har.report()
	har.checkDuties(&rep, calm, stopped)
	return rep, nil
}

func (har *harness) report() Report {
	rep := har.callers.summarize()
	har.mut.Lock()
	defer har.mut.Unlock()
	rep.Seed, rep.Faults, rep.Broken = har.options.Seed, har.faults, har.violations
	return rep
}

// addViolation records the violation of a guarantee in the report.
func (har *harness) addViolation(format string, args ...any) {
	har.mut.Lock()
	defer har.mut.Unlock()
	har.violations = append(har.violations, fmt.Sprintf(format, args...))
}

// serveLocal serves HTTP on a free loopback port until stop is called.
func serveLocal(han http.Handler) (address string, stop func(), err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), func() { _ = srv.Close() }, nil
}

// startCluster starts the store, the upstreams and the nodes, and waits until all nodes answer
// requests. The caller must call stop also on failure.
func (har *harness) startCluster() (stop func(), err error) {
	var stops []func()
	stop = func() {
		for idx := len(stops) - 1; idx >= 0; idx-- {
			stops[idx]()
		}
	}
	har.store = mock.NewStore(fakes.NewInjector(har.options.Seed))
	adr, end, err := serveLocal(har.store.Handler())
	if err != nil {
		return stop, err
	}
	stops = append(stops, end)
	har.duties = mock.NewDuties(fakes.NewInjector(har.options.Seed), dutyRules)
	dutyAddress, end, err := serveLocal(har.duties.Handler())
	if err != nil {
		return stop, err
	}
	stops = append(stops, end)
	har.publishConfig(true)
	for num := range har.options.Upstreams {
		ups := &upstream{Upstream: mock.NewUpstream(fmt.Sprintf("u-%d", num)), born: 1}
		back, end, err := serveLocal(ups.Upstream)
		if err != nil {
			return stop, err
		}
		stops = append(stops, end)
		if ups.proxy, err = NewProxy(back); err != nil {
			return stop, err
		}
		stops = append(stops, ups.proxy.Close)
		har.upstreams = append(har.upstreams, ups)
		har.publishRecord(ups)
	}
	for num := range har.options.Nodes {
		prx, err := NewProxy(adr)
		if err != nil {
			return stop, err
		}
		stops = append(stops, prx.Close)
		dut, err := NewProxy(dutyAddress)
		if err != nil {
			return stop, err
		}
		stops = append(stops, dut.Close)
		nod, err := newNode(har.options, num, prx, dut)
		if err != nil {
			return stop, err
		}
		if err := nod.start(); err != nil {
			return stop, err
		}
		stops = append(stops, func() { nod.signal(syscall.SIGCONT); nod.signal(syscall.SIGKILL) })
		har.nodes = append(har.nodes, nod)
	}
	return stop, har.awaitReady()
}

func (har *harness) awaitReady() (err error) {
	for _, nod := range har.nodes {
		end := time.Now().Add(startTimeout)
		for har.requestStatus(nod, "lookup", "start-"+nod.name) != http.StatusOK {
			if time.Now().After(end) {
				txt, _ := os.ReadFile(nod.logFile)
				return fmt.Errorf("%s does not answer requests; its log: %.400s", nod.name, txt)
			}
			time.Sleep(minFaultInterval)
		}
	}
	return nil
}

// requestStatus sends one request on a new connection and returns the status of the answer, or 0
// when there was none.
func (har *harness) requestStatus(nod *node, route, id string) int {
	res := sendRequest(context.Background(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, nod, route, id)
	return res.status
}

// publishRecord writes the record of an upstream to the store.
func (har *harness) publishRecord(ups *upstream) {
	ups.mut.Lock()
	defer ups.mut.Unlock()
	ups.sequence++
	har.store.Set("servers", ups.ID, mock.ServerRecord(ups.proxy.Address(), "here", ups.draining, ups.born, ups.sequence))
}

// publishConfig writes the newest configuration, or the next one.
func (har *harness) publishConfig(next bool) (version int64) {
	har.configMut.Lock()
	defer har.configMut.Unlock()
	if next {
		har.version.Add(1)
	}
	version = har.version.Load()
	har.store.Set("op", "config", mock.Config(version))
	return version
}

// checkDrain marks an upstream as draining; no request may reach it later than maxDrainDelay.
func (har *harness) checkDrain(ctx context.Context) {
	ups := har.upstreams[0]
	ups.mut.Lock()
	ups.draining = true
	ups.mut.Unlock()
	har.publishRecord(ups)
	bound := time.Now().Add(maxDrainDelay)
	timer.Sleep(ctx, maxDrainDelay+calmTime)
	if last := ups.LastRequest(); last.After(bound) {
		har.addViolation("Drain: a request reached %s %s after the limit", ups.ID, last.Sub(bound))
	}
}

// checkConfig writes a new configuration. After maxDrainDelay, every node must serve the route that
// it adds and no longer serve the one that it removes.
func (har *harness) checkConfig(ctx context.Context) {
	ver := har.publishConfig(true)
	timer.Sleep(ctx, maxDrainDelay)
	for _, nod := range har.nodes {
		if sta := har.requestStatus(nod, fmt.Sprintf("v%d", ver), "new-"+nod.name); sta != http.StatusOK {
			har.addViolation("Config: %s answers %d on a route of version %d", nod.name, sta, ver)
		}
		if sta := har.requestStatus(nod, fmt.Sprintf("v%d", ver-1), "old-"+nod.name); sta != http.StatusNotFound {
			har.addViolation("Config: %s answers %d on a route that version %d removed", nod.name, sta, ver)
		}
	}
}

// checkRateLimit lets an upstream state a rate limit, which all nodes together must keep.
func (har *harness) checkRateLimit(ctx context.Context) {
	ups := har.upstreams[len(har.upstreams)-1]
	ups.SetRateLimit(statedLimit)
	timer.Sleep(ctx, limitLearnTime)
	since := time.Now()
	timer.Sleep(ctx, limitTime)
	num, most := ups.ArrivedSince(since), 1.5*statedLimit*limitTime.Seconds()+limitSlack
	if float64(num) > most || num == 0 {
		har.addViolation("Limit: %d requests reached %s in %s at a limit of %g a second", num, ups.ID, limitTime, statedLimit)
	}
	ups.SetRateLimit(0)
}
