package send

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

// maxUnfit is the number of upstreams that are tried for a call that can't end in time at them.
const maxUnfit = 3

// admit waits until the call may be sent for the first time. If it returns false, refusal is set, or the context has ended.
func (act *activeCall) admit(ctx context.Context) bool {
	adm := act.sender.options.Admission
	if adm == nil || act.ticket != nil {
		return true
	}
	act.ticket, act.refusal = adm.Admit(ctx, router.AdmissionRequest{
		Call:      act.job.Call,
		Route:     act.job.Route,
		Service:   act.job.Service,
		Workspace: act.job.Workspace,
		Tier:      act.job.Tier,
		Deadline:  act.deadline(),
		Digest:    act.digest,
	})
	if act.refusal != nil {
		act.reason = act.refusal.Message
	}
	return act.ticket != nil
}

// finishUnadmitted ends a call whose context ended before it was sent.
func (act *activeCall) finishUnadmitted(ctx context.Context) Report {
	if errors.Is(context.Cause(ctx), errStopping) {
		return act.finishStopped()
	}
	return act.finishExpired(ctx)
}

// chooseFitting is choose for an upstream at which the call can end in time. A call that fits nowhere is refused, unless something of
// it was sent before.
func (act *activeCall) chooseFitting(ctx context.Context) (ins router.Instance, rsv *place.Reservation, ok bool) {
	if act.ticket == nil || act.attempts > 0 || act.replacements > 0 || act.mayHaveRun {
		return act.choose(ctx)
	}
	reason := act.reason
	var unfit []string
	for len(unfit) < maxUnfit {
		ins, rsv, ok = act.choose(ctx)
		if !ok || act.ticket.Check(router.UpstreamEstimate{FirstEvent: rsv.FirstEvent, EventGap: rsv.EventGap}) {
			break
		}
		rsv.Release(place.Inconclusive)
		unfit = append(unfit, ins.Key())
		act.excluded[ins.Key()] = true
	}
	for _, key := range unfit {
		delete(act.excluded, key)
	}
	if len(unfit) == 0 || ok && len(unfit) < maxUnfit {
		return ins, rsv, ok
	}
	if act.refusal = act.ticket.Refuse(); act.refusal != nil {
		act.reason = act.refusal.Message
		return router.Instance{}, nil, false
	}
	act.reason, act.retryAfter = reason, 0
	return act.choose(ctx)
}

// recordStart tells the admission that the call is sent.
func (act *activeCall) recordStart(rsv *place.Reservation) {
	if act.ticket != nil {
		act.ticket.Start(rsv.PrefillTokens)
	}
}

// leave tells the admission that the call has ended.
func (act *activeCall) leave() {
	if act.ticket == nil {
		return
	}
	output := time.Duration(0)
	if act.complete && act.job.Route.Stream && act.attempts == 1 {
		cal := act.job.Call
		output = act.sender.options.Timers.Now().Sub(cal.Arrived) - act.firstEvent
	}
	act.ticket.End(output)
}
