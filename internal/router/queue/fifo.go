package queue

import (
	"container/list"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Fifo is a Queue that serves requests in the order of their arrival.
type Fifo struct {
	capacity int
	waiting  *list.List
	entries  map[*router.Waiting]*list.Element
}

// NewFifo returns an empty queue that holds at most capacity entries.
func NewFifo(capacity int) *Fifo {
	return &Fifo{capacity: capacity, waiting: list.New(), entries: make(map[*router.Waiting]*list.Element)}
}

// Push adds an entry and returns the newest entry if the queue is full.
func (ffo *Fifo) Push(ent *router.Waiting) (shed *router.Waiting) {
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

// Pop removes and returns the oldest entry for which fit is true, or nil.
func (ffo *Fifo) Pop(_ time.Time, fit func(*router.Waiting) bool) (ent *router.Waiting) {
	ent = firstFit(ffo.waiting, fit)
	if ent != nil {
		ffo.Remove(ent)
	}
	return ent
}

// Remove deletes an entry that gave up, and reports whether it was there.
func (ffo *Fifo) Remove(ent *router.Waiting) (found bool) {
	elm, found := ffo.entries[ent]
	if !found {
		return false
	}
	delete(ffo.entries, ent)
	ffo.waiting.Remove(elm)
	return true
}

// Hold does nothing: a Fifo gives no guarantees.
func (ffo *Fifo) Hold(router.Class, int, time.Time) {}

// Resize does nothing: a Fifo gives no guarantees.
func (ffo *Fifo) Resize(int, time.Time) {}

// Len returns the number of entries.
func (ffo *Fifo) Len() int {
	return len(ffo.entries)
}

// Best returns nil: no entry of a Fifo is worth a recall.
func (ffo *Fifo) Best() (ent *router.Waiting) {
	return nil
}
