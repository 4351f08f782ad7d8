package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

func newMesh(name string, src *fakes.RecordStore) (msh *Mesh, tms *timer.Manual) {
	tms = timer.NewManual(time.Unix(1000, 0))
	return New(Options{
		Self:   router.Member{Name: name, Address: "127.0.0.1:1", FailureDomain: "domain"},
		Timers: tms,
		Log:    slog.New(slog.DiscardHandler),
		Source: src,
		Codec:  fakes.Codec{},
	}), tms
}

// newMeshWithCopies returns a node in real time with a copy of the store's manifests.
func newMeshWithCopies(name string, src *fakes.RecordStore) (msh *Mesh, copies *follow.Follower) {
	copies = follow.New(follow.Options{Source: src, Kind: router.Manifests, Log: slog.New(slog.DiscardHandler), Apply: func(follow.Update) {}})
	return New(Options{
		Self:   router.Member{Name: name, Address: "127.0.0.1:1", FailureDomain: "domain"},
		Timers: timer.Real{}, Log: slog.New(slog.DiscardHandler), Source: src, Codec: fakes.Codec{}, Load: emptyLoad{},
		Copies: map[router.RecordKind]*follow.Follower{router.Manifests: copies},
	}), copies
}

// memberNames returns the names in the member list, sorted.
func memberNames(t *testing.T, src *fakes.RecordStore) (names []string) {
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

// TestRecordsOfDeadNodesAreRemoved guards against member records of dead nodes that stay in the store,
// and against removing the record of a node that is only silent for a moment or registered again.
// Only the first live node by hash removes records.
func TestRecordsOfDeadNodesAreRemoved(t *testing.T) {
	names := []string{"one", "two", "three"}
	slices.SortFunc(names, func(one, two string) int { return cmp.Compare(xxhash.Sum64String(one), xxhash.Sum64String(two)) })
	cases := map[string]struct {
		// self is the index of the tested node among the names in hash order. Of the other two, the
		// first sends a digest and the second is silent.
		self    int
		after   time.Duration
		restart bool
		kept    int
	}{
		"silent for longer than the TTL":     {after: 2 * deadRecordTTL, kept: 2},
		"silent for less than the TTL":       {after: deadRecordTTL / 2, kept: 3},
		"registered again meanwhile":         {after: 2 * deadRecordTTL, restart: true, kept: 3},
		"another live node is first by hash": {self: 2, after: 2 * deadRecordTTL, kept: 3},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			src := fakes.NewRecordStore()
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
			msh.acceptDigest(&wire.Digest{Node: others[0], Address: "127.0.0.1:2", Incarnation: 1, Sequence: 1})
			if cas.restart {
				if err := src.Register(t.Context(), router.Member{Name: others[1], Address: "127.0.0.1:3", FailureDomain: "domain"}); err != nil {
					t.Fatal(err)
				}
			}
			msh.removeDeadRecords(t.Context())
			if got := memberNames(t, src); len(got) != cas.kept {
				t.Errorf("member list %v, want %d entries", got, cas.kept)
			}
		})
	}
}

// TestStoppingNodeDeregisters guards against a stopped node that leaves its member record in the
// store, and against a node that does not detect that its record is gone.
func TestStoppingNodeDeregisters(t *testing.T) {
	src := fakes.NewRecordStore()
	msh, _ := newMesh("one", src)
	if err := src.Register(t.Context(), msh.options.Self); err != nil {
		t.Fatal(err)
	}
	if err := msh.readMembers(t.Context()); err != nil || !msh.isRegistered() {
		t.Fatalf("the node is not registered: %v", err)
	}
	msh.Deregister(t.Context())
	if got := memberNames(t, src); len(got) != 0 {
		t.Errorf("member list %v, want it empty", got)
	}
	// The node must detect that its record is gone, so that it can register again.
	if err := msh.readMembers(t.Context()); err != nil || msh.isRegistered() {
		t.Errorf("the node does not detect that its record is gone: %v", err)
	}
	if got := slices.Collect(maps.Keys(msh.deadRecords())); len(got) != 0 {
		t.Errorf("dead records %v, want none", got)
	}
}

