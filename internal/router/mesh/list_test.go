package mesh

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

func newMesh(name string, src *stand.Source) (msh *Mesh, tms *timer.Manual) {
	tms = timer.NewManual(time.Unix(1000, 0))
	return New(Options{
		Self:   router.Member{Name: name, Address: "127.0.0.1:1", FailureDomain: "domain"},
		Timers: tms,
		Log:    slog.New(slog.DiscardHandler),
		Source: src,
		Codec:  stand.Codec{},
	}), tms
}

// listed returns the names in the list of nodes.
func listed(t *testing.T, src *stand.Source) (names []string) {
	t.Helper()
	chs, err := src.Read(t.Context(), router.Members)
	if err != nil {
		t.Fatal(err)
	}
	for _, rec := range chs.Records {
		names = append(names, rec.Key)
	}
	slices.Sort(names)
	return names
}

func TestRecordsOfLostNodesAreRemoved(t *testing.T) {
	names := []string{"one", "two", "three"}
	slices.SortFunc(names, func(one, two string) int { return cmp.Compare(xxhash.Sum64String(one), xxhash.Sum64String(two)) })
	cases := map[string]struct {
		// self is the place of the node that looks in the order by hash; the first other node is heard, the second one is not.
		self    int
		after   time.Duration
		restart bool
		kept    int
	}{
		"not heard for long":            {after: 2 * lostStay, kept: 2},
		"not heard for a while":         {after: lostStay / 2, kept: 3},
		"listed again meanwhile":        {after: 2 * lostStay, restart: true, kept: 3},
		"another node is first to look": {self: 2, after: 2 * lostStay, kept: 3},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			src := stand.NewSource()
			msh, tms := newMesh(names[cas.self], src)
			others := slices.DeleteFunc(slices.Clone(names), func(nam string) bool { return nam == names[cas.self] })
			for _, nam := range names {
				if err := src.Register(t.Context(), router.Member{Name: nam, Address: "127.0.0.1:2", FailureDomain: "domain"}); err != nil {
					t.Fatal(err)
				}
			}
			if err := msh.readMembers(t.Context()); err != nil {
				t.Fatal(err)
			}
			tms.Advance(cas.after)
			msh.accept(&wire.Digest{Node: others[0], Address: "127.0.0.1:2", Incarnation: 1, Sequence: 1})
			if cas.restart {
				if err := src.Register(t.Context(), router.Member{Name: others[1], Address: "127.0.0.1:3", FailureDomain: "domain"}); err != nil {
					t.Fatal(err)
				}
			}
			msh.removeLost(t.Context())
			if got := listed(t, src); len(got) != cas.kept {
				t.Errorf("listed are %v, want %d", got, cas.kept)
			}
		})
	}
}

func TestStoppingNodeLeavesTheList(t *testing.T) {
	src := stand.NewSource()
	msh, _ := newMesh("one", src)
	if err := src.Register(t.Context(), msh.options.Self); err != nil {
		t.Fatal(err)
	}
	if err := msh.readMembers(t.Context()); err != nil || !msh.joined() {
		t.Fatalf("the node is not listed: %v", err)
	}
	msh.Leave(t.Context())
	if got := listed(t, src); len(got) != 0 {
		t.Errorf("listed are %v", got)
	}
	// A node whose record is gone sees it, so that it can write it again.
	if err := msh.readMembers(t.Context()); err != nil || msh.joined() {
		t.Errorf("the node believes that it is listed: %v", err)
	}
	if got := slices.Collect(maps.Keys(msh.lost())); len(got) != 0 {
		t.Errorf("lost are %v", got)
	}
}

// TestFewNodesOfADomainRead has the first nodes of a failure domain follow the store for the last one, for as long as enough of them can.
func TestFewNodesOfADomainRead(t *testing.T) {
	names := make([]string, 0, readersPerDomain+1)
	for num := range readersPerDomain + 1 {
		names = append(names, fmt.Sprintf("node-%d", num))
	}
	slices.SortFunc(names, func(one, two string) int { return cmp.Compare(xxhash.Sum64String(one), xxhash.Sum64String(two)) })
	cases := map[string]struct {
		digest  *wire.Digest
		silence time.Duration
		relayed bool
	}{
		"all read":                         {digest: &wire.Digest{FailureDomain: "domain", Reads: true}, relayed: true},
		"the feed of one fails":            {digest: &wire.Digest{FailureDomain: "domain"}},
		"one stops":                        {digest: &wire.Digest{FailureDomain: "domain", Reads: true, Stopping: true}},
		"all are silent":                   {digest: &wire.Digest{FailureDomain: "domain", Reads: true}, silence: heardWithin + time.Millisecond},
		"one is in another failure domain": {digest: &wire.Digest{FailureDomain: "other", Reads: true}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			msh, tms := newMesh(names[readersPerDomain], stand.NewSource())
			msh.options.Load = &noLoad{}
			for num, nam := range names[:readersPerDomain] {
				dig := cas.digest
				if num > 0 {
					dig = &wire.Digest{FailureDomain: "domain", Reads: true}
				}
				dig.Node, dig.Address, dig.Incarnation, dig.Sequence = nam, "127.0.0.1:2", 1, 1
				msh.accept(dig)
			}
			tms.Advance(cas.silence)
			msh.targets(&wire.Digest{})
			if got := msh.Relayed(); got != cas.relayed {
				t.Errorf("the store is left to peers: %t", got)
			}
		})
	}
}

// noLoad is a Load that has none.
type noLoad struct{}

func (noLoad) Describe(*wire.Digest) {}
func (noLoad) Learn(*wire.Digest)    {}
func (noLoad) Lose(string)           {}

// TestFirstReadingIsLeftToFew has all nodes of a fleet start at once; where their reading would fill a link, the first of each failure domain reads for them.
func TestFirstReadingIsLeftToFew(t *testing.T) {
	cases := map[string]struct {
		nodes int
		age   time.Duration
		waits bool
	}{
		"few nodes":                     {nodes: 6},
		"many nodes":                    {nodes: 60},
		"a large fleet":                 {nodes: 200, waits: true},
		"nobody has read after a while": {nodes: 200, age: startLimit + 200*startStep},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			src := stand.NewSource()
			last, hash := "", uint64(0)
			for num := range cas.nodes {
				mem := router.Member{Name: fmt.Sprintf("node-%d", num), Address: "127.0.0.1:2", FailureDomain: "domain"}
				if err := src.Register(t.Context(), mem); err != nil {
					t.Fatal(err)
				}
				if sum := xxhash.Sum64String(mem.Name); sum > hash {
					last, hash = mem.Name, sum
				}
			}
			msh, tms := newMesh(last, src)
			chs, err := src.Read(t.Context(), router.Members)
			if err != nil {
				t.Fatal(err)
			}
			msh.merge(chs)
			tms.Advance(cas.age)
			if got := msh.Starting(); got != cas.waits {
				t.Errorf("the last node leaves the first reading to others: %t", got)
			}
		})
	}
}
