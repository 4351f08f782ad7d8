package queue

import (
	"container/list"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// insertByArrival inserts an entry into a list sorted by arrival. A recalled request thus returns to its old position.
func insertByArrival(lst *list.List, ent *router.QueueEntry) *list.Element {
	for elm := lst.Back(); elm != nil; elm = elm.Prev() {
		if !arrival(elm).After(ent.Request.Arrived) {
			return lst.InsertAfter(ent, elm)
		}
	}
	return lst.PushFront(ent)
}

// firstFit returns the first of the maxFitScan oldest entries for which fit is true, or nil.
func firstFit(lst *list.List, fit func(*router.QueueEntry) bool) *router.QueueEntry {
	num := 0
	for elm := lst.Front(); elm != nil && num < maxFitScan; elm = elm.Next() {
		if ent := entry(elm); fit(ent) {
			return ent
		}
		num++
	}
	return nil
}

// newestUnstarted returns the newest entry that no upstream has run in part, or nil.
func newestUnstarted(lst *list.List) *router.QueueEntry {
	for elm := lst.Back(); elm != nil; elm = elm.Prev() {
		if ent := entry(elm); !ent.Request.Started {
			return ent
		}
	}
	return nil
}

func arrival(elm *list.Element) time.Time {
	return entry(elm).Request.Arrived
}

// entry returns the queued request that a list element holds.
func entry(elm *list.Element) *router.QueueEntry {
	ent, _ := elm.Value.(*router.QueueEntry)
	return ent
}
