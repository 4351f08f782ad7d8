package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	fleetSize    = 300
	fleetDomains = 6
	// fleetTick is the step of the clock, and fleetLoss the share of digests that are lost.
	fleetTick = 25 * time.Millisecond
	fleetLoss = 0.01
	// detectionLimit bounds the time until all live nodes know that a node died.
	detectionLimit = 10 * time.Second
)

// fleetNode is a node of a fleet in process.
type fleetNode struct {
	*Mesh

	// next is when the node sends its next digest.
	next time.Time
	dead bool
	// frozenUntil is until when the node neither sends nor receives.
	frozenUntil time.Time
}

// countingLoad counts the peers that were lost.
type countingLoad struct{ lost *int }

func (countingLoad) AddLocal(*wire.Digest)          {}
func (countingLoad) SetPeer(*wire.Digest)           {}
func (countingLoad) AddStrikes([]*wire.CrashStrike) {}
func (countingLoad) History() []*wire.CrashStrike   { return nil }
func (lod countingLoad) RemovePeer(_ string)        { *lod.lost++ }

// testFleet is a fleet that exchanges digests by the clock of a manual timer, without a network.
type testFleet struct {
	timers *timer.Manual
	random *rand.Rand
	nodes  []*fleetNode
	byName map[string]*fleetNode
	// cut reports whether digests between two failure domains are lost.
	cut func(from, to string) bool
	// lost counts the peers that nodes lost, sent the digests, and lines the log lines.
	lost, sent, lines int
}

// countingHandler counts log lines.
type countingHandler struct {
	slog.Handler

	lines *int
}

func (han countingHandler) Handle(ctx context.Context, rec slog.Record) error {
	*han.lines++
	return han.Handler.Handle(ctx, rec)
}

func domainOf(num int) string { return fmt.Sprintf("domain-%d", num%fleetDomains) }

// newTestFleet returns a fleet of which every node lists all.
func newTestFleet(size int) *testFleet {
	fle := &testFleet{
		timers: timer.NewManual(time.Unix(1000, 0)),
		random: rand.New(rand.NewPCG(1, 2)),
		byName: make(map[string]*fleetNode),
		cut:    func(_, _ string) bool { return false },
	}
	for range size {
		fle.add()
	}
	for _, nod := range fle.nodes {
		fle.list(nod)
	}
	return fle
}

// add adds a node that knows no other.
func (fle *testFleet) add() {
	regions := make(map[string]string)
	for num := range fleetDomains {
		regions[domainOf(num)] = fmt.Sprintf("region-%d", num%2)
	}
	num := len(fle.nodes)
	nod := &fleetNode{
		Mesh: New(Options{
			Self:    router.Member{Name: fmt.Sprintf("node-%03d", num), Address: fmt.Sprintf("10.0.%d.%d:1", num/200, num%200), FailureDomain: domainOf(num)},
			Timers:  fle.timers,
			Log:     slog.New(countingHandler{Handler: slog.DiscardHandler, lines: &fle.lines}),
			Codec:   fakes.Codec{},
			Load:    countingLoad{lost: &fle.lost},
			Regions: regions,
		}),
		next: fle.timers.Now().Add(time.Duration(num) * time.Millisecond),
	}
	fle.nodes = append(fle.nodes, nod)
	fle.byName[nod.options.Self.Address] = nod
}

// list gives a node the member list with all nodes.
func (fle *testFleet) list(nod *fleetNode) {
	for _, oth := range fle.nodes {
		if oth != nod {
			if err := nod.addMember(oth.options.Self, 1); err != nil {
				panic(err)
			}
		}
	}
	nod.membersRead = true
}

// run lets the nodes exchange digests for a time.
func (fle *testFleet) run(dur time.Duration) {
	for end := fle.timers.Now().Add(dur); fle.timers.Now().Before(end); fle.timers.Advance(fleetTick) {
		now := fle.timers.Now()
		for _, nod := range fle.nodes {
			if nod.dead || now.Before(nod.frozenUntil) || now.Before(nod.next) {
				continue
			}
			fle.send(nod, now)
			nod.next = now.Add(nod.digestInterval())
		}
	}
}

