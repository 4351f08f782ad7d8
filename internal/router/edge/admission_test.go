package edge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// TestWaitingCallsInDigests guards against nodes that take free slots before the more urgent calls of their peers, or whose
// calls wait for those of a peer that has ended.
func TestWaitingCallsInDigests(t *testing.T) {
	view := router.ServiceView{Slots: 1000, Running: 980}
	fixtures := make([]peerFixture, 2)
	for num := range fixtures {
		fixtures[num] = newPeerFixture(t)
		fixtures[num].admission = admit.New(admit.Options{
			Timers: fixtures[num].timers, Log: slog.New(slog.DiscardHandler), View: func(string) router.ServiceView { return view },
		})
		fixtures[num].timers.(*timer.Manual).Advance(time.Minute)
	}
	// waits reports whether a call at the second node waits for some time.
	waits := func(tier int) bool {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		now := fixtures[1].timers.Now()
		tkt, _ := fixtures[1].admission.Admit(ctx, router.AdmissionRequest{
			Call: &router.Call{Arrived: now}, Route: &router.Route{}, Service: "engines", Tier: tier, Deadline: now.Add(time.Minute),
		})
		return tkt == nil
	}
	if waits(1) {
		t.Fatal("waits although slots are free")
	}
	dig := &wire.Digest{Node: "peer", Demands: []*wire.ServiceDemand{{Service: xxhash.Sum64String("engines"), Waiting: []uint32{0, 5}}}}
	fixtures[1].SetPeer(dig)
	if !waits(1) || waits(0) {
		t.Error("a call must wait for those of its tier at a peer, and for no less urgent ones")
	}
	fixtures[1].RemovePeer("peer")
	if waits(1) {
		t.Error("waits for the calls of a peer that is gone")
	}

	// At the first node, which has no free slot, a call waits and is in its digest.
	view.Running = 1100
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	now := fixtures[0].timers.Now()
	go func() {
		_, _ = fixtures[0].admission.Admit(ctx, router.AdmissionRequest{
			Call: &router.Call{Arrived: now}, Route: &router.Route{}, Service: "engines", Tier: 2, Deadline: now.Add(time.Minute),
		})
	}()
	for {
		dig := &wire.Digest{}
		fixtures[0].AddLocal(dig)
		for _, dem := range dig.GetDemands() {
			if nums := dem.GetWaiting(); len(nums) == 3 && nums[2] == 1 {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}
