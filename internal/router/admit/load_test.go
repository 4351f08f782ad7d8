package admit

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

const (
	// step is the time between two looks at the model, and took the time of a call at an upstream with a slot for it.
	step = 10 * time.Millisecond
	took = time.Second
	// slots is the number of slots of the model; usual is the calls per second that take four fifths of them.
	slots = 100
	usual = 80
)

// arrivals is a kind of calls of a load.
type arrivals struct {
	workspace string
	tier      int
	// rate gives the calls per second at a time.
	rate func(at time.Duration) float64
	// leaves is after how long callers that wait disconnect; zero for never. back is the part of Retry-After after which refused callers
	// return; zero if they don't.
	leaves time.Duration
	back   float64
	due    float64
}

// result counts the calls of one kind.
type result struct{ sent, returned, served, late, refused, refusedEarly, left int }

// model is one node before a service with queues, in time that advances by step.
type model struct {
	*Controller

	timers  *timer.Manual
	slots   int
	running []*modelCall
	waiting []*modelCall
	// returning holds the refused calls and their times.
	returning []*modelCall
	results   map[string]*result
	events    int
	// open is set if all calls start at once.
	open bool
}

type modelCall struct {
	*waiter

	kind *arrivals
	at   time.Time
	// work is the time of the call at an upstream with a slot for it.
	work time.Duration
	// returns is how often the caller was refused and came back.
	returns int
}

func newModel() (mod *model) {
	mod = &model{timers: timer.NewManual(time.Unix(1000, 0)), slots: slots, results: make(map[string]*result)}
	mod.Controller = New(Options{Timers: mod.timers, Log: slog.New(slog.DiscardHandler), OnEvent: func(string) { mod.events++ }, View: func(string) router.ServiceView {
		return router.ServiceView{Slots: mod.slots, Running: len(mod.running), Queues: true}
	}})
	return mod
}

// request returns a call with a deadline of 4 s and a target of 1 s.
func (mod *model) request(workspace string, tier int, digest string) router.AdmissionRequest {
	now := mod.timers.Now()
	return router.AdmissionRequest{
		Call:  &router.Call{PromptTokens: 1000, OutputTokens: 100, Arrived: now},
		Route: &router.Route{Stream: true, Target: time.Second}, Service: "svc", Workspace: workspace, Tier: tier, Deadline: now.Add(4 * time.Second), Digest: digest,
	}
}

func (mod *model) send(cal *modelCall, digest string) {
	req := mod.request(cal.kind.workspace, cal.kind.tier, digest)
	if cal.waiter = (&waiter{AdmissionRequest: req, decided: make(chan struct{})}); mod.open {
		close(cal.decided)
	} else {
		cal.waiter = mod.enter(req)
	}
	cal.at, cal.work = mod.timers.Now(), took*time.Duration([]int{10, 5, 18, 8, 13}[mod.result(cal).sent%5])/10
	mod.result(cal).sent++
	mod.waiting = append(mod.waiting, cal)
}

func (mod *model) result(cal *modelCall) (res *result) {
	key := fmt.Sprintf("%s/%d", cal.kind.workspace, cal.kind.tier)
	if mod.results[key] == nil {
		mod.results[key] = &result{}
	}
	return mod.results[key]
}

// play lets a load arrive for a time.
func (mod *model) play(length time.Duration, kinds ...*arrivals) {
	for at := time.Duration(0); at < length; at += step {
		for num, kin := range kinds {
			for kin.due += kin.rate(at) * step.Seconds(); kin.due >= 1; kin.due-- {
				mod.send(&modelCall{kind: kin}, fmt.Sprintf("%d/%s/%f", num, at, kin.due))
			}
		}
		mod.step()
	}
}

// step moves the calls on. Upstreams share their slots among the calls above them.
func (mod *model) step() {
	mod.timers.Advance(step)
	now := mod.timers.Now()
	mod.returning = slices.DeleteFunc(mod.returning, func(cal *modelCall) bool {
		if due := !cal.at.After(now); due {
			mod.send(&modelCall{kind: cal.kind, returns: cal.returns + 1}, cal.Digest)
			mod.result(cal).sent--
			mod.result(cal).returned++
			return true
		}
		return false
	})
	mod.waiting = slices.DeleteFunc(mod.waiting, mod.decide)
	speed := min(1, float64(mod.slots)/float64(max(1, len(mod.running))))
	mod.running = slices.DeleteFunc(mod.running, func(cal *modelCall) bool {
		if cal.work -= time.Duration(speed * float64(step)); cal.work > 0 {
			return false
		}
		if !mod.open {
			cal.End(now.Sub(cal.begun))
		}
		if mod.result(cal).served++; now.After(cal.Deadline) {
			mod.result(cal).late++
		}
		return true
	})
}

// decide starts or removes a call that is no longer to wait, and reports whether it was one.
func (mod *model) decide(cal *modelCall) (done bool) {
	now := mod.timers.Now()
	res := mod.result(cal)
	select {
	case <-cal.decided:
	default:
		if cal.kind.leaves > 0 && now.Sub(cal.at) >= cal.kind.leaves && mod.abandon(cal.waiter) {
			res.left++
			return true
		}
		return false
	}
	if cal.refusal == nil {
		if mod.open {
			mod.running = append(mod.running, cal)
			return true
		}
		// An output has ten events, whose gaps grow with the calls above the slots.
		gap := max(took, took*time.Duration(len(mod.running))/time.Duration(mod.slots)) / 10
		if !cal.Check(router.UpstreamEstimate{EventGap: gap}) {
			cal.refusal = cal.Refuse()
		}
		if cal.refusal == nil {
			cal.Start(1000)
			mod.running = append(mod.running, cal)
			return true
		}
		cal.End(0)
	}
	res.refused++
	if now.Sub(cal.at) <= time.Second/8+step {
		res.refusedEarly++
	}
	if cal.kind.back > 0 && cal.returns < 3 {
		cal.at = now.Add(time.Duration(cal.kind.back * float64(cal.refusal.RetryAfter)))
		mod.returning = append(mod.returning, cal)
	}
	return true
}