// TestStoreReadersPerFailureDomain guards against a node that does not watch the store although
// fewer than readersPerDomain nodes of its failure domain that rank before it watch the store.
func TestStoreReadersPerFailureDomain(t *testing.T) {
	names := make([]string, 0, readersPerDomain+1)
	for num := range readersPerDomain + 1 {
		names = append(names, fmt.Sprintf("node-%d", num))
	}
	slices.SortFunc(names, func(one, two string) int { return cmp.Compare(xxhash.Sum64String(one), xxhash.Sum64String(two)) })
	cases := map[string]struct {
		digest     *wire.Digest
		silence    time.Duration
		hasReaders bool
	}{
		"all watch the store":              {digest: &wire.Digest{FailureDomain: "domain", Reads: true}, hasReaders: true},
		"the watch of one fails":           {digest: &wire.Digest{FailureDomain: "domain"}},
		"one stops":                        {digest: &wire.Digest{FailureDomain: "domain", Reads: true, Stopping: true}},
		"all are silent":                   {digest: &wire.Digest{FailureDomain: "domain", Reads: true}, silence: minPeerTimeout + time.Millisecond},
		"one is in another failure domain": {digest: &wire.Digest{FailureDomain: "other", Reads: true}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			msh, tms := newMesh(names[readersPerDomain], fakes.NewRecordStore())
			msh.options.Load = &emptyLoad{}
			for num, nam := range names[:readersPerDomain] {
				dig := cas.digest
				if num > 0 {
					dig = &wire.Digest{FailureDomain: "domain", Reads: true}
				}
				dig.Node, dig.Address, dig.Incarnation, dig.Sequence = nam, "127.0.0.1:2", 1, 1
				msh.acceptDigest(dig)
			}
			tms.Advance(cas.silence)
			msh.prepareDigest(&wire.Digest{})
			if got := msh.HasStoreReaders(); got != cas.hasReaders {
				t.Errorf("HasStoreReaders: %t", got)
			}
		})
	}
}

// emptyLoad is a LoadState without any load.
type emptyLoad struct{}

func (emptyLoad) AddLocal(*wire.Digest)          {}
func (emptyLoad) SetPeer(*wire.Digest)           {}
func (emptyLoad) RemovePeer(string)              {}
func (emptyLoad) AddStrikes([]*wire.CrashStrike) {}
func (emptyLoad) History() []*wire.CrashStrike   { return nil }

// TestInitialReadIsDeferredInLargeFleets guards against a large fleet that overloads the network
// link of the store when all nodes start at once: only the first nodes of each failure domain may
// read then. After a while without a result, the others must read too.
func TestInitialReadIsDeferredInLargeFleets(t *testing.T) {
	cases := map[string]struct {
		nodes    int
		age      time.Duration
		deferred bool
	}{
		"few nodes":                     {nodes: 6},
		"many nodes":                    {nodes: 60},
		"a large fleet":                 {nodes: 200, deferred: true},
		"a large fleet after the delay": {nodes: 200, age: initialReadDelay + 200*initialReadStep},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			src := fakes.NewRecordStore()
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
			msh.mergeMembers(chs)
			tms.Advance(cas.age)
			if got := msh.DeferInitialRead(); got != cas.deferred {
				t.Errorf("initial read of the last node is deferred: %t", got)
			}
		})
	}
}

// TestRestartWithEarlierClock guards against a node that its peers ignore for good, because the time of day at its start was
// earlier than at the start before; and against a late digest of the incarnation before, while the new one is heard.
func TestRestartWithEarlierClock(t *testing.T) {
	cases := map[string]struct {
		pause time.Duration
		want  bool
	}{
		"after a pause":              {pause: 2 * minPeerTimeout, want: true},
		"while another one is heard": {},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			msh, tms := newMesh("self", fakes.NewRecordStore())
			dig := &wire.Digest{Node: "peer", Address: "127.0.0.1:2", FailureDomain: "domain", Incarnation: 9, Sequence: 1}
			msh.acceptDigest(dig)
			tms.Advance(cas.pause)
			dig.Incarnation = 5
			if got := msh.acceptDigest(dig); got != cas.want {
				t.Errorf("accepted: %t, want %t", got, cas.want)
			}
		})
	}
}

