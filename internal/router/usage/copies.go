package usage

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// run identifies a process of a node.
type run struct {
	node        string
	incarnation int64
}

// runCounts holds the counts of a window by process and workspace. Counts only grow, so that the larger of two values is the
// newer one.
type runCounts map[run]map[string]uint64

// merge adds the counts of a process.
func (rcs runCounts) merge(msg *wire.WindowCounts) {
	key := run{node: msg.GetNode(), incarnation: msg.GetIncarnation()}
	cts := rcs[key]
	if cts == nil {
		cts = make(map[string]uint64, len(msg.GetCounts()))
		rcs[key] = cts
	}
	for _, one := range msg.GetCounts() {
		cts[one.GetWorkspace()] = max(cts[one.GetWorkspace()], one.GetRequests())
	}
}

// totals returns the sums over all processes.
func (rcs runCounts) totals() (cts map[string]int64) {
	cts = make(map[string]int64)
	for _, one := range rcs {
		for wsp, num := range one {
			cts[wsp] += int64(num)
		}
	}
	return cts
}

// encodeCounts returns a message with the counts of a process, sorted by workspace.
func encodeCounts(window int64, key run, cts map[string]uint64) (msg *wire.WindowCounts) {
	msg = &wire.WindowCounts{Window: window, Node: key.node, Incarnation: key.incarnation}
	for _, wsp := range slices.Sorted(maps.Keys(cts)) {
		msg.Counts = append(msg.Counts, &wire.WorkspaceCount{Workspace: wsp, Requests: cts[wsp]})
	}
	return msg
}

// copies holds the counts that other nodes sent, for the last eight windows. It is safe for concurrent use.
type copies struct {
	clock clock

	mut     sync.Mutex
	windows map[int64]runCounts
}

// keep merges the counts that a node sent. Counts of windows that are not kept are ignored.
func (cps *copies) keep(cop *wire.UsageCopy) {
	cps.mut.Lock()
	defer cps.mut.Unlock()
	maps.DeleteFunc(cps.windows, func(win int64, _ runCounts) bool { return !cps.clock.isKept(win) })
	for _, msg := range cop.GetCounts() {
		if !cps.clock.isKept(msg.GetWindow()) {
			continue
		}
		rcs := cps.windows[msg.GetWindow()]
		if rcs == nil {
			rcs = make(runCounts)
			cps.windows[msg.GetWindow()] = rcs
		}
		rcs.merge(msg)
	}
}

// counts returns the copies of a window, sorted by process.
func (cps *copies) counts(window int64) (msgs []*wire.WindowCounts) {
	cps.mut.Lock()
	defer cps.mut.Unlock()
	if !cps.clock.isKept(window) {
		return nil
	}
	for key, cts := range cps.windows[window] {
		msgs = append(msgs, encodeCounts(window, key, cts))
	}
	slices.SortFunc(msgs, func(one, two *wire.WindowCounts) int {
		if one.GetNode() != two.GetNode() {
			return strings.Compare(one.GetNode(), two.GetNode())
		}
		return int(max(-1, min(1, one.GetIncarnation()-two.GetIncarnation())))
	})
	return msgs
}
