package admit

import (
	"context"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// startTime is how long after its start a node neither delays nor refuses calls. Its view of the fleet is empty.
	startTime = 2 * time.Second
	// tickPeriod is the time between two looks at the waiting calls.
	tickPeriod = 20 * time.Millisecond
	// shortInterval is the shortest time between two lines about a shortage.
	shortInterval = time.Second
	// maxPeerWaiting bounds the number of waiting calls that a peer reports for a tier.
	maxPeerWaiting = 1 << 16
)

// Options are the dependencies of a Controller.
type Options struct {
	Timers router.Timers
	Log    *slog.Logger
	// View returns the load of a service.
	View func(service string) router.ServiceView
	// OnEvent counts a decision by name; nil for none.
	OnEvent func(name string)
}

// Controller implements router.Admission. It is safe for concurrent use.
type Controller struct {
	options Options
	began   time.Time

	mut      sync.Mutex
	services map[string]*service
	// ticking is set while a tick is due.
	ticking bool
}

// New returns a Controller of a node that has just started.
func New(opt Options) *Controller {
	if opt.OnEvent == nil {
		opt.OnEvent = func(string) {}
	}
	return &Controller{options: opt, began: opt.Timers.Now(), services: make(map[string]*service)}
}

// Admit implements router.Admission.
func (ctl *Controller) Admit(ctx context.Context, req router.AdmissionRequest) (tkt router.AdmissionTicket, ref *router.Refusal) {
	wai := ctl.enter(req)
	select {
	case <-wai.decided:
	default:
		select {
		case <-wai.decided:
		case <-ctx.Done():
			if ctl.abandon(wai) {
				return nil, nil
			}
		}
	}
	if wai.refusal != nil {
		return nil, wai.refusal
	}
	return wai, nil
}

// enter starts, queues or refuses a call.
func (ctl *Controller) enter(req router.AdmissionRequest) (wai *waiter) {
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	now := ctl.options.Timers.Now()
	req.Tier = min(max(0, req.Tier), maxTier)
	ser := ctl.services[req.Service]
	if ser == nil {
		ser = &service{name: req.Service, peers: make(map[string]tierCounts)}
		ctl.services[req.Service] = ser
	}
	wai = &waiter{AdmissionRequest: req, controller: ctl, service: ser, entered: now, decided: make(chan struct{})}
	wai.early = ser.returns.early(req.Digest, now)
	ser.uses.arrive(wai.account(), now)
	ser.refresh(ctl.options.View, now)
	if now.Sub(ctl.began) < startTime || ser.admits(req.Tier) {
		ctl.start(wai, now)
		return wai
	}
	wai.setRank(ser.uses.exceeds(wai.account(), now))
	all, same := ser.ahead(wai)
	wait := ser.wait(wai, all, same, ser.rateFor(wai.Tier, wai.rank, now))
	if reason := wai.rejectReason(wai.leastWait(wait, now), ser.outputs.gap, now); reason != "" && !ser.idle() && !ser.spared(wai, now) {
		ctl.refuse(wai, reason, wait, now)
		return wai
	}
	if len(ser.queue) == 0 {
		ser.credit, ser.creditAt = 0, now
	}
	ser.push(wai)
	ctl.options.OnEvent("admission_waited")
	ctl.setShort(ser, true)
	ctl.schedule()
	return wai
}

// start lets a call pass; the lock is held.
func (ctl *Controller) start(wai *waiter, now time.Time) {
	wai.begun = now
	wai.service.running++
	wai.service.started++
	close(wai.decided)
}

// refuse refuses a call that was not sent; the lock is held.
func (ctl *Controller) refuse(wai *waiter, reason string, wait time.Duration, now time.Time) {
	ser := wai.service
	wai.refusal = ctl.refusal(wai, reason, wait, now)
	ctl.setShort(ser, true)
	close(wai.decided)
}

// refusal returns the refusal of a call, with the time at which its caller should come back; the lock is held.
func (ctl *Controller) refusal(wai *waiter, reason string, wait time.Duration, now time.Time) (ref *router.Refusal) {
	ser := wai.service
	own, rate, _ := ser.drain.rates(ser.running, ser.view.Running, now)
	waiting, peers := ser.waiting(math.MaxInt)
	left := max(0, wai.Deadline.Sub(now))
	ref = router.Refuse(http.StatusServiceUnavailable, router.CodeShed, "not run: the service is short of capacity, %s", reason)
	queued := time.Duration(float64(waiting+peers) / max(rate, 1) * float64(time.Second))
	ref.RetryAfter = ser.returns.next(wai.Digest, queued, own, left, now)
	ctl.options.OnEvent("admission_refused")
	ctl.options.Log.Info("call refused for load", "Request", wai.Call.ID, "Service", ser.name, "Workspace", wai.Workspace, "Tier", wai.Tier, "Reason", reason,
		"WaitMs", wait.Milliseconds(), "WaitedMs", now.Sub(wai.entered).Milliseconds(), "LeftMs", left.Milliseconds(), "HintTokens", wai.Call.OutputTokens,
		"OutputMs", ser.outputs.duration(wai.Call.OutputTokens, ser.outputs.gap).Milliseconds(), "Slots", ser.view.Slots, "Running", ser.view.Running,
		"Waiting", waiting, "WaitingAtPeers", peers, "DrainPerS", math.Round(rate), "Early", wai.early, "RetryMs", ref.RetryAfter.Milliseconds())
	return ref
}

