package admit

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// fleet is a number of nodes before one service, whose digests arrive with a delay.
type fleet struct {
	nodes []*Controller
	// running holds the calls of each node, and waiting those that wait there.
	running, waiting [][]*modelCall
	// reported holds the running calls of each node in its last digest.
	reported []int
}

const (
	fleetNodes   = 20
	fleetSlots   = 1000
	digestPeriod = 300 * time.Millisecond
)

func newFleet(tms *timer.Manual) (flt *fleet) {
	flt = &fleet{running: make([][]*modelCall, fleetNodes), waiting: make([][]*modelCall, fleetNodes), reported: make([]int, fleetNodes)}
	for num := range fleetNodes {
		flt.nodes = append(flt.nodes, New(Options{Timers: tms, Log: slog.New(slog.DiscardHandler), View: func(string) (vie router.ServiceView) {
			vie = router.ServiceView{Slots: fleetSlots, Running: len(flt.running[num]), Queues: true}
			for oth, val := range flt.reported {
				if oth != num {
					vie.Running += val
				}
			}
			return vie
		}}))
	}
	return flt
}

// report sends the digest of a node.
func (flt *fleet) report(num int) {
	flt.reported[num] = len(flt.running[num])
	for oth, ctl := range flt.nodes {
		if oth != num {
			ctl.SetPeerWaiting(fmt.Sprint(num), flt.nodes[num].LocalWaiting())
		}
	}
}

// total returns the number of running calls.
func (flt *fleet) total() (sum int) {
	for _, cals := range flt.running {
		sum += len(cals)
	}
	return sum
}

// TestSurgeWithLateViews guards against slots that stay empty while calls wait, and against nodes that all take the same free slots,
// because they know of each other with the delay of a digest.
func TestSurgeWithLateViews(t *testing.T) {
	cases := map[string]struct {
		// load is the rate of the calls relative to the capacity.
		load float64
		// least and most bound the running calls relative to the slots, after the first seconds.
		least, most float64
	}{
		"close to the capacity": {load: 0.95, least: 0.85, most: 1.06},
		"twice the capacity":    {load: 2, least: 0.97, most: 1.25},
		"twice the usual load":  {load: 1.6, least: 0.97, most: 1.25},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tms := timer.NewManual(time.Unix(1000, 0))
			mod := &model{timers: tms}
			flt := newFleet(tms)
			due, num, sum, looks, sent, refused := 0.0, 0, 0, 0, 0, 0
			for at := time.Duration(0); at < 12*time.Second; at += step {
				tms.Advance(step)
				load := cas.load
				if at < 3*time.Second {
					load = min(load, 0.8)
				}
				for due += load * fleetSlots * step.Seconds() / took.Seconds(); due >= 1; due-- {
					num++
					// The calls arrive at the nodes unevenly.
					nod := num * num % 401 % fleetNodes
					cal := &modelCall{work: took * time.Duration([]int{10, 5, 18, 8, 9}[num%5]) / 10}
					cal.waiter = flt.nodes[nod].enter(mod.request("a", num%2, fmt.Sprint(num)))
					flt.waiting[nod] = append(flt.waiting[nod], cal)
					sent++
				}
				speed := min(1, fleetSlots/float64(max(1, flt.total())))
				for nod := range fleetNodes {
					flt.waiting[nod] = slices.DeleteFunc(flt.waiting[nod], func(cal *modelCall) bool {
						select {
						case <-cal.decided:
						default:
							return false
						}
						if cal.refusal != nil {
							refused++
							return true
						}
						cal.Start(1000)
						flt.running[nod] = append(flt.running[nod], cal)
						return true
					})
					flt.running[nod] = slices.DeleteFunc(flt.running[nod], func(cal *modelCall) bool {
						if cal.work -= time.Duration(speed * float64(step)); cal.work > 0 {
							return false
						}
						cal.End(0)
						return true
					})
					if (at/step+time.Duration(nod))%(digestPeriod/step) == 0 {
						flt.report(nod)
					}
				}
				if at > 4*time.Second {
					sum += flt.total()
					looks++
				}
			}
			part := float64(sum) / float64(looks) / fleetSlots
			t.Logf("%.3f of the slots taken, %d of %d calls refused", part, refused, sent)
			if part < cas.least || part > cas.most {
				t.Errorf("%.3f of the slots taken", part)
			}
			if cas.load < 1 && refused > 0 {
				t.Errorf("%d calls refused", refused)
			}
		})
	}
}
