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

// network carries probes in memory, from one node to another if open returns true for the two.
type network struct {
	timers *timer.Manual
	tables map[string]*member.Table
	nodes  map[string]*gossip.Gossip
	open   func(from, to string) bool
}

// link is the gossip.Caller of one node.
type link struct {
	network *network
	self    string
}

func (lnk link) Call(ctx context.Context, address string, req *wire.Request) (rep *wire.Reply, err error) {
	if !lnk.network.open(lnk.self, address) {
		return nil, errors.New("network partition")
	}
	prb := lnk.network.nodes[address].HandleProbe(ctx, req.GetProbe())
	return &wire.Reply{Body: &wire.Reply_Probe{Probe: prb}}, nil
}

const regionSize = 6

// newNetwork starts two regions of nodes, which join through one seed in each region.
func newNetwork(t *testing.T) *network {
	net := &network{
		timers: timer.NewManual(time.UnixMilli(1_000_000)),
		tables: make(map[string]*member.Table),
		nodes:  make(map[string]*gossip.Gossip),
		open:   func(string, string) bool { return true },
	}
	for idx := range 2 * regionSize {
		nam := fmt.Sprint("n", idx)
		tab := member.NewTable(&wire.Member{
			Name: nam, Peer: nam, Region: fmt.Sprint("r", idx/regionSize), FailureDomain: fmt.Sprint("d", idx/3),
		}, net.timers.Now())
		gos := gossip.New(gossip.Options{
			Timers: net.timers, Members: tab, Caller: link{net, nam}, Log: slog.New(slog.DiscardHandler), Seed: uint64(idx),
			Seeds:    func() []string { return []string{"n0", "n6"} },
			OnChange: func() {}, OnMessage: func(*wire.Member) {},
		})
		net.tables[nam], net.nodes[nam] = tab, gos
	}
	for _, gos := range net.nodes {
		gos.Join(context.Background())
		t.Cleanup(gos.Start())
	}
	return net
}

// advance runs rounds and waits for the probes of each.
func (net *network) advance(rounds int) {
	for range rounds {
		net.timers.Advance(gossip.Period)
		for _, gos := range net.nodes {
			gos.Wait()
		}
	}
}

// serving returns the number of serving members in the table of each node.
func (net *network) serving() map[string]int {
	res := make(map[string]int)
	for nam, tab := range net.tables {
		res[nam] = len(tab.Serving())
	}
	return res
}

// mustServe fails the test unless all nodes but one have a number of serving members in their tables.
func (net *network) mustServe(t *testing.T, want int, except string) {
	t.Helper()
	for nam, got := range net.serving() {
		if nam != except && got != want {
			t.Fatalf("%s has %d serving members, want %d; counts by node: %v", nam, got, want, net.serving())
		}
	}
}

// TestNodesDiscoverEachOther checks that nodes of both regions find all others through the seeds.
func TestNodesDiscoverEachOther(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	net.mustServe(t, 2*regionSize, "")
}

// TestUnreachableNodeDiesAndRejoins isolates one node, as a pause of its process does, and reconnects it.
// It guards against peers that keep a failed node, and against a node that stays dead afterwards.
func TestUnreachableNodeDiesAndRejoins(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	net.open = func(from, to string) bool { return from != "n2" && to != "n2" }
	net.advance(15)
	net.mustServe(t, 2*regionSize-1, "n2")
	net.open = func(string, string) bool { return true }
	net.advance(30)
	net.mustServe(t, 2*regionSize, "")
	if net.tables["n0"].Get("n2").GetIncarnation() <= 1_000_000 {
		t.Fatal("the node rejoined without a higher incarnation")
	}
}

// TestPartitionBetweenRegions guards against nodes that drop all nodes of a region when only the link
// between the regions has failed.
func TestPartitionBetweenRegions(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	region := func(nam string) string { return net.tables[nam].Self().GetRegion() }
	net.open = func(from, to string) bool { return region(from) == region(to) }
	net.advance(60)
	net.mustServe(t, 2*regionSize, "")
}

// TestLeavingIsSpread guards against nodes that keep a leaving node among the serving ones or suspect it:
// within five rounds, the Leaving state must reach all nodes, also in the other region.
func TestLeavingIsSpread(t *testing.T) {
	net := newNetwork(t)
	net.advance(8)
	net.tables["n3"].MarkLeaving(net.timers.Now())
	net.nodes["n3"].Announce(context.Background())
	net.advance(5)
	net.mustServe(t, 2*regionSize-1, "")
	if got := net.tables["n9"].Get("n3").GetState(); got != wire.MemberState_MEMBER_STATE_LEAVING {
		t.Fatalf("state %v, want leaving", got)
	}
}
