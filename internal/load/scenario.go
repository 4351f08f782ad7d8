package load

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

// Scenario is a course of load and faults.
type Scenario struct {
	Name   string
	Length time.Duration
	// Factor returns the load of a class at a time, relative to its usual share.
	Factor func(at time.Duration, cls Kind) float64
	// Long is the number of requests of the lowest class that are LongFactor times the usual length.
	Long   int
	Faults []Fault
}

// Fault is something that happens to the deployment.
type Fault struct {
	At time.Duration
	Do func(flt *fleet.Fleet) error
}

// Kind is a class with the requests that it sends.
type Kind struct {
	Class router.Class
	// Share is the part of the engines' capacity that the class uses at factor 1.
	Share float64
	// Tokens is the mean length of an answer.
	Tokens int
}

const (
	usualLength = 8 * time.Second
	crestStart  = 2 * time.Second
	crestRise   = 2 * time.Second
	calm        = 0.6
	crest       = 2.0
	// LongFactor is how much longer the long requests are.
	LongFactor = 50
	slowBy     = 10
	slowLag    = 5 * time.Second
	burst      = 4.0
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "Steady", Length: usualLength, Factor: always(calm)},
		{Name: "Crest", Length: usualLength, Factor: rise},
		{Name: "Burst", Length: usualLength, Factor: func(at time.Duration, cls Kind) float64 {
			if cls.Class.Tier == 3 && at > crestStart {
				return burst
			}
			return calm
		}},
		{Name: "Long", Length: usualLength, Factor: always(calm), Long: 6},
		{Name: "Slowed", Length: usualLength, Factor: always(calm), Faults: slowTwo()},
		{Name: "Killed", Length: usualLength, Factor: rise, Faults: []Fault{
			{At: 5 * time.Second, Do: func(flt *fleet.Fleet) error { return engine(flt, 0).Signal(syscall.SIGKILL) }},
			{At: 6 * time.Second, Do: func(flt *fleet.Fleet) error { return flt.Nodes[1].Signal(syscall.SIGKILL) }},
		}},
	}
}

func always(factor float64) func(time.Duration, Kind) float64 {
	return func(time.Duration, Kind) float64 { return factor }
}

// rise goes from calm to twice the capacity within two seconds and stays there.
func rise(at time.Duration, _ Kind) float64 {
	prg := float64(at-crestStart) / float64(crestRise)
	return calm + (crest-calm)*max(0, min(1, prg))
}

// slowTwo slows two engines tenfold for moments, while their load reports are late.
func slowTwo() (fts []Fault) {
	for beg := time.Second; beg < usualLength; beg += 2 * time.Second {
		for idx := range 2 {
			fts = append(fts,
				Fault{At: beg, Do: slow(idx, stand.Faults{Slow: slowBy, LagMs: int(slowLag.Milliseconds())})},
				Fault{At: beg + time.Second, Do: slow(idx, stand.Faults{LagMs: int(slowLag.Milliseconds())})})
		}
	}
	return fts
}

func slow(idx int, set stand.Faults) func(flt *fleet.Fleet) error {
	return func(flt *fleet.Fleet) error { return fleet.SetFaults(engine(flt, idx), set) }
}

func engine(flt *fleet.Fleet, idx int) *fleet.Process {
	return flt.Upstreams[flt.Config.Pools[0].Upstreams[idx].Name]
}

// shares are the parts of the capacity and the answer lengths of the streamed classes, by tier.
var shares = map[int]Kind{
	0: {Share: 0.25, Tokens: 20},
	1: {Share: 0.15, Tokens: 30},
	3: {Share: 0.40, Tokens: 100},
	4: {Share: 0.20, Tokens: 200},
}

// Kinds returns the classes of a deployment that send chat requests.
func Kinds(cls []router.Class) (knd []Kind) {
	for _, one := range cls {
		shr, fnd := shares[one.Tier]
		if !fnd || one.BetweenTokens == 0 && one.Tier == 0 {
			continue
		}
		shr.Class = one
		knd = append(knd, shr)
	}
	return knd
}

// length draws an answer length around the mean; most are short and a few are several times the mean.
func (knd Kind) length(rnd *rand.Rand) int {
	return 1 + min(int(rnd.ExpFloat64()*float64(knd.Tokens)), 5*knd.Tokens)
}
