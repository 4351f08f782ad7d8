package roster

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
)

// missingGrace is how long an upstream is kept whose record expired during an outage of the store.
// A live upstream writes its record again within 2 s of the end of the outage.
const missingGrace = 2500 * time.Millisecond

// maxAddedLines is the number of changed records up to which each added upstream is logged; the first copy of a large fleet
// would be a line for each.
const maxAddedLines = 64

// Options are the dependencies of a Roster.
type Options struct {
	Timers router.Timers
	Codec  router.Codec
	Log    *slog.Logger
	// OnRemove is called for each instance that is removed, with the lock held; a restart of an
	// upstream under the same ID removes its old incarnation.
	OnRemove func(ins router.Instance)
}

// Roster holds the instances that have a valid record. It is safe for concurrent use.
type Roster struct {
	options Options

	mut       sync.Mutex
	instances map[string]router.Instance
	// past holds instances that were removed a short time ago, by ID.
	past map[string]pastInstance
	// pendingReturns maps the ID of a past instance with a restored record to the function that cancels its return.
	pendingReturns map[string]func()
	// pendingRemovals maps the ID of an instance whose record is missing to the function that
	// cancels its removal.
	pendingRemovals map[string]func()
	// services maps a service to its available instances. It is replaced on every change, never
	// modified, so that readers take no lock.
	services atomic.Pointer[map[string][]router.Instance]
}

// New returns an empty Roster.
func New(opt Options) *Roster {
	ros := &Roster{
		options:         opt,
		instances:       make(map[string]router.Instance),
		past:            make(map[string]pastInstance),
		pendingReturns:  make(map[string]func()),
		pendingRemovals: make(map[string]func()),
	}
	ros.services.Store(&map[string][]router.Instance{})
	return ros
}

// Available returns the instances of a service that are not draining, ordered by ID. The caller
// must not modify the result.
func (ros *Roster) Available(service string) []router.Instance {
	return (*ros.services.Load())[service]
}

// Apply updates the roster from changed records. Records of a restored store that are older than what was known of their upstreams
// change nothing; the upstreams write newer ones. A deletion that is first received after an outage of
// the store takes effect after missingGrace, since the record may have expired during the outage
// although the upstream is alive.
func (ros *Roster) Apply(upd follow.Update) {
	ros.mut.Lock()
	defer ros.mut.Unlock()
	single := len(upd.Changed) <= maxAddedLines
	if !single {
		ros.options.Log.Info("upstreams changed", "Records", len(upd.Changed))
	}
	for _, rec := range upd.Changed {
		ros.cancelReturn(rec.Key)
		switch {
		case upd.Restored && !rec.Deleted && ros.isOutdated(rec):
		case rec.Deleted && upd.StoreRecovered:
			ros.removeLater(rec.Key)
		case rec.Deleted:
			ros.remove(rec.Key, "record deleted")
		default:
			ros.set(rec, single)
		}
	}
	ros.publish()
}

// set adds or updates the instance of a record; a new one is logged if single is set.
func (ros *Roster) set(rec router.Record, single bool) {
	ros.cancelRemoval(rec.Key)
	ins, err := ros.options.Codec.Instance(rec)
	if err != nil {
		ros.options.Log.Warn("upstream record ignored", "Upstream", rec.Key, "Version", rec.Version, "Error", err.Error())
		ros.remove(rec.Key, "record unreadable")
		return
	}
	old, fnd := ros.instances[ins.ID]
	if fnd && !old.Same(ins) {
		ros.remove(ins.ID, "new incarnation")
		fnd = false
	}
	ros.instances[ins.ID] = ins
	switch {
	case !fnd && single:
		ros.options.Log.Info("upstream added", "Upstream", ins.ID, "Service", ins.Service, "Address", ins.Address,
			"FailureDomain", ins.FailureDomain, "Draining", ins.Draining, "Version", rec.Version)
	case fnd && ins.Draining != old.Draining:
		ros.options.Log.Info("upstream draining", "Upstream", ins.ID, "Draining", ins.Draining, "Version", rec.Version)
	}
}

// removeLater removes an instance after missingGrace unless its record is written again before.
func (ros *Roster) removeLater(id string) {
	if _, fnd := ros.instances[id]; !fnd || ros.pendingRemovals[id] != nil {
		return
	}
	ros.options.Log.Info("upstream record missing after outage", "Upstream", id, "Stay", missingGrace.String())
	ros.pendingRemovals[id] = ros.options.Timers.After(missingGrace, func(time.Time) {
		ros.mut.Lock()
		defer ros.mut.Unlock()
		if ros.pendingRemovals[id] == nil {
			return
		}
		delete(ros.pendingRemovals, id)
		ros.remove(id, "record missing")
		ros.publish()
	})
}

func (ros *Roster) cancelRemoval(id string) {
	if stop := ros.pendingRemovals[id]; stop != nil {
		stop()
		delete(ros.pendingRemovals, id)
	}
}

func (ros *Roster) remove(id, reason string) {
	ros.cancelRemoval(id)
	ins, fnd := ros.instances[id]
	if !fnd {
		return
	}
	delete(ros.instances, id)
	ros.rememberPast(ins)
	ros.options.Log.Info("upstream gone", "Upstream", id, "Service", ins.Service, "Reason", reason)
	ros.options.OnRemove(ins)
}

// publish rebuilds the lists that Available returns.
func (ros *Roster) publish() {
	svcs := make(map[string][]router.Instance)
	for _, id := range slices.Sorted(maps.Keys(ros.instances)) {
		if ins := ros.instances[id]; !ins.Draining {
			svcs[ins.Service] = append(svcs[ins.Service], ins)
		}
	}
	ros.services.Store(&svcs)
}
