package follow

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// apply merges changes, passes those that are new to Options.Apply, and returns their number. The store held no others at the
// time answered, which is zero if the changes come from a peer.
func (fol *Follower) apply(chs router.Changes, answered time.Time) (num int) {
	fromStore := !answered.IsZero()
	fol.mut.Lock()
	var upd Update
	switch {
	case chs.Era == fol.era:
		upd.Changed = fol.merge(chs)
	case chs.Era > fol.era && chs.Snapshot:
		upd = fol.enterEra(chs)
	default:
		// The changes continue a version of another era.
		fol.mut.Unlock()
		return 0
	}
	silence := fol.silence()
	if fromStore {
		fol.answeredAt = time.Now()
		if chs.StoreMs >= fol.confirmedMs {
			// Otherwise a peer confirmed the copy while the answer was on its way.
			fol.confirmedMs, fol.confirmedAt = chs.StoreMs, answered
		}
		upd.StoreRecovered = upd.StoreRecovered || !fol.failingSince.IsZero()
		fol.failingSince = time.Time{}
		if upd.StoreRecovered {
			fol.recoveredAt = time.Now()
		}
	} else {
		upd.StoreRecovered = upd.StoreRecovered || chs.AfterOutage && len(upd.Changed) > 0
	}
	fol.advance(chs, upd)
	version := fol.version
	if len(upd.Changed) > 0 || upd.StoreRecovered {
		// Called under the lock, so that updates are applied in order.
		fol.options.Apply(upd)
	}
	fol.mut.Unlock()
	if fromStore && upd.StoreRecovered {
		fol.options.Log.Info("store regained", "Kind", fol.options.Kind, "Version", version, "SilenceMs", silence.Milliseconds())
	}
	return len(upd.Changed)
}

// advance records up to which versions changes and deletions are known after changes were merged.
func (fol *Follower) advance(chs router.Changes, upd Update) {
	if chs.Snapshot && chs.Version > fol.version {
		fol.forgetDeletions(chs.Version)
	}
	fol.version = max(fol.version, chs.Version)
	fol.loaded = true
	if !upd.Restored {
		fol.recordVersions(upd.Changed, chs.Version)
		fol.recordKnown(chs)
	}
}

// enterEra replaces the copy by a snapshot of a later era and returns the differences. Whether a record changed shows in its
// value only.
func (fol *Follower) enterEra(chs router.Changes) (upd Update) {
	fol.options.Log.Info("store era began", "Kind", fol.options.Kind, "Era", chs.Era, "Version", chs.Version, "Before", fol.era, "Held", fol.version)
	old := fol.records
	upd.Restored = fol.version > 0
	upd.StoreRecovered = upd.Restored
	fol.era, fol.version, fol.lastChange = chs.Era, chs.Version, 0
	fol.confirmedMs, fol.confirmedAt = 0, time.Time{}
	clear(fol.deletions)
	fol.forgetDeletions(chs.Version)
	fol.records = make(map[string]router.Record, len(chs.Records))
	for _, rec := range chs.Records {
		fol.records[rec.Key] = rec
		fol.lastChange = max(fol.lastChange, min(rec.Version, chs.Version))
		if bef, fnd := old[rec.Key]; !fnd || !bytes.Equal(bef.Value, rec.Value) {
			upd.Changed = append(upd.Changed, rec)
		}
	}
	for key := range old {
		if _, fnd := fol.records[key]; !fnd {
			upd.Changed = append(upd.Changed, router.Record{Key: key, Version: chs.Version, Deleted: true})
		}
	}
	return upd
}

// recordVersions updates lastChange and the deletions kept for peers. The changes are complete up to a version only: a listing
// of several pages holds newer records, but not all of them.
func (fol *Follower) recordVersions(changed []router.Record, complete int64) {
	for _, rec := range changed {
		fol.lastChange = max(fol.lastChange, min(rec.Version, complete))
		if rec.Deleted {
			fol.deletions[rec.Key] = rec.Version
		} else {
			delete(fol.deletions, rec.Key)
		}
	}
	if len(fol.deletions) > maxDeletions {
		fol.forgetDeletions(slices.Max(slices.Collect(maps.Values(fol.deletions))))
	}
}

// forgetDeletions records that deletions up to a version may be unknown from now on.
func (fol *Follower) forgetDeletions(version int64) {
	fol.deletionsAfter = version
	maps.DeleteFunc(fol.deletions, func(_ string, ver int64) bool { return ver <= version })
}

// recordKnown updates the versions by received changes that the copy already had, such as the deletion of a record that it
// does not hold. Otherwise this node would fetch them from peers again and again.
func (fol *Follower) recordKnown(chs router.Changes) {
	if chs.Snapshot {
		return
	}
	for _, rec := range chs.Records {
		fol.lastChange = max(fol.lastChange, min(rec.Version, chs.Version))
		if _, fnd := fol.records[rec.Key]; rec.Deleted && !fnd {
			fol.deletions[rec.Key] = max(fol.deletions[rec.Key], rec.Version)
		}
	}
}

// merge adds the changes that are newer than the copy and returns them. Records that are missing
// from a snapshot count as deleted.
//
// A record that the copy does not hold, although the copy is complete up to the record's version, was deleted since: the answer,
// of a peer or of the store, was on its way longer than the deletion, which came from elsewhere.
func (fol *Follower) merge(chs router.Changes) (changed []router.Record) {
	if chs.Snapshot && chs.Version < fol.version {
		return nil
	}
	seen := make(map[string]bool, len(chs.Records))
	for _, rec := range chs.Records {
		seen[rec.Key] = true
		old, fnd := fol.records[rec.Key]
		outdated := !fnd && !chs.Snapshot && rec.Version <= fol.version
		if rec.Version <= old.Version || rec.Deleted && !fnd || outdated {
			continue
		}
		if rec.Deleted {
			delete(fol.records, rec.Key)
		} else {
			fol.records[rec.Key] = rec
		}
		changed = append(changed, rec)
	}
	if !chs.Snapshot {
		return changed
	}
	for key := range fol.records {
		if !seen[key] {
			delete(fol.records, key)
			changed = append(changed, router.Record{Key: key, Version: chs.Version, Deleted: true})
		}
	}
	return changed
}
