package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
)

// maxFreeRetries is the maximum number of retries per request that spend no retry budget. For a chat request,
// these are the retries after a crash, a stalled connection or a failure to connect (see mayRetry); for an
// idempotent call, those after a stalled connection.
const maxFreeRetries = 4

// UpstreamError is a client error that the upstream answered; the answer goes to the caller in place of a
// stream.
type UpstreamError struct {
	Answer *router.Answer
}

// Error returns the name of the upstream and the text of its status.
func (upe *UpstreamError) Error() string {
	return "upstream " + upe.Answer.Upstream + " answered " + http.StatusText(upe.Answer.Status)
}

// StreamChat runs a chat request and writes the events of the answer to snk.
//
// The error is nil if snk received the complete answer. Otherwise it is a
// *router.Refusal, a *UpstreamError, or an error which means that the caller is gone.
func (run *Runner) StreamChat(ctx context.Context, cht Chat, snk Sink) (err error) {
	ses := newSession(cht, snk)
	if run.options.Guard.IsQuarantined(ses.digest) {
		return router.Refuse(http.StatusUnprocessableEntity, router.CodeQuarantined,
			"this request is quarantined because upstreams crashed while they ran it")
	}
	run.creditBudgets(cht.Workspace, cht.Pool.Name)
	for {
		res, err := run.runRound(ctx, ses)
		if err != nil {
			return ses.correctOutcome(err)
		}
		retry, err := run.handleResult(ctx, ses, res)
		if !retry {
			return err
		}
		ses.nextRound()
	}
}

// handleResult handles the result of a round and reports whether another round follows.
func (run *Runner) handleResult(ctx context.Context, ses *session, res result) (retry bool, err error) {
	switch res.reason {
	case endCompleted:
		run.options.Guard.Clear(ses.digest)
		return false, nil
	case endClientError:
		return false, &UpstreamError{Answer: res.answer}
	case endCallerGone:
		return false, errors.Join(errCallerGone, context.Cause(ctx))
	case endRecalled, endSlow:
		return run.handleMove(ses, res)
	default:
		return run.handleFailure(ses, res)
	}
}

// handleMove prepares a request that leaves its upstream for another one. If its text became too long in the meantime, nobody can
// continue it.
func (run *Runner) handleMove(ses *session, res result) (retry bool, err error) {
	if !ses.resumable() {
		return run.handleFailure(ses, res)
	}
	if res.reason == endRecalled {
		run.requeue(ses, res.attempt)
		return true, nil
	}
	run.options.Log.Info("stream moved", "Request", ses.chat.ID, "Upstream", res.attempt.grant.Upstream().Name, "Tokens", ses.tokens)
	return true, nil
}

// requeue prepares a recalled request for another wait in the queue. It keeps its arrival time and so its
// place in the queue, unless it has generated LongTokens tokens already: then it queues as if it arrived now.
func (run *Runner) requeue(ses *session, att *attempt) {
	if ses.tokens >= run.options.Live.Get().Policy.LongTokens {
		ses.arrived = run.now()
	}
	run.options.Log.Debug("request recalled", "Request", ses.chat.ID, "Upstream", att.grant.Upstream().Name, "Tokens", ses.tokens)
}

// handleFailure records a crash and reports whether the request is retried.
func (run *Runner) handleFailure(ses *session, res result) (retry bool, err error) {
	ups := res.attempt.grant.Upstream()
	run.options.Log.Warn("attempt failed", "Request", ses.chat.ID, "Upstream", ups.Name, "Crashed", res.crashed, "Error", res.err.Error())
	if res.crashed {
		run.options.OnCrash(guard.Crash{Digest: ses.digest, Upstream: ups.Name, At: run.now()})
	}
	if run.options.Guard.IsQuarantined(ses.digest) {
		return false, ses.correctOutcome(router.RefuseUnknown(router.CodeQuarantined, "upstreams crashed while they ran this request"))
	}
	if !res.stalled() {
		ses.avoid[ups.Name] = true
	}
	if !ses.resumable() || !run.mayRetry(ses, res) {
		return false, ses.correctOutcome(router.Refuse(http.StatusBadGateway, router.CodeUpstream, "upstream %s failed: %v", ups.Name, res.err))
	}
	return true, nil
}

// mayRetry reports whether a failed request gets another attempt.
//
// A retry after a crash, a stalled connection or a failure to connect adds no
// load to the working upstreams beyond that of the request itself. Such retries
// are only bounded in number; all others spend the retry budgets.
func (run *Runner) mayRetry(ses *session, res result) bool {
	if res.crashed || res.stalled() || res.unsent {
		ses.freeRetries++
		return ses.freeRetries <= maxFreeRetries
	}
	return run.spendRetry(ses.chat.Workspace, ses.chat.Pool.Name)
}

// stalled reports whether the attempt failed because its connection stalled.
func (res result) stalled() bool {
	return errors.Is(res.err, errStalled) || errors.Is(res.err, relay.ErrRetired)
}

