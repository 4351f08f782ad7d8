package permit

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// detectionTime is how long a node that is cut off or frozen counts as live at the others.
	detectionTime = 2 * time.Second
	// countWindow is the span in which an upstream counts what it gets, and limitFactor and limitSlack what it tolerates there.
	countWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// simNode is a node of a simulated fleet; it implements Fleet.
type simNode struct {
	sim     *simFleet
	name    string
	service *Service
	// old marks a node of a release that neither grants permits nor asks for them; it sends nothing in these tests.
	old bool
	// side is the side of a partition, and lost is when the node left its side or froze; zero otherwise.
	side   int
	frozen bool
	since  time.Time
}

// simFleet is a fleet whose messages take up to 60 ms, and of which one in fifty is lost.
type simFleet struct {
	mut   sync.Mutex
	rnd   *rand.Rand
	nodes []*simNode
	// sends holds the times at which requests reached the upstream.
	sends []time.Time
}

func newSimFleet(size, old int, seed uint64) (sim *simFleet) {
	sim = &simFleet{rnd: rand.New(rand.NewPCG(seed, 1))}
	for num := range size {
		nod := &simNode{sim: sim, name: fmt.Sprintf("node-%d", num), old: num < old}
		nod.start()
		sim.nodes = append(sim.nodes, nod)
	}
	return sim
}

// start replaces the state of the node, as a restart does.
func (sno *simNode) start() {
	svc := New(timer.Real{}, slog.New(slog.DiscardHandler))
	svc.Join(sno)
	sno.service = svc
}

// reaches reports whether messages pass between two nodes, and seesLive whether the first one counts the other as live. The
// lock is held.
func (sno *simNode) reaches(oth *simNode) bool {
	return sno.side == oth.side && !sno.frozen && !oth.frozen
}

func (sno *simNode) seesLive(oth *simNode) bool {
	if oth == sno || sno.reaches(oth) {
		return true
	}
	changed := sno.since
	if oth.since.After(changed) {
		changed = oth.since
	}
	return time.Since(changed) < detectionTime
}

func (sno *simNode) Owner(upstream uint64, _ string) (node string, self bool) {
	sno.sim.mut.Lock()
	defer sno.sim.mut.Unlock()
	var best uint64
	for _, oth := range sno.sim.nodes {
		if oth.old || !sno.seesLive(oth) {
			continue
		}
		sum := fnv.New64a()
		fmt.Fprint(sum, oth.name, upstream)
		if node == "" || sum.Sum64() > best {
			node, best = oth.name, sum.Sum64()
		}
	}
	return node, node == sno.name
}

func (sno *simNode) Share() float64 {
	sno.sim.mut.Lock()
	defer sno.sim.mut.Unlock()
	granting := 0
	for _, oth := range sno.sim.nodes {
		if !oth.old && sno.seesLive(oth) {
			granting++
		}
	}
	return float64(granting) / float64(len(sno.sim.nodes))
}

// deliver calls fun after the delay of a message, unless the message is lost.
func (sim *simFleet) deliver(from, to *simNode, fun func()) {
	sim.mut.Lock()
	delay, lost := time.Millisecond+time.Duration(sim.rnd.IntN(60))*time.Millisecond/2, sim.rnd.IntN(50) == 0
	sim.mut.Unlock()
	time.AfterFunc(delay, func() {
		sim.mut.Lock()
		passes := !lost && from.reaches(to)
		sim.mut.Unlock()
		if passes {
			fun()
		}
	})
}

func (sno *simNode) SendPermitRequest(node string, req *wire.PermitRequest) {
	for _, oth := range sno.sim.nodes {
		if oth.name != node {
			continue
		}
		asking := sno.service
		sno.sim.deliver(sno, oth, func() {
			ans := oth.service.Grant(req)
			sno.sim.deliver(oth, sno, func() { asking.Deliver(ans) })
		})
	}
}

// press sends requests to an upstream at random times until the context ends, each with a permit that may be waited for.
func (sim *simFleet) press(ctx context.Context, sno *simNode, ins router.Instance, limit, perSecond float64) {
	for ctx.Err() == nil {
		sim.mut.Lock()
		pause := time.Duration(sim.rnd.ExpFloat64() / perSecond * float64(time.Second))
		sim.mut.Unlock()
		timer.Sleep(ctx, pause)
		sim.mut.Lock()
		frozen, svc := sno.frozen, sno.service
		sim.mut.Unlock()
		if frozen || ctx.Err() != nil {
			continue
		}
		go func() {
			ver := svc.Ask(ctx, ins, limit, 300*time.Millisecond)
			if !ver.Granted {
				return
			}
			ver.Wait(ctx)
			sim.mut.Lock()
			defer sim.mut.Unlock()
			sim.sends = append(sim.sends, time.Now())
		}()
	}
}

// most returns the most requests in one countWindow.
func (sim *simFleet) most() (num int) {
	first := 0
	for last, at := range sim.sends {
		for at.Sub(sim.sends[first]) > countWindow {
			first++
		}
		num = max(num, last-first+1)
	}
	return num
}

// restartInTurn restarts one node a second.
func restartInTurn(sim *simFleet, second int) {
	sim.nodes[second%len(sim.nodes)].start()
}

// restartAll restarts all nodes every ten seconds.
func restartAll(sim *simFleet, second int) {
	for _, nod := range sim.nodes {
		if second%10 == 5 {
			nod.start()
		}
	}
}

// cutHalf cuts half of the nodes off from the others, and connects them again, every ten seconds.
func cutHalf(sim *simFleet, second int) {
	for num, nod := range sim.nodes {
		if second%10 == 5 && num%2 == 0 {
			nod.side, nod.since = 1-nod.side, time.Now()
		}
	}
}

