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

// maxLosses is how many crashes or silent connections one request survives.
const maxLosses = 4

// Served is an upstream's own reply that is passed to the caller in place of a stream.
type Served struct {
	Answer *router.Answer
}

// Error names the upstream's status.
func (srv *Served) Error() string {
	return "upstream " + srv.Answer.Upstream + " answered " + http.StatusText(srv.Answer.Status)
}

// Chat carries a chat request to the end of its answer.
//
// The error is nil when the sink got the whole answer; else it is a
// *router.Refusal, a *Served, or the context's error.
func (run *Runner) Chat(ctx context.Context, cht Chat, snk Sink) (err error) {
	ses := newSession(cht, snk)
	if run.options.Guard.IsQuarantined(ses.digest) {
		return router.Refuse(http.StatusUnprocessableEntity, router.CodeQuarantined,
			"this request is quarantined because upstreams crashed while they ran it")
	}
	run.earn(cht.Workspace, cht.Pool.Name)
	for {
		res, err := run.round(ctx, ses)
		if err != nil {
			return ses.refuse(err)
		}
		again, err := run.conclude(ctx, ses, res)
		if !again {
			return err
		}
		ses.nextRound()
	}
}

// conclude decides what follows an attempt, and whether there is another.
func (run *Runner) conclude(ctx context.Context, ses *session, res result) (again bool, err error) {
	switch res.ending {
	case endDone:
		run.options.Guard.Clear(ses.digest)
		return false, nil
	case endRefused:
		return false, &Served{Answer: res.answer}
	case endCaller:
		return false, errors.Join(errCaller, context.Cause(ctx))
	case endRecalled:
		run.requeue(ses, res.attempt)
		return true, nil
	case endSlow:
		run.options.Log.Info("stream moved", "Request", ses.chat.ID, "Upstream", res.attempt.grant.Upstream().Name, "Tokens", ses.tokens)
		return true, nil
	default:
		return run.afterFailure(ses, res)
	}
}

// requeue sends a recalled request back to its place; a long one goes behind those that waited meanwhile.
func (run *Runner) requeue(ses *session, att *attempt) {
	if ses.tokens >= run.options.Live.Get().Policy.LongTokens {
		ses.arrived = run.now()
	}
	run.options.Log.Debug("request recalled", "Request", ses.chat.ID, "Upstream", att.grant.Upstream().Name, "Tokens", ses.tokens)
}

func (run *Runner) afterFailure(ses *session, res result) (again bool, err error) {
	ups := res.attempt.grant.Upstream()
	run.options.Log.Warn("attempt failed", "Request", ses.chat.ID, "Upstream", ups.Name, "Crashed", res.crashed, "Error", res.err.Error())
	if res.crashed {
		run.options.Strike(guard.Crash{Digest: ses.digest, Upstream: ups.Name, At: run.now()})
	}
	if run.options.Guard.IsQuarantined(ses.digest) {
		return false, ses.refuse(router.RefuseUnknown(router.CodeQuarantined, "upstreams crashed while they ran this request"))
	}
	if !res.silent() {
		ses.avoid[ups.Name] = true
	}
	if !ses.resumable() || !run.mayRetry(ses, res) {
		return false, ses.refuse(router.Refuse(http.StatusBadGateway, router.CodeUpstream, "upstream %s failed: %v", ups.Name, res.err))
	}
	return true, nil
}

// mayRetry reports whether a failed request gets another attempt.
//
// Requests that a crash or a silent connection cut off, or that found no
// connection, put no load on what still works beyond their own, so their number
// alone is bounded; all other retries spend the budgets.
func (run *Runner) mayRetry(ses *session, res result) bool {
	if res.crashed || res.silent() || res.unsent {
		ses.losses++
		return ses.losses <= maxLosses
	}
	return run.retry(ses.chat.Workspace, ses.chat.Pool.Name)
}

// silent reports whether the attempt failed because its connection fell silent.
func (res result) silent() bool {
	return errors.Is(res.err, errStalled) || errors.Is(res.err, relay.ErrRetired)
}

