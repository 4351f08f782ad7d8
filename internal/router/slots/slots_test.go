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

func TestDivide(t *testing.T) {
	for name, tst := range map[string]struct {
		slots    int
		needs    []slots.Need
		minimums [router.MaxTier + 1]float64
		want     []int
	}{
		"nothing wanted is spread": {
			slots: 5, needs: []slots.Need{{Node: "a"}, {Node: "b"}}, want: []int{3, 2},
		},
		"the higher tier goes first": {
			slots: 4,
			needs: []slots.Need{{Waiting: router.TierCounts{4}}, {Waiting: router.TierCounts{0, 0, 0, 4}}},
			want:  []int{4, 0},
		},
		"a lower tier keeps its minimum": {
			slots:    4,
			needs:    []slots.Need{{Waiting: router.TierCounts{8}}, {Waiting: router.TierCounts{0, 0, 0, 4}}},
			minimums: [router.MaxTier + 1]float64{0, 0, 0, 0.25},
			want:     []int{3, 1},
		},
		"slots stay with who uses them among equals": {
			slots: 4,
			needs: []slots.Need{{Held: router.TierCounts{0, 0, 0, 4}}, {Waiting: router.TierCounts{0, 0, 0, 4}}},
			want:  []int{4, 0},
		},
		"who leaves gets no standing slots": {
			slots: 4, needs: []slots.Need{{Leaving: true}, {}}, want: []int{0, 4},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := slots.Divide(tst.slots, tst.needs, tst.minimums)
			if fmt.Sprint(got) != fmt.Sprint(tst.want) {
				t.Fatalf("got %v, want %v", got, tst.want)
			}
		})
	}
}

func TestFairSharesAddUp(t *testing.T) {
	nds := []string{"a", "b", "c", "d", "e", "f"}
	for size := range 40 {
		ups := router.Upstream{Name: fmt.Sprint("u", size), Slots: size}
		sum := 0
		for _, nod := range nds {
			sum += slots.FairShare(ups, nod, nds)
		}
		if sum != size {
			t.Fatalf("shares of %d slots add up to %d", size, sum)
		}
	}
}

// TestNoSlotTwice plays holders that obey late or not at all, and adds up what they may use.
func TestNoSlotTwice(t *testing.T) {
	tms := timer.NewManual(time.Unix(1000, 0))
	hom := slots.NewHome(tms, func(string, []*wire.SlotLimit) {})
	ups := router.Upstream{Name: "u", Slots: 8}
	nds := []string{"a", "b", "c"}
	obeyed := make(map[string]uint32)
	shr := slots.Share{Upstream: ups, Fair: func(node string) int { return slots.FairShare(ups, node, nds) }}
	for step := range 400 {
		tms.Advance(50 * time.Millisecond)
		nod := nds[step%len(nds)]
		// The demand moves from node to node.
		dmd := &wire.SlotDemand{Upstream: "u", Limit: obeyed[nod], Held: []uint32{obeyed[nod]}, Waiting: []uint32{0}}
		if step/60%len(nds) == step%len(nds) {
			dmd.Waiting[0] = 8
		} else {
			dmd.Held[0] = min(obeyed[nod], 1)
		}
		lim := hom.Report(nod, false, dmd, shr)
		// Every third answer is lost; its holder goes on as before.
		if step%3 != 2 || step%5 != 0 {
			obeyed[nod] = lim.GetLimit()
		}
		sum := uint32(0)
		for _, val := range obeyed {
			sum += val
		}
		if sum > uint32(ups.Slots) {
			t.Fatalf("step %d: holders may use %d of %d slots: %v", step, sum, ups.Slots, obeyed)
		}
	}
	if obeyed["a"]+obeyed["b"]+obeyed["c"] < 6 {
		t.Fatalf("slots lie idle: %v", obeyed)
	}
}
