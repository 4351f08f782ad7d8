package follow

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

const (
	// watchWait is how long one call waits for changes. It sets the rate of calls while nothing changes. With answerTimeout it
	// bounds how long a Follower waits for an answer that was lost: the sum and a pause are below the time in which
	// changes must take effect.
	watchWait     = 1250 * time.Millisecond
	answerTimeout = time.Second
	// outageWait and outageAnswerTimeout are the same in an outage. A short wait detects sooner that the store responds
	// again, and a slow store gets more time.
	outageWait          = 100 * time.Millisecond
	outageAnswerTimeout = 2 * time.Second
	// batchPause is the pause after changes, so that a series of changes costs few calls. It is a
	// tenth of the shortest time in which changes must take effect.
	batchPause = 300 * time.Millisecond
	// minRetryPause and maxRetryPause bound the backoff after a failed call. Jitter makes each pause
	// half to one and a half times as long.
	minRetryPause = 200 * time.Millisecond
	maxRetryPause = 700 * time.Millisecond
	// maxDeletions bounds the deletions that are kept for peers.
	maxDeletions = 1000
	// afterOutagePeriod is how long after an outage the changes for peers have AfterOutage set.
	// Records that expired in the outage are written again within two seconds.
	afterOutagePeriod = 3 * time.Second
	// peerCheckInterval is how often a Follower that uses peers checks whether it still should, and
	// initialCheckInterval is the same before it has any records.
	peerCheckInterval    = 100 * time.Millisecond
	initialCheckInterval = 20 * time.Millisecond
)

// Update is a change of the copy.
type Update struct {
	// Changed holds the new, modified and deleted records.
	Changed []router.Record
	// StoreRecovered is set if the changes are the first response of the store after an outage, or
	// come from a peer for which an outage ended shortly before.
	StoreRecovered bool
	// Restored is set if the changes come from a store that was restored from a copy. Records may be older than those of before.
	Restored bool
}

// Options configure a Follower.
type Options struct {
	Source router.RecordStore
	Kind   router.RecordKind
	Log    *slog.Logger
	// Apply is called with every update, in order and never concurrently. It must not call the
	// Follower, whose lock is held.
	Apply func(upd Update)
	// UsePeers reports whether the changes come from peers, so that the store is not called; nil
	// means never.
	UsePeers func() bool
}

// Follower keeps a copy of all records of one kind. It is safe for concurrent use.
type Follower struct {
	options Options

	mut     sync.Mutex
	records map[string]router.Record
	// era is the era of the store's versions in the copy.
	era int64
	// version is the store version that the copy is current to; zero before the first read.
	version int64
	// lastChange is the version of the newest change up to which the copy is complete. It can be below version, because
	// the store numbers the changes of all kinds together.
	lastChange int64
	// deletions holds the versions at which records were deleted, by key. It lacks deletions up to deletionsAfter: they were
	// hidden by a snapshot, or are no longer kept.
	deletions      map[string]int64
	deletionsAfter int64
	// loaded is set once all records were read, and reset when the store has discarded the history
	// after version.
	loaded bool
	// recoveredAt is when the store responded again after its last outage.
	recoveredAt time.Time
	// failingSince is when the store stopped responding; zero while it responds.
	failingSince time.Time
	// answeredAt is when the store last answered a call; zero before the first answer.
	answeredAt time.Time
	// confirmedMs is the time of the store's clock up to which the copy is known to hold all changes, and confirmedAt is when
	// that was by the clock of this node, or later by the delay of messages; zero if nothing is known.
	confirmedMs int64
	confirmedAt time.Time
}

// New returns a Follower without records.
func New(opt Options) *Follower {
	return &Follower{options: opt, records: make(map[string]router.Record), deletions: make(map[string]int64)}
}

// Run reads and watches the store until the context ends.
func (fol *Follower) Run(ctx context.Context) {
	retry := minRetryPause
	// pause is the time since the last answer of the store that was spent without a call.
	pause := time.Duration(0)
	// reloaded is set when the history was discarded since the last watch that succeeded.
	reloaded := false
	for ctx.Err() == nil {
		if fol.usesPeers() {
			fol.switchToPeers()
			timer.Sleep(ctx, fol.peerCheckPause())
			continue
		}
		sent := time.Now()
		chs, err := fol.fetch(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = fol.checkEra(chs)
		}
		switch {
		case errors.Is(err, router.ErrCompacted):
			fol.requireReload()
			if reloaded {
				// The listing before did not help.
				timer.Sleep(ctx, retry/2+rand.N(retry))
			}
			reloaded = true
			continue
		case err != nil:
			fol.recordFailure(err, time.Since(sent))
			timer.Sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, maxRetryPause)
			continue
		}
		retry = minRetryPause
		pause = 0
		reloaded = reloaded && chs.Snapshot
		answered := time.Now()
		if chs.Snapshot {
			// The pages of a snapshot are at least as new as the call.
			answered = sent
		}
		if fol.apply(chs, answered) > 0 {
			pause = batchPause
			timer.Sleep(ctx, pause)
		}
	}
}

// MergePeer merges a peer's snapshot, or the changes after this copy's LastChange.
func (fol *Follower) MergePeer(chs router.Changes) {
	if chs.Version == 0 {
		// The peer has not read any records yet.
		return
	}
	fol.apply(chs, time.Time{})
}

