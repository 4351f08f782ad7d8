package terms

import (
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// logInterval is the shortest time between two lines about the rate limit of one upstream.
const logInterval = time.Second

const (
	// recentTime is how long digests repeat what an upstream stated. The rarest digests to a peer are a second apart.
	recentTime = 2 * time.Second
	// maxEntries bounds the upstreams of which peers report terms.
	maxEntries = 20_000
	// formerTTL is how long the statements of an incarnation are kept after it was removed. A late heartbeat of one that leaves
	// brings its record back.
	formerTTL = 10 * time.Minute
	// goneTTL is how long an incarnation whose address another one has gets no calls. Its record is removed by then.
	goneTTL = 10 * time.Second
)

// Registry holds the terms of upstreams. It is safe for concurrent use.
type Registry struct {
	timers router.Timers
	log    *slog.Logger

	mut sync.Mutex
	// entries holds the terms by the hash of the incarnation's key.
	entries map[uint64]*entry
	// limited is the number of entries with a limit in force, and known that of all entries.
	limited, known atomic.Int64
}

// entry holds the terms of an incarnation that states or stated some.
type entry struct {
	// rateLimit is in requests per second; zero means that no limit is in force.
	rateLimit float64
	// statedAt is when the newest answer arrived that stated or lifted the limit, and own is set if it answered a request of
	// this node.
	statedAt time.Time
	own      bool
	// leaving is set once the upstream stated that it is about to stop, at leavingAt; see own for ownLeaving.
	leaving    bool
	ownLeaving bool
	leavingAt  time.Time
	// pausedUntil is until when the upstream accepts no requests from this node.
	pausedUntil time.Time
	// goneAt is when an answer showed that another incarnation has the address, and refusedAt when nothing listened there; see own for
	// ownGone and ownRefused.
	goneAt, refusedAt   time.Time
	ownGone, ownRefused bool
	// keptUntil is when the entry of an incarnation that was removed may be dropped; zero before.
	keptUntil time.Time
	// sends counts the requests of this node since loggedAt.
	sends    int
	loggedAt time.Time
}

// New returns an empty Registry.
func New(tms router.Timers, log *slog.Logger) *Registry {
	return &Registry{timers: tms, log: log, entries: make(map[uint64]*entry)}
}

// Observe records the terms in an answer to a request that was sent at a time. An answer to a request that was sent before the
// limit was stated does not lift it: it may be older than the limit.
func (reg *Registry) Observe(ins router.Instance, trm router.UpstreamTerms, sent time.Time) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	id := ins.Hash()
	ent := reg.entries[id]
	if ent == nil {
		if trm == (router.UpstreamTerms{}) {
			return
		}
		ent = reg.add(id)
	}
	now := reg.timers.Now()
	if trm.Leaving && !ent.ownLeaving {
		ent.leaving = true
		ent.ownLeaving, ent.leavingAt = true, now
		reg.log.Info("upstream states that it is leaving", "Upstream", ins.ID, "Service", ins.Service)
	}
	if until := now.Add(trm.RetryAfter); trm.RetryAfter > 0 && until.After(ent.pausedUntil) {
		ent.pausedUntil = until
		reg.log.Info("upstream accepts no requests for some time", "Upstream", ins.ID, "Service", ins.Service, "PauseMs", trm.RetryAfter.Milliseconds())
	}
	switch {
	case trm.RateLimit > 0:
		reg.logLimit(ins, ent, trm.RateLimit, now)
		reg.setLimit(ent, trm.RateLimit, now, true)
	case ent.rateLimit > 0 && sent.After(ent.statedAt):
		reg.setLimit(ent, 0, now, true)
		reg.log.Info("upstream lifted its rate limit", "Upstream", ins.ID, "Sends", ent.sends)
	}
}

// setLimit records a limit, or zero for none, that was stated at a time.
func (reg *Registry) setLimit(ent *entry, limit float64, at time.Time, own bool) {
	if ent.rateLimit > 0 {
		reg.limited.Add(-1)
	}
	if limit > 0 {
		reg.limited.Add(1)
	}
	ent.rateLimit, ent.statedAt, ent.own = limit, at, own
}

// add creates an entry; the lock is held.
func (reg *Registry) add(id uint64) (ent *entry) {
	ent = &entry{}
	reg.entries[id] = ent
	reg.known.Store(int64(len(reg.entries)))
	return ent
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

// IsLeaving reports whether an incarnation is about to stop, so that it must get no new requests.
func (reg *Registry) IsLeaving(ins router.Instance) bool {
	if reg.known.Load() == 0 {
		return false
	}
	reg.mut.Lock()
	defer reg.mut.Unlock()
	ent := reg.entries[ins.Hash()]
	return ent != nil && ent.leaving
}

// PauseLeft returns how long an incarnation accepts no requests from this node; zero if it accepts some.
func (reg *Registry) PauseLeft(ins router.Instance) time.Duration {
	if reg.known.Load() == 0 {
		return 0
	}
	reg.mut.Lock()
	defer reg.mut.Unlock()
	ent := reg.entries[ins.Hash()]
	if ent == nil {
		return 0
	}
	return max(0, ent.pausedUntil.Sub(reg.timers.Now()))
}

// ObserveGone records that another incarnation answered at the address of this one.
func (reg *Registry) ObserveGone(ins router.Instance) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	ent := reg.entry(ins.Hash())
	if now := reg.timers.Now(); now.Sub(ent.goneAt) >= goneTTL {
		ent.goneAt, ent.ownGone = now, true
		reg.log.Info("upstream replaced at its address", "Upstream", ins.ID, "Service", ins.Service, "Address", ins.Address)
	}
}

