package pick

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Random picks any candidate.
type Random struct {
	mut sync.Mutex
	rnd *rand.Rand
}

// NewRandom returns a Random with a seed.
func NewRandom(seed uint64) *Random {
	return &Random{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the index of a random candidate.
func (rdm *Random) Pick(_ router.SlotRequest, can []router.Candidate) (idx int) {
	rdm.mut.Lock()
	defer rdm.mut.Unlock()
	return rdm.rnd.IntN(len(can))
}

// LeastInFlight picks the candidate with the fewest requests of this node.
type LeastInFlight struct{}

// Pick returns the index of the candidate with the fewest requests in flight.
func (LeastInFlight) Pick(ask router.SlotRequest, can []router.Candidate) (idx int) {
	return lowest(ask, can, func(one router.Candidate) float64 { return float64(one.InFlight) })
}

// Observed picks by the node's own observation of speed, by load and by distance.
//
// A request with a prompt prefix goes to the prefix's preferred upstream, by
// rendezvous hashing, unless that is remote, slow, or loaded above the average
// by more than affinitySlack.
type Observed struct{}

const (
	// affinitySlack is the load relative to the mean up to which prefix affinity holds.
	affinitySlack = 1.25
	// slowLimit is the slowdown from which an upstream loses prefix affinity.
	slowLimit = 1.5
	// remoteCost multiplies the score of an upstream behind the inter-region link.
	remoteCost = 4.0
)

// Pick returns the index of the candidate with the lowest score.
func (Observed) Pick(ask router.SlotRequest, can []router.Candidate) (idx int) {
	if ask.Affinity != 0 {
		if idx := preferred(ask.Affinity, can); affine(can[idx], can) {
			return idx
		}
	}
	return lowest(ask, can, score)
}

// lowest returns the index of the candidate with the lowest score; among equals the request decides, so that
// nodes do not all choose the same one.
func lowest(ask router.SlotRequest, can []router.Candidate, score func(router.Candidate) float64) (idx int) {
	first := int(xxhash.Sum64String(ask.RequestID) % uint64(len(can)))
	idx = first
	for off := range can {
		num := (first + off) % len(can)
		if score(can[num]) < score(can[idx]) {
			idx = num
		}
	}
	return idx
}

// score estimates the relative time that one more request takes on an upstream.
func score(can router.Candidate) float64 {
	lod := float64(can.InFlight+1) / float64(max(can.Upstream.Slots, 1))
	scr := (1 + lod) * can.Slowdown
	if can.Remote {
		scr *= remoteCost
	}
	return scr
}

func preferred(affinity uint64, can []router.Candidate) (best int) {
	var top uint64
	for idx, one := range can {
		if wgt := Weight(affinity, one.Upstream.Name); wgt >= top {
			top = wgt
			best = idx
		}
	}
	return best
}

// Weight returns the rendezvous weight of a name for a key.
func Weight(key uint64, name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(key, 16) + "/" + name)
}

func affine(one router.Candidate, can []router.Candidate) bool {
	sum := 0
	for _, oth := range can {
		sum += oth.InFlight
	}
	avg := float64(sum+1) / float64(len(can))
	return !one.Remote && one.Slowdown < slowLimit && float64(one.InFlight) < affinitySlack*avg
}
