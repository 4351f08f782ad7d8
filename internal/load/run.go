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

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
)

const (
	// drainTime is how long requests may continue after the last arrival.
	drainTime = 10 * time.Second
	// arrivalInterval is the interval at which new arrivals are computed.
	arrivalInterval = time.Millisecond
	// maxInFlight is the maximum number of requests in flight; an arrival above it is dropped and not counted.
	maxInFlight = 8000
)

// Run plays a scenario against a fleet and summarizes the answers.
func Run(flt *fleet.Fleet, scn Scenario, seed uint64) (rsl Result, err error) {
	defer errs.Annotatef(&err, "scenario %s seed %d", scn.Name, seed)
	drv := newDriver(flt, scn, seed)
	before := readEngines(flt)
	ctx, cancel := context.WithTimeout(context.Background(), scn.Length+drainTime)
	defer cancel()
	drv.caller.startTime = time.Now()
	for _, one := range scn.Faults {
		time.AfterFunc(one.At, func() { drv.recordError(one.Inject(flt)) })
	}
	drv.generate(ctx)
	drv.callers.Wait()
	if drv.err != nil {
		return Result{}, drv.err
	}
	after := readEngines(flt)
	return drv.result(after.tokens-before.tokens, after.cancelled-before.cancelled), nil
}

// driver generates the load of one run and collects the samples.
type driver struct {
	fleet     *fleet.Fleet
	scenario  Scenario
	seed      uint64
	rnd       *rand.Rand
	workloads []Workload
	caller    *caller
	// capacity is the total number of slots of the engines.
	capacity float64
	callers  sync.WaitGroup
	// permits limits the requests in flight to maxInFlight.
	permits chan struct{}
	sent    int

	mut sync.Mutex
	// unreachable has the URLs of nodes that failed to answer a request. They get no more requests in this run.
	unreachable map[string]bool
	samples     []Sample
	err         error
}

func newDriver(flt *fleet.Fleet, scn Scenario, seed uint64) *driver {
	pol := flt.Config.Pools[0]
	sum := 0
	for _, ups := range pol.Upstreams {
		sum += ups.Slots
	}
	return &driver{
		fleet:     flt,
		scenario:  scn,
		seed:      seed,
		rnd:       rand.New(rand.NewPCG(seed, seed)),
		workloads: Workloads(flt.Config.Classes),
		caller: &caller{
			client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
			key:    fleet.KeyPrefix + flt.Config.Workspaces[0].Name,
			model:  pol.Models[0],
			window: [2]time.Duration{scn.Length / 2, scn.Length},
		},
		capacity:    float64(sum),
		unreachable: make(map[string]bool),
		permits:     make(chan struct{}, maxInFlight),
	}
}

// generate starts requests until the end of the scenario. Each class's due grows by the expected number of arrivals
// and each arrival lowers it by an exponential draw of mean 1, which makes arrivals a Poisson process of varying rate.
func (drv *driver) generate(ctx context.Context) {
	long := drv.scenario.LongRequests
	due := make([]float64, len(drv.workloads))
	tic := time.NewTicker(arrivalInterval)
	defer tic.Stop()
	last := time.Duration(0)
	for now := range tic.C {
		at := now.Sub(drv.caller.startTime)
		if at > drv.scenario.Length {
			return
		}
		for idx, wkl := range drv.workloads {
			due[idx] += drv.arrivalRate(wkl, at) * (at - last).Seconds()
			for ; due[idx] > 0; due[idx] -= drv.rnd.ExpFloat64() {
				tks := wkl.drawTokens(drv.rnd)
				if idx == len(drv.workloads)-1 && long > 0 {
					long--
					tks = LongFactor * wkl.Tokens / 10
				}
				drv.startRequest(ctx, wkl, tks)
			}
		}
		last = at
	}
}

// arrivalRate returns the arrivals per second at which a class uses its share of the capacity. A request holds a slot
// for the prefill and for the gap of each token.
func (drv *driver) arrivalRate(wkl Workload, at time.Duration) float64 {
	hld := drv.fleet.Options.Prefill + time.Duration(wkl.Tokens)*drv.fleet.Options.TokenGap
	return drv.scenario.Factor(at, wkl) * wkl.Share * drv.capacity / hld.Seconds()
}

// startRequest sends one request in a new goroutine, or drops it if maxInFlight requests are in flight.
func (drv *driver) startRequest(ctx context.Context, wkl Workload, tokens int) {
	select {
	case drv.permits <- struct{}{}:
	default:
		return
	}
	drv.sent++
	txt := uniquePrompt(drv.seed, drv.sent, tokens)
	url := drv.nextNode()
	drv.callers.Go(func() {
		smp := drv.caller.request(ctx, url, wkl.Class, txt)
		<-drv.permits
		drv.mut.Lock()
		defer drv.mut.Unlock()
		drv.samples = append(drv.samples, smp)
		if smp.Status == 0 {
			drv.unreachable[url] = true
		}
	})
}

// nextNode returns the URL of the next node by round robin. Like the platform's load balancer it skips nodes that did
// not answer.
func (drv *driver) nextNode() (url string) {
	drv.mut.Lock()
	defer drv.mut.Unlock()
	nds := drv.fleet.Nodes
	for off := range nds {
		url = nds[(drv.sent+off)%len(nds)].URL
		if !drv.unreachable[url] {
			return url
		}
	}
	return url
}

// recordError keeps the first error of the run.
func (drv *driver) recordError(err error) {
	drv.mut.Lock()
	defer drv.mut.Unlock()
	if err != nil && drv.err == nil {
		drv.err = err
	}
}

// engineCounters are counters of the engines: generated tokens and cancelled streams.
type engineCounters struct {
	tokens, cancelled float64
}

// readEngines returns the sums of the engines' counters. Engines that do not answer, such as killed ones, are left out.
func readEngines(flt *fleet.Fleet) (sum engineCounters) {
	for _, ups := range flt.Config.Pools[0].Upstreams {
		fms, err := scrape(flt.Upstreams[ups.Name].URL)
		if err != nil {
			continue
		}
		sum.tokens += sumCounter(fms, "vllm:generation_tokens_total")
		sum.cancelled += sumCounter(fms, "hbstand_cancelled_total")
	}
	return sum
}

// scrape reads the Prometheus metrics of an engine.
func scrape(url string) (fms map[string]*dto.MetricFamily, err error) {
	cli := &http.Client{Timeout: drainTime}
	res, err := cli.Get(url + "/metrics")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	psr := expfmt.NewTextParser(model.UTF8Validation)
	return psr.TextToMetricFamilies(res.Body)
}

func sumCounter(fms map[string]*dto.MetricFamily, name string) (sum float64) {
	for _, met := range fms[name].GetMetric() {
		sum += met.GetCounter().GetValue()
	}
	return sum
}
