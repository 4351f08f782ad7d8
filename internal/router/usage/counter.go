package usage

import (
	"maps"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// keptWindows is the number of windows, the current one included, for which counts are kept.
const keptWindows = 8

// clock numbers the usage windows by the wall clock.
type clock struct {
	timers router.Timers
	window time.Duration
}

// current returns the number of the window that has begun last.
func (clk clock) current() int64 {
	return clk.timers.Now().UnixNano() / int64(clk.window)
}

// end returns the time at which a window ends.
func (clk clock) end(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(clk.window))
}

// isKept reports whether counts of a window are kept. The next window counts as kept, since clocks differ.
func (clk clock) isKept(window int64) bool {
	cur := clk.current()
	return window > cur-keptWindows && window <= cur+1
}

// Counter counts the requests of this process by workspace and window, for the last eight windows. It is safe for concurrent use.
type Counter struct {
	clock clock
	// node and incarnation identify the process.
	node        string
	incarnation int64

	mut     sync.Mutex
	windows map[int64]map[string]uint64
	// changed is set by each count and cleared by takeChanged.
	changed bool
}

// NewCounter returns a Counter for a process of a node that starts now.
func NewCounter(node string, tms router.Timers, window time.Duration) *Counter {
	return &Counter{
		clock: clock{timers: tms, window: window}, node: node, incarnation: tms.Now().UnixNano(),
		windows: make(map[int64]map[string]uint64),
	}
}

// Count counts one request of a workspace in the current window. A request without a workspace is not counted.
func (cnt *Counter) Count(workspace string) {
	if workspace == "" {
		return
	}
	win := cnt.clock.current()
	cnt.mut.Lock()
	defer cnt.mut.Unlock()
	cts := cnt.windows[win]
	if cts == nil {
		maps.DeleteFunc(cnt.windows, func(old int64, _ map[string]uint64) bool { return !cnt.clock.isKept(old) })
		cts = make(map[string]uint64)
		cnt.windows[win] = cts
	}
	cts[workspace]++
	cnt.changed = true
}

// Counts returns the counts of a window; they have no entries if there were no requests. It is nil if this process started after
// the window, or if the counts are no longer kept.
func (cnt *Counter) Counts(window int64) (msg *wire.WindowCounts) {
	if !cnt.clock.isKept(window) || cnt.incarnation >= cnt.clock.end(window).UnixNano() {
		return nil
	}
	cnt.mut.Lock()
	defer cnt.mut.Unlock()
	return encodeCounts(window, run{node: cnt.node, incarnation: cnt.incarnation}, cnt.windows[window])
}

// takeChanged reports whether a request was counted since the last call.
func (cnt *Counter) takeChanged() (changed bool) {
	cnt.mut.Lock()
	defer cnt.mut.Unlock()
	changed, cnt.changed = cnt.changed, false
	return changed
}
