package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
)

const (
	// drainTime is how long callers wait for answers after the last arrival.
	drainTime = 10 * time.Second
	// tick is the step by which arrivals are planned.
	tick = time.Millisecond
	// maxInFlight bounds the callers of one run.
	maxInFlight = 8000
)

// Run drives a fleet through a scenario and returns what every caller saw.
func Run(flt *fleet.Fleet, scn Scenario, seed uint64) (rsl Result, err error) {
	defer fault.Annotatef(&err, "scenario %s seed %d", scn.Name, seed)
	drv := newDriver(flt, scn, seed)
	before := readEngines(flt)
	ctx, cancel := context.WithTimeout(context.Background(), scn.Length+drainTime)
	defer cancel()
	drv.caller.begin = time.Now()
	for _, one := range scn.Faults {
		time.AfterFunc(one.At, func() { drv.fail(one.Do(flt)) })
	}
	drv.arrive(ctx)
	drv.callers.Wait()
	if drv.err != nil {
		return Result{}, drv.err
	}
	after := readEngines(flt)
	return drv.result(after.tokens-before.tokens, after.cancelled-before.cancelled), nil
}

// driver sends the requests of one run.
type driver struct {
	fleet    *fleet.Fleet
	scenario Scenario
	seed     uint64
	rnd      *rand.Rand
	kinds    []Kind
	caller   *caller
	capacity float64
	callers  sync.WaitGroup
	slots    chan struct{}
	sent     int

	mut     sync.Mutex
	down    map[string]bool
	samples []Sample
	err     error
}

func newDriver(flt *fleet.Fleet, scn Scenario, seed uint64) *driver {
	pol := flt.Config.Pools[0]
	sum := 0
	for _, ups := range pol.Upstreams {
		sum += ups.Slots
	}
	return &driver{
		fleet:    flt,
		scenario: scn,
		seed:     seed,
		rnd:      rand.New(rand.NewPCG(seed, seed)),
		kinds:    Kinds(flt.Config.Classes),
		caller: &caller{
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
			key:    fleet.KeyPrefix + flt.Config.Workspaces[0].Name,
			model:  pol.Models[0],
			window: [2]time.Duration{scn.Length / 2, scn.Length},
		},
		capacity: float64(sum),
		down:     make(map[string]bool),
		slots:    make(chan struct{}, maxInFlight),
	}
}

// arrive starts callers as an open loop until the scenario's end.
func (drv *driver) arrive(ctx context.Context) {
	long := drv.scenario.Long
	due := make([]float64, len(drv.kinds))
	tic := time.NewTicker(tick)
	defer tic.Stop()
	last := time.Duration(0)
	for now := range tic.C {
		at := now.Sub(drv.caller.begin)
		if at > drv.scenario.Length {
			return
		}
		for idx, knd := range drv.kinds {
			due[idx] += drv.rate(knd, at) * (at - last).Seconds()
			for ; due[idx] > 0; due[idx] -= drv.rnd.ExpFloat64() {
				tks := knd.length(drv.rnd)
				if idx == len(drv.kinds)-1 && long > 0 {
					long--
					tks = LongFactor * knd.Tokens / 10
				}
				drv.start(ctx, knd, tks)
			}
		}
		last = at
	}
}

// rate returns the arrivals a second at which a class uses its share of the slots' time.
func (drv *driver) rate(knd Kind, at time.Duration) float64 {
	hld := drv.fleet.Options.Prefill + time.Duration(knd.Tokens)*drv.fleet.Options.TokenGap
	return drv.scenario.Factor(at, knd) * knd.Share * drv.capacity / hld.Seconds()
}

func (drv *driver) start(ctx context.Context, knd Kind, tokens int) {
	select {
	case drv.slots <- struct{}{}:
	default:
		return
	}
	drv.sent++
	txt := prompt(drv.seed, drv.sent, tokens)
	url := drv.node()
	drv.callers.Go(func() {
		smp := drv.caller.ask(ctx, url, knd.Class, txt)
		<-drv.slots
		drv.mut.Lock()
		defer drv.mut.Unlock()
		drv.samples = append(drv.samples, smp)
		if smp.Status == 0 {
			drv.down[url] = true
		}
	})
}

// node returns the next node in turn; like the platform's balancer it leaves out those that did not answer.
func (drv *driver) node() (url string) {
	drv.mut.Lock()
	defer drv.mut.Unlock()
	nds := drv.fleet.Nodes
	for off := range nds {
		url = nds[(drv.sent+off)%len(nds)].URL
		if !drv.down[url] {
			return url
		}
	}
	return url
}

func (drv *driver) fail(err error) {
	drv.mut.Lock()
	defer drv.mut.Unlock()
	if err != nil && drv.err == nil {
		drv.err = err
	}
}

// engineCounts is what the engines say they did.
type engineCounts struct {
	tokens, cancelled float64
}

// readEngines adds up the engines' counts; an engine that was killed does not count.
func readEngines(flt *fleet.Fleet) (sum engineCounts) {
	for _, ups := range flt.Config.Pools[0].Upstreams {
		fms, err := metrics(flt.Upstreams[ups.Name].URL)
		if err != nil {
			continue
		}
		sum.tokens += counter(fms, "vllm:generation_tokens_total")
		sum.cancelled += counter(fms, "hbstand_cancelled_total")
	}
	return sum
}

func metrics(url string) (fms map[string]*dto.MetricFamily, err error) {
	cli := &http.Client{Timeout: drainTime}
	res, err := cli.Get(url + "/metrics")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	psr := expfmt.NewTextParser(model.UTF8Validation)
	return psr.TextToMetricFamilies(res.Body)
}

func counter(fms map[string]*dto.MetricFamily, name string) (sum float64) {
	for _, met := range fms[name].GetMetric() {
		sum += met.GetCounter().GetValue()
	}
	return sum
}
