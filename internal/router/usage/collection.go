package usage

import (
	"slices"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// collectAfter is the time from the end of a window to the first requests for its counts: requests that began in the window are
	// counted by then although clocks differ.
	collectAfter = 700 * time.Millisecond
	// askInterval is the pause between requests to a node that does not answer.
	askInterval = 300 * time.Millisecond
	// asksPerStep bounds the requests that are sent at once, so that the answers do not overflow the buffer of the socket, where digests
	// would be lost with them.
	asksPerStep = 16
	// minCollection is how long a collection takes at least if a listed node has not answered. A node that started a short time ago
	// may not have heard the others, which then do not count as live.
	minCollection = time.Second
)

// collection holds what nodes answered about a window.
type collection struct {
	id    uint64
	begun time.Time
	// asked holds when nodes were asked last.
	asked    map[string]time.Time
	answered map[string]bool
	counts   runCounts
}

// summary describes a collection that has ended.
type summary struct {
	// heard and missing count the listed nodes that answered and those that did not.
	heard, missing int
	// copies counts the processes whose counts are known only from copies.
	copies int
}

// deliver merges an answer into the collection that it belongs to; answers to other collections are ignored.
func (clr *collector) deliver(ans *wire.UsageAnswer) {
	clr.mut.Lock()
	defer clr.mut.Unlock()
	col := clr.collections[ans.GetWindow()]
	if col == nil || col.id != ans.GetId() {
		return
	}
	col.answered[ans.GetNode()] = true
	for _, msg := range ans.GetCounts() {
		if msg.GetWindow() == ans.GetWindow() {
			col.counts.merge(msg)
		}
	}
}

// ask sends requests for the counts of a window to nodes that have not answered and are due, those first that were asked least
// recently.
func (clr *collector) ask(window int64, now time.Time) {
	mms := clr.service.fleet.Members()
	slices.Sort(mms)
	clr.mut.Lock()
	col := clr.collections[window]
	if col == nil {
		clr.lastID++
		col = &collection{
			id: clr.lastID, begun: now, asked: make(map[string]time.Time), answered: make(map[string]bool), counts: make(runCounts),
		}
		clr.collections[window] = col
	}
	mms = slices.DeleteFunc(mms, func(nod string) bool { return col.answered[nod] || now.Sub(col.asked[nod]) < askInterval })
	slices.SortStableFunc(mms, func(one, two string) int { return col.asked[one].Compare(col.asked[two]) })
	mms = mms[:min(len(mms), asksPerStep)]
	for _, nod := range mms {
		col.asked[nod] = now
	}
	clr.mut.Unlock()
	for _, nod := range mms {
		clr.service.fleet.SendMessage(nod, &wire.Digest{UsageRequest: &wire.UsageRequest{Id: col.id, Window: window}})
	}
}

// collected returns the counts of a window once its collection has ended: all live nodes have answered, or half of the time for the
// report is over.
func (clr *collector) collected(window int64, now time.Time) (rcs runCounts, sum summary, ok bool) {
	flt := clr.service.fleet
	mms := flt.Members()
	clr.mut.Lock()
	defer clr.mut.Unlock()
	col := clr.collections[window]
	if col == nil {
		return nil, sum, false
	}
	sum.heard = 1
	liveMissing := false
	for _, nod := range mms {
		if col.answered[nod] {
			sum.heard++
			continue
		}
		sum.missing++
		liveMissing = liveMissing || flt.IsLive(nod)
	}
	timeOver := now.Sub(clr.clock.end(window)) >= clr.service.options.ReportWithin/2
	if (sum.missing > 0 && now.Sub(col.begun) < minCollection) || (liveMissing && !timeOver) {
		return nil, sum, false
	}
	delete(clr.collections, window)
	own := clr.service.Answer(&wire.UsageRequest{Window: window})
	for _, msg := range own.GetCounts() {
		col.counts.merge(msg)
	}
	col.answered[clr.service.options.Node] = true
	for key := range col.counts {
		if !col.answered[key.node] {
			sum.copies++
		}
	}
	return col.counts, sum, true
}
