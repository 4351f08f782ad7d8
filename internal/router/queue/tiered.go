package queue

import (
	"container/list"
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// maxCreditSeconds is the upper bound of a class's credit, in seconds of its minimum share of the slots.
	maxCreditSeconds = 2.0
	// maxDebtSeconds bounds how far a class's credit can fall below zero, in slot-seconds.
	maxDebtSeconds = 2.0
	// maxFitScan is the number of oldest entries that one Pop tries, for a Tiered of each class.
	maxFitScan = 16
)

// Tiered is a router.Queue that serves tiers in priority order, with a minimum share of the slots for each class.
type Tiered struct {
	capacity int
	slots    int
	classes  []*classQueue
	entries  map[*router.QueueEntry]*list.Element
	// accruedAt is when the credits were last updated.
	accruedAt time.Time
}

// classQueue holds the waiting requests of one class, sorted by arrival, and the credit of the class.
type classQueue struct {
	class   router.Class
	waiting *list.List
	// held is the number of slots that running requests of the class hold.
	held int
	// credit is the slot time due to the class by its minimum share, in slot-seconds.
	credit float64
}

// NewTiered returns an empty queue with a capacity in entries. It needs Resize before minimum shares apply.
func NewTiered(capacity int) *Tiered {
	return &Tiered{capacity: capacity, entries: make(map[*router.QueueEntry]*list.Element)}
}

// Push adds an entry. If the queue is then above its capacity, Push removes and returns the entry to shed, which may
// be the new one; it returns nil when every entry has been run in part.
func (trd *Tiered) Push(ent *router.QueueEntry) (shed *router.QueueEntry) {
	clq := trd.classQueue(ent.Request.Class)
	trd.entries[ent] = insertByArrival(clq.waiting, ent)
	if len(trd.entries) <= trd.capacity {
		return nil
	}
	shed = trd.shedCandidate()
	if shed != nil {
		trd.Remove(shed)
	}
	return shed
}

// Pop removes and returns the next entry for which fit is true, or nil. Of each class it tries only the oldest entries.
func (trd *Tiered) Pop(now time.Time, fit func(*router.QueueEntry) bool) (ent *router.QueueEntry) {
	trd.accrueCredit(now)
	if ent := trd.popGuaranteed(fit); ent != nil {
		return ent
	}
	for tier := 0; tier <= router.MaxTier; tier++ {
		if ent := trd.popTier(tier, fit); ent != nil {
			return ent
		}
	}
	return nil
}

// Remove deletes an entry and reports whether it was queued.
func (trd *Tiered) Remove(ent *router.QueueEntry) (found bool) {
	elm, found := trd.entries[ent]
	if !found {
		return false
	}
	delete(trd.entries, ent)
	trd.classQueue(ent.Request.Class).waiting.Remove(elm)
	return true
}

// AdjustHeld adds delta to the number of slots that a class holds.
func (trd *Tiered) AdjustHeld(cls router.Class, delta int, now time.Time) {
	trd.accrueCredit(now)
	trd.classQueue(cls).held += delta
}

// Resize sets the number of slots of which the classes have minimum shares.
func (trd *Tiered) Resize(slots int, now time.Time) {
	trd.accrueCredit(now)
	trd.slots = slots
}

// Len returns the number of entries.
func (trd *Tiered) Len() int {
	return len(trd.entries)
}

// OldestOfHighestTier returns the oldest entry of the highest waiting tier, or nil when the queue is empty.
func (trd *Tiered) OldestOfHighestTier() (ent *router.QueueEntry) {
	for tier := range router.MaxTier + 1 {
		if clq := trd.oldestInTier(tier, nil); clq != nil {
			return entry(clq.waiting.Front())
		}
	}
	return nil
}

// classQueue returns the queue of a class by name, created if needed, and updates its definition of the class.
func (trd *Tiered) classQueue(cls router.Class) *classQueue {
	for _, clq := range trd.classes {
		if clq.class.Name == cls.Name {
			clq.class = cls
			return clq
		}
	}
	clq := &classQueue{class: cls, waiting: list.New()}
	trd.classes = append(trd.classes, clq)
	return clq
}