func (fle *testFleet) send(nod *fleetNode, now time.Time) {
	self := nod.options.Self
	dig := &wire.Digest{Node: self.Name, FailureDomain: self.FailureDomain, Incarnation: nod.incarnation, Address: self.Address, Reads: true}
	var recipients []string
	for _, adrs := range nod.prepareDigest(dig) {
		for _, adr := range adrs {
			recipients = append(recipients, adr.String())
		}
	}
	// In a fixed order, the same digests are lost in each run.
	slices.Sort(recipients)
	for _, adr := range recipients {
		fle.sent++
		oth := fle.byName[adr]
		if oth.dead || now.Before(oth.frozenUntil) || fle.cut(self.FailureDomain, oth.options.Self.FailureDomain) || fle.random.Float64() < fleetLoss {
			continue
		}
		oth.acceptDigest(dig)
	}
}

// unaware returns how many pairs of a live node and a dead peer exist that the node takes for live, and how many of a live
// node and a live peer that the node takes for dead.
func (fle *testFleet) unaware() (takenForLive, takenForDead int) {
	for _, nod := range fle.nodes {
		if nod.dead {
			continue
		}
		for _, oth := range fle.nodes {
			per := nod.peers[oth.options.Self.Name]
			switch {
			case oth == nod:
			case oth.dead && per != nil && per.live:
				takenForLive++
			case !oth.dead && (per == nil || !per.live):
				takenForDead++
			}
		}
	}
	return takenForLive, takenForDead
}

// TestLargeFleetLosesNoLiveNode guards against nodes of other failure domains and regions that count as lost because their
// digests are rare in a large fleet, and against limits that are divided by too few nodes for that reason.
func TestLargeFleetLosesNoLiveNode(t *testing.T) {
	t.Parallel()
	const duration = 30 * time.Second
	fle := newTestFleet(fleetSize)
	fle.run(duration)
	if _, dead := fle.unaware(); fle.lost > 0 || dead > 0 {
		t.Errorf("%d losses of live nodes in %s; %d pairs are unaware at the end", fle.lost, duration, dead)
	}
	if rate := float64(fle.sent) / duration.Seconds() / fleetSize; rate > 210 {
		t.Errorf("a node sends %.0f digests a second", rate)
	}
	for _, nod := range fle.nodes {
		if got := nod.FleetSize(); got != fleetSize {
			t.Fatalf("limits are divided by %d nodes", got)
		}
	}
}

// TestLateDigestAfterLostOnes guards against a live node that counts as lost because all but the last of the digests that it may
// miss were lost and that one is a little late, as the timers of a busy machine are.
func TestLateDigestAfterLostOnes(t *testing.T) {
	t.Parallel()
	fle := newTestFleet(fleetSize)
	nod, per := fle.nodes[0], fle.nodes[fleetDomains]
	send := func() {
		self := per.options.Self
		dig := &wire.Digest{Node: self.Name, FailureDomain: self.FailureDomain, Incarnation: per.incarnation, Address: self.Address, Reads: true}
		per.prepareDigest(dig)
		nod.acceptDigest(dig)
	}
	send()
	const late = 5 * time.Millisecond
	for range missedDigests {
		fle.timers.Advance(nod.digestInterval() + late)
	}
	nod.prepareDigest(&wire.Digest{})
	send()
	if fle.lost > 0 {
		t.Errorf("the peer was lost after %d intervals", missedDigests)
	}
}

