package roster

import (
	"maps"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// pastTTL is how long removed instances are remembered. Copies from which a store is restored are some seconds old.
	pastTTL = 2 * time.Minute
	// returnDelay is how long the restored record of a removed instance is not used. The store removes the records of upstreams
	// that are silent for a few seconds, and a live one writes its record again.
	returnDelay = 10 * time.Second
)

// pastInstance is an instance that was removed.
type pastInstance struct {
	router.Instance

	removedAt time.Time
}

// rememberPast records a removed instance; the lock is held.
func (ros *Roster) rememberPast(ins router.Instance) {
	now := ros.options.Timers.Now()
	maps.DeleteFunc(ros.past, func(_ string, old pastInstance) bool { return now.Sub(old.removedAt) > pastTTL })
	ros.past[ins.ID] = pastInstance{Instance: ins, removedAt: now}
}

// isOutdated reports whether a restored record is older than what was known of its upstream, which the upstream's own numbers
// show: versions of the store are not comparable. The record of a removed instance is used after returnDelay if it is still
// there. The lock is held.
func (ros *Roster) isOutdated(rec router.Record) bool {
	ins, err := ros.options.Codec.Instance(rec)
	if err != nil {
		return false
	}
	if old, fnd := ros.instances[ins.ID]; fnd {
		outdated := ins.Born < old.Born || ins.Born == old.Born && ins.Sequence < old.Sequence
		if outdated {
			ros.options.Log.Info("restored record outdated", "Upstream", ins.ID, "Sequence", ins.Sequence, "Known", old.Sequence, "Draining", old.Draining)
		}
		return outdated
	}
	old, fnd := ros.past[ins.ID]
	if !fnd || ins.Born > old.Born || ins.Born == old.Born && ins.Sequence > old.Sequence {
		return false
	}
	ros.options.Log.Info("restored record of a removed upstream", "Upstream", ins.ID, "Sequence", ins.Sequence, "Known", old.Sequence, "Delay", returnDelay.String())
	ros.pendingReturns[ins.ID] = ros.options.Timers.After(returnDelay, func(time.Time) {
		ros.mut.Lock()
		defer ros.mut.Unlock()
		if ros.pendingReturns[ins.ID] == nil {
			return
		}
		delete(ros.pendingReturns, ins.ID)
		ros.set(rec, true)
		ros.publish()
	})
	return true
}

// cancelReturn cancels the return of a removed instance; the lock is held.
func (ros *Roster) cancelReturn(id string) {
	if stop := ros.pendingReturns[id]; stop != nil {
		stop()
		delete(ros.pendingReturns, id)
	}
}
