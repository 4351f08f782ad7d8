package admit

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// minCallerTimeout, callerTimeoutTargets and callerTimeoutGaps give the time after which callers leave a stream without a first event: the
	// longest of minCallerTimeout, that many targets and that many gap targets.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	// waitMargin is the part of the expected wait by which a call is refused, and lateWaitMargin that after earlyShare of its target. A
	// refusal costs the caller more then, and an answer that is late still has some worth. With a margin below 1 at first, half of the refusals
	// came after the call had waited for most of its time.
	waitMargin     = 1.0
	lateWaitMargin = 0.5
	earlyShare     = 1.0 / 8
	// firstEventMargin is the part of the expected time to the first event at an upstream by which a call is refused. The load there is
	// known with a delay, and prompts behind the call count in part.
	firstEventMargin = 0.75
	// probeInterval is the time after which a call is sent although none seems to have a chance.
	probeInterval = time.Second
)

// The reasons of refusals.
const (
	reasonDeadline      = "it can't end before its deadline"
	reasonCallerTimeout = "its first event would come after its caller left"
)

// callerTimeout returns how long after its arrival the caller of a stream waits for the first event; zero means until the deadline.
func (wai *waiter) callerTimeout() time.Duration {
	if !wai.Route.Stream {
		return 0
	}
	return max(minCallerTimeout, callerTimeoutTargets*wai.Route.Target, callerTimeoutGaps*wai.Route.GapTarget)
}

// leastWait returns the part of the expected wait in the queue by which a call is refused.
func (wai *waiter) leastWait(wait time.Duration, now time.Time) time.Duration {
	if now.Sub(wai.entered) <= time.Duration(earlyShare*float64(wai.target())) {
		return time.Duration(waitMargin * float64(wait))
	}
	return time.Duration(lateWaitMargin * float64(wait))
}

// rejectReasonAt returns why a call has no chance by an estimate, or an empty string if it has one.
func (wai *waiter) rejectReasonAt(est router.UpstreamEstimate, now time.Time) (reason string) {
	return wai.rejectReason(time.Duration(firstEventMargin*float64(est.FirstEvent)), est.EventGap, now)
}

// rejectReason returns why a call has no chance, or an empty string if it has one. wait is its time to the first event at least.
func (wai *waiter) rejectReason(wait, gap time.Duration, now time.Time) (reason string) {
	first := now.Add(wait)
	out := wai.service.outputs.duration(wai.Call.OutputTokens, gap)
	if first.Add(out).After(wai.Deadline) {
		return reasonDeadline
	}
	if tmo := wai.callerTimeout(); tmo > 0 && first.Sub(wai.Call.Arrived) > tmo {
		return reasonCallerTimeout
	}
	return ""
}

// turn is when a call was sent: the number of calls sent before it, and the time.
type turn struct {
	sends int
	at    time.Time
}

// isOver reports whether minShare calls were sent since the turn, or probeInterval has passed.
func (ser *service) isOver(trn turn, now time.Time) bool {
	return ser.sends-trn.sends >= minShare-1 || now.Sub(trn.at) >= probeInterval
}

// spared reports whether a call without a chance is sent nevertheless, because none of its tier, workspace or size was among the last
// minShare. The estimates are corrected by it. One of minShare calls is sent that way.
func (ser *service) spared(wai *waiter, now time.Time) bool {
	if wai.spared || !ser.isOver(ser.lastSpared, now) {
		return wai.spared
	}
	for _, grp := range wai.groups() {
		wai.spared = wai.spared || ser.isOver(ser.turns[grp], now)
	}
	if wai.spared {
		ser.lastSpared = turn{sends: ser.sends, at: now}
	}
	return wai.spared
}

// recordSend counts a call that is sent.
func (ser *service) recordSend(wai *waiter, now time.Time) {
	if ser.turns == nil {
		ser.turns = make(map[group]turn)
	}
	ser.sends++
	for _, grp := range wai.groups() {
		ser.turns[grp] = turn{sends: ser.sends, at: now}
	}
}