// constant and burst are rates of arrivals; the burst is from the fourth second to the tenth.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func burst(rate, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 4*time.Second && at < 10*time.Second {
			return rate * factor
		}
		return rate
	}
}

// TestLoads guards, for each pattern of load, against refusing what the load doesn't concern, and against serving what ends too late.
func TestLoads(t *testing.T) {
	type bound struct {
		// served is the least part of the calls that are served, and refused the largest part that is refused.
		served, refused float64
	}
	cases := map[string]struct {
		kinds []*arrivals
		// slotsLost is the number of slots that are gone after 5 s.
		slotsLost int
		bounds    map[string]bound
	}{
		"no shortage": {
			kinds:  []*arrivals{{workspace: "a", rate: constant(usual)}},
			bounds: map[string]bound{"a/0": {served: 1}},
		},
		"surge of users": {
			kinds: []*arrivals{{workspace: "a", rate: burst(usual/4, 2.5)}, {workspace: "a", tier: 2, rate: burst(3*usual/4, 2.5)}},
			bounds: map[string]bound{
				"a/0": {served: 1},
				"a/2": {served: 0.5, refused: 0.5},
			},
		},
		"one workspace at 7 times its usual traffic": {
			kinds: []*arrivals{{workspace: "a", rate: burst(usual/4, 7)}, {workspace: "b", rate: constant(usual / 4)}, {workspace: "c", rate: constant(usual / 4)}},
			bounds: map[string]bound{
				"a/0": {served: 0.3, refused: 0.7},
				"b/0": {served: 0.98, refused: 0.02},
				"c/0": {served: 0.98, refused: 0.02},
			},
		},
		"early retries at 3 times the usual traffic": {
			kinds: []*arrivals{{workspace: "a", rate: burst(usual/2, 6), back: 0.1}, {workspace: "a", tier: 1, rate: constant(usual / 8), back: 1}},
			bounds: map[string]bound{
				"a/0": {served: 0.5, refused: 0.8},
				"a/1": {served: 0.5, refused: 0.5},
			},
		},
		"upstreams lost during a surge": {
			kinds:     []*arrivals{{workspace: "a", rate: burst(usual/4, 2)}, {workspace: "a", tier: 2, rate: burst(3*usual/4, 2)}},
			slotsLost: slots / 3,
			bounds:    map[string]bound{"a/0": {served: 0.98, refused: 0.02}, "a/2": {served: 0.25, refused: 0.75}},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			mod, open := newModel(), newModel()
			open.open = true
			inTime := make(map[*model]int)
			for _, one := range []*model{mod, open} {
				before, after := make([]*arrivals, 0, len(cas.kinds)), make([]*arrivals, 0, len(cas.kinds))
				for _, kin := range cas.kinds {
					fst, snd := *kin, *kin
					snd.rate = func(at time.Duration) float64 { return kin.rate(at + 5*time.Second) }
					before, after = append(before, &fst), append(after, &snd)
				}
				one.play(5*time.Second, before...)
				one.slots -= cas.slotsLost
				one.play(15*time.Second, after...)
				for _, res := range one.results {
					inTime[one] += res.served - res.late
				}
			}
			t.Logf("%d calls in time, %d without admission control", inTime[mod], inTime[open])
			if inTime[mod] < inTime[open] {
				t.Errorf("%d calls in time, %d without admission control", inTime[mod], inTime[open])
			}
			for key, bnd := range cas.bounds {
				res, all := mod.results[key], open.results[key]
				t.Logf("%s: %+v, without admission control %+v", key, *res, *all)
				if part := float64(res.served+len(mod.running)) / float64(res.sent); part < bnd.served {
					t.Errorf("%s: %.2f served", key, part)
				}
				if part := float64(res.refused) / float64(res.sent+res.returned); part > bnd.refused {
					t.Errorf("%s: %.2f refused", key, part)
				}
				if 2*res.refusedEarly < res.refused {
					t.Errorf("%s: %d of %d refusals within an eighth of the target", key, res.refusedEarly, res.refused)
				}
				if bnd.refused == 0 && 50*res.late > res.sent {
					t.Errorf("%s: %d after the deadline", key, res.late)
				}
			}
			if name == "no shortage" && mod.events > 0 {
				t.Errorf("%d decisions", mod.events)
			}
		})
	}
}

// TestEarlyDisconnects guards against slots for calls whose callers have left.
func TestEarlyDisconnects(t *testing.T) {
	mod := newModel()
	mod.play(3*time.Second, &arrivals{workspace: "a", rate: constant(2 * usual)})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	before := len(mod.services["svc"].queue)
	tkt, ref := mod.Admit(ctx, mod.request("a", 0, "left"))
	if tkt != nil || ref != nil || len(mod.services["svc"].queue) != before {
		t.Errorf("ticket %v, refusal %v, %d of %d calls wait", tkt, ref, len(mod.services["svc"].queue), before)
	}
}

// TestSurgeAfterRestart guards against refusals because of an empty view of the fleet.
func TestSurgeAfterRestart(t *testing.T) {
	mod := newModel()
	mod.slots = 1
	mod.play(startTime-step, &arrivals{workspace: "a", rate: constant(10 * usual)})
	if mod.events > 0 {
		t.Errorf("%d calls waited or were refused", mod.events)
	}
}
