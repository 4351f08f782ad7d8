package pick

import (
	"math/rand/v2"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Random picks a candidate uniformly at random.
type Random struct {
	mut sync.Mutex
	rnd *rand.Rand
}

// NewRandom returns a Random with a seeded generator.
func NewRandom(seed uint64) *Random {
	return &Random{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the index of a random candidate.
func (rdm *Random) Pick(_ router.SlotRequest, can []router.Candidate) (idx int) {
	rdm.mut.Lock()
	defer rdm.mut.Unlock()
	return rdm.rnd.IntN(len(can))
}

// LeastInFlight picks the candidate on which this node has the fewest requests in flight.
type LeastInFlight struct{}

// Pick returns the index of the candidate with the fewest requests in flight.
func (LeastInFlight) Pick(req router.SlotRequest, can []router.Candidate) (idx int) {
	return lowestScore(req, can, func(one router.Candidate) float64 { return float64(one.InFlight) })
}

// Observed picks the candidate with the lowest expected service time, which it estimates from the load, the region
// and the slowdown that this node observes.
//
// A request with an affinity key goes to the upstream that rendezvous hashing assigns to the key, where the
// prompt's prefix is likely in its KV cache, unless that upstream is remote, slow or overloaded.
type Observed struct{}

const (
	// maxAffinityLoad is the load, relative to the mean of the candidates, below which an upstream keeps affinity.
	maxAffinityLoad = 1.25
	// maxAffinitySlowdown is the slowdown from which an upstream loses affinity.
	maxAffinitySlowdown = 1.5
	// remoteFactor multiplies the score of an upstream in another region.
	remoteFactor = 4.0
)

// Pick returns the index of the candidate with the lowest score.
func (Observed) Pick(req router.SlotRequest, can []router.Candidate) (idx int) {
	if req.Affinity != 0 {
		if idx := preferred(req.Affinity, can); affinityHolds(can[idx], can) {
			return idx
		}
	}
	return lowestScore(req, can, score)
}

// lowestScore returns the index of the candidate with the lowest score. Ties are broken by a hash of the request
// id, so that nodes do not all choose the same upstream.
func lowestScore(req router.SlotRequest, can []router.Candidate, score func(router.Candidate) float64) (idx int) {
	first := int(xxhash.Sum64String(req.RequestID) % uint64(len(can)))
	idx = first
	for off := range can {
		num := (first + off) % len(can)
		if score(can[num]) < score(can[idx]) {
			idx = num
		}
	}
	return idx
}

// score estimates the time that one more request takes on an upstream, relative to a local upstream
// of usual speed that is nearly idle.
func score(can router.Candidate) float64 {
	lod := float64(can.InFlight+1) / float64(max(can.Upstream.Slots, 1))
	scr := (1 + lod) * can.Slowdown
	if can.Remote {
		scr *= remoteFactor
	}
	return scr
}

// preferred returns the index of the candidate with the highest rendezvous weight for an affinity key.
func preferred(affinity uint64, can []router.Candidate) (best int) {
	var top uint64
	for idx, one := range can {
		if wgt := rendezvousWeight(affinity, one.Upstream.Name); wgt >= top {
			top = wgt
			best = idx
		}
	}
	return best
}

// rendezvousWeight returns the weight of an upstream for a key in rendezvous hashing.
func rendezvousWeight(key uint64, name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(key, 16) + "/" + name)
}

// affinityHolds reports whether a candidate is local, fast and lightly loaded enough to be used for affinity.
func affinityHolds(one router.Candidate, can []router.Candidate) bool {
	sum := 0
	for _, oth := range can {
		sum += oth.InFlight
	}
	avg := float64(sum+1) / float64(len(can))
	return !one.Remote && one.Slowdown < maxAffinitySlowdown && float64(one.InFlight) < maxAffinityLoad*avg
}
