package terms

import (
	"log/slog"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestRateLimit guards against limits that an outdated answer lifts, that outlive the upstream's need, or that a peer's old news
// brings back.
func TestRateLimit(t *testing.T) {
	ins := router.Instance{ID: "up", Born: 1}
	limited := router.UpstreamTerms{RateLimit: 2}
	cases := map[string]struct {
		play func(reg *Registry, tms *timer.Manual)
		want float64
		// elsewhere is set if another incarnation states a limit.
		elsewhere bool
	}{
		"stated": {
			play: func(reg *Registry, tms *timer.Manual) { reg.Observe(ins, limited, tms.Now()) },
			want: 2,
		},
		"changed": {
			play: func(reg *Registry, tms *timer.Manual) {
				reg.Observe(ins, limited, tms.Now())
				reg.Observe(ins, router.UpstreamTerms{RateLimit: 3}, tms.Now())
			},
			want: 3,
		},
		"not stated any more": {
			play: func(reg *Registry, tms *timer.Manual) {
				reg.Observe(ins, limited, tms.Now())
				tms.Advance(time.Second)
				reg.Observe(ins, router.UpstreamTerms{}, tms.Now())
			},
		},
		"not stated in the answer to an earlier request": {
			play: func(reg *Registry, tms *timer.Manual) {
				sent := tms.Now()
				tms.Advance(time.Second)
				reg.Observe(ins, limited, tms.Now())
				reg.Observe(ins, router.UpstreamTerms{}, sent)
			},
			want: 2,
		},
		"heard from a peer": {
			play: func(reg *Registry, _ *timer.Manual) {
				reg.AddPeer([]Stated{{Instance: ins.Hash(), RateLimit: 2, Age: time.Second}})
			},
			want: 2,
		},
		"lifted at a peer": {
			play: func(reg *Registry, tms *timer.Manual) {
				reg.Observe(ins, limited, tms.Now())
				tms.Advance(time.Second)
				reg.AddPeer([]Stated{{Instance: ins.Hash(), Age: 100 * time.Millisecond}})
			},
		},
		"stated at a peer before it was lifted": {
			play: func(reg *Registry, tms *timer.Manual) {
				reg.Observe(ins, limited, tms.Now())
				tms.Advance(time.Second)
				reg.Observe(ins, router.UpstreamTerms{}, tms.Now())
				reg.AddPeer([]Stated{{Instance: ins.Hash(), RateLimit: 2, Age: 100 * time.Millisecond}})
			},
		},
		"removed": {
			play: func(reg *Registry, tms *timer.Manual) {
				reg.Observe(ins, limited, tms.Now())
				reg.Remove(ins)
			},
		},
		"of another incarnation": {
			play: func(reg *Registry, tms *timer.Manual) {
				reg.Observe(router.Instance{ID: "up", Born: 2}, limited, tms.Now())
			},
			elsewhere: true,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(0, 0))
			reg := New(tms, slog.New(slog.DiscardHandler))
			cas.play(reg, tms)
			if got := reg.RateLimit(ins); got != cas.want {
				t.Errorf("limit %g, want %g", got, cas.want)
			}
			if got := reg.AnyLimited(); got != (cas.want > 0 || cas.elsewhere) {
				t.Errorf("any limited: %t", got)
			}
		})
	}
}

// TestRecentPassesOnOwnNews guards against nodes that pass on what they heard from peers as if it were new, so that a lifted
// limit goes round for ever.
func TestRecentPassesOnOwnNews(t *testing.T) {
	own, heard := router.Instance{ID: "own"}, router.Instance{ID: "heard"}
	tms := timer.NewManual(time.Unix(0, 0))
	reg := New(tms, slog.New(slog.DiscardHandler))
	reg.Observe(own, router.UpstreamTerms{RateLimit: 2}, tms.Now())
	reg.AddPeer([]Stated{{Instance: heard.Hash(), RateLimit: 2}})
	tms.Advance(recentTime / 2)
	if got := reg.Recent(); len(got) != 1 || got[0] != (Stated{Instance: own.Hash(), RateLimit: 2, Age: recentTime / 2}) {
		t.Errorf("got %+v", got)
	}
	tms.Advance(recentTime)
	if got := reg.Recent(); len(got) != 0 {
		t.Errorf("old news %+v", got)
	}
}

// TestLeaving guards against new requests to an upstream that stated that it is about to stop, and against an old incarnation's
// statement that keeps requests from a new one.
func TestLeaving(t *testing.T) {
	ins := router.Instance{ID: "up", Born: 1}
	leaving := router.UpstreamTerms{Leaving: true}
	cases := map[string]struct {
		play func(reg *Registry, tms *timer.Manual)
		want bool
	}{
		"stated": {play: func(reg *Registry, tms *timer.Manual) { reg.Observe(ins, leaving, tms.Now()) }, want: true},
		"later answers to earlier requests do not state it": {
			play: func(reg *Registry, tms *timer.Manual) {
				reg.Observe(ins, leaving, tms.Now())
				tms.Advance(time.Second)
				reg.Observe(ins, router.UpstreamTerms{}, tms.Now())
			},
			want: true,
		},
		"heard from a peer": {
			play: func(reg *Registry, _ *timer.Manual) { reg.AddPeer([]Stated{{Instance: ins.Hash(), Leaving: true}}) },
			want: true,
		},
		"of the incarnation before": {
			play: func(reg *Registry, tms *timer.Manual) { reg.Observe(router.Instance{ID: "up"}, leaving, tms.Now()) },
		},
		"not stated": {play: func(reg *Registry, tms *timer.Manual) { reg.Observe(ins, router.UpstreamTerms{}, tms.Now()) }},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(0, 0))
			reg := New(tms, slog.New(slog.DiscardHandler))
			cas.play(reg, tms)
			if got := reg.IsLeaving(ins); got != cas.want {
				t.Errorf("leaving: %t, want %t", got, cas.want)
			}
		})
	}
}

// TestTermsSurviveRecord guards against new requests to an upstream that stated that it is leaving, or that it accepts none for some
// time, after its record was removed and a late heartbeat brought it back.
func TestTermsSurviveRecord(t *testing.T) {
	ins := router.Instance{ID: "up", Born: 1}
	const pause = time.Minute
	cases := map[string]struct {
		removed   router.Instance
		later     time.Duration
		leaving   bool
		pauseLeft time.Duration
	}{
		"the same incarnation":               {removed: ins, later: 10 * time.Second, leaving: true, pauseLeft: pause - 10*time.Second},
		"long after":                         {removed: ins, later: 2 * formerTTL},
		"an upstream without a start time":   {removed: router.Instance{ID: "up"}, later: time.Second},
		"another upstream was removed since": {removed: ins, later: formerTTL / 2, leaving: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(0, 0))
			reg := New(tms, slog.New(slog.DiscardHandler))
			reg.Observe(cas.removed, router.UpstreamTerms{Leaving: true, RetryAfter: pause}, tms.Now())
			reg.Remove(cas.removed)
			tms.Advance(cas.later)
			reg.Remove(router.Instance{ID: "other", Born: 1})
			if got := reg.IsLeaving(cas.removed); got != cas.leaving {
				t.Errorf("leaving: %t, want %t", got, cas.leaving)
			}
			if got := reg.PauseLeft(cas.removed); got != cas.pauseLeft {
				t.Errorf("pause left: %s, want %s", got, cas.pauseLeft)
			}
			if len(reg.entries) > 1 || !cas.leaving && len(reg.entries) > 0 {
				t.Errorf("%d entries", len(reg.entries))
			}
		})
	}
}
