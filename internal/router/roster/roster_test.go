package roster_test

import (
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
