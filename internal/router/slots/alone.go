package slots

import (
	"sync/atomic"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Alone is a router.Limits that gives every live node the same part.
type Alone struct {
	nodes atomic.Int64
}

// NewAlone returns an Alone for one live node.
func NewAlone() *Alone {
	aln := &Alone{}
	aln.nodes.Store(1)
	return aln
}

// SetNodes sets the number of live nodes.
func (aln *Alone) SetNodes(nodes int) {
	aln.nodes.Store(int64(max(1, nodes)))
}

// Limit returns the node's part of an upstream's slots, at least 1.
func (aln *Alone) Limit(ups router.Upstream) (slots int) {
	return FairShare(ups.Slots, int(aln.nodes.Load()))
}

// Short does nothing.
func (aln *Alone) Short(string, int) {}

// FairShare returns the slots of one node among several, at least 1.
func FairShare(slots, nodes int) int {
	return max(1, slots/max(1, nodes))
}