// freezeThird freezes or wakes another third of the nodes every five seconds.
func freezeThird(sim *simFleet, second int) {
	for num, nod := range sim.nodes {
		if second%5 == 0 && num%3 == second/5%3 {
			nod.frozen, nod.since = !nod.frozen, time.Now()
		}
	}
}

// playTime is how long a simulated fleet runs.
const playTime = 40 * time.Second

// play presses an upstream with three times its limit from all nodes that ask for permits, and calls trouble every second.
func (sim *simFleet) play(ctx context.Context, limit float64, old int, trouble func(sim *simFleet, second int)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ins := router.Instance{ID: "up", Service: "svc"}
	for _, nod := range sim.nodes[old:] {
		go sim.press(ctx, nod, ins, limit, 3*limit/float64(len(sim.nodes)-old))
	}
	for second := range int(playTime / time.Second) {
		time.Sleep(time.Second)
		sim.mut.Lock()
		trouble(sim, second)
		sim.mut.Unlock()
	}
}

// TestNodesTogetherKeepRateLimit guards against upstreams that get more requests than the limit they state, because each node
// counts for itself, or counts anew after a restart, or because both sides of a partition use the whole limit. It also guards
// against limits of which most stays unused.
func TestNodesTogetherKeepRateLimit(t *testing.T) {
	cases := map[string]struct {
		trouble func(sim *simFleet, second int)
		// oldShare is the part of the nodes that are of a release without permits.
		oldShare float64
		// used is the part of the limit that must be used at least.
		used float64
	}{
		"calm":                          {trouble: func(*simFleet, int) {}, used: 0.85},
		"restarts in turn":              {trouble: restartInTurn, used: 0.5},
		"all restart at once":           {trouble: restartAll, used: 0.5},
		"half of the nodes are cut off": {trouble: cutHalf, used: 0.5},
		"nodes freeze":                  {trouble: freezeThird, used: 0.2},
		"a third of the nodes asks for no permits": {trouble: func(*simFleet, int) {}, oldShare: 1.0 / 3, used: 0.5},
	}
	for name, cas := range cases {
		for _, size := range []int{6, 295} {
			for _, limit := range []float64{1, 3.4, 40} {
				t.Run(fmt.Sprintf("%s, %d nodes, %g per second", name, size, limit), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						old := int(float64(size) * cas.oldShare)
						sim := newSimFleet(size, old, uint64(size)+uint64(limit))
						sim.play(t.Context(), limit, old, cas.trouble)
						synctest.Wait()
						if most, allowed := sim.most(), limitFactor*limit*countWindow.Seconds()+limitSlack; float64(most) > allowed {
							t.Errorf("%d requests in %s, %g are allowed", most, countWindow, allowed)
						}
						if used := float64(len(sim.sends)) / (limit * playTime.Seconds()); used < cas.used || used > 1.1 {
							t.Errorf("%.2f of the limit is used, want %.2f to 1.1", used, cas.used)
						}
					})
				})
			}
		}
	}
}

// muteFleet is a fleet whose other node owns all limits and answers as many requests as it is told to.
type muteFleet struct {
	service *Service
	answers int
	asked   int
}

func (*muteFleet) Owner(uint64, string) (node string, self bool) { return "other", false }

func (*muteFleet) Share() float64 { return 1 }

func (mut *muteFleet) SendPermitRequest(_ string, req *wire.PermitRequest) {
	mut.asked++
	if mut.answers > 0 {
		mut.answers--
		mut.service.Deliver(&wire.PermitAnswer{Id: req.GetId(), Granted: true})
	}
}

// TestOwnerThatDoesNotAnswer guards against calls that each wait for an owner which is gone, and against limits that stay unused
// because one datagram was lost or because a caller left before the answer came.
func TestOwnerThatDoesNotAnswer(t *testing.T) {
	one, two := router.Instance{ID: "one"}, router.Instance{ID: "two"}
	cases := map[string]struct {
		play  func(ctx context.Context, svc *Service, flt *muteFleet)
		asked int
	}{
		"one lost answer does not silence the owner": {
			play: func(ctx context.Context, svc *Service, flt *muteFleet) {
				svc.Ask(ctx, one, 1, 0)
				flt.answers = 1
				svc.Ask(ctx, two, 1, 0)
			},
			asked: 2,
		},
		"two lost answers in a row do": {
			play: func(ctx context.Context, svc *Service, _ *muteFleet) {
				for range 5 {
					svc.Ask(ctx, one, 1, missedPause)
					svc.Ask(ctx, two, 1, missedPause)
				}
			},
			asked: 2,
		},
		"the owner is asked again after a pause": {
			play: func(ctx context.Context, svc *Service, flt *muteFleet) {
				svc.Ask(ctx, one, 1, 0)
				svc.Ask(ctx, two, 1, 0)
				time.Sleep(silencePause + time.Millisecond)
				flt.answers = 1
				svc.Ask(ctx, one, 1, 0)
			},
			asked: 3,
		},
		"a caller that leaves says nothing about the owner": {
			play: func(ctx context.Context, svc *Service, flt *muteFleet) {
				for range 3 {
					short, cancel := context.WithTimeout(ctx, answerTimeout/2)
					svc.Ask(short, one, 1, 0)
					cancel()
				}
				flt.answers = 1
				svc.Ask(ctx, one, 1, 0)
			},
			asked: 4,
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc := New(timer.Real{}, slog.New(slog.DiscardHandler))
				flt := &muteFleet{service: svc}
				svc.Join(flt)
				cas.play(t.Context(), svc, flt)
				if flt.asked != cas.asked {
					t.Errorf("the owner was asked %d times, want %d", flt.asked, cas.asked)
				}
			})
		})
	}
}
