package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/order"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/strict"
)

// ServiceCall is an admitted call of a plain HTTP service.
type ServiceCall struct {
	ID        string
	Workspace string
	Class     router.Class
	Pool      router.Pool
	Call      relay.Call
	Arrived   time.Time
}

func (svc ServiceCall) slotRequest() router.SlotRequest {
	return router.SlotRequest{
		RequestID: svc.ID,
		Workspace: svc.Workspace,
		Class:     svc.Class,
		Pool:      svc.Pool.Name,
		Arrived:   svc.Arrived,
	}
}

// RunIdempotent runs an idempotent call. The error is a *router.Refusal or the error of the context.
func (run *Runner) RunIdempotent(ctx context.Context, svc ServiceCall) (ans *router.Answer, err error) {
	run.creditBudgets(svc.Workspace, svc.Pool.Name)
	return run.sendWithRetries(ctx, svc.slotRequest(), svc.Call)
}

// sendWithRetries sends an idempotent call until an upstream answers, with any status, or the retry budgets
// are spent. A retry after a stalled connection spends no budget during the first maxFreeRetries failures.
func (run *Runner) sendWithRetries(ctx context.Context, req router.SlotRequest, cal relay.Call) (ans *router.Answer, err error) {
	req.Avoid = make(map[string]bool)
	failures := 0
	for {
		grt, err := run.options.Scheduler.Acquire(ctx, req)
		if err != nil {
			return nil, correctOutcome(err, req.Started)
		}
		res := run.sendWatched(ctx, grt, cal, req.Class)
		if res.Err == nil {
			return res.Answer, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		ups := grt.Upstream().Name
		run.options.Log.Warn("call failed", "Request", req.RequestID, "Upstream", ups, "Error", res.Err.Error())
		req.Started = req.Started || !res.Unsent
		stalled := errors.Is(res.Err, relay.ErrRetired)
		req.Avoid[ups] = !stalled
		if failures++; stalled && failures <= maxFreeRetries {
			continue
		}
		if !run.spendRetry(req.Workspace, req.Pool) {
			ref := router.Refuse(http.StatusBadGateway, router.CodeUpstream, "upstream %s failed: %v", ups, res.Err)
			return nil, correctOutcome(ref, req.Started)
		}
	}
}

// sendWatched is sendOnce for an idempotent call. If the answer takes longer than
// StallAfter and twice the class's first-token target while a new connection to the
// upstream works, the upstream's existing connections are retired, which fails the
// call so that it is retried.
func (run *Runner) sendWatched(ctx context.Context, grt router.Grant, cal relay.Call, cls router.Class) order.SendResult {
	ups := grt.Upstream()
	limit := max(run.options.Live.Get().Policy.StallAfter, 2*cls.FirstToken)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := run.options.Timers.After(limit, func(time.Time) {
		if run.options.Relay.Probe(ctx, ups) == nil && ctx.Err() == nil {
			run.options.Log.Warn("call stalled", "Upstream", ups.Name)
			run.options.Relay.Retire(ups)
		}
	})
	defer stop()
	return run.sendOnce(ctx, grt, cal)
}

// sendOnce sends a call on a granted slot, reads the complete answer and releases the slot.
func (run *Runner) sendOnce(ctx context.Context, grt router.Grant, cal relay.Call) (res order.SendResult) {
	defer func() {
		grt.Release(router.Result{Failed: res.Err != nil})
	}()
	ups := grt.Upstream()
	ctx, cancel := context.WithTimeout(ctx, run.options.Live.Get().Limits.OrderTimeout)
	defer cancel()
	rsp, sent, err := run.options.Relay.Send(ctx, ups, cal)
	if err != nil {
		return order.SendResult{Unsent: !sent, Err: err}
	}
	defer rsp.Body.Close()
	bdy, err := strict.ReadAll(rsp.Body, run.options.Live.Get().Limits.AnswerBytes)
	if err != nil {
		return order.SendResult{Err: err}
	}
	return order.SendResult{Answer: &router.Answer{Status: rsp.Status, Header: rsp.Header, Body: bdy, Upstream: ups.Name}}
}

// RunOrder runs a non-idempotent call at most once.
//
// The error is a *router.Refusal whose outcome states whether the call ran, or the
// error of the context if the caller disconnected before the order was claimed.
func (run *Runner) RunOrder(ctx context.Context, svc ServiceCall, ord router.Order) (ans *router.Answer, err error) {
	att := order.Attempt{Order: ord, Nonce: uuid.NewString(), Node: run.options.Node}
	ans, err = run.options.Ledger.Lookup(ctx, att)
	if ans != nil || err != nil {
		return ans, err
	}
	grt, err := run.options.Scheduler.Acquire(ctx, svc.slotRequest())
	if err != nil {
		return nil, err
	}
	defer grt.Release(router.Result{})
	att.Deadline = run.now().Add(run.options.Live.Get().Limits.OrderTimeout)
	cal := svc.Call
	cal.AtMostOnce = true
	// The order is completed even if the caller disconnects, so that a repeated call gets its answer.
	ctx = context.WithoutCancel(ctx)
	return run.options.Ledger.Run(ctx, att, func() order.SendResult { return run.sendOnce(ctx, grt, cal) })
}

// correctOutcome makes a refusal state that the outcome is unknown if an upstream may have run the call.
func correctOutcome(err error, started bool) error {
	var ref *router.Refusal
	if started && errors.As(err, &ref) {
		ref.SetUnknown()
	}
	return err
}
