package fakes

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// RecordStore is a versioned record store in memory. It implements router.RecordStore.
type RecordStore struct {
	mut     sync.Mutex
	era     int64
	version int64
	records map[router.RecordKind]map[string]router.Record
	history map[router.RecordKind][]router.Record
	// compacted is the version up to which history was discarded.
	compacted int64
	// failure is returned by Read and Watch unless it is nil.
	failure error
	// changed is closed and replaced on each change.
	changed chan struct{}
	calls   int
	// started is the origin of the store's clock.
	started time.Time
}

// Backup is a copy of the contents of a RecordStore.
type Backup struct {
	version int64
	records map[router.RecordKind]map[string]router.Record
}

// Backup returns a copy of the contents.
func (sto *RecordStore) Backup() (bak Backup) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	bak = Backup{version: sto.version, records: make(map[router.RecordKind]map[string]router.Record)}
	for knd, rcs := range sto.records {
		bak.records[knd] = maps.Clone(rcs)
	}
	return bak
}

// Restore replaces the contents by those of a backup and begins an era, in which the versions after the backup's are given out
// again. Earlier history is discarded.
func (sto *RecordStore) Restore(bak Backup) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.era++
	sto.version, sto.compacted = bak.version, bak.version
	sto.records = make(map[router.RecordKind]map[string]router.Record)
	for knd, rcs := range bak.records {
		sto.records[knd] = maps.Clone(rcs)
	}
	sto.history = make(map[router.RecordKind][]router.Record)
	sto.notifyWatchers()
}

// NewRecordStore returns an empty RecordStore.
func NewRecordStore() *RecordStore {
	return &RecordStore{
		records: make(map[router.RecordKind]map[string]router.Record),
		history: make(map[router.RecordKind][]router.Record),
		changed: make(chan struct{}),
		started: time.Now(),
	}
}

// clock returns the store's clock in milliseconds.
func (sto *RecordStore) clock() int64 {
	return 1 + time.Since(sto.started).Milliseconds()
}

// Set writes a record, or deletes it when the value is nil, and returns its version.
func (sto *RecordStore) Set(knd router.RecordKind, key string, val []byte) (version int64) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.version++
	rec := router.Record{Key: key, Value: val, Version: sto.version, Deleted: val == nil}
	if sto.records[knd] == nil {
		sto.records[knd] = make(map[string]router.Record)
	}
	if rec.Deleted {
		delete(sto.records[knd], key)
	} else {
		sto.records[knd][key] = rec
	}
	sto.history[knd] = append(sto.history[knd], rec)
	sto.notifyWatchers()
	return sto.version
}

// SetError makes Read and Watch return an error until it is set to nil.
func (sto *RecordStore) SetError(err error) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.failure = err
	sto.notifyWatchers()
}

// Compact discards the history, so that Watch of an older version returns router.ErrCompacted.
func (sto *RecordStore) Compact() {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.version++
	sto.compacted = sto.version
	sto.history = make(map[router.RecordKind][]router.Record)
	sto.notifyWatchers()
}

// Calls returns the number of calls of Read and Watch so far.
func (sto *RecordStore) Calls() int {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	return sto.calls
}

// notifyWatchers makes all pending calls of Watch check for changes. The lock is held.
func (sto *RecordStore) notifyWatchers() {
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// Read returns a snapshot of all records of a kind.
func (sto *RecordStore) Read(_ context.Context, knd router.RecordKind) (chs router.Changes, err error) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.calls++
	if sto.failure != nil {
		return router.Changes{}, sto.failure
	}
	chs = router.Changes{Era: sto.era, Version: sto.version, Snapshot: true, StoreMs: sto.clock()}
	for _, rec := range sto.records[knd] {
		chs.Records = append(chs.Records, rec)
	}
	return chs, nil
}

// Watch waits for changes after a version. It returns no records when the wait expires, and
// router.ErrCompacted when the changes were discarded.
func (sto *RecordStore) Watch(ctx context.Context, cal router.WatchCall) (chs router.Changes, err error) {
	tmr := time.NewTimer(cal.Wait)
	defer tmr.Stop()
	sto.mut.Lock()
	sto.calls++
	for {
		chs, err = sto.changesSince(cal.Kind, cal.After)
		changed := sto.changed
		sto.mut.Unlock()
		chs.StoreMs = sto.clock()
		if err != nil || len(chs.Records) > 0 {
			return chs, err
		}
		select {
		case <-changed:
		case <-tmr.C:
			chs.StoreMs = sto.clock()
			return chs, nil
		case <-ctx.Done():
			return router.Changes{}, ctx.Err()
		}
		sto.mut.Lock()
	}
}

// changesSince returns the changes after a version. The lock is held.
func (sto *RecordStore) changesSince(knd router.RecordKind, after int64) (chs router.Changes, err error) {
	switch {
	case sto.failure != nil:
		return router.Changes{}, sto.failure
	case after < sto.compacted || after > sto.version:
		return router.Changes{}, router.ErrCompacted
	}
	chs.Era, chs.Version = sto.era, sto.version
	for _, rec := range sto.history[knd] {
		if rec.Version > after {
			chs.Records = append(chs.Records, rec)
		}
	}
	return chs, nil
}

// Register writes the record of a node: its name, address and failure domain, separated by spaces.
func (sto *RecordStore) Register(_ context.Context, mem router.Member) (err error) {
	sto.Set(router.Members, mem.Name, []byte(mem.Name+" "+mem.Address+" "+mem.FailureDomain))
	return nil
}

// Deregister removes the record of a node, or returns router.ErrCondition if it has another
// version or the era is over.
func (sto *RecordStore) Deregister(_ context.Context, name string, era, version int64) (err error) {
	sto.mut.Lock()
	rec, now := sto.records[router.Members][name], sto.era
	sto.mut.Unlock()
	if rec.Version != version || era != now {
		return router.ErrCondition
	}
	sto.Set(router.Members, name, nil)
	return nil
}
