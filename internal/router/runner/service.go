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
)

// Visit is a call of a plain service that was admitted.
type Visit struct {
	ID        string
	Workspace string
	Class     router.Class
	Pool      router.Pool
	Call      relay.Call
	Arrived   time.Time
}

func (vis Visit) ask() router.SlotRequest {
	return router.SlotRequest{
		RequestID: vis.ID,
		Workspace: vis.Workspace,
		Class:     vis.Class,
		Pool:      vis.Pool.Name,
		Arrived:   vis.Arrived,
	}
}

// Lookup carries an idempotent call; the error is a *router.Refusal or the context's.
func (run *Runner) Lookup(ctx context.Context, vis Visit) (ans *router.Answer, err error) {
	run.earn(vis.Workspace, vis.Pool.Name)
	return run.repeat(ctx, vis.ask(), vis.Call)
}

// repeat sends an idempotent call until an upstream answers or the budgets are spent.
func (run *Runner) repeat(ctx context.Context, ask router.SlotRequest, cal relay.Call) (ans *router.Answer, err error) {
	ask.Avoid = make(map[string]bool)
	losses := 0
	for {
		grt, err := run.options.Scheduler.Acquire(ctx, ask)
		if err != nil {
			return nil, startedOutcome(err, ask.Started)
		}
		res := run.watched(ctx, grt, cal, ask.Class)
		if res.Err == nil {
			return res.Answer, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		ups := grt.Upstream().Name
		run.options.Log.Warn("call failed", "Request", ask.RequestID, "Upstream", ups, "Error", res.Err.Error())
		ask.Started = ask.Started || !res.Unsent
		silent := errors.Is(res.Err, relay.ErrRetired)
		ask.Avoid[ups] = !silent
		if losses++; silent && losses <= maxLosses {
			continue
		}
		if !run.retry(ask.Workspace, ask.Pool) {
			ref := router.Refuse(http.StatusBadGateway, router.CodeUpstream, "upstream %s failed: %v", ups, res.Err)
			return nil, startedOutcome(ref, ask.Started)
		}
	}
}

// watched is once for a call that may be sent again: when no answer comes for
// too long and a fresh connection works, the upstream's connections are retired.
func (run *Runner) watched(ctx context.Context, grt router.Grant, cal relay.Call, cls router.Class) order.SendResult {
	ups := grt.Upstream()
	pat := max(run.options.Live.Get().Policy.StallAfter, 2*cls.FirstToken)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := run.options.Timers.After(pat, func(time.Time) {
		if run.options.Relay.Probe(ctx, ups) == nil && ctx.Err() == nil {
			run.options.Log.Warn("call stalled", "Upstream", ups.Name)
			run.options.Relay.Retire(ups)
		}
	})
	defer stop()
	return run.once(ctx, grt, cal)
}

// once sends a call on a granted slot, reads the whole answer and returns the slot.
func (run *Runner) once(ctx context.Context, grt router.Grant, cal relay.Call) (res order.SendResult) {
	defer func() {
		grt.Release(router.Result{Failed: res.Err != nil})
	}()
	ups := grt.Upstream()
	ctx, cancel := context.WithTimeout(ctx, run.options.Live.Get().Limits.OrderTimeout)
	defer cancel()
	rep, got, err := run.options.Relay.Send(ctx, ups, cal)
	if err != nil {
		return order.SendResult{Unsent: !got, Err: err}
	}
	defer rep.Body.Close()
	bdy, err := readWhole(rep.Body, run.options.Live.Get().Limits.AnswerBytes)
	if err != nil {
		return order.SendResult{Err: err}
	}
	return order.SendResult{Answer: &router.Answer{Status: rep.Status, Header: rep.Header, Body: bdy, Upstream: ups.Name}}
}

// Order carries a non-idempotent call and runs it at most once.
//
// The error is a *router.Refusal whose outcome says whether it ran, or the
// context's error if the caller left before the order was claimed.
func (run *Runner) Order(ctx context.Context, vis Visit, ord router.Order) (ans *router.Answer, err error) {
	att := order.Attempt{Order: ord, Nonce: uuid.NewString(), Node: run.options.Node}
	ans, err = run.options.Ledger.Lookup(ctx, att)
	if ans != nil || err != nil {
		return ans, err
	}
	grt, err := run.options.Scheduler.Acquire(ctx, vis.ask())
	if err != nil {
		return nil, err
	}
	defer grt.Release(router.Result{})
	att.Deadline = run.now().Add(run.options.Live.Get().Limits.OrderTimeout)
	cal := vis.Call
	cal.Once = true
	// The caller may leave now; the order is finished for its repeat.
	ctx = context.WithoutCancel(ctx)
	return run.options.Ledger.Run(ctx, att, func() order.SendResult { return run.once(ctx, grt, cal) })
}

func startedOutcome(err error, started bool) error {
	var ref *router.Refusal
	if started && errors.As(err, &ref) {
		ref.Outcome = router.Unknown
	}
	return err
}
