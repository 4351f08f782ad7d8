package runner

import (
	"context"
	"time"
)

const (
	// watchPeriod is how often progress is checked.
	watchPeriod = 25 * time.Millisecond
	// slowFactor is how many of its own mean gaps a stream is silent before it is moved.
	slowFactor = 4
	// slowTokens is how many tokens a stream has had before its mean gap counts.
	slowTokens = 2
	// firstTokenPatience is how much longer than between tokens an upstream may be silent before the first.
	firstTokenPatience = 5
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

// watch moves streams of classes with a token target off upstreams that became
// slow, and starts a probe for every attempt that made no progress for too long.
func (run *Runner) watch(now time.Time) {
	run.mut.Lock()
	defer run.mut.Unlock()
	for att := range run.attempts {
		if att.silence(now) > att.patience() && att.probing.CompareAndSwap(false, true) {
			go att.probe()
		}
		if att.slow(now) && run.hedges.Get(att.session.chat.Pool.Name).Spend() {
			att.cancel(errSlow)
		}
	}
}

func (att *attempt) silence(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, att.last.Load()))
}

func (att *attempt) patience() time.Duration {
	if att.first.Load() {
		return att.runner.options.Live.Get().Policy.StallAfter
	}
	return firstTokenPatience * att.runner.options.Live.Get().Policy.StallAfter
}

// slow reports whether a stream that another upstream can continue is silent for
// longer than its class's target and several times its own mean gap.
//
// Load reports would tell later; the stream itself tells first.
func (att *attempt) slow(now time.Time) bool {
	cls := att.session.chat.Class
	num := att.relayed.Load()
	if cls.BetweenTokens == 0 || cls.Recallable || num < slowTokens || att.context.Err() != nil {
		return false
	}
	if !att.session.single || !att.session.chat.Pool.Extensions {
		return false
	}
	lst := time.Unix(0, att.last.Load())
	gap := lst.Sub(time.Unix(0, att.firstAt.Load())) / time.Duration(num)
	return now.Sub(lst) > max(cls.BetweenTokens, slowFactor*gap)
}

// probe asks a silent attempt's upstream for its health on a fresh connection.
//
// If that answers, the older connections are retired; if not, the upstream is
// taken for dead.
func (att *attempt) probe() {
	ups := att.grant.Upstream()
	rel := att.runner.options.Relay
	err := rel.Probe(att.context, ups)
	if att.context.Err() != nil {
		return
	}
	att.runner.options.Log.Warn("stream stalled", "Upstream", ups.Name, "Request", att.session.chat.ID, "Reachable", err == nil)
	if err != nil {
		att.cancel(errDead)
		return
	}
	rel.Retire(ups)
	att.cancel(errStalled)
}

// newAttempt prepares an attempt on a granted slot.
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
	att.last.Store(run.now().UnixNano())
	slt.hook.bind(cancel)
	return att
}
