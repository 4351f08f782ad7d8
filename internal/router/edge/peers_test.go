package edge

import (
	"fmt"
	"log/slog"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/terms"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// peerFixture is the state of peers before a number of engines, of which each has a load.
type peerFixture struct {
	*peerState

	instances []router.Instance
}

func newPeerFixture(t testing.TB) (fix peerFixture) {
	t.Helper()
	tms := timer.NewManual(time.Unix(1000, 0))
	grd, stop := guard.New(tms, guard.DefaultMaxCrashes)
	t.Cleanup(stop)
	fix.peerState = &peerState{balancer: place.New(place.Options{Timers: tms}), guard: grd, terms: terms.New(tms, slog.New(slog.DiscardHandler)), timers: tms}
	for num := range 4 {
		fix.instances = append(fix.instances, router.Instance{ID: fmt.Sprint(num), Service: "engines", Address: "10.0.0.1:80"})
	}
	fix.choose(t)
	return fix
}

func (fix peerFixture) choose(t testing.TB) (id string) {
	t.Helper()
	req := place.Request{Service: "engines", PromptTokens: 1000, GapTarget: 100 * time.Millisecond}
	ins, rsv, ok := fix.balancer.Choose(req, fix.instances, func(router.Instance) bool { return false })
	if !ok {
		t.Fatal("no engine was chosen")
	}
	rsv.Release(place.Inconclusive)
	return ins.ID
}

// loads returns a digest with the same load at each engine.
func (fix peerFixture) loads(node string, lod *wire.InstanceLoad) *wire.Digest {
	dig := &wire.Digest{Node: node}
	for _, ins := range fix.instances {
		one := proto.CloneOf(lod)
		one.Instance = xxhash.Sum64String(ins.Key())
		dig.Loads = append(dig.Loads, one)
	}
	return dig
}

// TestAbsurdLoadsOfPeersAreDropped guards against a digest whose values poison the loads for ever, so that one engine gets
// all calls or none.
func TestAbsurdLoadsOfPeersAreDropped(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	cases := map[string]*wire.InstanceLoad{
		"gap risk is no number":  {Running: 1, Fragile: nan},
		"gap risk is infinite":   {Running: 1, Fragile: inf},
		"gap risk is negative":   {Running: 1, Fragile: -5},
		"slowdown is no number":  {Running: 1, Slow: nan},
		"slowdown is infinite":   {Running: 1, Slow: inf},
		"rate is no number":      {Running: 1, PrefillRate: nan},
		"rate is infinite":       {Running: 1, PrefillRate: inf},
		"rate is negative":       {Running: 1, PrefillRate: -5},
		"cache beyond any size":  {Running: 1, CacheTokens: math.MaxUint64},
		"tokens beyond any rank": {Running: 1, Unread: make([]uint32, 1000)},
	}
	for name, lod := range cases {
		t.Run(name, func(t *testing.T) {
			fix := newPeerFixture(t)
			fix.SetPeer(fix.loads("peer", lod))
			fix.RemovePeer("peer")
			for _, busy := range fix.instances {
				dig := &wire.Digest{Node: "other", Loads: []*wire.InstanceLoad{{
					Instance: xxhash.Sum64String(busy.Key()), Running: 50, Unread: []uint32{1e6},
				}}}
				fix.SetPeer(dig)
				if got := fix.choose(t); got == busy.ID {
					t.Errorf("a call went to engine %s, which is busy", got)
				}
			}
		})
	}
}

// TestDigestStatesRateAndMemory guards against peers that never learn the speed of an engine or the cache memory that calls occupy, and
// against digests that name engines without a call: in a fleet of 300 nodes these take the links between regions.
func TestDigestStatesRateAndMemory(t *testing.T) {
	fix := newPeerFixture(t)
	req := place.Request{Service: "engines", PromptTokens: 1000, OutputTokens: 200}
	_, rsv, _ := fix.balancer.Choose(req, fix.instances, func(router.Instance) bool { return false })
	fix.timers.(*timer.Manual).Advance(50 * time.Millisecond)
	rsv.ObserveEvent()
	for _, want := range [][]*wire.InstanceLoad{{{CacheTokens: 1200, PrefillRate: 20}}, {}} {
		dig := &wire.Digest{}
		fix.AddLocal(dig)
		if !slices.EqualFunc(dig.GetLoads(), want, func(one, oth *wire.InstanceLoad) bool {
			return one.GetCacheTokens() == oth.GetCacheTokens() && one.GetPrefillRate() == oth.GetPrefillRate()
		}) {
			t.Errorf("loads %v, want %v", dig.GetLoads(), want)
		}
		rsv.Release(place.Served)
	}
}

// TestPeersShareQuarantinedParts guards against a node that sends requests with a deadly part although its peers saw it crash
// upstreams, and against one that refuses a part which was answered at a peer. Nodes of an older release report no parts.
func TestPeersShareQuarantinedParts(t *testing.T) {
	const common, deadly = 1, 2
	cases := map[string]struct {
		answered, outdated bool
		refused            bool
	}{
		"crashes at peers":                  {refused: true},
		"the part is answered at a peer":    {answered: true},
		"the peers are of an older release": {outdated: true},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			one, two := newPeerFixture(t), newPeerFixture(t)
			tms := two.timers.(*timer.Manual)
			exchange := func() {
				dig := &wire.Digest{Node: "one"}
				one.AddLocal(dig)
				if cas.outdated {
					for _, stk := range dig.Strikes {
						stk.Parts = nil
					}
				}
				// Reports are repeated.
				for range 3 {
					two.SetPeer(dig)
					tms.Advance(5 * time.Second)
				}
			}
			for num := range 3 {
				one.recordCrash(guard.Crash{Digest: fmt.Sprint(num), Upstream: fmt.Sprint(num), At: one.timers.Now(), Parts: []uint64{common, deadly}})
				one.timers.(*timer.Manual).Advance(15 * time.Second)
				exchange()
			}
			if cas.answered {
				one.recordAnswered([]uint64{common, deadly}, one.timers.Now())
				exchange()
			}
			if got := two.guard.HasQuarantinedPart([]uint64{common, deadly}); got != cas.refused {
				t.Errorf("refused: %t, want %t", got, cas.refused)
			}
			for num := range 3 {
				if two.guard.IsQuarantined(fmt.Sprint(num)) {
					t.Errorf("request %d is quarantined after one crash", num)
				}
			}
		})
	}
}

