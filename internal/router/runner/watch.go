package runner

import (
	"context"
	"time"
)

const (
	// watchInterval is the interval at which the progress of attempts is checked.
	watchInterval = 25 * time.Millisecond
	// slowGapFactor is the multiple of its own mean gap that a stream may be without an event before it
	// counts as slow.
	slowGapFactor = 4
	// minSlowTokens is the minimum number of tokens before a stream can count as slow: its mean gap needs them.
	minSlowTokens = 2
	// firstTokenFactor multiplies StallAfter until the first token, which may take longer than later ones.
	firstTokenFactor = 5
)

func (run *Runner) track(att *attempt) {
	run.mut.Lock()
	defer run.mut.Unlock()
	run.attempts[att] = struct{}{}
}

func (run *Runner) untrack(att *attempt) {
	run.mut.Lock()
	defer run.mut.Unlock()
	delete(run.attempts, att)
}

// checkProgress probes the upstream of every attempt without an event for its stall
// timeout, and cancels slow streams, which then move to another upstream. Each
// move spends the hedge budget.
func (run *Runner) checkProgress(now time.Time) {
	run.mut.Lock()
	defer run.mut.Unlock()
	for att := range run.attempts {
		if att.sinceLastEvent(now) > att.stallTimeout() && att.probing.CompareAndSwap(false, true) {
			go att.probeUpstream()
		}
		if att.isSlow(now) && run.hedges.Get(att.session.chat.Pool.Name).Spend() {
			att.cancel(errSlow)
		}
	}
}

// sinceLastEvent returns the time since the last event.
func (att *attempt) sinceLastEvent(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, att.lastEventAt.Load()))
}

// stallTimeout returns the time without an event after which the upstream is probed.
func (att *attempt) stallTimeout() time.Duration {
	if att.started.Load() {
		return att.runner.options.Live.Get().Policy.StallAfter
	}
	return firstTokenFactor * att.runner.options.Live.Get().Policy.StallAfter
}

// isSlow reports whether a stream that another upstream can continue has had no
// event for longer than both the target of its class between tokens and
// slowGapFactor times its own mean gap. Streams of recallable classes and of
// classes without that target never count as slow.
//
// The stream shows a slow upstream earlier than load reports do.
func (att *attempt) isSlow(now time.Time) bool {
	cls := att.session.chat.Class
	num := att.watchedTokens.Load()
	if cls.BetweenTokens == 0 || cls.Recallable || num < minSlowTokens || att.context.Err() != nil {
		return false
	}
	if !att.session.continuable() {
		return false
	}
	lst := time.Unix(0, att.lastEventAt.Load())
	gap := lst.Sub(time.Unix(0, att.firstTokenAt.Load())) / time.Duration(num)
	return now.Sub(lst) > max(cls.BetweenTokens, slowGapFactor*gap)
}

// probeUpstream checks the health of a stalled attempt's upstream on a new connection.
//
// If the check passes, the existing connections have stalled and are retired. If
// it fails, the upstream counts as crashed.
func (att *attempt) probeUpstream() {
	ups := att.grant.Upstream()
	rel := att.runner.options.Relay
	err := rel.Probe(att.context, ups)
	if att.context.Err() != nil {
		return
	}
	att.runner.options.Log.Warn("stream stalled", "Upstream", ups.Name, "Request", att.session.chat.ID, "Reachable", err == nil)
	if err != nil {
		att.cancel(errProbeFailed)
		return
	}
	rel.Retire(ups)
	att.cancel(errStalled)
}

// newAttempt returns an attempt on a granted slot; the caller runs it.
func (ses *session) newAttempt(ctx context.Context, run *Runner, slt slot) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	att := &attempt{
		runner:  run,
		session: ses,
		grant:   slt.grant,
		number:  int(ses.attempts.Add(1)),
		context: ctx,
		cancel:  cancel,
	}
	att.lastEventAt.Store(run.now().UnixNano())
	slt.hook.attach(cancel)
	return att
}
