package mesh

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// transitionWindow is the time in which transitions of peers of one kind are counted together.
	transitionWindow = time.Second
	// maxTransitionLines is how many transitions of one kind are logged singly in a window.
	maxTransitionLines = 5
)

// transitionLog logs which peers were lost or heard. When many peers change at once, as after a restart of the fleet, it
// logs the first ones and then a summary for each window.
type transitionLog struct {
	log *slog.Logger

	mut   sync.Mutex
	kinds map[string]*transitionCount
}

// transitionCount counts the transitions of one kind since the start of a window.
type transitionCount struct {
	since time.Time
	// total is the number of transitions, those that were logged singly included.
	total int
	// first and last are the peers of the first and the last transition that was not logged singly.
	first, last string
}

// add logs or counts a transition of a peer; message is its kind.
func (trl *transitionLog) add(message, name string, now time.Time) {
	trl.mut.Lock()
	defer trl.mut.Unlock()
	if trl.kinds == nil {
		trl.kinds = make(map[string]*transitionCount)
	}
	cnt := trl.kinds[message]
	if cnt == nil {
		cnt = &transitionCount{since: now}
		trl.kinds[message] = cnt
	}
	if now.Sub(cnt.since) >= transitionWindow {
		trl.summarize(message, cnt)
		*cnt = transitionCount{since: now}
	}
	cnt.total++
	if cnt.total <= maxTransitionLines {
		trl.log.Info(message, "Peer", name)
		return
	}
	if cnt.first == "" {
		cnt.first = name
	}
	cnt.last = name
}

// flush logs the summaries of windows that have ended.
func (trl *transitionLog) flush(now time.Time) {
	trl.mut.Lock()
	defer trl.mut.Unlock()
	for message, cnt := range trl.kinds {
		if now.Sub(cnt.since) >= transitionWindow {
			trl.summarize(message, cnt)
			delete(trl.kinds, message)
		}
	}
}

// summarize logs how many transitions were not logged singly, if any.
func (trl *transitionLog) summarize(message string, cnt *transitionCount) {
	if more := cnt.total - maxTransitionLines; more > 0 {
		trl.log.Info("more of the same", "Kind", message, "Count", more, "First", cnt.first, "Last", cnt.last)
	}
}
