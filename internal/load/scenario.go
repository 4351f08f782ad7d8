package load

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Scenario defines the load of a run over time and the faults to inject.
type Scenario struct {
	Name   string
	Length time.Duration
	// Factor returns the factor by which a class's load differs from its Share, at a time since the start.
	Factor func(at time.Duration, wkl Workload) float64
	// LongRequests is the number of long requests; see LongFactor. They are the first arrivals of the last class.
	LongRequests int
	Faults       []Fault
}

// Fault is a fault to inject into the deployment at a time since the start.
type Fault struct {
	At     time.Duration
	Inject func(flt *fleet.Fleet) error
}

// Workload defines how many requests a class sends and how long their answers are.
type Workload struct {
	Class router.Class
	// Share is the share of the engines' capacity that the class uses at a load factor of 1.
	Share float64
	// Tokens is the mean number of tokens of an answer.
	Tokens int
}

const (
	scenarioLength = 8 * time.Second
	rampStart      = 2 * time.Second
	rampTime       = 2 * time.Second
	// The shares of all classes add up to 1, so that these factors are shares of the capacity.
	baseLoad = 0.6
	peakLoad = 2.0
	// LongFactor is the length of a long request's answer in tenths of the mean of its class: 50 is 5 times the mean.
	LongFactor = 50
	// slowdown is the factor by which a slowed engine's times grow, reportAge the delay of its load reports.
	slowdown  = 10
	reportAge = 5 * time.Second
	// burstLoad is the load factor of one class in a burst.
	burstLoad = 4.0
)

// Scenarios returns all scenarios. Their names are values of hbload's flag --scenario.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "Steady", Length: scenarioLength, Factor: constantLoad(baseLoad)},
		{Name: "Crest", Length: scenarioLength, Factor: rampLoad},
		{Name: "Burst", Length: scenarioLength, Factor: func(at time.Duration, wkl Workload) float64 {
			if wkl.Class.Tier == 3 && at > rampStart {
				return burstLoad
			}
			return baseLoad
		}},
		{Name: "Long", Length: scenarioLength, Factor: constantLoad(baseLoad), LongRequests: 6},
		{Name: "Slowed", Length: scenarioLength, Factor: constantLoad(baseLoad), Faults: slowTwoEngines()},
		{Name: "Killed", Length: scenarioLength, Factor: rampLoad, Faults: []Fault{
			{At: 5 * time.Second, Inject: func(flt *fleet.Fleet) error { return engineProcess(flt, 0).Signal(syscall.SIGKILL) }},
			{At: 6 * time.Second, Inject: func(flt *fleet.Fleet) error { return flt.Nodes[1].Signal(syscall.SIGKILL) }},
		}},
	}
}

func constantLoad(factor float64) func(time.Duration, Workload) float64 {
	return func(time.Duration, Workload) float64 { return factor }
}

// rampLoad increases the load linearly from baseLoad to peakLoad within rampTime and keeps it there.
func rampLoad(at time.Duration, _ Workload) float64 {
	prg := float64(at-rampStart) / float64(rampTime)
	return baseLoad + (peakLoad-baseLoad)*max(0, min(1, prg))
}

// slowTwoEngines slows two engines down in every other second. Their load reports arrive late all the time from the
// first slowdown on.
func slowTwoEngines() (fts []Fault) {
	for beg := time.Second; beg < scenarioLength; beg += 2 * time.Second {
		for idx := range 2 {
			fts = append(fts,
				Fault{At: beg, Inject: setFaults(idx, fakes.Faults{Slow: slowdown, LagMs: int(reportAge.Milliseconds())})},
				Fault{At: beg + time.Second, Inject: setFaults(idx, fakes.Faults{LagMs: int(reportAge.Milliseconds())})})
		}
	}
	return fts
}

func setFaults(idx int, set fakes.Faults) func(flt *fleet.Fleet) error {
	return func(flt *fleet.Fleet) error { return fleet.SetFaults(engineProcess(flt, idx), set) }
}

func engineProcess(flt *fleet.Fleet, idx int) *fleet.Process {
	return flt.Upstreams[flt.Config.Pools[0].Upstreams[idx].Name]
}

// workloadsByTier has the workload of a class by its tier.
var workloadsByTier = map[int]Workload{
	0: {Share: 0.25, Tokens: 20},
	1: {Share: 0.15, Tokens: 30},
	3: {Share: 0.40, Tokens: 100},
	4: {Share: 0.20, Tokens: 200},
}

// Workloads returns the workloads of the classes that send chat requests: those of the tiers in workloadsByTier. A
// class of tier 0 without a gap target is left out, because its requests are plain HTTP.
func Workloads(cls []router.Class) (wls []Workload) {
	for _, one := range cls {
		wkl, fnd := workloadsByTier[one.Tier]
		if !fnd || one.BetweenTokens == 0 && one.Tier == 0 {
			continue
		}
		wkl.Class = one
		wls = append(wls, wkl)
	}
	return wls
}

// drawTokens returns a random answer length in tokens, exponentially distributed and limited to five times the mean.
func (wkl Workload) drawTokens(rnd *rand.Rand) int {
	return 1 + min(int(rnd.ExpFloat64()*float64(wkl.Tokens)), 5*wkl.Tokens)
}
