package send

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
)

// attempt chooses an upstream, sends the call to it once and relays its response.
func (act *activeCall) attempt(ctx context.Context) (sta attemptState) {
	opt := act.sender.options
	ins, rsv, ok := act.chooseFitting(ctx)
	if !ok {
		return notSent
	}
	rsv.Start()
	act.recordStart(rsv)
	res := place.Inconclusive
	defer func() { rsv.Release(res) }()
	con, err := act.connect(ctx, ins)
	if err != nil {
		act.connectFailures++
		act.excluded[ins.Key()] = true
		act.logFailure("connect failed", ins, err)
		if ctx.Err() == nil {
			res = place.Unreachable
		}
		if showsCrash(err) {
			opt.Terms.ObserveRefusal(ins)
		}
		return notSent
	}
	act.upstream = ins.ID
	act.estimate = rsv.Estimate
	if act.attempts > 0 || act.connectFailures > 0 {
		opt.Log.Info("sent again", "Request", act.job.Call.ID, "Upstream", ins.ID, "Send", act.attempts+1, "After", act.reason)
	}
	act.attempts++
	act.begunAt, act.proven, act.runCounted = time.Time{}, false, false
	sub, cancel := act.attemptContext(ctx)
	defer cancel()
	sta, res = act.exchange(sub, ins, con, rsv)
	if sub.Err() != nil && ctx.Err() == nil {
		// The attempt timed out. The probe ejects the upstream if it is down, so that other calls avoid it.
		res = place.Failed
		go func() { _ = act.sender.probe(act.job.Call.ID, ins) }()
	}
	if sta != completed {
		act.excluded[ins.Key()] = true
	}
	if sta == replaced {
		// Route.Attempts bounds the upstreams that execute a call, and the one that was chosen was not reached.
		act.attempts--
		act.replacements++
	}
	if sta != completed && sta != rejected && sta != replaced {
		act.mayHaveRun = true
	}
	return sta
}

// attemptContext returns the context of one attempt. It has a timeout if the call is idempotent and may still be
// retried on another upstream.
func (act *activeCall) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	rou := act.job.Route
	retryable := rou.Repeat == router.Idempotent && act.attempts < rou.Attempts && rou.Target > 0
	if !retryable || !act.sender.options.Budget.Get(act.job.Service).HasToken() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(attemptTimeoutShare*float64(rou.Target)))
}

func (act *activeCall) placementRequest() place.Request {
	cal := act.job.Call
	return place.Request{
		Service:      act.job.Service,
		Prefixes:     place.SharedPrefixes(cal.Prompt),
		PromptTokens: cal.PromptTokens,
		OutputTokens: cal.OutputTokens,
		Ranks:        act.job.Ranks,
		Target:       act.job.Route.Target,
		GapTarget:    act.job.Route.GapTarget,
		Engine:       act.job.Engine,
	}
}

// connect returns a connection from the pool of an upstream, or a new one.
func (act *activeCall) connect(ctx context.Context, ins router.Instance) (con *conns.Conn, err error) {
	idle := unlimitedIdle
	if act.job.Route.Repeat == router.AtMostOnce {
		idle = atMostOnceMaxIdle
	}
	return act.sender.options.Pools.Pool(ins.Key(), ins.Address).Get(ctx, idle)
}

// exchange sends the call on a connection and relays the response.
func (act *activeCall) exchange(ctx context.Context, ins router.Instance, con *conns.Conn, rsv *place.Reservation) (sta attemptState, res place.Result) {
	opt, cal := act.sender.options, act.job.Call
	hdr := opt.Dialect.Encode(cal, router.Attempt{
		Instance:    ins,
		Workspace:   act.job.Workspace,
		Rank:        rsv.Rank,
		CacheSource: rsv.Source,
		TimeLimit:   max(time.Millisecond, act.deadline().Sub(opt.Timers.Now())),
		LastEventID: act.lastEventID,
	})
	ans := act.openAnswer()
	defer ans.close()
	sent := opt.Timers.Now()
	opt.Terms.CountSend(ins)
	rsp, err := con.Send(ctx, conns.Request{
		Method: cal.Method, Host: cal.Host, Target: cal.Target, Header: hdr, Body: cal.Body,
		ReserveHead: func(num int) error { return ans.grow(ctx, int64(num)) },
	})
	if err != nil {
		con.Close()
		act.countUnanswered(err)
		return act.failAttempt(ctx, "no answer", ins, err)
	}
	chk := opt.Dialect.CheckAnswer(cal, rsp)
	// A rejection that names no request may be a repetition of an earlier one on the connection.
	chk.Mismatched = chk.Mismatched || chk.Unidentified && con.Reused
	if !chk.Mismatched {
		opt.Terms.Observe(ins, chk.Terms, sent)
	}
	act.countAnswered(chk, rsp.StatusCode)
	switch {
	case chk.Mismatched:
		con.Close()
		return act.failAttempt(ctx, "answer to another request", ins, errors.Errorf("status %d", rsp.StatusCode))
	case chk.Replaced:
		opt.Terms.ObserveGone(ins)
		act.drainRejection(con, rsp)
		act.logFailure("replaced", ins, errors.Errorf("status %d", rsp.StatusCode))
		return replaced, place.Rejected
	case chk.NotRun:
		act.drainRejection(con, rsp)
		act.logFailure("rejected", ins, errors.Errorf("status %d", rsp.StatusCode))
		return rejected, place.Rejected
	case !chk.Relayable || router.ImpliesNotRun(rsp.StatusCode):
		// Without the statement that the call was not executed, its outcome is unknown.
		con.Close()
		return act.failAttempt(ctx, "answer not the upstream's", ins, errors.Errorf("status %d", rsp.StatusCode))
	case act.job.Route.Stream && rsp.StatusCode == http.StatusOK:
		return act.relayStream(ctx, ins, con, rsp, rsv, ans)
	case act.responseStarted:
		con.Close()
		return act.failAttempt(ctx, "stream not continued", ins, errors.Errorf("status %d", rsp.StatusCode))
	default:
		return act.relayWhole(ctx, ins, con, rsp, ans)
	}
}

// failAttempt logs a failed attempt that the upstream may have executed, checks for a crash if the connection
// broke, and returns the resulting state.
func (act *activeCall) failAttempt(ctx context.Context, what string, ins router.Instance, err error) (attemptState, place.Result) {
	act.logFailure(what, ins, err)
	if connectionBroken(err) && ctx.Err() == nil {
		go act.sender.confirmCrash(act.job.Call, act.digest, ins, act.suspectParts(), act.countLost())
	}
	sta := unknown
	if act.responseStarted {
		sta = interrupted
	}
	if ctx.Err() != nil || errors.Is(err, errNoMemory) {
		return sta, place.Inconclusive
	}
	return sta, place.Failed
}

// logFailure logs a failed attempt and keeps what failed as the reason.
func (act *activeCall) logFailure(what string, ins router.Instance, err error) {
	act.reason = what
	act.sender.options.Log.Info("send failed", "Request", act.job.Call.ID, "Upstream", ins.ID, "Service", ins.Service,
		"What", what, "Error", err.Error(), "Sends", act.attempts, "Begun", act.responseStarted)
}
