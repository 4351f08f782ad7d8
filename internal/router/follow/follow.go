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
	// Wait is how long one call waits for changes; it sets the rate of calls of a calm node.
	Wait = 10 * time.Second
	// batchPause is the pause after changes, so that a series of them costs few calls; it is a tenth of the shortest bound in which changes must take effect.
	batchPause = 300 * time.Millisecond
	// retryLeast and retryMost bound the pause before a failed call is repeated.
	retryLeast = 200 * time.Millisecond
	retryMost  = time.Second
	// probeSlack is how much longer than its own wait a call may take while the store fails; one that was sent into an outage is never answered.
	probeSlack = time.Second
	// patientEvery is after how many such calls one may take as long as any other, because what is missing may be large.
	patientEvery = 4
	// deletedMost bounds the deletions that are remembered for peers.
	deletedMost = 1000
	// outageEcho is how long after an outage copies say so; records that lapsed in it are written again within two seconds.
	outageEcho = 3 * time.Second
	// relayedPause is how often a Follower whose changes come from peers looks whether they still do, and startPause the same before it has anything.
	relayedPause = 250 * time.Millisecond
	startPause   = 20 * time.Millisecond
)

// Update is a change of the copy.
type Update struct {
	// Changed holds the new and the deleted records.
	Changed []router.Record
	// Regained is set when the store answered for the first time after a failure, here or at the peer that the changes come from.
	Regained bool
}

// Options are what a Follower is built from.
type Options struct {
	Source router.RecordStore
	Kind   router.RecordKind
	Log    *slog.Logger
	// Apply is called with every change, one call at a time.
	Apply func(upd Update)
	// Relayed reports that peers bring the changes, so that the store need not be asked; nil means never.
	Relayed func() bool
}

// Follower is a copy of one kind of record.
type Follower struct {
	options Options

	mut     sync.Mutex
	records map[string]router.Record
	version int64
	// newest is the version of the newest change in the copy; the store counts changes of all kinds together.
	newest int64
	// deleted holds the versions at which records were deleted, and forgotten the newest of those that are not held any more.
	deleted   map[string]int64
	forgotten int64
	// read is set once everything has been read.
	read bool
	// regained is when the store answered again after its last failure.
	regained time.Time
	// failing is when the store stopped answering; zero while it answers. failures counts the calls since.
	failing  time.Time
	failures int
}

// New returns an empty Follower.
func New(opt Options) *Follower {
	return &Follower{options: opt, records: make(map[string]router.Record), deleted: make(map[string]int64)}
}

// Run follows the store until the context ends.
func (fol *Follower) Run(ctx context.Context) {
	retry := retryLeast
	for ctx.Err() == nil {
		if fol.relayed() {
			fol.rest()
			timer.Sleep(ctx, fol.relayedPause())
			continue
		}
		chs, err := fol.next(ctx)
		if ctx.Err() != nil {
			return
		}
		switch {
		case errors.Is(err, router.ErrCompacted):
			fol.forgetVersion()
			continue
		case err != nil:
			fol.fail(err)
			timer.Sleep(ctx, retry/2+rand.N(retry))
			retry = min(2*retry, retryMost)
			continue
		}
		retry = retryLeast
		if fol.accept(chs, true) > 0 {
			timer.Sleep(ctx, batchPause)
		}
	}
}

// Offer takes a peer's copy, or what changed in it after the newest change here.
func (fol *Follower) Offer(chs router.Changes) {
	if chs.Version == 0 {
		// The peer has read nothing itself.
		return
	}
	fol.accept(chs, false)
}

// Relays reports whether the copy comes from peers now.
func (fol *Follower) Relays() bool {
	return fol.relayed()
}

// Version returns the store's version of the copy; zero means that nothing was read yet.
func (fol *Follower) Version() int64 {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.version
}

// Newest returns the version of the newest change in the copy, which peers compare.
func (fol *Follower) Newest() int64 {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.newest
}

// Failing returns how long the store has not answered; zero means that it answers.
func (fol *Follower) Failing() time.Duration {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	if fol.failing.IsZero() {
		return 0
	}
	return max(1, time.Since(fol.failing))
}

// Since returns what changed after a version, or everything where that is not known any more.
func (fol *Follower) Since(after int64) (chs router.Changes) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	if after <= fol.forgotten {
		return fol.copy()
	}
	chs = router.Changes{Version: fol.version, AfterOutage: time.Since(fol.regained) < outageEcho}
	for _, rec := range fol.records {
		if rec.Version > after {
			chs.Records = append(chs.Records, rec)
		}
	}
	for key, ver := range fol.deleted {
		if ver > after {
			chs.Records = append(chs.Records, router.Record{Key: key, Version: ver, Deleted: true})
		}
	}
	return chs
}

