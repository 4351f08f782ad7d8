package place

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// warm has a node see enough prompts to know that cache memory is scarce, and returns the last of them.
func (mod *model) warm(kind func() Request) (cal *modelCall) {
	for range minPrompts + 5 {
		cal = mod.send(0, kind())
		cal.ObserveEvent()
		mod.timers.Advance(50 * time.Millisecond)
		cal.Release(Served)
	}
	return cal
}

// TestHotPrefixAtFullEngine has a hot prefix whose engine is full of running calls of peers. It guards against calls waiting
// there for memory or a slot although prefilling the prefix elsewhere takes less time.
func TestHotPrefixAtFullEngine(t *testing.T) {
	const capacity = 500000
	cases := map[string]struct {
		blind bool
		load  InFlight
		moved bool
	}{
		"memory is free":                      {load: InFlight{Running: 10, CacheTokens: 40000}},
		"memory is full":                      {load: InFlight{Running: 40, CacheTokens: 4 * capacity}, moved: true},
		"memory is full, capacity is unknown": {blind: true, load: InFlight{Running: 40, CacheTokens: 4 * capacity}},
		"slots are taken":                     {load: InFlight{Running: 120, CacheTokens: 40000}, moved: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := newModel(1, 12, 0, capacity, nil)
			mod.blind = cas.blind
			hot := mod.prompt(13300, 3720, 100, 1, 2500*time.Millisecond, time.Second)
			home := mod.warm(hot)
			for class := range home.service.memory.residence {
				home.service.memory.residence[class] = average{value: 4000, count: 1}
			}
			mod.nodes[0].SetPeerLoads("peer", map[uint64]InFlight{home.load.id: cas.load})
			if cal := mod.send(0, hot()); (cal.engine != home.engine) != cas.moved {
				t.Errorf("the call went to another engine: %t", cal.engine != home.engine)
			}
		})
	}
}

// TestCacheThatTurnedOver has an engine get calls with other prefixes after one. It guards against counting a prefix as cached
// that the engine has evicted since.
func TestCacheThatTurnedOver(t *testing.T) {
	cases := map[string]struct {
		blind, busy bool
		cached      bool
	}{
		"busy engine":                      {busy: true},
		"idle engine":                      {cached: true},
		"busy engine, capacity is unknown": {blind: true, busy: true, cached: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := newModel(1, 1, 0, 300000, nil)
			mod.blind = cas.blind
			hot := mod.prompt(13300, 3720, 100, 1, 2500*time.Millisecond, time.Second)
			mod.warm(hot)
			if cas.busy {
				mod.run(10*time.Second, 10, mod.prompt(6300, 2890, 100, 50, 800*time.Millisecond, 400*time.Millisecond))
			} else {
				mod.timers.Advance(10 * time.Second)
			}
			if cal := mod.send(0, hot()); (cal.PrefillTokens < 13300) != cas.cached {
				t.Errorf("the call prefills %d tokens by the estimate", cal.PrefillTokens)
			}
		})
	}
}

// TestSurgeOfLongPromptsWithLittleMemory has long prompts with hot prefixes arrive at twice the usual rate, at engines whose
// caches hold a few calls. It guards against calls that wait for memory at the engines with their prefixes while others have
// memory left.
func TestSurgeOfLongPromptsWithLittleMemory(t *testing.T) {
	late := make(map[bool]float64)
	for _, blind := range []bool{true, false} {
		mod := newModel(6, 12, 0, 150000, nil)
		mod.blind = blind
		long := mod.prompt(13300, 3720, 700, 6, 2500*time.Millisecond, time.Second)
		mod.run(5*time.Second, 4, long)
		mod.run(6*time.Second, 12, long)
		mod.run(8*time.Second, 2, long)
		for _, cal := range mod.done {
			if cal.first > cal.req.Target {
				late[blind] += 1 / float64(len(mod.done))
			}
		}
		t.Logf("capacity unknown %t: %d calls, %.3f late", blind, len(mod.done), late[blind])
	}
	if late[false] >= late[true] {
		t.Errorf("%.3f of the calls are late, %.3f without regard to memory", late[false], late[true])
	}
}

// BenchmarkChooseWithScarceMemory measures the time to choose an engine with all terms in use: slow engines, copies, prefixes at
// many engines, and scarce memory.
func BenchmarkChooseWithScarceMemory(b *testing.B) {
	mod := newModel(1, 140, 4, 500000, routeTargets)
	kind := mod.prompt(13300, 3720, 100, 200, 2500*time.Millisecond, time.Second)
	mod.warm(kind)
	for b.Loop() {
		req := kind()
		req.Engine.TokenBytes, req.Engine.CopySpeed = 18432, 60e9
		mod.timers.Advance(2 * time.Millisecond)
		_, rsv, _ := mod.nodes[0].Choose(req, mod.list, func(router.Instance) bool { return false })
		rsv.ObserveEvent()
		rsv.Release(Served)
	}
}

// TestPassedStatesReason has an engine with a hot prefix that is not chosen. It guards against log lines that give another
// reason than the one that kept the call away.
func TestPassedStatesReason(t *testing.T) {
	const capacity = 500000
	long := PendingTokens{8 * 40 * 2500}
	cases := map[string]struct {
		load InFlight
		slow float64
		want Passed
	}{
		"chosen":          {load: InFlight{Running: 10, CacheTokens: 40000}},
		"memory is full":  {load: InFlight{Running: 40, CacheTokens: 4 * capacity}, want: PassedMemory},
		"slots are taken": {load: InFlight{Running: 120, CacheTokens: 40000}, want: PassedSlots},
		"long queue":      {load: InFlight{Running: 50, Pending: long}, want: PassedQueue},
		"slow period":     {load: InFlight{Running: 50, GapRisk: 30}, slow: 4, want: PassedSlow},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := newModel(1, 12, 0, capacity, nil)
			hot := mod.prompt(13300, 3720, 100, 1, 2500*time.Millisecond, time.Second)
			home := mod.warm(hot)
			for class := range home.service.memory.residence {
				home.service.memory.residence[class] = average{value: 4000, count: 1}
			}
			mod.nodes[0].SetPeerLoads("peer", map[uint64]InFlight{home.load.id: cas.load})
			if cas.slow > 0 {
				mod.nodes[0].SetPeerSlowdown(home.load.id, cas.slow)
			}
			if cal := mod.send(0, hot()); cal.Passed != cas.want || cas.want == "" && cal.SavedTokens != 13300 {
				t.Errorf("passed %q, saved %d tokens", cal.Passed, cal.SavedTokens)
			}
		})
	}
}
