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

// lapsedStay is how long an upstream whose record lapsed during an outage is kept; living ones write again within two seconds.
const lapsedStay = 2500 * time.Millisecond

// Options are what a Roster is built from.
type Options struct {
	Timers router.Timers
	Codec  router.Codec
	Log    *slog.Logger
	// Gone is called for each incarnation that ended.
	Gone func(ins router.Instance)
}

// Roster is the set of upstreams.
type Roster struct {
	options Options

	mut       sync.Mutex
	instances map[string]router.Instance
	// lapsing holds how to stop the removal of instances whose records are missing.
	lapsing map[string]func()
	// services is replaced with every change.
	services atomic.Pointer[map[string][]router.Instance]
}

// New returns an empty Roster.
func New(opt Options) *Roster {
	ros := &Roster{
		options:   opt,
		instances: make(map[string]router.Instance),
		lapsing:   make(map[string]func()),
	}
	ros.services.Store(&map[string][]router.Instance{})
	return ros
}

// Takers returns the instances of a service that take new work, ordered by ID; the result must not be changed.
func (ros *Roster) Takers(service string) []router.Instance {
	return (*ros.services.Load())[service]
}

// Apply takes changed records.
func (ros *Roster) Apply(upd follow.Update) {
	ros.mut.Lock()
	defer ros.mut.Unlock()
	for _, rec := range upd.Changed {
		switch {
		case rec.Deleted && upd.Regained:
			ros.lapse(rec.Key)
		case rec.Deleted:
			ros.remove(rec.Key, "record deleted")
		default:
			ros.set(rec)
		}
	}
	ros.publish()
}

func (ros *Roster) set(rec router.Record) {
	ros.keep(rec.Key)
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
	case !fnd:
		ros.options.Log.Info("upstream added", "Upstream", ins.ID, "Service", ins.Service, "Address", ins.Address,
			"FailureDomain", ins.FailureDomain, "Draining", ins.Draining, "Version", rec.Version)
	case ins.Draining != old.Draining:
		ros.options.Log.Info("upstream draining", "Upstream", ins.ID, "Draining", ins.Draining, "Version", rec.Version)
	}
}

// lapse removes an instance unless its record is written again soon.
func (ros *Roster) lapse(id string) {
	if _, fnd := ros.instances[id]; !fnd || ros.lapsing[id] != nil {
		return
	}
	ros.options.Log.Info("upstream record missing after outage", "Upstream", id, "Stay", lapsedStay.String())
	ros.lapsing[id] = ros.options.Timers.After(lapsedStay, func(time.Time) {
		ros.mut.Lock()
		defer ros.mut.Unlock()
		if ros.lapsing[id] == nil {
			return
		}
		delete(ros.lapsing, id)
		ros.remove(id, "record missing")
		ros.publish()
	})
}

func (ros *Roster) keep(id string) {
	if stop := ros.lapsing[id]; stop != nil {
		stop()
		delete(ros.lapsing, id)
	}
}

func (ros *Roster) remove(id, reason string) {
	ros.keep(id)
	ins, fnd := ros.instances[id]
	if !fnd {
		return
	}
	delete(ros.instances, id)
	ros.options.Log.Info("upstream gone", "Upstream", id, "Service", ins.Service, "Reason", reason)
	ros.options.Gone(ins)
}

// publish replaces the lists that callers read.
func (ros *Roster) publish() {
	svcs := make(map[string][]router.Instance)
	for _, id := range slices.Sorted(maps.Keys(ros.instances)) {
		if ins := ros.instances[id]; !ins.Draining {
			svcs[ins.Service] = append(svcs[ins.Service], ins)
		}
	}
	ros.services.Store(&svcs)
}
