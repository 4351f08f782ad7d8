package terms

import (
	"log/slog"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestGone guards against calls to an address that another incarnation has, and against keeping calls from an upstream for ever.
func TestGone(t *testing.T) {
	ins, other := router.Instance{ID: "up", Born: 1}, router.Instance{ID: "up", Born: 2}
	cases := map[string]struct {
		play func(reg *Registry, tms *timer.Manual)
		want bool
	}{
		"found out by this node": {play: func(reg *Registry, _ *timer.Manual) { reg.ObserveGone(ins) }, want: true},
		"some time ago": {play: func(reg *Registry, tms *timer.Manual) {
			reg.ObserveGone(ins)
			tms.Advance(goneTTL)
		}},
		"found out by a peer": {
			play: func(reg *Registry, _ *timer.Manual) { reg.AddPeer([]Stated{{Instance: ins.Hash(), Gone: true}}) },
			want: true,
		},
		"found out by a peer long ago": {play: func(reg *Registry, _ *timer.Manual) {
			reg.AddPeer([]Stated{{Instance: ins.Hash(), Gone: true, Age: goneTTL}})
		}},
		"another incarnation":       {play: func(reg *Registry, _ *timer.Manual) { reg.ObserveGone(other) }},
		"nothing listened for once": {play: func(reg *Registry, _ *timer.Manual) { reg.ObserveRefusal(ins) }},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(0, 0))
			reg := New(tms, slog.New(slog.DiscardHandler))
			cas.play(reg, tms)
			if got := reg.IsGone(ins); got != cas.want {
				t.Errorf("gone: %t", got)
			}
		})
	}
}

// TestRecentNamesGoneUpstreams guards against nodes that each find out by their own calls that an upstream is gone.
func TestRecentNamesGoneUpstreams(t *testing.T) {
	ins := router.Instance{ID: "up", Born: 1}
	cases := map[string]struct {
		play func(reg *Registry)
		want []Stated
	}{
		"replaced": {play: func(reg *Registry) { reg.ObserveGone(ins) }, want: []Stated{{Instance: ins.Hash(), Gone: true, Age: time.Second}}},
		"refuses":  {play: func(reg *Registry) { reg.ObserveRefusal(ins) }, want: []Stated{{Instance: ins.Hash(), Refuses: true, Age: time.Second}}},
		"newer from a peer": {play: func(reg *Registry) {
			reg.ObserveGone(ins)
			reg.AddPeer([]Stated{{Instance: ins.Hash(), Gone: true, Age: -time.Millisecond}})
		}},
		"from peers": {play: func(reg *Registry) {
			reg.AddPeer([]Stated{{Instance: ins.Hash(), Gone: true}, {Instance: ins.Hash(), Refuses: true}})
		}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(1000, 0))
			reg := New(tms, slog.New(slog.DiscardHandler))
			cas.play(reg)
			tms.Advance(time.Second)
			got := reg.Recent()
			if len(got) != len(cas.want) || len(got) > 0 && got[0] != cas.want[0] {
				t.Errorf("got %+v, want %+v", got, cas.want)
			}
		})
	}
}
