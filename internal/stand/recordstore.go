package stand

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Source is a versioned record store in memory. It implements router.RecordStore.
type Source struct {
	mut     sync.Mutex
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
}

// NewSource returns an empty Source.
func NewSource() *Source {
	return &Source{
		records: make(map[router.RecordKind]map[string]router.Record),
		history: make(map[router.RecordKind][]router.Record),
		changed: make(chan struct{}),
	}
}

// Set writes a record, or deletes it when the value is nil, and returns its version.
func (src *Source) Set(knd router.RecordKind, key string, val []byte) (version int64) {
	src.mut.Lock()
	defer src.mut.Unlock()
	src.version++
	rec := router.Record{Key: key, Value: val, Version: src.version, Deleted: val == nil}
	if src.records[knd] == nil {
		src.records[knd] = make(map[string]router.Record)
	}
	if rec.Deleted {
		delete(src.records[knd], key)
	} else {
		src.records[knd][key] = rec
	}
	src.history[knd] = append(src.history[knd], rec)
	src.notifyWatchers()
	return src.version
}

// Fail makes Read and Watch return an error until it is set to nil.
func (src *Source) Fail(err error) {
	src.mut.Lock()
	defer src.mut.Unlock()
	src.failure = err
	src.notifyWatchers()
}

// Compact discards the history, so that Watch of an older version returns router.ErrCompacted.
func (src *Source) Compact() {
	src.mut.Lock()
	defer src.mut.Unlock()
	src.version++
	src.compacted = src.version
	src.history = make(map[router.RecordKind][]router.Record)
	src.notifyWatchers()
}

// Calls returns the number of calls of Read and Watch so far.
func (src *Source) Calls() int {
	src.mut.Lock()
	defer src.mut.Unlock()
	return src.calls
}

// notifyWatchers makes all pending calls of Watch check for changes. The lock is held.
func (src *Source) notifyWatchers() {
	close(src.changed)
	src.changed = make(chan struct{})
}

// Read returns a snapshot of all records of a kind.
func (src *Source) Read(_ context.Context, knd router.RecordKind) (chs router.Changes, err error) {
	src.mut.Lock()
	defer src.mut.Unlock()
	src.calls++
	if src.failure != nil {
		return router.Changes{}, src.failure
	}
	chs = router.Changes{Version: src.version, Snapshot: true}
	for _, rec := range src.records[knd] {
		chs.Records = append(chs.Records, rec)
	}
	return chs, nil
}

// Watch waits for changes after a version. It returns no records when the wait expires, and
// router.ErrCompacted when the changes were discarded.
func (src *Source) Watch(ctx context.Context, knd router.RecordKind, after int64, wait time.Duration) (chs router.Changes, err error) {
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	src.mut.Lock()
	src.calls++
	for {
		chs, err = src.changesSince(knd, after)
		changed := src.changed
		src.mut.Unlock()
		if err != nil || len(chs.Records) > 0 {
			return chs, err
		}
		select {
		case <-changed:
		case <-tmr.C:
			return chs, nil
		case <-ctx.Done():
			return router.Changes{}, ctx.Err()
		}
		src.mut.Lock()
	}
}

// changesSince returns the changes after a version. The lock is held.
func (src *Source) changesSince(knd router.RecordKind, after int64) (chs router.Changes, err error) {
	switch {
	case src.failure != nil:
		return router.Changes{}, src.failure
	case after < src.compacted:
		return router.Changes{}, router.ErrCompacted
	}
	chs.Version = src.version
	for _, rec := range src.history[knd] {
		if rec.Version > after {
			chs.Records = append(chs.Records, rec)
		}
	}
	return chs, nil
}

// Register writes the record of a node: its name, address and failure domain, separated by spaces.
func (src *Source) Register(_ context.Context, mem router.Member) (err error) {
	src.Set(router.Members, mem.Name, []byte(mem.Name+" "+mem.Address+" "+mem.FailureDomain))
	return nil
}

// Deregister removes the record of a node, or returns router.ErrCondition if it has another
// version.
func (src *Source) Deregister(_ context.Context, name string, version int64) (err error) {
	src.mut.Lock()
	rec := src.records[router.Members][name]
	src.mut.Unlock()
	if rec.Version != version {
		return router.ErrCondition
	}
	src.Set(router.Members, name, nil)
	return nil
}
