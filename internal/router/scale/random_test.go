package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// TestRandomFaults plays seeded loads and faults. It guards against orders that no state may lead to: above the maximum, within the pause
// after a refusal, and cuts in the first minute, of too many upstreams, or below what the calls in flight need.
func TestRandomFaults(t *testing.T) {
	// In seed 352, an order of a new holder was repeated when the upstreams that the old one had ordered served already.
	for seed := range uint64(61) {
		if seed == 60 {
			seed = 352
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			level, phase := 20+rnd.IntN(40), rnd.IntN(100)
			bursts := make(map[int]int)
			cld := newCloud(func(sec int) int {
				num := float64(level) * (1 + 0.4*math.Sin(float64(sec+phase)/20))
				return int(num) + bursts[sec/8]
			})
			for range 5 {
				bursts[rnd.IntN(50)] = level
			}
			for _, grp := range allGroups {
				cld.set(grp, rnd.IntN(6), 0)
			}
			cld.verify = verifier(t, cld)
			spc := spec
			spc.SpotPrice = 0.4
			defer cld.start(&spc, &router.EngineSpec{Slots: 10, CacheTokens: 10000})()
			for range 400 {
				disturb(cld, rnd)
				cld.Advance(time.Second)
			}
		})
	}
}

// disturb begins and ends faults.
func disturb(cld *cloud, rnd *rand.Rand) {
	dom := string(rune('a' + rnd.IntN(3)))
	switch rnd.IntN(150) {
	case 0:
		cld.reclaim(dom)
		cld.refuse[Group{FailureDomain: dom, Spot: true}] = true
	case 1:
		cld.crash(dom, 1+rnd.IntN(3), true)
	case 2:
		refuseAll(cld, true)
	case 3:
		cld.lost = true
	case 4:
		cld.down = true
	case 5:
		cld.fence++
	case 6:
		cld.blind = true
	case 7, 8, 9, 10, 11, 12, 13, 14, 15, 16:
		refuseAll(cld, false)
		cld.crash(dom, 100, false)
		cld.lost, cld.down, cld.blind = false, false, false
	}
}

// verifier returns a function that checks each order.
func verifier(t *testing.T, cld *cloud) func(grp Group, count int, refused bool) {
	refusedAt, cuts := make(map[Group]int), make(map[string][]int)
	fence := cld.fence
	return func(grp Group, count int, refused bool) {
		sec, now := cld.second(), cld.number(grp)
		both := count + cld.number(Group{FailureDomain: grp.FailureDomain, Spot: !grp.Spot})
		if fence != cld.fence {
			// The next holder does not know the refusals.
			refusedAt, fence = make(map[Group]int), cld.fence
		}
		if both > spec.Max && count > now {
			t.Errorf("%d s: %v %d makes %d in the failure domain", sec, grp, count, both)
		}
		if at, fnd := refusedAt[grp]; fnd && sec-at < 5 {
			t.Errorf("%d s: %v %d was refused at %d s", sec, grp, count, at)
		}
		delete(refusedAt, grp)
		if refused {
			refusedAt[grp] = sec
		}
		if count >= now || cld.lost || cld.down {
			return
		}
		recent := append(slices.DeleteFunc(cuts[grp.FailureDomain], func(at int) bool { return sec-at >= 5 }), sec)
		cuts[grp.FailureDomain] = recent
		left := cld.serving() - (now - count)
		if sec < 60 || now-count > max(1, (both-count+now)/10) || len(recent) > 2 || float64(cld.load(sec)) > 0.7*float64(10*left) {
			t.Errorf("%d s: %v cut from %d to %d, the %d. cut in 5 s, %d left for %d calls", sec, grp, now, count, len(recent), left, cld.load(sec))
		}
	}
}
