package roster_test

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

const service = "engines"

func record(key, txt string) router.Record {
	return router.Record{Key: key, Value: []byte(txt)}
}

func ready(key string) router.Record {
	return record(key, "{service: engines, address: '127.0.0.1:1'}")
}

// numbered returns the record of an upstream with the number of its report.
func numbered(key string, born, sequence int, draining bool) router.Record {
	return record(key, fmt.Sprintf("{service: engines, address: '127.0.0.1:1', born: %d, sequence: %d, draining: %t}", born, sequence, draining))
}

// TestRecordsOfRestoredStore guards against a store that was restored from a copy: its records may say that an upstream is ready
// which is draining, or list one that has left, and lack those that were written since the copy was made.
func TestRecordsOfRestoredStore(t *testing.T) {
	restored := func(rcs ...router.Record) follow.Update {
		return follow.Update{Changed: rcs, Restored: true, StoreRecovered: true}
	}
	known := follow.Update{Changed: []router.Record{numbered("a", 5, 5, false), numbered("b", 5, 5, false)}}
	gone := router.Record{Key: "a", Deleted: true}
	cases := map[string]struct {
		updates   []follow.Update
		advance   time.Duration
		available []string
	}{
		"draining upstream is ready in the copy": {
			updates: []follow.Update{
				known, {Changed: []router.Record{numbered("a", 5, 6, true)}}, restored(numbered("a", 5, 5, false)),
			},
			advance: time.Minute, available: []string{"b"},
		},
		"draining upstream writes its record again": {
			updates: []follow.Update{
				known,
				{Changed: []router.Record{numbered("a", 5, 6, true)}},
				restored(numbered("a", 5, 5, false)),
				{Changed: []router.Record{numbered("a", 5, 7, true)}},
			},
			advance: time.Minute, available: []string{"b"},
		},
		"upstream that has left is in the copy": {
			updates: []follow.Update{known, {Changed: []router.Record{gone}}, restored(numbered("a", 5, 5, false))},
			advance: 9 * time.Second, available: []string{"b"},
		},
		"upstream that has left is in the copy until it expires": {
			updates: []follow.Update{
				known, {Changed: []router.Record{gone}}, restored(numbered("a", 5, 5, false)), {Changed: []router.Record{gone}},
			},
			advance: time.Minute, available: []string{"b"},
		},
		"upstream whose record had expired is still there": {
			updates: []follow.Update{known, {Changed: []router.Record{gone}}, restored(numbered("a", 5, 5, false))},
			advance: time.Minute, available: []string{"a", "b"},
		},
		"upstream whose record had expired writes it again": {
			updates: []follow.Update{
				known, {Changed: []router.Record{gone}}, restored(numbered("a", 5, 5, false)), {Changed: []router.Record{numbered("a", 5, 6, false)}},
			},
			available: []string{"a", "b"},
		},
		"incarnation before is in the copy": {
			updates: []follow.Update{known, {Changed: []router.Record{numbered("a", 6, 1, true)}}, restored(numbered("a", 5, 9, false))},
			advance: time.Minute, available: []string{"b"},
		},
		"later incarnation was written since": {
			updates:   []follow.Update{known, {Changed: []router.Record{gone}}, restored(numbered("a", 6, 1, false))},
			available: []string{"a", "b"},
		},
		"record is missing in the copy and written again": {
			updates:   []follow.Update{known, restored(gone), {Changed: []router.Record{numbered("a", 5, 6, false)}}},
			advance:   time.Minute,
			available: []string{"a", "b"},
		},
		"record is missing in the copy for good": {
			updates: []follow.Update{known, restored(gone)}, advance: time.Minute, available: []string{"b"},
		},
		"older number without a restoration": {
			updates: []follow.Update{
				known, {Changed: []router.Record{numbered("a", 5, 6, true)}}, {Changed: []router.Record{numbered("a", 5, 1, false)}},
			},
			available: []string{"a", "b"},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(1000, 0))
			ros := roster.New(roster.Options{
				Timers: tms, Codec: fakes.Codec{}, Log: slog.New(slog.DiscardHandler), OnRemove: func(router.Instance) {},
			})
			for _, upd := range cas.updates {
				ros.Apply(upd)
			}
			tms.Advance(cas.advance)
			available := make([]string, 0, 2)
			for _, ins := range ros.Available(service) {
				available = append(available, ins.ID)
			}
			if !slices.Equal(available, cas.available) {
				t.Errorf("available %v, want %v", available, cas.available)
			}
		})
	}
}

// TestRoster guards against unavailable upstreams in the list, and against dropping live ones whose
// records expired during an outage of the store.
func TestRoster(t *testing.T) {
	cases := map[string]struct {
		updates   []follow.Update
		advance   time.Duration
		available []string
		removed   []string
	}{
		"ready, ordered by ID": {updates: []follow.Update{{Changed: []router.Record{ready("b"), ready("a")}}}, available: []string{"a", "b"}},
		"draining is not available": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{record("a", "{service: engines, address: '127.0.0.1:1', draining: true}")}},
			},
		},
		"record deleted": {
			updates: []follow.Update{{Changed: []router.Record{ready("a")}}, {Changed: []router.Record{{Key: "a", Deleted: true}}}},
			removed: []string{"a"},
		},
		"unreadable record removes only its own upstream": {
			updates:   []follow.Update{{Changed: []router.Record{ready("a"), ready("b")}}, {Changed: []router.Record{record("a", "\x00{")}}},
			available: []string{"b"}, removed: []string{"a"},
		},
		"new incarnation under the same ID": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{record("a", "{service: engines, address: '127.0.0.1:1', born: 7}")}},
			},
			available: []string{"a"}, removed: []string{"a"},
		},
		"expired during an outage is kept for the grace period": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{{Key: "a", Deleted: true}}, StoreRecovered: true},
			},
			advance: 2 * time.Second, available: []string{"a"},
		},
		"expired during an outage is removed after the grace period": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{{Key: "a", Deleted: true}}, StoreRecovered: true},
			},
			advance: 3 * time.Second, removed: []string{"a"},
		},
		"expired during an outage and written again": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{{Key: "a", Deleted: true}}, StoreRecovered: true},
				{Changed: []router.Record{ready("a")}},
			},
			advance: 10 * time.Second, available: []string{"a"},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(1000, 0))
			var removed []string
			ros := roster.New(roster.Options{
				Timers:   tms,
				Codec:    fakes.Codec{},
				Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
				OnRemove: func(ins router.Instance) { removed = append(removed, ins.ID) },
			})
			for _, upd := range cas.updates {
				ros.Apply(upd)
			}
			tms.Advance(cas.advance)
			available := make([]string, 0, 2)
			for _, ins := range ros.Available(service) {
				available = append(available, ins.ID)
			}
			if !slices.Equal(available, cas.available) || !slices.Equal(removed, cas.removed) {
				t.Errorf("available %v, removed %v; want %v, %v", available, removed, cas.available, cas.removed)
			}
		})
	}
}
