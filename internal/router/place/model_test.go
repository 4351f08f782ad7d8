package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// modelCall is a call at an engine of the model.
type modelCall struct {
	*Reservation

	engine *modelEngine
	req    Request
	node   int
	sent   time.Time
	// unread is how many tokens the engine still prefills, left how many events still follow.
	unread, left float64
	first        time.Duration
	sinceEvent   time.Duration
}

// modelEngine is an engine that prefills its prompts one after the other and streams events in between. A call starts once the
// cache has room for it.
type modelEngine struct {
	speed, stepMs float64
	capacity      int
	calls         []*modelCall
	// cached maps the prefixes in the cache to their last use.
	cached map[uint64]time.Time
	prefix map[uint64]int
}

// model is a fleet of nodes and engines.
type model struct {
	timers  *timer.Manual
	nodes   []*Balancer
	engines map[string]*modelEngine
	list    []router.Instance
	done    []*modelCall
	random  *rand.Rand
	// exchange is set if nodes tell each other their loads and rates.
	exchange bool
	// blind is set if nodes don't know the capacity of caches; they place calls as before memory was considered.
	blind bool
}

const tick = 5 * time.Millisecond

// newModel returns a model; every engine whose number is a multiple of slowEvery has 0.45 of the speed of the others.
func newModel(nodes, engines, slowEvery, capacity int, targets []time.Duration) *model {
	mod := &model{timers: timer.NewManual(time.Unix(1000, 0)), engines: make(map[string]*modelEngine), random: rand.New(rand.NewPCG(3, 4)), exchange: true}
	for range nodes {
		bal := New(Options{Timers: mod.timers, FailureDomain: "a", Regions: map[string]string{"a": "one"}})
		bal.SetGapTargets("s", targets)
		mod.nodes = append(mod.nodes, bal)
	}
	for num := range engines {
		ins := router.Instance{ID: fmt.Sprintf("e%03d", num), Address: fmt.Sprintf("e%03d", num), FailureDomain: "a"}
		mod.list = append(mod.list, ins)
		eng := &modelEngine{speed: 60, stepMs: 8, capacity: capacity, cached: make(map[uint64]time.Time), prefix: make(map[uint64]int)}
		if slowEvery > 0 && num%slowEvery == 0 {
			eng.speed, eng.stepMs = 0.45*eng.speed, eng.stepMs/0.45
		}
		mod.engines[ins.ID] = eng
	}
	return mod
}

// send places a call by a node.
func (mod *model) send(node int, req Request) *modelCall {
	req.Service = "s"
	ins, rsv, _ := mod.nodes[node].Choose(req, mod.list, func(router.Instance) bool { return false })
	cal := &modelCall{Reservation: rsv, engine: mod.engines[ins.ID], req: req, node: node, sent: mod.timers.Now(), unread: float64(req.PromptTokens), left: float64(req.OutputTokens)}
	for _, pfx := range req.Prefixes {
		if _, fnd := cal.engine.cached[pfx.Hash]; fnd || rsv.Source != "" {
			cal.unread = float64(req.PromptTokens - pfx.Tokens)
		}
		cal.engine.cached[pfx.Hash], cal.engine.prefix[pfx.Hash] = mod.timers.Now(), pfx.Tokens
	}
	cal.engine.calls = append(cal.engine.calls, cal)
	return cal
}

// occupied returns the tokens that the calls in flight before a call, and the call, need.
func (eng *modelEngine) occupied(upTo *modelCall) (sum int) {
	seen := make(map[uint64]bool)
	for _, cal := range eng.calls {
		sum += cal.req.PromptTokens + cal.req.OutputTokens
		if num := len(cal.req.Prefixes); num > 0 {
			pfx := cal.req.Prefixes[num-1]
			if seen[pfx.Hash] {
				sum -= pfx.Tokens
			}
			seen[pfx.Hash] = true
		}
		if cal == upTo {
			break
		}
	}
	return sum
}

