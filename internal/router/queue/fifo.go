package queue

import (
	"container/list"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Fifo is a router.Queue that serves requests in order of arrival.
type Fifo struct {
	capacity int
	waiting  *list.List
	entries  map[*router.QueueEntry]*list.Element
}

// NewFifo returns an empty queue with a capacity in entries.
func NewFifo(capacity int) *Fifo {
	return &Fifo{capacity: capacity, waiting: list.New(), entries: make(map[*router.QueueEntry]*list.Element)}
}

// Push adds an entry. If the queue is then above its capacity, Push removes and returns the newest entry that no
// upstream has run in part.
func (ffo *Fifo) Push(ent *router.QueueEntry) (shed *router.QueueEntry) {
	ffo.entries[ent] = insertByArrival(ffo.waiting, ent)
	if len(ffo.entries) <= ffo.capacity {
		return nil
	}
	shed = newestUnstarted(ffo.waiting)
	if shed != nil {
		ffo.Remove(shed)
	}
	return shed
}

// Pop removes and returns the oldest entry for which fit is true, or nil. It tries only the maxFitScan oldest entries.
func (ffo *Fifo) Pop(_ time.Time, fit func(*router.QueueEntry) bool) (ent *router.QueueEntry) {
	ent = firstFit(ffo.waiting, fit)
	if ent != nil {
		ffo.Remove(ent)
	}
	return ent
}

// Remove deletes an entry and reports whether it was queued.
func (ffo *Fifo) Remove(ent *router.QueueEntry) (found bool) {
	elm, found := ffo.entries[ent]
	if !found {
		return false
	}
	delete(ffo.entries, ent)
	ffo.waiting.Remove(elm)
	return true
}

// AdjustHeld does nothing: a Fifo has no minimum shares.
func (ffo *Fifo) AdjustHeld(router.Class, int, time.Time) {}

// Resize does nothing: a Fifo has no minimum shares.
func (ffo *Fifo) Resize(int, time.Time) {}

// Len returns the number of entries.
func (ffo *Fifo) Len() int {
	return len(ffo.entries)
}

// OldestOfHighestTier returns nil: a Fifo ignores tiers, so no running request is recalled for its entries.
func (ffo *Fifo) OldestOfHighestTier() (ent *router.QueueEntry) {
	return nil
}