// correctOutcome makes a refusal state that the outcome is unknown if an upstream may have run the request.
func (ses *session) correctOutcome(err error) error {
	var ref *router.Refusal
	if errors.As(err, &ref) && ses.sent.Load() {
		ref.SetUnknown()
	}
	return err
}

// slot is a granted slot and the hook by which the scheduler recalls it.
type slot struct {
	grant router.Grant
	hook  *recallHook
}

// runRound sends one attempt, and a hedge if the first token is late, and returns the final result.
//
// All attempts have ended when it returns, so none writes to the sink later.
func (run *Runner) runRound(ctx context.Context, ses *session) (res result, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	slt, err := run.acquire(ctx, ses, ses.avoid)
	if err != nil {
		cancel(nil)
		return result{}, err
	}
	fst := ses.newAttempt(ctx, run, slt)
	rnd := newRound(ses, fst)
	go func() { rnd.results <- fst.run() }()
	due, stop := run.hedgeTimer(ses)
	defer stop()
	for {
		select {
		case res = <-rnd.results:
			rnd.inFlight--
			if rnd.recordResult(res) {
				cancel(errSuperseded)
				rnd.drain()
				return rnd.final, nil
			}
		case <-due:
			due = nil
			if ses.winner.Load() == nil {
				rnd.inFlight++
				go run.hedge(ctx, ses, fst, rnd.results)
			}
		}
	}
}

// round is a set of concurrent attempts, the first one and possibly a hedge, of which one wins.
type round struct {
	session  *session
	results  chan result
	inFlight int
	// final is the last result that is not endSuperseded.
	final result
}

func newRound(ses *session, fst *attempt) *round {
	return &round{
		session:  ses,
		results:  make(chan result, 2),
		inFlight: 1,
		final:    result{attempt: fst, reason: endFailed, err: errSuperseded},
	}
}

// recordResult records the result of an attempt and reports whether it ends the round. The round ends when
// the winner ends or no attempt is left; without a winner also when the caller is gone or an upstream
// answered with a client error. In that case it stores noWinner, so that no other attempt can win later.
func (rnd *round) recordResult(res result) bool {
	if res.reason == endSuperseded {
		return rnd.inFlight == 0
	}
	rnd.final = res
	win := &rnd.session.winner
	if win.Load() == res.attempt {
		return true
	}
	switch res.reason {
	case endCallerGone, endClientError:
		return win.CompareAndSwap(nil, noWinner) || rnd.inFlight == 0
	default:
		return rnd.inFlight == 0
	}
}

// drain waits for the results of the attempts that are still in flight.
func (rnd *round) drain() {
	for ; rnd.inFlight > 0; rnd.inFlight-- {
		<-rnd.results
	}
}

// acquire waits for a slot. The scheduler may recall it if the class is recallable and another upstream
// can continue the answer.
func (run *Runner) acquire(ctx context.Context, ses *session, avoid map[string]bool) (slt slot, err error) {
	slt.hook = &recallHook{}
	req := router.SlotRequest{
		RequestID:    ses.chat.ID,
		Workspace:    ses.chat.Workspace,
		Class:        ses.chat.Class,
		Pool:         ses.chat.Pool.Name,
		Avoid:        avoid,
		Affinity:     ses.chat.affinity(),
		Arrived:      ses.arrived,
		Started:      ses.sent.Load(),
		CrashSuspect: run.options.Guard.IsSuspect(ses.digest),
	}
	if ses.chat.Class.Recallable && ses.continuable() {
		hook := slt.hook
		req.Recall = func() {
			if ses.continuable() {
				hook.recall()
			}
		}
	}
	slt.grant, err = run.options.Scheduler.Acquire(ctx, req)
	return slt, err
}

// hedgeDivisor sets the time after which a hedge is sent if no attempt has won: FirstToken/hedgeDivisor.
const hedgeDivisor = 4

// hedgeTimer returns a channel that is closed when it is time to send a hedge, or nil if there is none.
func (run *Runner) hedgeTimer(ses *session) (due <-chan struct{}, stop func()) {
	if run.options.Live.Get().Policy.HedgeShare == 0 || ses.chat.Class.Recallable {
		return nil, func() {}
	}
	rdy := make(chan struct{})
	stop = run.options.Timers.After(ses.chat.Class.FirstToken/hedgeDivisor, func(time.Time) { close(rdy) })
	return rdy, stop
}

// hedge sends a second attempt to another upstream if the hedge budget allows. It always delivers
// exactly one result.
func (run *Runner) hedge(ctx context.Context, ses *session, fst *attempt, results chan<- result) {
	if !run.hedges.Get(ses.chat.Pool.Name).Spend() {
		results <- result{reason: endSuperseded}
		return
	}
	avd := map[string]bool{fst.grant.Upstream().Name: true}
	for nam := range ses.avoid {
		avd[nam] = true
	}
	slt, err := run.acquire(ctx, ses, avd)
	if err != nil {
		results <- result{reason: endSuperseded}
		return
	}
	results <- ses.newAttempt(ctx, run, slt).run()
}