// TestPlacementsAreSentOnce guards against traffic for repeated placements: a hot prefix is placed at one engine many times
// between two digests.
func TestPlacementsAreSentOnce(t *testing.T) {
	msh, _ := newMesh("self", fakes.NewRecordStore())
	queued, cached := &wire.Placement{Prefix: 1, Instance: 2}, &wire.Placement{Prefix: 1, Instance: 2, Read: true}
	other := &wire.Placement{Prefix: 3, Instance: 2}
	msh.recentPlacements = [][]*wire.Placement{{queued, cached, queued}, {other, queued, cached}}
	cases := map[string]struct {
		digests int
		want    []*wire.Placement
	}{
		"own failure domain": {digests: 1, want: []*wire.Placement{other, cached}},
		"other domain":       {digests: crossDomainEvery, want: []*wire.Placement{cached, other}},
		"other region":       {digests: crossRegionEvery, want: []*wire.Placement{cached}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			got := msh.placementsOfLast(cas.digests)
			if !slices.EqualFunc(got, cas.want, func(one, two *wire.Placement) bool { return proto.Equal(one, two) }) {
				t.Errorf("placements %v, want %v", got, cas.want)
			}
		})
	}
}

// TestCrashReachesAllPeers guards against crashes that peers of other domains and regions never hear of, because their
// digests are rare in large fleets, and against repeats after so long that they count as another crash.
func TestCrashReachesAllPeers(t *testing.T) {
	const rounds = 3 * crossRegionEvery
	cases := map[string]struct{ peers, every, most int }{
		"own domain, small fleet":   {peers: 5, every: 1, most: int(strikeRepeat/minDigestInterval) + 1},
		"own domain, large fleet":   {peers: 300, every: 1, most: 1},
		"other domain, small fleet": {peers: 5, every: crossDomainEvery, most: int(strikeRepeat/minDigestInterval) + 1},
		"other domain, large fleet": {peers: 300, every: crossDomainEvery, most: 1},
		"other region, small fleet": {peers: 5, every: crossRegionEvery, most: 1},
		"other region, large fleet": {peers: 300, every: crossRegionEvery, most: 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			for phase := range cas.every {
				msh, _ := newMesh("self", fakes.NewRecordStore())
				for num := range cas.peers {
					if err := msh.addMember(router.Member{Name: fmt.Sprint(num), Address: "127.0.0.1:2", FailureDomain: "domain"}, 1); err != nil {
						t.Fatal(err)
					}
				}
				got := 0
				for round := range rounds {
					dig := &wire.Digest{}
					if round == crossRegionEvery {
						dig.Strikes = []*wire.CrashStrike{{Request: "r", Instance: "u"}}
					}
					msh.prepareDigest(dig)
					if round%cas.every == phase {
						got += len(msh.strikesOfLast(cas.every))
					}
				}
				if got < 1 || got > cas.most {
					t.Errorf("a peer got the crash %d times, want 1 to %d", got, cas.most)
				}
			}
		})
	}
}

// TestNewCrashesGoToAllPeersAtOnce guards against requests that go on crashing upstreams from nodes that get few digests.
func TestNewCrashesGoToAllPeersAtOnce(t *testing.T) {
	cases := map[string]struct {
		strikes []*wire.CrashStrike
		all     bool
	}{
		"no crash": {},
		"a crash":  {strikes: []*wire.CrashStrike{{Request: "r", Instance: "u", Parts: []uint64{1}}}, all: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			fle := newTestFleet(fleetSize)
			fle.run(2 * time.Second)
			sent := 0
			for _, adrs := range fle.nodes[0].prepareDigest(&wire.Digest{Strikes: cas.strikes}) {
				sent += len(adrs)
			}
			if got := sent == fleetSize-1; got != cas.all {
				t.Errorf("%d of %d peers get a datagram in this round", sent, fleetSize-1)
			}
		})
	}
}

