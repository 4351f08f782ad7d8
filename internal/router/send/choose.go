package send

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

const (
	// maxPermitRequests is the number of upstreams that are asked for a permit that is free at once, before the call goes to one
	// without a rate limit or waits.
	maxPermitRequests = 3
	// shortPermitWait is how long a call waits for a permit while there may be another upstream with room.
	shortPermitWait = 10 * time.Millisecond
	// maxPermitWait bounds the wait for a permit when no other upstream is left; it is also at most permitTargetShare of the
	// target of the route and permitDeadlineShare of the time left.
	maxPermitWait       = 500 * time.Millisecond
	permitTargetShare   = 0.5
	permitDeadlineShare = 0.33
	// waitingPermitRequests is the number of upstreams that are asked for a permit with a wait.
	waitingPermitRequests = 2
	// minRetryAfter is the shortest Retry-After of a call without a permit.
	minRetryAfter = 50 * time.Millisecond
)

// reasonPaused is the reason when the upstreams that are left accept no requests from this node for some time.
const reasonPaused = "pauses of the upstreams"

// reasonRateLimit is the reason when the upstreams that are left accept no more requests at present.
const reasonRateLimit = "rate limits of the upstreams"

// choose selects an upstream for the next attempt and reserves capacity there. For an upstream with a rate limit it gets a
// permit. Upstreams with room go first; if none has any, the call waits for a permit for a short time.
func (act *activeCall) choose(ctx context.Context) (ins router.Instance, rsv *place.Reservation, ok bool) {
	list := act.sender.options.Roster.Available(act.job.Service)
	if !act.sender.options.Terms.AnyLimited() {
		return act.propose(list, func(router.Instance) bool { return false })
	}
	reason := act.reason
	ins, rsv, ok = act.chooseAtOnce(ctx, list)
	if !ok || rsv.Crowded(ins) {
		if alt, altRsv, altOK := act.chooseWaiting(ctx, list); altOK {
			if ok {
				rsv.Release(place.Inconclusive)
			}
			ins, rsv, ok = alt, altRsv, true
		}
	}
	if ok {
		act.reason, act.retryAfter = reason, 0
	}
	return ins, rsv, ok
}

// chooseAtOnce selects the best upstream that has no rate limit, or for which a permit is free.
func (act *activeCall) chooseAtOnce(ctx context.Context, list []router.Instance) (ins router.Instance, rsv *place.Reservation, ok bool) {
	asked := 0
	for {
		ins, rsv, ok = act.propose(list, func(ins router.Instance) bool {
			return act.isLimited(ins) && (asked >= maxPermitRequests || act.permitFreeIn(ins) > shortPermitWait)
		})
		if !ok || act.getPermit(ctx, ins, rsv, shortPermitWait) {
			return ins, rsv, ok
		}
		asked++
	}
}

// chooseWaiting selects the upstream whose next permit is free first, and waits for the permit.
func (act *activeCall) chooseWaiting(ctx context.Context, list []router.Instance) (ins router.Instance, rsv *place.Reservation, ok bool) {
	wait := act.permitWait()
	for range waitingPermitRequests {
		next, delay, fnd := act.nextFree(list)
		if !fnd {
			act.refuseUntilFree(list)
			return router.Instance{}, nil, false
		}
		if delay > wait {
			break
		}
		ins, rsv, ok = act.propose(list, func(ins router.Instance) bool { return !ins.Same(next) })
		if !ok {
			return ins, rsv, false
		}
		if act.getPermit(ctx, ins, rsv, wait) {
			return ins, rsv, true
		}
	}
	act.reason = reasonRateLimit
	if _, delay, fnd := act.nextFree(list); fnd {
		// Callers that were refused together should not come back together.
		act.retryAfter = max(delay, minRetryAfter) + rand.N(max(delay, minRetryAfter)/2)
	}
	return router.Instance{}, nil, false
}

// propose selects an upstream that is usable and that avoid does not exclude.
func (act *activeCall) propose(list []router.Instance, avoid func(ins router.Instance) bool) (ins router.Instance, rsv *place.Reservation, ok bool) {
	ins, rsv, ok = act.sender.options.Balancer.Propose(act.placementRequest(), list, func(ins router.Instance) bool {
		return !act.isUsable(ins) || avoid(ins)
	})
	if !ok {
		act.refuseUntilFree(list)
	}
	return ins, rsv, ok
}

// refuseUntilFree records why no upstream can be chosen. If some only pause, the caller is told when the first one accepts
// requests again.
func (act *activeCall) refuseUntilFree(list []router.Instance) {
	act.reason = reasonNoUpstream
	left := slices.DeleteFunc(slices.Clone(list), func(ins router.Instance) bool { return act.excluded[ins.Key()] })
	if pause := act.commonPause(left); pause > 0 {
		act.reason, act.retryAfter = reasonPaused, pause
	}
}

// commonPause returns how long none of the upstreams accepts requests from this node; zero if one does, or if all are leaving.
func (act *activeCall) commonPause(list []router.Instance) (pause time.Duration) {
	trs := act.sender.options.Terms
	for _, ins := range list {
		if trs.IsLeaving(ins) || trs.IsGone(ins) {
			continue
		}
		left := trs.PauseLeft(ins)
		if left == 0 {
			return 0
		}
		if pause == 0 || left < pause {
			pause = left
		}
	}
	return pause
}

// nextFree returns the upstream with a rate limit whose next permit is free first, and how long that takes.
func (act *activeCall) nextFree(list []router.Instance) (best router.Instance, delay time.Duration, fnd bool) {
	for _, ins := range list {
		if !act.isUsable(ins) || !act.isLimited(ins) {
			continue
		}
		if one := act.permitFreeIn(ins); !fnd || one < delay {
			best, delay, fnd = ins, one, true
		}
	}
	return best, delay, fnd
}

// getPermit gets a permit for an upstream with a rate limit and waits until it is valid. Without one it releases the reservation.
func (act *activeCall) getPermit(ctx context.Context, ins router.Instance, rsv *place.Reservation, wait time.Duration) bool {
	limit := act.sender.options.Terms.RateLimit(ins)
	if limit == 0 {
		return true
	}
	ver := act.sender.options.Permits.Ask(ctx, ins, limit, wait)
	if !ver.Granted {
		rsv.Release(place.Inconclusive)
		return false
	}
	ver.Wait(ctx)
	if !act.isUsable(ins) {
		rsv.Release(place.Inconclusive)
		return false
	}
	return true
}

// permitWait returns how long the call waits for a permit when no upstream has room.
func (act *activeCall) permitWait() time.Duration {
	wait := maxPermitWait
	if tgt := act.job.Route.Target; tgt > 0 {
		wait = min(wait, time.Duration(permitTargetShare*float64(tgt)))
	}
	left := act.deadline().Sub(act.sender.options.Timers.Now())
	return max(0, min(wait, time.Duration(permitDeadlineShare*float64(left))))
}

// isUsable reports whether no attempt of the call failed at an upstream and the upstream accepts new requests.
func (act *activeCall) isUsable(ins router.Instance) bool {
	trs := act.sender.options.Terms
	return !act.excluded[ins.Key()] && !trs.IsLeaving(ins) && !trs.IsGone(ins) && trs.PauseLeft(ins) == 0
}

func (act *activeCall) isLimited(ins router.Instance) bool {
	return act.sender.options.Terms.RateLimit(ins) > 0
}

func (act *activeCall) permitFreeIn(ins router.Instance) time.Duration {
	return act.sender.options.Permits.FreeIn(ins)
}
