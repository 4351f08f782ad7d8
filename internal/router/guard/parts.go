package guard

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPartCrashes is the number of crashes that a part must explain to be quarantined.
	maxPartCrashes = 3
	// crashSpacing is the time within which crashes count as one: a failure domain that fails takes many upstreams at once,
	// with the same widely used parts.
	crashSpacing = 500 * time.Millisecond
	// maxPartEvents bounds the crashes that are kept; the oldest are dropped.
	maxPartEvents = 256
	// maxReportedEvents bounds the crashes that a node which has started gets to know, in one datagram.
	maxReportedEvents = 64
)

// partGuard quarantines parts of prompts that crash upstreams. It is safe for concurrent use.
type partGuard struct {
	mut sync.Mutex
	// events holds the crashes of upstreams in the order of their first reports.
	events []*crashEvent
	// groups holds the quarantined parts; it is replaced on each change, never modified. Parts that only occurred together are a
	// group: a request with some of them may run, which shows which of them crashes upstreams.
	groups atomic.Pointer[[][]uint64]
	// suspects holds the parts of all events, in the same way.
	suspects atomic.Pointer[map[uint64]bool]
}

// crashEvent is the crash of one upstream.
type crashEvent struct {
	upstream string
	at       time.Time
	// parts holds the parts of requests that the upstream had not begun to answer, without those that were answered since.
	parts map[uint64]bool
}

func newPartGuard() (pts *partGuard) {
	pts = &partGuard{}
	pts.update()
	return pts
}

// add records the parts of a crash. All reports about one upstream belong to the same crash: where requests have parts, Crash.Upstream
// names an incarnation, which crashes once.
func (pts *partGuard) add(crs Crash) {
	if len(crs.Parts) == 0 {
		return
	}
	pts.mut.Lock()
	defer pts.mut.Unlock()
	pos := slices.IndexFunc(pts.events, func(evt *crashEvent) bool { return evt.upstream == crs.Upstream })
	if pos < 0 {
		pos = len(pts.events)
		pts.events = append(pts.events, &crashEvent{upstream: crs.Upstream, at: crs.At, parts: make(map[uint64]bool)})
	}
	evt := pts.events[pos]
	for _, prt := range crs.Parts {
		if _, fnd := evt.parts[prt]; !fnd {
			evt.parts[prt] = true
		}
	}
	pts.events = pts.events[max(0, len(pts.events)-maxPartEvents):]
	pts.update()
}

// crashes returns the last crashes with the parts that are suspect.
func (pts *partGuard) crashes() (css []Crash) {
	pts.mut.Lock()
	defer pts.mut.Unlock()
	for _, evt := range pts.events[max(0, len(pts.events)-maxReportedEvents):] {
		crs := Crash{Upstream: evt.upstream, At: evt.at}
		for prt, suspect := range evt.parts {
			if suspect {
				crs.Parts = append(crs.Parts, prt)
			}
		}
		if len(crs.Parts) > 0 {
			css = append(css, crs)
		}
	}
	return css
}

// answered clears parts of the crashes before begun and returns those that were suspect.
func (pts *partGuard) answered(parts []uint64, begun time.Time) (cleared []uint64) {
	sus := *pts.suspects.Load()
	if len(sus) == 0 || !slices.ContainsFunc(parts, func(prt uint64) bool { return sus[prt] }) {
		return nil
	}
	pts.mut.Lock()
	defer pts.mut.Unlock()
	for _, prt := range parts {
		for _, evt := range pts.events {
			if evt.parts[prt] && evt.at.Before(begun) {
				// The entry stays, so that later reports of the same crash do not make the part suspect again.
				evt.parts[prt] = false
				cleared = append(cleared, prt)
			}
		}
	}
	if len(cleared) > 0 {
		pts.update()
	}
	slices.Sort(cleared)
	return slices.Compact(cleared)
}

// isQuarantined reports whether the parts of a request include all of a group.
func (pts *partGuard) isQuarantined(parts []uint64) bool {
	for _, grp := range *pts.groups.Load() {
		if !slices.ContainsFunc(grp, func(prt uint64) bool { return !slices.Contains(parts, prt) }) {
			return true
		}
	}
	return false
}

func (pts *partGuard) expire(now time.Time) {
	pts.mut.Lock()
	defer pts.mut.Unlock()
	pts.events = slices.DeleteFunc(pts.events, func(evt *crashEvent) bool { return now.Sub(evt.at) > crashTTL })
	pts.update()
}

// update computes the suspects and the groups; the lock is held. The part that explains most crashes comes first, and the
// others must explain enough of the remaining ones.
func (pts *partGuard) update() {
	suspects := make(map[uint64]bool)
	for _, evt := range pts.events {
		for prt, suspect := range evt.parts {
			if suspect {
				suspects[prt] = true
			}
		}
	}
	var groups [][]uint64
	rest := slices.SortedFunc(slices.Values(pts.events), func(one, two *crashEvent) int { return one.at.Compare(two.at) })
	for {
		grp, explained := largestGroup(rest)
		if len(grp) == 0 {
			break
		}
		groups = append(groups, grp)
		rest = slices.DeleteFunc(rest, func(evt *crashEvent) bool { return explained[evt] })
	}
	pts.suspects.Store(&suspects)
	pts.groups.Store(&groups)
}

// largestGroup returns the parts that explain most of the events, which are ordered by time, and these events. Crashes within
// crashSpacing count as one. It returns no parts if none explains maxPartCrashes.
func largestGroup(events []*crashEvent) (group []uint64, explained map[*crashEvent]bool) {
	byPart := make(map[uint64][]*crashEvent)
	for _, evt := range events {
		for prt, suspect := range evt.parts {
			if suspect {
				byPart[prt] = append(byPart[prt], evt)
			}
		}
	}
	best := slices.MaxFunc(append(slices.Collect(maps.Keys(byPart)), 0), func(one, two uint64) int {
		return cmp.Or(
			cmp.Compare(countSpaced(byPart[one]), countSpaced(byPart[two])),
			cmp.Compare(len(byPart[one]), len(byPart[two])),
			cmp.Compare(one, two),
		)
	})
	if countSpaced(byPart[best]) < maxPartCrashes {
		return nil, nil
	}
	explained = make(map[*crashEvent]bool)
	for _, evt := range byPart[best] {
		explained[evt] = true
	}
	for prt, evts := range byPart {
		if slices.Equal(evts, byPart[best]) {
			group = append(group, prt)
		}
	}
	slices.Sort(group)
	return group, explained
}

// countSpaced counts events ordered by time, those within crashSpacing of a counted one not again.
func countSpaced(events []*crashEvent) (num int) {
	var last time.Time
	for _, evt := range events {
		if num == 0 || evt.at.Sub(last) >= crashSpacing {
			num++
			last = evt.at
		}
	}
	return num
}
