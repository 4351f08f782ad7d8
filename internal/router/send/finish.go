package send

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// finishExpired ends a call whose caller disconnected or whose deadline passed.
func (act *activeCall) finishExpired(ctx context.Context) Report {
	if act.reason == "" {
		act.reason = "deadline"
	}
	out := act.outcome()
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		act.reason = "caller left"
		rep := act.report(out)
		rep.CallerLeft = true
		return rep
	}
	act.reason = "time over: " + act.reason
	if act.responseStarted {
		act.abortResponse()
	}
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeDeadline, "the time for the request is over")
	ref.RetryAfter = defaultRetryAfter
	if out == router.Unknown {
		ref = router.RefuseUnknown(router.CodeDeadline, "the upstream did not answer in time")
		ref.Status = http.StatusGatewayTimeout
	}
	return act.refuse(ref)
}

// finishFailed ends a call that may not be retried.
func (act *activeCall) finishFailed() Report {
	if act.responseStarted {
		act.abortResponse()
	}
	if act.outcome() == router.Unknown {
		return act.refuse(router.RefuseUnknown(router.CodeUpstream, "the upstream failed: %s", act.reason))
	}
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeNoUpstream, "not run: %s", act.reason)
	ref.RetryAfter = defaultRetryAfter
	if act.retryAfter == 0 {
		act.retryAfter = act.commonPause(act.sender.options.Roster.Available(act.job.Service))
	}
	if act.retryAfter > 0 {
		ref.RetryAfter = act.retryAfter
	}
	return act.refuse(ref)
}

// outcome returns the outcome of a call that did not complete.
func (act *activeCall) outcome() router.Outcome {
	if act.mayHaveRun {
		return router.Unknown
	}
	return router.NotRun
}

func (act *activeCall) refuse(ref *router.Refusal) Report {
	LimitWrites(act.writer, act.sender.options.Timers)
	WriteRefusal(act.writer, ref)
	act.status = ref.Status
	return act.report(ref.Outcome)
}

// abortResponse aborts a response of which the caller has already received a part.
func (act *activeCall) abortResponse() {
	rep := act.report(router.Unknown)
	act.sender.options.Log.Warn("answer broken off", "Request", act.job.Call.ID, "Route", act.job.Route.Name,
		"Upstream", rep.Upstream, "Sends", rep.Attempts, "Events", rep.Events, "Reason", rep.Reason)
	panic(http.ErrAbortHandler)
}

func (act *activeCall) report(out router.Outcome) Report {
	return Report{
		Outcome:    out,
		Status:     act.status,
		Upstream:   act.upstream,
		Attempts:   act.attempts,
		FirstEvent: act.firstEvent,
		Events:     act.events,
		MaxGap:     act.maxGap,
		Estimate:   act.estimate,
		Reason:     act.reason,
	}
}
