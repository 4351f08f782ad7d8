package terms

import (
	"log/slog"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// logInterval is the shortest time between two lines about the rate limit of one upstream.
const logInterval = time.Second

// Registry holds the terms of upstreams. It is safe for concurrent use.
type Registry struct {
	timers router.Timers
	log    *slog.Logger

	mut     sync.Mutex
	entries map[string]*entry
}

// entry holds the terms of an incarnation that states or stated some.
type entry struct {
	// rateLimit is in requests per second; zero means that no limit is in force.
	rateLimit float64
	// limitedAt is when the newest answer that stated a limit arrived.
	limitedAt time.Time
	// sends counts the requests of this node since loggedAt.
	sends    int
	loggedAt time.Time
}

// New returns an empty Registry.
func New(tms router.Timers, log *slog.Logger) *Registry {
	return &Registry{timers: tms, log: log, entries: make(map[string]*entry)}
}

// Observe records the terms in an answer to a request that was sent at a time. An answer to a request that was sent before the
// limit was stated does not lift it: it may be older than the limit.
func (reg *Registry) Observe(ins router.Instance, trm router.UpstreamTerms, sent time.Time) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	key := ins.Key()
	ent := reg.entries[key]
	if ent == nil {
		if trm == (router.UpstreamTerms{}) {
			return
		}
		ent = &entry{}
		reg.entries[key] = ent
	}
	now := reg.timers.Now()
	switch {
	case trm.RateLimit > 0:
		reg.logLimit(ins, ent, trm.RateLimit, now)
		ent.rateLimit, ent.limitedAt = trm.RateLimit, now
	case ent.rateLimit > 0 && sent.After(ent.limitedAt):
		ent.rateLimit = 0
		reg.log.Info("upstream lifted its rate limit", "Upstream", ins.ID, "Sends", ent.sends)
	}
}

// logLimit logs a new limit, and one that is still stated once per logInterval.
func (reg *Registry) logLimit(ins router.Instance, ent *entry, limit float64, now time.Time) {
	since := now.Sub(ent.loggedAt)
	if ent.rateLimit == limit && since < logInterval {
		return
	}
	reg.log.Info("upstream states a rate limit", "Upstream", ins.ID, "Service", ins.Service, "Limit", limit,
		"Sends", ent.sends, "SinceMs", min(since, time.Hour).Milliseconds())
	ent.sends, ent.loggedAt = 0, now
}

// RateLimit returns the requests per second that an incarnation accepts from all nodes together; zero means no limit.
func (reg *Registry) RateLimit(ins router.Instance) (limit float64) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	if ent := reg.entries[ins.Key()]; ent != nil {
		return ent.rateLimit
	}
	return 0
}

// CountSend counts a request that this node sends to an incarnation.
func (reg *Registry) CountSend(ins router.Instance) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	if ent := reg.entries[ins.Key()]; ent != nil {
		ent.sends++
	}
}

// Remove forgets an incarnation that ended.
func (reg *Registry) Remove(ins router.Instance) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	delete(reg.entries, ins.Key())
}
