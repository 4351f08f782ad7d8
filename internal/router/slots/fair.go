package slots

import (
	"slices"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// FairLimiter is a router.SlotLimiter that grants every live node its fair share of each upstream.
type FairLimiter struct {
	self  string
	mut   sync.RWMutex
	nodes []string
	// shares caches this node's fair share by upstream name; SetNodes clears it.
	shares map[string]int
}

// NewFairLimiter returns a FairLimiter whose only live node is self, until SetNodes is called.
func NewFairLimiter(self string) *FairLimiter {
	return &FairLimiter{self: self, nodes: []string{self}, shares: make(map[string]int)}
}

// SetNodes replaces the names of the live nodes, which include this one.
func (flm *FairLimiter) SetNodes(nds []string) {
	flm.mut.Lock()
	defer flm.mut.Unlock()
	if slices.Equal(nds, flm.nodes) {
		return
	}
	flm.nodes = append([]string(nil), nds...)
	flm.shares = make(map[string]int)
}

// Limit returns this node's fair share of an upstream's slots.
func (flm *FairLimiter) Limit(ups router.Upstream) (slots int) {
	flm.mut.RLock()
	shr, fnd := flm.shares[ups.Name]
	flm.mut.RUnlock()
	if fnd {
		return shr
	}
	flm.mut.Lock()
	defer flm.mut.Unlock()
	shr = FairShare(ups, flm.self, flm.nodes)
	flm.shares[ups.Name] = shr
	return shr
}

// ReportShortage does nothing: fair shares do not depend on demand.
func (flm *FairLimiter) ReportShortage() {}

// FairShare returns a node's equal share of an upstream's slots. The shares of all nodes add up to the slots.
//
// The remainder goes to the nodes with the lowest rendezvous rank for the
// upstream. An upstream with fewer slots than nodes thus serves a subset of
// them. Without nodes, the share is all slots.
func FairShare(ups router.Upstream, self string, nodes []string) int {
	if len(nodes) == 0 {
		return ups.Slots
	}
	shr := ups.Slots / len(nodes)
	if RendezvousRank(ups.Name, self, nodes) < ups.Slots%len(nodes) {
		shr++
	}
	return shr
}

// RendezvousRank returns a node's position, from 0, in the rendezvous order of nodes for a key.
func RendezvousRank(key, self string, nodes []string) (rank int) {
	ownWeight := weight(key, self)
	for _, nod := range nodes {
		if nod != self && weight(key, nod) > ownWeight {
			rank++
		}
	}
	return rank
}

// RendezvousFirst returns the node with rank 0 in the rendezvous order for a key, or "" if there are no nodes.
func RendezvousFirst(key string, nodes []string) (best string) {
	var maxWeight uint64
	for _, nod := range nodes {
		if wgt := weight(key, nod); best == "" || wgt > maxWeight {
			maxWeight, best = wgt, nod
		}
	}
	return best
}

// Subset returns at most size upstreams for the node self to use: those of its own region first, each group in
// the node's rendezvous order. remote reports whether a failure domain is in another region.
func Subset(self string, ups []router.Upstream, remote func(domain string) bool, size int) (res []router.Upstream) {
	res = append(res, ups...)
	sort.SliceStable(res, func(one, two int) bool {
		remoteOne, remoteTwo := remote(res[one].FailureDomain), remote(res[two].FailureDomain)
		if remoteOne != remoteTwo {
			return remoteTwo
		}
		return weight(self, res[one].Name) > weight(self, res[two].Name)
	})
	return res[:min(size, len(res))]
}

// weight returns the rendezvous weight of a name for a key; the highest weight has rank 0.
func weight(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}
