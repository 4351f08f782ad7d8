package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/gossip"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/member"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// network carries probes in memory between the nodes for which open is true.
type network struct {
	timers *timer.Manual
	views  map[string]*member.View
	nodes  map[string]*gossip.Gossip
	open   func(from, to string) bool
}

// link is the network as one node sees it.
type link struct {
	network *network
	self    string
}

func (lnk link) Call(ctx context.Context, address string, req *wire.Request) (rep *wire.Reply, err error) {
	if !lnk.network.open(lnk.self, address) {
		return nil, errors.New("cut")
	}
	prb := lnk.network.nodes[address].Answer(ctx, req.GetProbe())
	return &wire.Reply{Body: &wire.Reply_Probe{Probe: prb}}, nil
}

const regionSize = 6

// newNetwork starts two regions of nodes that know one seed.
func newNetwork(t *testing.T) *network {
	net := &network{
		timers: timer.NewManual(time.UnixMilli(1_000_000)),
		views:  make(map[string]*member.View),
		nodes:  make(map[string]*gossip.Gossip),
		open:   func(string, string) bool { return true },
	}
	for idx := range 2 * regionSize {
		nam := fmt.Sprint("n", idx)
		vie := member.NewView(&wire.Member{
			Name: nam, Peer: nam, Region: fmt.Sprint("r", idx/regionSize), FailureDomain: fmt.Sprint("d", idx/3),
		}, net.timers.Now())
		gos := gossip.New(gossip.Options{
			Timers: net.timers, View: vie, Caller: link{net, nam}, Log: slog.New(slog.DiscardHandler), Seed: uint64(idx),
			Seeds:   func() []string { return []string{"n0", "n6"} },
			Changed: func() {}, Heard: func(*wire.Member) {},
		})
		net.views[nam], net.nodes[nam] = vie, gos
	}
	for _, gos := range net.nodes {
		gos.Join(context.Background())
		t.Cleanup(gos.Start())
	}
	return net
}

// advance runs rounds, each to its end.
func (net *network) advance(rounds int) {
	for range rounds {
		net.timers.Advance(gossip.Period)
		for _, gos := range net.nodes {
			gos.Wait()
		}
	}
}

// serving returns how many members each node believes to serve.
func (net *network) serving() map[string]int {
	res := make(map[string]int)
	for nam, vie := range net.views {
		res[nam] = len(vie.Serving())
	}
	return res
}

func (net *network) mustServe(t *testing.T, want int, except string) {
	t.Helper()
	for nam, got := range net.serving() {
		if nam != except && got != want {
			t.Fatalf("%s believes %d members to serve, want %d: %v", nam, got, want, net.serving())
		}
	}
}

func TestNodesFindEachOther(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	net.mustServe(t, 2*regionSize, "")
}

// TestSilentNodeIsTakenOutAndComesBack cuts one node off, as a pause does, and lets it go on.
func TestSilentNodeIsTakenOutAndComesBack(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	net.open = func(from, to string) bool { return from != "n2" && to != "n2" }
	net.advance(15)
	net.mustServe(t, 2*regionSize-1, "n2")
	net.open = func(string, string) bool { return true }
	net.advance(30)
	net.mustServe(t, 2*regionSize, "")
	if net.views["n0"].Get("n2").GetIncarnation() <= 1_000_000 {
		t.Fatal("the node came back without refuting its death")
	}
}

// TestCutBetweenRegions cuts the regions off from each other: nobody is suspected.
func TestCutBetweenRegions(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	region := func(nam string) string { return net.views[nam].Self().GetRegion() }
	net.open = func(from, to string) bool { return region(from) == region(to) }
	net.advance(60)
	net.mustServe(t, 2*regionSize, "")
}

// TestLeavingIsHeard lets a node leave: all hear of it in a few rounds, without a suspicion.
func TestLeavingIsHeard(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	net.views["n3"].Leave(net.timers.Now())
	net.nodes["n3"].Announce(context.Background())
	net.advance(5)
	net.mustServe(t, 2*regionSize-1, "")
	if got := net.views["n9"].Get("n3").GetState(); got != wire.MemberState_MEMBER_STATE_LEAVING {
		t.Fatalf("state %v", got)
	}
}
