package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/slots"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// TestDivide guards against a division that ignores priority, minimums, running requests or shutdown.
func TestDivide(t *testing.T) {
	for name, tst := range map[string]struct {
		slots    int
		demands  []slots.HolderDemand
		minimums [router.MaxTier + 1]float64
		want     []int
	}{
		"without demand, slots are spread evenly": {
			slots: 5, demands: []slots.HolderDemand{{Node: "a"}, {Node: "b"}}, want: []int{3, 2},
		},
		"the tier of highest priority is served first": {
			slots:   4,
			demands: []slots.HolderDemand{{Waiting: router.TierCounts{4}}, {Waiting: router.TierCounts{0, 0, 0, 4}}},
			want:    []int{4, 0},
		},
		"a lower tier keeps its minimum": {
			slots:    4,
			demands:  []slots.HolderDemand{{Waiting: router.TierCounts{8}}, {Waiting: router.TierCounts{0, 0, 0, 4}}},
			minimums: [router.MaxTier + 1]float64{0, 0, 0, 0.25},
			want:     []int{3, 1},
		},
		"within a tier, running requests keep their slots": {
			slots:   4,
			demands: []slots.HolderDemand{{Held: router.TierCounts{0, 0, 0, 4}}, {Waiting: router.TierCounts{0, 0, 0, 4}}},
			want:    []int{4, 0},
		},
		"a leaving holder gets no standing slots": {
			slots: 4, demands: []slots.HolderDemand{{Leaving: true}, {}}, want: []int{0, 4},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := slots.Divide(tst.slots, tst.demands, tst.minimums)
			if fmt.Sprint(got) != fmt.Sprint(tst.want) {
				t.Fatalf("got %v, want %v", got, tst.want)
			}
		})
	}
}

// TestFairSharesSumToSlots guards against slots that no node, or more than one node, may use when the slots
// do not divide evenly.
func TestFairSharesSumToSlots(t *testing.T) {
	nds := []string{"a", "b", "c", "d", "e", "f"}
	for size := range 40 {
		ups := router.Upstream{Name: fmt.Sprint("u", size), Slots: size}
		sum := 0
		for _, nod := range nds {
			sum += slots.FairShare(ups, nod, nds)
		}
		if sum != size {
			t.Fatalf("fair shares of %d slots add up to %d", size, sum)
		}
	}
}

// TestSlotsNeverGrantedTwice guards against overcommitting an upstream when holders apply a
// lowered limit late, because replies are lost and pushed limits never arrive.
func TestSlotsNeverGrantedTwice(t *testing.T) {
	tms := timer.NewManual(time.Unix(1000, 0))
	alc := slots.NewAllocator(tms, func(string, []*wire.SlotLimit) {})
	ups := router.Upstream{Name: "u", Slots: 8}
	nds := []string{"a", "b", "c"}
	inForce := make(map[string]uint32)
	alp := slots.AllocationPolicy{Upstream: ups, FairShare: func(node string) int { return slots.FairShare(ups, node, nds) }}
	for step := range 400 {
		tms.Advance(50 * time.Millisecond)
		nod := nds[step%len(nds)]
		// The demand moves from node to node.
		dmd := &wire.SlotDemand{Upstream: "u", Limit: inForce[nod], Held: []uint32{inForce[nod]}, Waiting: []uint32{0}}
		if step/60%len(nds) == step%len(nds) {
			dmd.Waiting[0] = 8
		} else {
			dmd.Held[0] = min(inForce[nod], 1)
		}
		lim := alc.Report(nod, false, dmd, alp)
		// Some replies are lost: their holders keep the limits that they had.
		if step%3 != 2 || step%5 != 0 {
			inForce[nod] = lim.GetLimit()
		}
		sum := uint32(0)
		for _, val := range inForce {
			sum += val
		}
		if sum > uint32(ups.Slots) {
			t.Fatalf("step %d: holders may use %d of %d slots: %v", step, sum, ups.Slots, inForce)
		}
	}
	if inForce["a"]+inForce["b"]+inForce["c"] < 6 {
		t.Fatalf("fewer than 6 of 8 slots are granted: %v", inForce)
	}
}
