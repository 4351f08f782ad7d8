package slots

import (
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Alone is a router.Limits that gives every live node its fair share.
type Alone struct {
	self  string
	mut   sync.RWMutex
	nodes []string
	// shares holds the fair shares computed for the present nodes.
	shares map[string]int
}

// NewAlone returns an Alone of a node that knows no other.
func NewAlone(self string) *Alone {
	return &Alone{self: self, nodes: []string{self}, shares: make(map[string]int)}
}

// SetNodes sets the live nodes, this one included.
func (aln *Alone) SetNodes(nds []string) {
	aln.mut.Lock()
	defer aln.mut.Unlock()
	if slices.Equal(nds, aln.nodes) {
		return
	}
	aln.nodes = append([]string(nil), nds...)
	aln.shares = make(map[string]int)
}

// Limit returns the node's part of an upstream's slots.
func (aln *Alone) Limit(ups router.Upstream) (slots int) {
	aln.mut.RLock()
	shr, fnd := aln.shares[ups.Name]
	aln.mut.RUnlock()
	if fnd {
		return shr
	}
	aln.mut.Lock()
	defer aln.mut.Unlock()
	shr = FairShare(ups, aln.self, aln.nodes)
	aln.shares[ups.Name] = shr
	return shr
}

// ReportShortage does nothing.
func (aln *Alone) ReportShortage() {}

// FairShare returns a node's part of an upstream's slots, so that all parts add up to the slots.
//
// Slots that do not divide evenly go to the nodes that rank first for the
// upstream; with fewer slots than nodes, each upstream thus serves a subset.
func FairShare(ups router.Upstream, self string, nodes []string) int {
	if len(nodes) == 0 {
		return ups.Slots
	}
	shr := ups.Slots / len(nodes)
	if Rank(ups.Name, self, nodes) < ups.Slots%len(nodes) {
		shr++
	}
	return shr
}

// Rank returns a node's place among nodes in the rendezvous order of a key.
func Rank(key, self string, nodes []string) (rank int) {
	own := weight(key, self)
	for _, nod := range nodes {
		if nod != self && weight(key, nod) > own {
			rank++
		}
	}
	return rank
}

// First returns the node that is first in the rendezvous order of a key, or "".
func First(key string, nodes []string) (best string) {
	var top uint64
	for _, nod := range nodes {
		if wgt := weight(key, nod); best == "" || wgt > top {
			top, best = wgt, nod
		}
	}
	return best
}

// Subset returns the size upstreams that a node works with: those of its own region first, in rendezvous order.
func Subset(self string, ups []router.Upstream, remote func(domain string) bool, size int) (res []router.Upstream) {
	res = append(res, ups...)
	sort.SliceStable(res, func(one, two int) bool {
		rmo, rmt := remote(res[one].FailureDomain), remote(res[two].FailureDomain)
		if rmo != rmt {
			return rmt
		}
		return weight(self, res[one].Name) > weight(self, res[two].Name)
	})
	return res[:min(size, len(res))]
}

func weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
