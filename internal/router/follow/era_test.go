package follow_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
)

// mirror applies updates to a set of values.
type mirror struct {
	mut    sync.Mutex
	values map[string]string
}

func (mir *mirror) apply(upd follow.Update) {
	mir.mut.Lock()
	defer mir.mut.Unlock()
	for _, rec := range upd.Changed {
		if rec.Deleted {
			delete(mir.values, rec.Key)
		} else {
			mir.values[rec.Key] = string(rec.Value)
		}
	}
}

// TestFollowsRestoredStore guards against a copy that misses changes after the store was restored from a copy, because the
// versions of before are higher than those that the store gives out again, or happen to be the same.
func TestFollowsRestoredStore(t *testing.T) {
	const settleTime = 3 * time.Second
	cases := map[string]struct {
		// lost and after are the numbers of changes between the backup and the restoration, and after it.
		lost, after int
		outage      time.Duration
	}{
		"nothing is written again":        {lost: 3},
		"fewer changes than were lost":    {lost: 3, after: 1},
		"as many changes as were lost":    {lost: 3, after: 3},
		"more changes than were lost":     {lost: 3, after: 5},
		"nothing was lost":                {after: 1},
		"beside an outage":                {lost: 3, after: 1, outage: 2 * time.Second},
		"as many changes after an outage": {lost: 3, after: 3, outage: 2 * time.Second},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				src, mir := fakes.NewRecordStore(), &mirror{values: make(map[string]string)}
				fol := follow.New(follow.Options{Source: src, Kind: router.Instances, Log: slog.New(slog.DiscardHandler), Apply: mir.apply})
				go fol.Run(ctx)
				for num := range 4 {
					src.Set(router.Instances, fmt.Sprint("kept-", num), []byte("old"))
				}
				time.Sleep(settleTime)
				bak := src.Backup()
				for num := range cas.lost {
					src.Set(router.Instances, fmt.Sprint("lost-", num), []byte("lost"))
					src.Set(router.Instances, fmt.Sprint("kept-", num), []byte("lost"))
				}
				time.Sleep(settleTime)
				if cas.outage > 0 {
					src.SetError(router.ErrUnavailable)
					time.Sleep(cas.outage)
				}
				src.Restore(bak)
				for num := range cas.after {
					src.Set(router.Instances, fmt.Sprint("new-", num), []byte("new"))
					src.Set(router.Instances, fmt.Sprint("kept-", num), []byte("new"))
				}
				src.SetError(nil)
				time.Sleep(settleTime)
				want := make(map[string]string)
				chs, err := src.Read(ctx, router.Instances)
				if err != nil {
					t.Fatal(err)
				}
				for _, rec := range chs.Records {
					want[rec.Key] = string(rec.Value)
				}
				if !maps.Equal(mir.values, want) {
					t.Errorf("values %v, want %v", mir.values, want)
				}
				before := src.Calls()
				time.Sleep(settleTime)
				if calls := src.Calls() - before; calls > 4 {
					t.Errorf("%d calls in %s while nothing changes", calls, settleTime)
				}
			})
		})
	}
}

// TestCopiesOfAnotherEra guards against a copy that mixes records of two eras, or that a peer confirms which has seen another one.
func TestCopiesOfAnotherEra(t *testing.T) {
	record := func(key, val string, version int64) router.Record {
		return router.Record{Key: key, Value: []byte(val), Version: version}
	}
	held := router.Changes{Era: 2, Version: 20, Snapshot: true, Records: []router.Record{record("a", "held", 10), record("b", "held", 20)}}
	cases := map[string]struct {
		peer       router.Changes
		want       map[string]string
		restored   bool
		lastChange int64
	}{
		"snapshot of a later era, lower version": {
			peer:       router.Changes{Era: 3, Version: 5, Snapshot: true, Records: []router.Record{record("a", "later", 5)}},
			want:       map[string]string{"a": "later"},
			restored:   true,
			lastChange: 5,
		},
		"snapshot of an earlier era, higher version": {
			peer:       router.Changes{Era: 1, Version: 90, Snapshot: true, Records: []router.Record{record("a", "earlier", 90)}},
			want:       map[string]string{"a": "held", "b": "held"},
			lastChange: 20,
		},
		"snapshot without an era": {
			peer:       router.Changes{Version: 90, Snapshot: true, Records: []router.Record{record("a", "unknown", 90)}},
			want:       map[string]string{"a": "held", "b": "held"},
			lastChange: 20,
		},
		"changes of a later era": {
			peer:       router.Changes{Era: 3, Version: 90, Records: []router.Record{record("a", "later", 90)}},
			want:       map[string]string{"a": "held", "b": "held"},
			lastChange: 20,
		},
		"changes of the same era": {
			peer:       router.Changes{Era: 2, Version: 21, Records: []router.Record{record("a", "newer", 21)}},
			want:       map[string]string{"a": "newer", "b": "held"},
			lastChange: 21,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mir, restored := &mirror{values: make(map[string]string)}, false
			fol := follow.New(follow.Options{
				Source: fakes.NewRecordStore(), Kind: router.Instances, Log: slog.New(slog.DiscardHandler),
				Apply: func(upd follow.Update) {
					mir.apply(upd)
					restored = restored || upd.Restored
				},
			})
			fol.MergePeer(held)
			fol.Confirm(follow.Position{Era: 2, LastChange: 20}, 100, 0)
			fol.MergePeer(cas.peer)
			if !maps.Equal(mir.values, cas.want) || restored != cas.restored || fol.LastChange() != cas.lastChange {
				t.Errorf("values %v, restored %t, last change %d", mir.values, restored, fol.LastChange())
			}
			if fol.IsCurrent(time.Hour) == cas.restored {
				t.Errorf("confirmed: %t", fol.IsCurrent(time.Hour))
			}
			other := fol.Position()
			other.Era--
			fol.Confirm(other, 200, 0)
			if _, storeMs, _ := fol.Confirmed(); storeMs == 200 {
				t.Error("a copy of an earlier era confirms this one")
			}
		})
	}
}