// ObserveRefusal records that nothing listened at the address of an incarnation.
func (reg *Registry) ObserveRefusal(ins router.Instance) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	ent := reg.entry(ins.Hash())
	ent.refusedAt, ent.ownRefused = reg.timers.Now(), true
}

// IsGone reports whether another incarnation has the address of this one.
func (reg *Registry) IsGone(ins router.Instance) bool {
	if reg.known.Load() == 0 {
		return false
	}
	reg.mut.Lock()
	defer reg.mut.Unlock()
	ent := reg.entries[ins.Hash()]
	return ent != nil && !ent.goneAt.IsZero() && reg.timers.Now().Sub(ent.goneAt) < goneTTL
}

// entry returns the entry of an incarnation and creates it if necessary; the lock is held.
func (reg *Registry) entry(id uint64) (ent *entry) {
	if ent = reg.entries[id]; ent == nil {
		ent = reg.add(id)
	}
	return ent
}

// RateLimit returns the requests per second that an incarnation accepts from all nodes together; zero means no limit.
func (reg *Registry) RateLimit(ins router.Instance) (limit float64) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	if ent := reg.entries[ins.Hash()]; ent != nil {
		return ent.rateLimit
	}
	return 0
}

// AnyLimited reports whether any upstream may state a limit at present.
func (reg *Registry) AnyLimited() bool {
	return reg.limited.Load() > 0
}

// CountSend counts a request that this node sends to an incarnation.
func (reg *Registry) CountSend(ins router.Instance) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	if ent := reg.entries[ins.Hash()]; ent != nil {
		ent.sends++
	}
}

// Remove forgets the rate limit of an incarnation whose record was removed. That it is leaving, or accepts no requests for some
// time, holds for as long as it lives, so that is kept for formerTTL: the record may come back.
func (reg *Registry) Remove(ins router.Instance) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	now := reg.timers.Now()
	if ent := reg.entries[ins.Hash()]; ent != nil {
		reg.setLimit(ent, 0, ent.statedAt, false)
		ent.keptUntil = now
		if ins.Born != 0 && (ent.leaving || ent.pausedUntil.After(now)) {
			// Without a start time, a new incarnation would have the same key.
			ent.keptUntil = now.Add(formerTTL)
		}
	}
	maps.DeleteFunc(reg.entries, func(_ uint64, ent *entry) bool { return !ent.keptUntil.IsZero() && !ent.keptUntil.After(now) })
	reg.known.Store(int64(len(reg.entries)))
}

// Stated is a rate limit that an upstream stated or lifted, its statement that it is leaving, or that it was not found at its address.
type Stated struct {
	// Instance is the hash of the key of the incarnation.
	Instance uint64
	// Leaving is set if the incarnation is about to stop; RateLimit has no meaning then.
	Leaving bool
	// Gone is set if another incarnation has the address, and Refuses if nothing listened there. All other fields but Age have no
	// meaning then.
	Gone, Refuses bool
	// RateLimit is in requests per second; zero means that the limit was lifted.
	RateLimit float64
	// Age is how long ago the answer arrived.
	Age time.Duration
}

// Recent returns what this node heard of upstreams from themselves within recentTime.
func (reg *Registry) Recent() (sts []Stated) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	now := reg.timers.Now()
	for id, ent := range reg.entries {
		if age := now.Sub(ent.statedAt); ent.own && age <= recentTime {
			sts = append(sts, Stated{Instance: id, RateLimit: ent.rateLimit, Age: age})
		}
		if age := now.Sub(ent.leavingAt); ent.ownLeaving && age <= recentTime {
			sts = append(sts, Stated{Instance: id, Leaving: true, Age: age})
		}
		if age := now.Sub(ent.goneAt); ent.ownGone && age <= recentTime {
			sts = append(sts, Stated{Instance: id, Gone: true, Age: age})
		}
		if age := now.Sub(ent.refusedAt); ent.ownRefused && age <= recentTime {
			sts = append(sts, Stated{Instance: id, Refuses: true, Age: age})
		}
	}
	return sts
}

// AddPeer records what a peer heard of upstreams unless this node has heard newer.
func (reg *Registry) AddPeer(sts []Stated) {
	reg.mut.Lock()
	defer reg.mut.Unlock()
	now := reg.timers.Now()
	for _, sta := range sts {
		at := now.Add(-sta.Age)
		ent := reg.entries[sta.Instance]
		if sta.Refuses {
			continue
		}
		if ent == nil && (sta.RateLimit == 0 && !sta.Leaving && !sta.Gone || len(reg.entries) >= maxEntries) {
			continue
		}
		if ent == nil {
			ent = reg.add(sta.Instance)
		}
		if sta.Leaving {
			ent.leaving = true
			continue
		}
		if sta.Gone {
			if at.After(ent.goneAt) {
				// Only the node that got the answer passes it on. The age in a digest leaves out its transit time, so that nodes that
				// repeat each other's statements would make them newer each time.
				ent.goneAt, ent.ownGone = at, false
			}
			continue
		}
		if at.After(ent.statedAt) {
			reg.setLimit(ent, sta.RateLimit, at, false)
		}
	}
}