// TestStartedNodeGetsHistory guards against a restarted node that no peer tells of the crashes of before, or all peers at once.
func TestStartedNodeGetsHistory(t *testing.T) {
	fle := newTestFleet(fleetSize)
	fle.run(3 * time.Second)
	self := fle.nodes[7].options.Self
	digest := func(incarnation int64, sequence uint64) (senders int) {
		dig := &wire.Digest{Node: self.Name, FailureDomain: self.FailureDomain, Address: self.Address, Incarnation: incarnation, Sequence: sequence}
		for num, nod := range fle.nodes {
			if num == 7 || !nod.acceptDigest(dig) {
				continue
			}
			if _, due := nod.owesHistory(dig); due {
				senders++
			}
		}
		return senders
	}
	incarnation := fle.nodes[7].incarnation
	cases := []struct {
		name        string
		incarnation int64
		sequence    uint64
		want        int
	}{
		{"running for long", incarnation, 1000, 0},
		{"started again", incarnation + 1, 1, historySenders},
		{"next digest", incarnation + 1, 2, 0},
		{"heard late", incarnation + 2, 1000, 0},
	}
	for _, cas := range cases {
		if got := digest(cas.incarnation, cas.sequence); got != cas.want {
			t.Errorf("%s: %d nodes send the history, want %d", cas.name, got, cas.want)
		}
	}
}

// TestReturnedNodeGetsHistory guards against a node that runs requests which crash upstreams because it was cut off from its peers
// when they reported the crashes.
func TestReturnedNodeGetsHistory(t *testing.T) {
	fle := newTestFleet(fleetSize)
	fle.run(3 * time.Second)
	cut := fle.nodes[7]
	cut.frozenUntil = fle.timers.Now().Add(time.Hour)
	fle.run(detectionLimit)
	self := cut.options.Self
	for num, want := range []int{historySenders, 0} {
		dig := &wire.Digest{
			Node: self.Name, FailureDomain: self.FailureDomain, Address: self.Address, Incarnation: cut.incarnation, Sequence: 1000 + uint64(num),
		}
		senders := 0
		for _, nod := range fle.nodes {
			if nod != cut && nod.acceptDigest(dig) {
				if _, due := nod.owesHistory(dig); due {
					senders++
				}
			}
		}
		if senders != want {
			t.Errorf("digest %d after the cut: %d nodes send the history, want %d", num+1, senders, want)
		}
	}
}

// TestMembersOfRestoredStore guards against a node whose record the store lost when it was restored from a copy, and that does not
// write it again, and against the removal of a record that has the version which another one had before.
func TestMembersOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		src := fakes.NewRecordStore()
		bak := src.Backup()
		msh, copies := newMeshWithCopies("one", src)
		go msh.maintainMembership(ctx)
		if err := src.Register(ctx, router.Member{Name: "dead", Address: "127.0.0.1:2", FailureDomain: "domain"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(deadRecordTTL / 2)
		chs, err := src.Read(ctx, router.Members)
		if err != nil || len(chs.Records) != 2 {
			t.Fatalf("member list %+v, %v", chs, err)
		}
		src.Restore(bak)
		restored, err := src.Read(ctx, router.Manifests)
		if err != nil {
			t.Fatal(err)
		}
		copies.MergePeer(router.Changes{Era: restored.Era, Version: 1, Snapshot: true})
		time.Sleep(10 * time.Second)
		if got := memberNames(t, src); len(got) != 1 || got[0] != "one" {
			t.Errorf("member list %v 10 s after the restoration", got)
		}
		// The dead node starts again in this era, and its record has the version of before.
		if err := src.Register(ctx, router.Member{Name: "dead", Address: "127.0.0.1:2", FailureDomain: "domain"}); err != nil {
			t.Fatal(err)
		}
		for _, rec := range chs.Records {
			if err := src.Deregister(ctx, rec.Key, chs.Era, rec.Version); !errors.Is(err, router.ErrCondition) {
				t.Errorf("removal of %s with a version of the era before: %v", rec.Key, err)
			}
		}
		time.Sleep(deadRecordTTL * 3 / 4)
		if got := memberNames(t, src); len(got) != 2 {
			t.Errorf("member list %v; a record was removed by the time of the era before", got)
		}
	})
}