// advance runs the engine for one tick.
func (mod *model) advance(eng *modelEngine) {
	now, budget := mod.timers.Now(), eng.speed*float64(tick.Milliseconds())
	for _, cal := range slices.Clone(eng.calls) {
		if cal.unread > 0 {
			if budget <= 0 || eng.capacity > 0 && eng.occupied(cal) > eng.capacity {
				continue
			}
			used := min(budget, cal.unread)
			budget -= used
			if cal.unread -= used; cal.unread == 0 {
				cal.first = now.Sub(cal.sent)
				cal.ObserveEvent()
			}
			continue
		}
		cal.sinceEvent += tick
		if step := time.Duration(eng.stepMs * float64(time.Millisecond)); cal.sinceEvent >= step {
			cal.left -= float64(cal.sinceEvent) / float64(step)
			cal.sinceEvent = 0
			cal.ObserveEvent()
		}
		if cal.left <= 0 {
			cal.Release(Served)
			eng.calls = slices.DeleteFunc(eng.calls, func(oth *modelCall) bool { return oth == cal })
			mod.done = append(mod.done, cal)
		}
	}
}

// run has each node send calls at a rate in calls per second for some time, of the kinds in turn.
func (mod *model) run(dur time.Duration, perSecond float64, kinds ...func() Request) {
	for num := 0; num < int(dur/tick); num++ {
		mod.timers.Advance(tick)
		for node := range mod.nodes {
			if mod.random.Float64() < perSecond*tick.Seconds() {
				mod.send(node, kinds[mod.random.IntN(len(kinds))]())
			}
		}
		for _, ins := range mod.list {
			mod.advance(mod.engines[ins.ID])
		}
		if mod.exchange && num%int(100*time.Millisecond/tick) == 0 {
			mod.share()
		}
	}
}

// share has all nodes exchange digests.
func (mod *model) share() {
	for num, bal := range mod.nodes {
		infs, dems, pls := bal.LocalLoads(), bal.LocalDemand(), bal.DrainPlacements()
		rates := make(map[uint64]float64)
		for id := range infs {
			if rate := bal.LocalRate(id); rate > 0 {
				rates[id] = rate
			}
		}
		for oth, peer := range mod.nodes {
			if oth != num {
				name := fmt.Sprint(num)
				peer.SetPeerLoads(name, infs)
				peer.SetPeerRates(name, rates)
				peer.SetPeerDemand(name, dems)
				peer.AddPeerPlacements(pls)
			}
		}
	}
}

// prompt returns a maker of calls that share one of a number of prefixes.
func (mod *model) prompt(shared, own, output, prefixes int, target, gap time.Duration) func() Request {
	return func() Request {
		part := uint64(mod.random.IntN(prefixes) + 1000*shared)
		spec := &router.EngineSpec{Slots: 64, CacheTokens: mod.engines[mod.list[0].ID].capacity}
		if mod.blind {
			spec.CacheTokens = 0
		}
		return Request{
			Prefixes: SharedPrefixes([]router.PromptPart{{ID: part, Tokens: shared}, {ID: 1, Tokens: own}}), PromptTokens: shared + own, OutputTokens: output,
			Target: target, GapTarget: gap, Ranks: router.Ranks{InTime: 1, Late: 2}, Engine: spec,
		}
	}
}

// TestNodesWithFewRequestsKnowSlowEngines has 12 nodes see two requests a second each, at 24 engines a quarter of which are
// slow. It guards against every node expecting the default speed of engines that it sends hardly any call to.
func TestNodesWithFewRequestsKnowSlowEngines(t *testing.T) {
	cases := map[string]struct{ exchange, known bool }{
		"rates exchanged":       {exchange: true, known: true},
		"own observations only": {},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := newModel(12, 24, 4, 0, nil)
			mod.exchange = cas.exchange
			mod.run(15*time.Second, 2, mod.prompt(6300, 2890, 60, 30, 800*time.Millisecond, 400*time.Millisecond))
			known := 0
			for _, bal := range mod.nodes {
				slow, fast := 0.0, 1000.0
				for _, ins := range mod.list {
					rate := bal.loadOf(ins).snapshot(mod.timers.Now()).prefillRate
					switch {
					case mod.engines[ins.ID].speed < 50:
						slow = max(slow, rate)
					case rate != defaultRate:
						// Not every engine gets a call.
						fast = min(fast, rate)
					}
				}
				if slow < 0.85*fast {
					known++
				}
			}
			if (known == len(mod.nodes)) != cas.known {
				t.Errorf("%d of %d nodes expect all slow engines to be slower than the others", known, len(mod.nodes))
			}
		})
	}
}
