package queue

import (
	"container/list"
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// creditSeconds bounds a lane's credit, in seconds of its share.
	creditSeconds = 2.0
	// debtSeconds bounds a lane's debt, in seconds of one slot.
	debtSeconds = 2.0
	// fitScan is how many entries of a lane are tried when the first does not fit.
	fitScan = 16
)

// Tiered is a Queue that serves tiers in order with a minimum share for each class.
type Tiered struct {
	capacity int
	slots    int
	lanes    []*lane
	entries  map[*router.Waiting]*list.Element
	last     time.Time
}

type lane struct {
	class   router.Class
	waiting *list.List
	held    int
	// credit is in slot-seconds.
	credit float64
}

// NewTiered returns an empty queue that holds at most capacity entries.
func NewTiered(capacity int) *Tiered {
	return &Tiered{capacity: capacity, entries: make(map[*router.Waiting]*list.Element)}
}

// Push adds an entry and returns the entry that it displaced, if the queue is full.
func (trd *Tiered) Push(ent *router.Waiting) (shed *router.Waiting) {
	lan := trd.lane(ent.Ask.Class)
	trd.entries[ent] = insertByArrival(lan.waiting, ent)
	if len(trd.entries) <= trd.capacity {
		return nil
	}
	shed = trd.newestOfLowest()
	if shed != nil {
		trd.Remove(shed)
	}
	return shed
}

// Pop removes and returns the next entry for which fit is true, or nil.
func (trd *Tiered) Pop(now time.Time, fit func(*router.Waiting) bool) (ent *router.Waiting) {
	trd.settle(now)
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

// Remove deletes an entry that gave up, and reports whether it was there.
func (trd *Tiered) Remove(ent *router.Waiting) (found bool) {
	elm, found := trd.entries[ent]
	if !found {
		return false
	}
	delete(trd.entries, ent)
	trd.lane(ent.Ask.Class).waiting.Remove(elm)
	return true
}

// Hold adjusts by delta the number of slots that a class holds.
func (trd *Tiered) Hold(cls router.Class, delta int, now time.Time) {
	trd.settle(now)
	trd.lane(cls).held += delta
}

// Resize sets the number of slots that the classes share.
func (trd *Tiered) Resize(slots int, now time.Time) {
	trd.settle(now)
	trd.slots = slots
}

// Len returns the number of entries.
func (trd *Tiered) Len() int {
	return len(trd.entries)
}

// Best returns the oldest entry of the highest tier that waits, or nil when nothing does.
func (trd *Tiered) Best() (ent *router.Waiting) {
	for tier := range router.MaxTier + 1 {
		if lan := trd.oldestLane(tier, nil); lan != nil {
			return waiting(lan.waiting.Front())
		}
	}
	return nil
}

// lane returns the lane of a class, and takes over a changed definition of it.
func (trd *Tiered) lane(cls router.Class) *lane {
	for _, lan := range trd.lanes {
		if lan.class.Name == cls.Name {
			lan.class = cls
			return lan
		}
	}
	lan := &lane{class: cls, waiting: list.New()}
	trd.lanes = append(trd.lanes, lan)
	return lan
}

// settle brings every lane's credit up to now.
func (trd *Tiered) settle(now time.Time) {
	sec := now.Sub(trd.last).Seconds()
	first := trd.last.IsZero()
	trd.last = now
	if first || sec <= 0 {
		return
	}
	for _, lan := range trd.lanes {
		lan.settle(sec, trd.slots)
	}
}

func (lan *lane) settle(sec float64, slots int) {
	shr := lan.class.MinimumShare * float64(slots)
	lan.credit += (shr - float64(lan.held)) * sec
	top := shr * creditSeconds
	if lan.waiting.Len() == 0 {
		top = 0
	}
	lan.credit = math.Max(-debtSeconds, math.Min(top, lan.credit))
}

func (trd *Tiered) popGuaranteed(fit func(*router.Waiting) bool) *router.Waiting {
	var best *lane
	for _, lan := range trd.lanes {
		if !lan.guaranteed(trd.slots) {
			continue
		}
		if best == nil || lan.credit > best.credit {
			best = lan
		}
	}
	if best == nil {
		return nil
	}
	ent := trd.popLane(best, fit)
	if ent != nil {
		ent.Guaranteed = true
	}
	return ent
}

// guaranteed reports whether a lane that waits has had less than its minimum share.
func (lan *lane) guaranteed(slots int) bool {
	shr := lan.class.MinimumShare * float64(slots)
	return lan.waiting.Len() > 0 && lan.credit > 0 && float64(lan.held) < math.Ceil(shr)
}

func (trd *Tiered) popTier(tier int, fit func(*router.Waiting) bool) *router.Waiting {
	tried := make(map[*lane]bool)
	for {
		lan := trd.oldestLane(tier, tried)
		if lan == nil {
			return nil
		}
		if ent := trd.popLane(lan, fit); ent != nil {
			return ent
		}
		tried[lan] = true
	}
}

func (trd *Tiered) oldestLane(tier int, tried map[*lane]bool) (best *lane) {
	for _, lan := range trd.lanes {
		if lan.class.Tier != tier || lan.waiting.Len() == 0 || tried[lan] {
			continue
		}
		if best == nil || arrival(lan.waiting.Front()).Before(arrival(best.waiting.Front())) {
			best = lan
		}
	}
	return best
}

func (trd *Tiered) popLane(lan *lane, fit func(*router.Waiting) bool) *router.Waiting {
	ent := firstFit(lan.waiting, fit)
	if ent != nil {
		trd.Remove(ent)
	}
	return ent
}

// newestOfLowest returns the entry to drop: the lowest tier first, then the latest arrival.
func (trd *Tiered) newestOfLowest() (ent *router.Waiting) {
	for _, lan := range trd.lanes {
		can := newestUnstarted(lan.waiting)
		if can == nil {
			continue
		}
		if ent == nil || lower(can, ent) {
			ent = can
		}
	}
	return ent
}

func lower(one, two *router.Waiting) bool {
	if one.Ask.Class.Tier != two.Ask.Class.Tier {
		return one.Ask.Class.Tier > two.Ask.Class.Tier
	}
	return one.Ask.Arrived.After(two.Ask.Arrived)
}