// checkEra returns router.ErrCompacted for changes in an era after that of the copy, which continue no version of it, and
// router.ErrUnavailable for an answer of an era before.
func (fol *Follower) checkEra(chs router.Changes) (err error) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	switch {
	case chs.Era < fol.era:
		return errors.Wrapf(router.ErrUnavailable, "era %d is over", chs.Era)
	case chs.Era > fol.era && !chs.Snapshot:
		return errors.Wrapf(router.ErrCompacted, "era %d has begun", chs.Era)
	default:
		return nil
	}
}

// UsesPeers reports whether changes come from peers at present.
func (fol *Follower) UsesPeers() bool {
	return fol.usesPeers()
}

// Version returns the store version that the copy is current to; zero means that nothing was read
// yet.
func (fol *Follower) Version() int64 {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.version
}

// LastChange returns the newest version at which the copy changed, or may have changed by a deletion that a snapshot hides.
func (fol *Follower) LastChange() int64 {
	return fol.Position().newest()
}

// Position returns the state of the copy.
func (fol *Follower) Position() Position {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.position()
}

func (fol *Follower) position() Position {
	return Position{Era: fol.era, LastChange: fol.lastChange, DeletionsAfter: fol.deletionsAfter, Complete: fol.version}
}

// OutageDuration returns how long the store has not responded; zero means that it responds or that
// the Follower uses peers.
func (fol *Follower) OutageDuration() time.Duration {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	if fol.failingSince.IsZero() {
		return 0
	}
	return max(1, time.Since(fol.failingSince))
}

// ChangesSince returns the changes after a version of the copy's era up to which another copy is complete. It returns a snapshot
// if the version is zero, or if deletions after it may be unknown.
func (fol *Follower) ChangesSince(after int64) (chs router.Changes) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.changesFor(Position{Era: fol.era, LastChange: after, Complete: after})
}

// ChangesFor returns the changes that a copy at a position may lack. It returns a snapshot if that copy is empty or of another
// era, or if deletions that it lacks may be unknown.
func (fol *Follower) ChangesFor(pos Position) (chs router.Changes) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.changesFor(pos)
}

func (fol *Follower) changesFor(pos Position) (chs router.Changes) {
	if fol.position().RequiresSnapshot(pos) {
		return fol.snapshot()
	}
	after := pos.LastChange
	chs = router.Changes{Era: fol.era, Version: fol.version, AfterOutage: time.Since(fol.recoveredAt) < afterOutagePeriod}
	for _, rec := range fol.records {
		if rec.Version > after {
			chs.Records = append(chs.Records, rec)
		}
	}
	for key, ver := range fol.deletions {
		if ver > after {
			chs.Records = append(chs.Records, router.Record{Key: key, Version: ver, Deleted: true})
		}
	}
	return chs
}

// Snapshot returns all records; its Version is zero before the first read.
func (fol *Follower) Snapshot() (chs router.Changes) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.snapshot()
}

func (fol *Follower) snapshot() (chs router.Changes) {
	chs = router.Changes{Era: fol.era, Version: fol.version, Snapshot: true, AfterOutage: time.Since(fol.recoveredAt) < afterOutagePeriod}
	for _, rec := range fol.records {
		chs.Records = append(chs.Records, rec)
	}
	return chs
}

// usesPeers reports whether changes come from peers at present.
func (fol *Follower) usesPeers() bool {
	return fol.options.UsePeers != nil && fol.options.UsePeers()
}

// fetch reads the store, or waits for changes for less than watchWait by the given pause, so that answers come at the same
// rate after changes as without.
func (fol *Follower) fetch(ctx context.Context, pause time.Duration) (chs router.Changes, err error) {
	fol.mut.Lock()
	loaded, failing, confirmed := fol.loaded, !fol.failingSince.IsZero(), time.Since(fol.confirmedAt) <= watchWait
	cal := router.WatchCall{Kind: fol.options.Kind, After: fol.version, Wait: watchWait - pause, AnswerTimeout: answerTimeout}
	fol.mut.Unlock()
	if !loaded {
		return fol.options.Source.Read(ctx, fol.options.Kind)
	}
	if !confirmed {
		// Peers have not confirmed the copy for some time. The answer does, so it should come soon.
		cal.Wait = outageWait
	}
	if failing {
		cal.Wait, cal.AnswerTimeout = outageWait, outageAnswerTimeout
	}
	return fol.options.Source.Watch(ctx, cal)
}

// recordFailure records a failed call that took the given time.
func (fol *Follower) recordFailure(err error, took time.Duration) {
	fol.mut.Lock()
	first := fol.failingSince.IsZero()
	if first {
		fol.failingSince = time.Now()
	}
	version, silence := fol.version, fol.silence()
	fol.mut.Unlock()
	if first {
		fol.options.Log.Warn("store lost", "Kind", fol.options.Kind, "Version", version, "CallMs", took.Milliseconds(),
			"SilenceMs", silence.Milliseconds(), "Error", err.Error())
	}
}

// peerCheckPause returns the pause until a Follower that uses peers checks whether it still should.
func (fol *Follower) peerCheckPause() time.Duration {
	if fol.Version() == 0 {
		return initialCheckInterval
	}
	return peerCheckInterval
}

// switchToPeers ends an outage without the store, because the state of the store no longer shows
// whether the copy is current.
func (fol *Follower) switchToPeers() {
	fol.mut.Lock()
	failed := !fol.failingSince.IsZero()
	fol.failingSince = time.Time{}
	fol.mut.Unlock()
	if failed {
		fol.options.Log.Info("store left to peers", "Kind", fol.options.Kind)
	}
}

func (fol *Follower) requireReload() {
	fol.mut.Lock()
	fol.loaded = false
	fol.mut.Unlock()
	fol.options.Log.Info("store history discarded", "Kind", fol.options.Kind)
}
