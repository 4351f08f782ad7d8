package send

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// stopRetryAfter is the Retry-After of calls that a stopping node refuses. Other nodes accept them at once.
const stopRetryAfter = 50 * time.Millisecond

// errStopping is the cause of the end of calls that are in flight when the node stops.
var errStopping = errors.New("the node stops")

// BeginStop makes the Sender answer all calls at a time, those without a response with the outcome that is known. Until then a
// call is still sent to an upstream if its deadline is earlier.
func (snd *Sender) BeginStop(end time.Time) {
	snd.end.Store(&end)
	snd.options.Timers.After(end.Sub(snd.options.Timers.Now()), func(time.Time) { snd.stop() })
}

// Stopped returns a context that ends at the time given to BeginStop.
func (snd *Sender) Stopped() context.Context {
	return snd.stopped
}

// withStop returns a context that ends with the parent or when the Sender stops, and a function that releases it.
func (snd *Sender) withStop(parent context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(parent)
	forget := context.AfterFunc(snd.stopped, func() { cancel(errStopping) })
	return ctx, func() {
		forget()
		cancel(nil)
	}
}

// stopsBeforeDeadline reports whether the node may stop before an upstream has answered the call.
func (act *activeCall) stopsBeforeDeadline() bool {
	end := act.sender.end.Load()
	return end != nil && end.Before(act.deadline())
}

// finishStopped ends a call whose node stops.
func (act *activeCall) finishStopped() Report {
	if act.reason == "" {
		act.reason = "no attempt"
	}
	act.reason = errStopping.Error() + ": " + act.reason
	if act.responseStarted {
		act.abortResponse()
	}
	if act.outcome() == router.Unknown {
		ref := router.RefuseUnknown(router.CodeNotReady, "the node stopped before the upstream answered")
		ref.Status = http.StatusGatewayTimeout
		return act.refuse(ref)
	}
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeNotReady, "%s", errStopping)
	ref.RetryAfter = stopRetryAfter
	return act.refuse(ref)
}