// setShort logs that a service is short of capacity, or no longer; the lock is held.
func (ctl *Controller) setShort(ser *service, short bool) {
	now := ctl.options.Timers.Now()
	if ser.short == short || now.Sub(ser.shortAt) < shortInterval {
		return
	}
	ser.short, ser.shortAt = short, now
	ctl.options.Log.Info("shortage of capacity", "Service", ser.name, "Short", short, "Slots", ser.view.Slots, "Running", ser.view.Running)
}

// abandon removes a call whose caller left, and reports whether it was still waiting.
func (ctl *Controller) abandon(wai *waiter) bool {
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	return wai.service.remove(wai)
}

// schedule makes the next tick due; the lock is held.
func (ctl *Controller) schedule() {
	if ctl.ticking {
		return
	}
	ctl.ticking = true
	ctl.options.Timers.After(tickPeriod, ctl.tick)
}

// tick starts and refuses waiting calls.
func (ctl *Controller) tick(now time.Time) {
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	ctl.ticking = false
	for _, ser := range ctl.services {
		if len(ser.queue) == 0 {
			continue
		}
		ser.refresh(ctl.options.View, now)
		ser.order(now)
		ctl.dispatch(ser, now)
		ctl.shed(ser, now)
		if len(ser.queue) > 0 {
			ctl.schedule()
		} else {
			ctl.setShort(ser, false)
		}
	}
}

// dispatch starts the calls of an ordered queue that may start; the lock is held.
func (ctl *Controller) dispatch(ser *service, now time.Time) {
	ser.accrue(now)
	for {
		wai, shared := ser.peek()
		if wai == nil || !ser.mayStart(wai, now) {
			return
		}
		ser.remove(wai)
		ser.credit = max(0, ser.credit-1)
		ser.shares.record(wai, ser.queue, shared)
		ctl.start(wai, now)
	}
}

// shed refuses the calls of an ordered queue that have no chance; the lock is held.
func (ctl *Controller) shed(ser *service, now time.Time) {
	pos, same := 0, make(map[account]int)
	rates := make(map[[2]int]float64)
	ser.queue = slices.DeleteFunc(ser.queue, func(wai *waiter) bool {
		key := [2]int{wai.Tier, wai.rank}
		if _, fnd := rates[key]; !fnd {
			rates[key] = ser.rateFor(wai.Tier, wai.rank, now)
		}
		wait := ser.wait(wai, pos, same[wai.account()], rates[key])
		if reason := wai.rejectReason(wai.leastWait(wait, now), ser.outputs.gap, now); reason != "" && !ser.spared(wai, now) {
			ser.own[wai.Tier]--
			ctl.refuse(wai, reason, wait, now)
			return true
		}
		pos++
		same[wai.account()]++
		return false
	})
}

// Check implements router.AdmissionTicket.
func (wai *waiter) Check(est router.UpstreamEstimate) (fits bool) {
	ctl, ser := wai.controller, wai.service
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	now := ctl.options.Timers.Now()
	wai.gap = est.EventGap
	if est.EventGap > 0 {
		ser.outputs.observeGap(est.EventGap)
	}
	if wai.estimate.FirstEvent == 0 || est.FirstEvent < wai.estimate.FirstEvent {
		wai.estimate = est
	}
	return wai.spared || ser.view.Slots == 0 || now.Sub(ctl.began) < startTime || ser.idle() || wai.rejectReasonAt(est, now) == ""
}

// Refuse implements router.AdmissionTicket.
func (wai *waiter) Refuse() (ref *router.Refusal) {
	ctl, ser := wai.controller, wai.service
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	now := ctl.options.Timers.Now()
	if ser.spared(wai, now) {
		return nil
	}
	reason := wai.rejectReasonAt(wai.estimate, now)
	if reason == "" {
		reason = reasonDeadline
	}
	return ctl.refusal(wai, reason, wai.estimate.FirstEvent, now)
}

// Start implements router.AdmissionTicket.
func (wai *waiter) Start(prefillTokens int) {
	ctl, ser := wai.controller, wai.service
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	now := ctl.options.Timers.Now()
	wai.sent = true
	ser.recordSend(wai, now)
	ser.uses.add(wai.account(), prefillTokens+wai.Call.OutputTokens, now)
}

// End implements router.AdmissionTicket.
func (wai *waiter) End(output time.Duration) {
	ctl, ser := wai.controller, wai.service
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	if wai.ended {
		return
	}
	wai.ended = true
	now := ctl.options.Timers.Now()
	ser.running--
	ser.started--
	if wai.sent {
		ser.outputs.add(output, wai.Call.OutputTokens, wai.gap)
		ser.drain.add(now.Sub(wai.begun), now)
	}
	if len(ser.queue) > 0 {
		if ser.free() <= 0 {
			ser.addCredit(replaceShare)
		}
		ctl.dispatch(ser, now)
	} else if ser.admits(math.MaxInt) {
		ctl.setShort(ser, false)
	}
}

// LocalWaiting returns the number of waiting calls by tier, by the hash of the service's name.
func (ctl *Controller) LocalWaiting() (nums map[uint64][]int) {
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	nums = make(map[uint64][]int)
	for name, ser := range ctl.services {
		if len(ser.queue) == 0 {
			continue
		}
		one := slices.Clone(ser.own[:])
		for len(one) > 1 && one[len(one)-1] == 0 {
			one = one[:len(one)-1]
		}
		nums[xxhash.Sum64String(name)] = one
	}
	return nums
}

// SetPeerWaiting replaces the number of calls that wait at a peer, as LocalWaiting returns it; nil removes the peer.
func (ctl *Controller) SetPeerWaiting(peer string, nums map[uint64][]int) {
	ctl.mut.Lock()
	defer ctl.mut.Unlock()
	for name, ser := range ctl.services {
		ser.setPeer(peer, nums[xxhash.Sum64String(name)])
	}
}