// accrueCredit updates the credit of every class for the time since the last update.
func (trd *Tiered) accrueCredit(now time.Time) {
	sec := now.Sub(trd.accruedAt).Seconds()
	first := trd.accruedAt.IsZero()
	trd.accruedAt = now
	if first || sec <= 0 {
		return
	}
	for _, clq := range trd.classes {
		clq.accrueCredit(sec, trd.slots)
	}
}

// accrueCredit updates the credit for a time in seconds. A class without waiting requests has no positive credit.
func (clq *classQueue) accrueCredit(sec float64, slots int) {
	shr := clq.class.MinimumShare * float64(slots)
	clq.credit += (shr - float64(clq.held)) * sec
	lim := shr * maxCreditSeconds
	if clq.waiting.Len() == 0 {
		lim = 0
	}
	clq.credit = math.Max(-maxDebtSeconds, math.Min(lim, clq.credit))
}

// popGuaranteed pops from the class with the highest credit among those below their minimum share.
func (trd *Tiered) popGuaranteed(fit func(*router.QueueEntry) bool) *router.QueueEntry {
	var best *classQueue
	for _, clq := range trd.classes {
		if !clq.belowMinimumShare(trd.slots) {
			continue
		}
		if best == nil || clq.credit > best.credit {
			best = clq
		}
	}
	if best == nil {
		return nil
	}
	ent := trd.popFirstFit(best, fit)
	if ent != nil {
		ent.Guaranteed = true
	}
	return ent
}

// belowMinimumShare reports whether requests of the class wait although it has credit and holds fewer slots than its
// minimum share, rounded up.
func (clq *classQueue) belowMinimumShare(slots int) bool {
	shr := clq.class.MinimumShare * float64(slots)
	return clq.waiting.Len() > 0 && clq.credit > 0 && float64(clq.held) < math.Ceil(shr)
}

// popTier pops from the classes of a tier, the one with the oldest request first.
func (trd *Tiered) popTier(tier int, fit func(*router.QueueEntry) bool) *router.QueueEntry {
	tried := make(map[*classQueue]bool)
	for {
		clq := trd.oldestInTier(tier, tried)
		if clq == nil {
			return nil
		}
		if ent := trd.popFirstFit(clq, fit); ent != nil {
			return ent
		}
		tried[clq] = true
	}
}

// oldestInTier returns the class of a tier with the oldest waiting request, except those tried, or nil.
func (trd *Tiered) oldestInTier(tier int, tried map[*classQueue]bool) (best *classQueue) {
	for _, clq := range trd.classes {
		if clq.class.Tier != tier || clq.waiting.Len() == 0 || tried[clq] {
			continue
		}
		if best == nil || arrival(clq.waiting.Front()).Before(arrival(best.waiting.Front())) {
			best = clq
		}
	}
	return best
}

func (trd *Tiered) popFirstFit(clq *classQueue, fit func(*router.QueueEntry) bool) *router.QueueEntry {
	ent := firstFit(clq.waiting, fit)
	if ent != nil {
		trd.Remove(ent)
	}
	return ent
}

// shedCandidate returns the newest entry of the lowest tier that no upstream has run in part, or nil.
func (trd *Tiered) shedCandidate() (ent *router.QueueEntry) {
	for _, clq := range trd.classes {
		can := newestUnstarted(clq.waiting)
		if can == nil {
			continue
		}
		if ent == nil || shedBefore(can, ent) {
			ent = can
		}
	}
	return ent
}

// shedBefore reports whether one should be shed before two: the lower tier first, then the later arrival.
func shedBefore(one, two *router.QueueEntry) bool {
	if one.Request.Class.Tier != two.Request.Class.Tier {
		return one.Request.Class.Tier > two.Request.Class.Tier
	}
	return one.Request.Arrived.After(two.Request.Arrived)
}
