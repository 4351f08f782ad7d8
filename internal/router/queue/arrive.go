package queue

import (
	"container/list"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// insertByArrival keeps a list sorted by arrival; a recalled request goes back to its old place.
func insertByArrival(lst *list.List, ent *router.Waiting) *list.Element {
	for elm := lst.Back(); elm != nil; elm = elm.Prev() {
		if !arrival(elm).After(ent.Ask.Arrived) {
			return lst.InsertAfter(ent, elm)
		}
	}
	return lst.PushFront(ent)
}

func firstFit(lst *list.List, fit func(*router.Waiting) bool) *router.Waiting {
	num := 0
	for elm := lst.Front(); elm != nil && num < fitScan; elm = elm.Next() {
		if ent := waiting(elm); fit(ent) {
			return ent
		}
		num++
	}
	return nil
}

func newestUnstarted(lst *list.List) *router.Waiting {
	for elm := lst.Back(); elm != nil; elm = elm.Prev() {
		if ent := waiting(elm); !ent.Ask.Started {
			return ent
		}
	}
	return nil
}

func arrival(elm *list.Element) time.Time {
	return waiting(elm).Ask.Arrived
}

func waiting(elm *list.Element) *router.Waiting {
	ent, _ := elm.Value.(*router.Waiting)
	return ent
}
