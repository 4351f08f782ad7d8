package place

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestFleetDemand guards against a demand that leaves out what peers report or that assumes a prefill rate nobody observed; too low a
// demand has upstreams cut.
func TestFleetDemand(t *testing.T) {
	man := timer.NewManual(time.Unix(1e9, 0))
	bal := New(Options{Timers: man})
	ins := router.Instance{ID: "one", Service: "s", Slots: 4}
	_, rsv, _ := bal.Choose(Request{Service: "s", PromptTokens: 4000, Engine: &router.EngineSpec{Slots: 4}}, []router.Instance{ins}, func(router.Instance) bool { return false })
	bal.SetPeerLoads("peer", map[uint64]InFlight{ins.Hash(): {Running: 2, Pending: PendingTokens{0: 500}}})
	bal.SetPeerDemand("peer", map[uint64][]Demand{bal.serviceOf("s").hash: {{Calls: 5, PrefillTokens: 1000}}})
	man.Advance(time.Second)
	dem := bal.FleetDemand("s", []router.Instance{ins, {ID: "unknown", Service: "s"}})
	if dem.InFlight != 3 || dem.PendingTokens != 4500 || dem.PrefillRate != 0 || dem.Calls <= 5 || dem.PrefillTokens <= 1000 {
		t.Errorf("demand %+v", dem)
	}
	rsv.PrefillDone()
	if dem := bal.FleetDemand("s", []router.Instance{ins}); dem.PrefillRate < 4000 || dem.PendingTokens != 500 {
		t.Errorf("after prefill: %+v", dem)
	}
}