// Copy returns all records as of one version; it is empty before the first read.
func (fol *Follower) Copy() (chs router.Changes) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.copy()
}

func (fol *Follower) copy() (chs router.Changes) {
	chs = router.Changes{Version: fol.version, Snapshot: true, AfterOutage: time.Since(fol.regained) < outageEcho}
	for _, rec := range fol.records {
		chs.Records = append(chs.Records, rec)
	}
	return chs
}

// relayed reports whether peers bring the changes.
func (fol *Follower) relayed() bool {
	return fol.options.Relayed != nil && fol.options.Relayed()
}

func (fol *Follower) next(ctx context.Context) (chs router.Changes, err error) {
	fol.mut.Lock()
	read, after, failing, failures := fol.read, fol.version, !fol.failing.IsZero(), fol.failures
	fol.mut.Unlock()
	if !read {
		return fol.options.Source.Read(ctx, fol.options.Kind)
	}
	wait := Wait
	if failing {
		// A short wait shows soon that the store answers again.
		wait = retryMost
		if failures%patientEvery != 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, wait+probeSlack)
			defer cancel()
		}
	}
	return fol.options.Source.Watch(ctx, fol.options.Kind, after, wait)
}

func (fol *Follower) fail(err error) {
	fol.mut.Lock()
	fresh := fol.failing.IsZero()
	if fresh {
		fol.failing = time.Now()
		fol.failures = 0
	}
	fol.failures++
	version := fol.version
	fol.mut.Unlock()
	if fresh {
		fol.options.Log.Warn("store lost", "Kind", fol.options.Kind, "Version", version, "Error", err.Error())
	}
}

// relayedPause returns how soon a Follower whose changes come from peers looks whether they still do.
func (fol *Follower) relayedPause() time.Duration {
	if fol.Version() == 0 {
		return startPause
	}
	return relayedPause
}

// rest leaves the store to peers; a failure of the own feed says nothing of the copy any more.
func (fol *Follower) rest() {
	fol.mut.Lock()
	failed := !fol.failing.IsZero()
	fol.failing = time.Time{}
	fol.mut.Unlock()
	if failed {
		fol.options.Log.Info("store left to peers", "Kind", fol.options.Kind)
	}
}

func (fol *Follower) forgetVersion() {
	fol.mut.Lock()
	fol.read = false
	fol.mut.Unlock()
	fol.options.Log.Info("store history discarded", "Kind", fol.options.Kind)
}

// accept merges changes, tells them, and returns their number.
func (fol *Follower) accept(chs router.Changes, own bool) (num int) {
	fol.mut.Lock()
	upd := Update{Changed: fol.merge(chs)}
	if own {
		upd.Regained = !fol.failing.IsZero()
		fol.failing = time.Time{}
		if upd.Regained {
			fol.regained = time.Now()
		}
	} else {
		upd.Regained = chs.AfterOutage && len(upd.Changed) > 0
	}
	fol.version = max(fol.version, chs.Version)
	fol.read = true
	fol.note(upd.Changed)
	version := fol.version
	if len(upd.Changed) > 0 || upd.Regained {
		// Told under the lock, so that changes are applied in order.
		fol.options.Apply(upd)
	}
	fol.mut.Unlock()
	if own && upd.Regained {
		fol.options.Log.Info("store regained", "Kind", fol.options.Kind, "Version", version)
	}
	return len(upd.Changed)
}

// note remembers the versions of changes.
func (fol *Follower) note(changed []router.Record) {
	for _, rec := range changed {
		fol.newest = max(fol.newest, rec.Version)
		if rec.Deleted {
			fol.deleted[rec.Key] = rec.Version
		} else {
			delete(fol.deleted, rec.Key)
		}
	}
	if len(fol.deleted) <= deletedMost {
		return
	}
	for _, ver := range fol.deleted {
		fol.forgotten = max(fol.forgotten, ver)
	}
	clear(fol.deleted)
}

// merge applies changes that are newer than the copy and returns them.
func (fol *Follower) merge(chs router.Changes) (changed []router.Record) {
	if chs.Snapshot && chs.Version < fol.version {
		return nil
	}
	seen := make(map[string]bool, len(chs.Records))
	for _, rec := range chs.Records {
		seen[rec.Key] = true
		old, fnd := fol.records[rec.Key]
		if rec.Version <= old.Version || rec.Deleted && !fnd {
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
