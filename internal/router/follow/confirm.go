package follow

import "time"

// maxReaderSilence is how long after the last answer of the store a Follower still counts as watching it.
const maxReaderSilence = watchWait + answerTimeout

// Silence returns how long ago the store last answered a call of this Follower; zero if it never did.
func (fol *Follower) Silence() time.Duration {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.silence()
}

func (fol *Follower) silence() time.Duration {
	if fol.answeredAt.IsZero() {
		return 0
	}
	return time.Since(fol.answeredAt)
}

// WatchesStore reports whether this Follower watches the store itself and the store answers.
func (fol *Follower) WatchesStore() bool {
	if fol.usesPeers() {
		return false
	}
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.failingSince.IsZero() && !fol.answeredAt.IsZero() && fol.silence() <= maxReaderSilence
}

// Confirmed returns the position of the copy, up to which time of the store's clock, in milliseconds, it is known to hold all
// changes, and how long ago that was. Both times are zero if nothing is known.
func (fol *Follower) Confirmed() (pos Position, storeMs int64, age time.Duration) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	pos = fol.position()
	if fol.confirmedAt.IsZero() {
		return pos, 0, 0
	}
	return pos, fol.confirmedMs, time.Since(fol.confirmedAt)
}

// IsCurrent reports whether the copy is known to have held all changes at some time within the given age.
func (fol *Follower) IsCurrent(age time.Duration) bool {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return !fol.confirmedAt.IsZero() && time.Since(fol.confirmedAt) <= age
}

// Confirm records that a peer's copy at a position held all changes up to a time of the store's clock, an age ago. It has no
// effect if this copy may lack some of them; otherwise this copy is complete up to the same version. Peers pass on what others
// confirmed: as a time of the store's clock is newer only once, the age does not shrink on the way.
func (fol *Follower) Confirm(pos Position, storeMs int64, age time.Duration) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	if pos.Era != fol.era || fol.version == 0 || fol.position().Lacks(pos) {
		return
	}
	fol.version = max(fol.version, pos.Complete)
	if storeMs > fol.confirmedMs {
		fol.confirmedMs, fol.confirmedAt = storeMs, time.Now().Add(-age)
	}
}