// refuse corrects a refusal's outcome: what an upstream may have run is never told as NotRun.
func (ses *session) refuse(err error) error {
	var ref *router.Refusal
	if errors.As(err, &ref) && ses.sent.Load() {
		ref.Outcome = router.Unknown
	}
	return err
}

// slot is a grant with the hook by which it can be recalled.
type slot struct {
	grant router.Grant
	hook  *recallHook
}

// round makes one attempt, and a hedge if the first token is late, and returns how the round ended.
//
// All its attempts have ended when it returns, so none writes to the sink later.
func (run *Runner) round(ctx context.Context, ses *session) (res result, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	slt, err := run.acquire(ctx, ses, ses.avoid)
	if err != nil {
		cancel(nil)
		return result{}, err
	}
	fst := ses.newAttempt(ctx, run, slt)
	rnd := newRound(ses, fst)
	go func() { rnd.results <- fst.run() }()
	due, stop := run.hedgeDue(ses)
	defer stop()
	for {
		select {
		case res = <-rnd.results:
			rnd.live--
			if rnd.over(res) {
				cancel(errLost)
				rnd.drain()
				return rnd.last, nil
			}
		case <-due:
			due = nil
			if ses.winner.Load() == nil {
				rnd.live++
				go run.hedge(ctx, ses, fst, rnd.results)
			}
		}
	}
}

// round is the attempts that compete for a session's next token.
type round struct {
	session *session
	results chan result
	live    int
	// last is how the last attempt ended that did not lose to another.
	last result
}

func newRound(ses *session, fst *attempt) *round {
	return &round{
		session: ses,
		results: make(chan result, 2),
		live:    1,
		last:    result{attempt: fst, ending: endFailed, err: errLost},
	}
}

// over reports whether a result ends the round; it then seals the round, so that no attempt wins it later.
func (rnd *round) over(res result) bool {
	if res.ending == endLost {
		return rnd.live == 0
	}
	rnd.last = res
	win := &rnd.session.winner
	if win.Load() == res.attempt {
		return true
	}
	switch res.ending {
	case endCaller, endRefused:
		return win.CompareAndSwap(nil, sealed) || rnd.live == 0
	default:
		return rnd.live == 0
	}
}

func (rnd *round) drain() {
	for ; rnd.live > 0; rnd.live-- {
		<-rnd.results
	}
}

// acquire waits for a slot; a recallable class may have it asked back.
func (run *Runner) acquire(ctx context.Context, ses *session, avoid map[string]bool) (slt slot, err error) {
	slt.hook = &recallHook{}
	ask := router.SlotRequest{
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
	if ses.chat.Class.Recallable && ses.single && ses.chat.Pool.Extensions {
		ask.Recall = slt.hook.fire
	}
	slt.grant, err = run.options.Scheduler.Acquire(ctx, ask)
	return slt, err
}

// hedgePart is the part of the first token's target after which a second attempt is made.
const hedgePart = 4

// hedgeDue returns a channel that is ready when the first token is late by a part of its target.
func (run *Runner) hedgeDue(ses *session) (due <-chan struct{}, stop func()) {
	if run.options.Live.Get().Policy.HedgeShare == 0 || ses.chat.Class.Recallable {
		return nil, func() {}
	}
	rdy := make(chan struct{})
	stop = run.options.Timers.After(ses.chat.Class.FirstToken/hedgePart, func(time.Time) { close(rdy) })
	return rdy, stop
}

// hedge starts a second attempt on another upstream if the budget allows; it always sends one result.
func (run *Runner) hedge(ctx context.Context, ses *session, fst *attempt, ress chan<- result) {
	if !run.hedges.Get(ses.chat.Pool.Name).Spend() {
		ress <- result{ending: endLost}
		return
	}
	avd := map[string]bool{fst.grant.Upstream().Name: true}
	for nam := range ses.avoid {
		avd[nam] = true
	}
	slt, err := run.acquire(ctx, ses, avd)
	if err != nil {
		ress <- result{ending: endLost}
		return
	}
	ress <- ses.newAttempt(ctx, run, slt).run()
}
