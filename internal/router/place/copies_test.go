package place

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// TestHotPrefixBehindQueue has a hot prefix whose engine has a queue. It guards against copying tokens because they are small,
// where waiting costs less than moving them, and against copies that take longer than prefilling the tokens again.
func TestHotPrefixBehindQueue(t *testing.T) {
	const small, large, fast, slow = 18432, 327680, 60e9, 1e9
	cases := map[string]struct {
		tokenBytes, copySpeed float64
		queue                 time.Duration
		moved, copied         bool
	}{
		"small tokens, short queue": {tokenBytes: small, copySpeed: fast, queue: 1100 * time.Millisecond},
		"large tokens, short queue": {tokenBytes: large, copySpeed: fast, queue: 1100 * time.Millisecond},
		"small tokens, long queue":  {tokenBytes: small, copySpeed: fast, queue: 2 * time.Second, moved: true, copied: true},
		"large tokens, long queue":  {tokenBytes: large, copySpeed: fast, queue: 2 * time.Second, moved: true, copied: true},
		"slow link, long queue":     {tokenBytes: large, copySpeed: slow, queue: 4 * time.Second, moved: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod := newModel(1, 12, 0, 0, nil)
			req := mod.prompt(13300, 3720, 100, 1, 2*time.Second, time.Second)()
			req.Engine = &router.EngineSpec{TokenBytes: cas.tokenBytes, CopySpeed: cas.copySpeed}
			home := mod.send(0, req)
			home.ObserveEvent()
			home.Release(Served)
			pnd := InFlight{}
			pnd.Pending[0] = int(defaultRate * float64(cas.queue.Milliseconds()))
			mod.nodes[0].SetPeerLoads("peer", map[uint64]InFlight{home.load.id: pnd})
			cal := mod.send(0, req)
			if moved, copied := cal.engine != home.engine, cal.Source != ""; moved != cas.moved || copied != cas.copied {
				t.Errorf("moved is %t, copied is %t", moved, copied)
			}
		})
	}
}

// TestCopiesQueueOnLink has a burst of calls with one hot prefix. It guards against the time on the link being counted as if
// each copy had the link for itself.
func TestCopiesQueueOnLink(t *testing.T) {
	mod := newModel(1, 24, 0, 0, nil)
	req := mod.prompt(13300, 3720, 100, 1, 2*time.Second, time.Second)()
	req.Engine = &router.EngineSpec{TokenBytes: 327680, CopySpeed: 20e9}
	home := mod.send(0, req)
	home.ObserveEvent()
	home.Release(Served)
	for range 60 {
		mod.send(0, req)
	}
	// One copy takes 218 ms; prefilling 13,300 tokens takes 333 ms, and a miss of the target costs more than either.
	if wait := home.load.linkWait(mod.timers.Now()); wait <= 0 || wait > 2*time.Second {
		t.Errorf("the link is occupied for %v", wait)
	}
}
