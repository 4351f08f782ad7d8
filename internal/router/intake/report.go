package intake

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
)

// logInterval is the least time between two log lines with the same reason.
const logInterval = time.Second

// Reporter counts and logs what was refused.
type Reporter struct {
	timers router.Timers
	log    *slog.Logger
	met    *meter.Meter

	mut sync.Mutex
	// logged is when a reason was last logged, and unlogged how often it has occurred since.
	logged   map[string]time.Time
	unlogged map[string]int
}

// NewReporter returns a Reporter.
func NewReporter(tms router.Timers, log *slog.Logger, met *meter.Meter) *Reporter {
	return &Reporter{timers: tms, log: log, met: met, logged: make(map[string]time.Time), unlogged: make(map[string]int)}
}

// Refuse counts a reason, and logs it unless it was logged within logInterval.
func (rep *Reporter) Refuse(reason string) {
	rep.met.Event("intake_" + strings.ToLower(reason))
	now := rep.timers.Now()
	rep.mut.Lock()
	rep.unlogged[reason]++
	num, quiet := rep.unlogged[reason], now.Sub(rep.logged[reason]) < logInterval
	if !quiet {
		rep.logged[reason], rep.unlogged[reason] = now, 0
	}
	rep.mut.Unlock()
	if !quiet {
		rep.log.Warn("caller refused", "Reason", reason, "Count", num)
	}
}

// Gauges updates the metrics of what is held.
func (rep *Reporter) Gauges(bud *Budget, lis *Listener) {
	rep.met.Gauge("intake_held_bytes", "", "", float64(bud.Held()))
	rep.met.Gauge("intake_connections", "", "", float64(lis.Open()))
}
