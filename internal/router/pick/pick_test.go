package pick_test

import (
	"fmt"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/pick"
)

func candidate(num, inFlight int, slow float64, remote bool) router.Candidate {
	ups := router.Upstream{Name: fmt.Sprint("u", num), Slots: 8}
	return router.Candidate{Upstream: ups, InFlight: inFlight, Slowdown: slow, Remote: remote}
}

// TestObserved guards against a choice that weighs load, slowdown and region wrongly against each other.
func TestObserved(t *testing.T) {
	for name, tst := range map[string]struct {
		can  []router.Candidate
		want int
	}{
		"prefers lower load":                       {[]router.Candidate{candidate(0, 3, 1, false), candidate(1, 1, 1, false)}, 1},
		"prefers faster upstream despite load":     {[]router.Candidate{candidate(0, 0, 10, false), candidate(1, 6, 1, false)}, 1},
		"prefers local upstream despite load":      {[]router.Candidate{candidate(0, 0, 1, true), candidate(1, 7, 1, false)}, 1},
		"prefers remote upstream if local is slow": {[]router.Candidate{candidate(0, 0, 1, true), candidate(1, 0, 10, false)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := (pick.Observed{}).Pick(router.SlotRequest{RequestID: name}, tst.can); got != tst.want {
				t.Fatalf("picked %d, want %d", got, tst.want)
			}
		})
	}
}

// TestTiesAreSpread guards against all requests going to the same one of several equal upstreams.
func TestTiesAreSpread(t *testing.T) {
	can := []router.Candidate{candidate(0, 0, 1, false), candidate(1, 0, 1, false), candidate(2, 0, 1, false)}
	for name, pck := range map[string]router.Picker{"Observed": pick.Observed{}, "LeastInFlight": pick.LeastInFlight{}, "Random": pick.NewRandom(1)} {
		seen := make(map[int]int)
		for num := range 300 {
			seen[pck.Pick(router.SlotRequest{RequestID: fmt.Sprint("request-", num)}, can)]++
		}
		for idx := range can {
			if seen[idx] < 50 {
				t.Fatalf("%s picked %v", name, seen)
			}
		}
	}
}

// TestAffinityIsBounded guards against a common prefix overloading its upstream: once that upstream is loaded well
// above the mean, further requests must go to others.
func TestAffinityIsBounded(t *testing.T) {
	can := []router.Candidate{candidate(0, 0, 1, false), candidate(1, 0, 1, false), candidate(2, 0, 1, false), candidate(3, 0, 1, false)}
	req := router.SlotRequest{RequestID: "r", Affinity: 42}
	fst := (pick.Observed{}).Pick(req, can)
	for range 30 {
		idx := (pick.Observed{}).Pick(req, can)
		can[idx].InFlight++
	}
	for idx := range can {
		if can[idx].InFlight > 10 || can[fst].InFlight < can[idx].InFlight {
			t.Fatalf("first choice %d, in flight %+v", fst, can)
		}
	}
}
