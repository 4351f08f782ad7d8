package roster_test

import (
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const service = "engines"

func record(key, txt string) router.Record {
	return router.Record{Key: key, Value: []byte(txt)}
}

func ready(key string) router.Record {
	return record(key, "{service: engines, address: '127.0.0.1:1'}")
}

func TestRoster(t *testing.T) {
	cases := map[string]struct {
		updates []follow.Update
		advance time.Duration
		takers  []string
		gone    []string
	}{
		"ready": {updates: []follow.Update{{Changed: []router.Record{ready("b"), ready("a")}}}, takers: []string{"a", "b"}},
		"draining takes nothing": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{record("a", "{service: engines, address: '127.0.0.1:1', draining: true}")}},
			},
		},
		"deleted": {
			updates: []follow.Update{{Changed: []router.Record{ready("a")}}, {Changed: []router.Record{{Key: "a", Deleted: true}}}},
			gone:    []string{"a"},
		},
		"unreadable record names no upstream, the others hold": {
			updates: []follow.Update{{Changed: []router.Record{ready("a"), ready("b")}}, {Changed: []router.Record{record("a", "\x00{")}}},
			takers:  []string{"b"}, gone: []string{"a"},
		},
		"new incarnation under the same ID": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{record("a", "{service: engines, address: '127.0.0.1:1', born: 7}")}},
			},
			takers: []string{"a"}, gone: []string{"a"},
		},
		"lapsed during an outage stays at first": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{{Key: "a", Deleted: true}}, Regained: true},
			},
			advance: 2 * time.Second, takers: []string{"a"},
		},
		"lapsed during an outage goes after a while": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{{Key: "a", Deleted: true}}, Regained: true},
			},
			advance: 3 * time.Second, gone: []string{"a"},
		},
		"lapsed and written again": {
			updates: []follow.Update{
				{Changed: []router.Record{ready("a")}},
				{Changed: []router.Record{{Key: "a", Deleted: true}}, Regained: true},
				{Changed: []router.Record{ready("a")}},
			},
			advance: 10 * time.Second, takers: []string{"a"},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(1000, 0))
			var gone []string
			ros := roster.New(roster.Options{
				Timers: tms,
				Codec:  stand.Codec{},
				Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
				Gone:   func(ins router.Instance) { gone = append(gone, ins.ID) },
			})
			for _, upd := range cas.updates {
				ros.Apply(upd)
			}
			tms.Advance(cas.advance)
			takers := make([]string, 0, 2)
			for _, ins := range ros.Takers(service) {
				takers = append(takers, ins.ID)
			}
			if !slices.Equal(takers, cas.takers) || !slices.Equal(gone, cas.gone) {
				t.Errorf("takers %v, gone %v; want %v, %v", takers, gone, cas.takers, cas.gone)
			}
		})
	}
}