// TestStartedNodeLearnsCrashes guards against a node that runs requests with a deadly part again after each restart.
func TestStartedNodeLearnsCrashes(t *testing.T) {
	one, two := newPeerFixture(t), newPeerFixture(t)
	for num := range 3 {
		one.recordCrash(guard.Crash{Digest: fmt.Sprint(num), Upstream: fmt.Sprint(num), At: one.timers.Now(), Parts: []uint64{1, 2}})
		one.timers.(*timer.Manual).Advance(time.Second)
	}
	one.recordAnswered([]uint64{1}, one.timers.Now())
	// Several nodes send the history.
	for range 3 {
		two.AddStrikes(one.History())
	}
	if !two.guard.HasQuarantinedPart([]uint64{2}) || two.guard.HasQuarantinedPart([]uint64{1}) {
		t.Errorf("the deadly part is refused: %t, the sound one: %t",
			two.guard.HasQuarantinedPart([]uint64{2}), two.guard.HasQuarantinedPart([]uint64{1}))
	}
}

// TestStartedNodeRefusesQuarantinedRequest guards against a node that runs a request again which crashed upstreams before the node
// was started. All nodes are restarted in turn, so that each learns it from one that learned it itself.
func TestStartedNodeRefusesQuarantinedRequest(t *testing.T) {
	// Requests that crashed upstreams once fill the history, before and after the deadly one.
	const others, nodes = 300, 6
	fix := newPeerFixture(t)
	crash := func(request string, num int) {
		fix.recordCrash(guard.Crash{Digest: request, Upstream: fmt.Sprint("upstream-", num), At: fix.timers.Now()})
		fix.timers.(*timer.Manual).Advance(2 * time.Second)
	}
	for num := range others {
		crash(fmt.Sprint("before-", num), num)
	}
	for num := range send.MaxCrashes {
		crash("deadly", num)
	}
	for num := range others / 2 {
		crash(fmt.Sprint("after-", num), num)
	}
	for num := range nodes {
		started := newPeerFixture(t)
		started.timers.(*timer.Manual).Advance(fix.timers.Now().Sub(started.timers.Now()))
		// Several nodes send the history, and a datagram may come twice.
		for range 3 {
			started.AddStrikes(fix.History())
		}
		if !started.guard.IsQuarantined("deadly") {
			t.Fatalf("node %d runs the request", num)
		}
		for other := range others {
			if started.guard.IsQuarantined(fmt.Sprint("before-", other)) {
				t.Fatalf("node %d refuses a request after one crash", num)
			}
		}
		fix = started
	}
}

// FuzzDigest checks that no datagram of a peer ends the process or leaves a load behind that is no number.
func FuzzDigest(f *testing.F) {
	seed, err := proto.Marshal(&wire.Digest{
		Node: "peer", Loads: []*wire.InstanceLoad{{Instance: 1, Running: 3, Unread: []uint32{1, 2}, Fragile: 0.5, Slow: 2, CacheTokens: 7, PrefillRate: 30}},
		Demands:    []*wire.ServiceDemand{{Service: 1, Calls: []float32{1}, PrefillTokens: []float32{2}, Running: []float32{3}}},
		Placements: []*wire.Placement{{Prefix: 1, Instance: 1, Read: true}}, Strikes: []*wire.CrashStrike{{Request: "a", Instance: "b"}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, txt []byte) {
		var dig wire.Digest
		if err := proto.Unmarshal(txt, &dig); err != nil {
			return
		}
		fix := newPeerFixture(t)
		fix.SetPeer(&dig)
		fix.choose(t)
		fix.RemovePeer(dig.GetNode())
		fix.choose(t)
	})
}