// TestLargeFleetDetectsDeadNodes kills a part of a large fleet at once. It guards against dead nodes that stay live, live
// ones that are lost in the course of it, and a line in the log for each pair of nodes.
func TestLargeFleetDetectsDeadNodes(t *testing.T) {
	t.Parallel()
	cases := map[string]float64{"one node": 0.0034, "a tenth": 0.1, "more than half": 0.55}
	for name, share := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fle := newTestFleet(fleetSize)
			fle.run(5 * time.Second)
			killed := 0
			for num, nod := range fle.nodes {
				if num%fleetDomains == 0 || share > 0.1 || fleetDomains*killed < num {
					if nod.dead = killed < int(share*fleetSize+0.5); nod.dead {
						killed++
					}
				}
			}
			fle.lines, fle.lost = 0, 0
			fle.run(detectionLimit)
			live, dead := fle.unaware()
			if live > 0 || dead > 0 {
				t.Errorf("after %s, %d pairs take a dead node for live and %d a live one for dead", detectionLimit, live, dead)
			}
			alive := fleetSize - killed
			if want := killed * alive; fle.lost != want {
				t.Errorf("%d losses, want %d", fle.lost, want)
			}
			// Single lines and a summary for each second and kind.
			if limit := alive * int(detectionLimit.Seconds()) * (maxTransitionLines + 1); fle.lines > limit {
				t.Errorf("%d log lines, at most %d are expected", fle.lines, limit)
			}
			for _, nod := range fle.nodes {
				if got := nod.FleetSize(); got < alive {
					t.Fatalf("limits are divided by %d nodes of %d", got, alive)
				}
			}
		})
	}
}

// TestLargeFleetHealsAfterCut cuts a region off for some time. It guards against nodes that do not find each other again,
// and against limits that each side divides by its own nodes only.
func TestLargeFleetHealsAfterCut(t *testing.T) {
	t.Parallel()
	fle := newTestFleet(fleetSize)
	fle.run(5 * time.Second)
	region := func(domain string) string { return fle.nodes[0].options.Regions[domain] }
	fle.cut = func(from, to string) bool { return region(from) != region(to) }
	fle.run(12 * time.Second)
	for _, nod := range fle.nodes {
		if got := nod.FleetSize(); got != fleetSize {
			t.Fatalf("limits are divided by %d nodes during the cut", got)
		}
	}
	fle.cut = func(_, _ string) bool { return false }
	fle.run(20 * time.Second)
	if _, dead := fle.unaware(); dead > 0 {
		t.Errorf("%d pairs are unaware after the cut", dead)
	}
}

// TestLargeFleetGrows adds three quarters of the nodes at once; only the new ones have read the member list since. It guards
// against old nodes that do not count the new ones.
func TestLargeFleetGrows(t *testing.T) {
	t.Parallel()
	const old = fleetSize / 4
	fle := newTestFleet(old)
	fle.run(3 * time.Second)
	for range fleetSize - old {
		fle.add()
	}
	for _, nod := range fle.nodes[old:] {
		fle.list(nod)
	}
	fle.run(20 * time.Second)
	if _, dead := fle.unaware(); dead > 0 {
		t.Errorf("%d pairs are unaware", dead)
	}
	for _, nod := range fle.nodes {
		if got := nod.FleetSize(); got != fleetSize {
			t.Fatalf("limits are divided by %d nodes of %d", got, fleetSize)
		}
	}
}

// TestFrozenNodeIsLostAndHeardAgain freezes nodes and slows none of the others down by it.
func TestFrozenNodeIsLostAndHeardAgain(t *testing.T) {
	t.Parallel()
	fle := newTestFleet(fleetSize)
	fle.run(5 * time.Second)
	frozen := fle.nodes[:30]
	for _, nod := range frozen {
		nod.frozenUntil = fle.timers.Now().Add(detectionLimit)
	}
	fle.run(detectionLimit)
	for _, nod := range fle.nodes[30:] {
		if got := nod.LiveNodes(); got != fleetSize-30 {
			t.Fatalf("%d nodes count as live, %d are", got, fleetSize-30)
		}
	}
	fle.run(20 * time.Second)
	if _, dead := fle.unaware(); dead > 0 {
		t.Errorf("%d pairs are unaware after the freeze", dead)
	}
}
