package send

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/budget"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/permit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/terms"
)

const (
	// maxConnectFailures is the number of failed connects after which a call is no longer retried.
	maxConnectFailures = 4
	// maxReplacements is how often a call is sent to another upstream because the one that was chosen is no longer at its address.
	maxReplacements = 2
	// atMostOnceMaxIdle bounds how long a connection may have been idle before it carries a call that may run at most
	// once: a reset of a stale connection leaves the outcome of the call unknown.
	atMostOnceMaxIdle = 2 * time.Second
	// unlimitedIdle sets no bound on the idle time beyond the pool's own.
	unlimitedIdle = time.Hour
	// attemptTimeoutShare is the timeout of an attempt of an idempotent call, as a share of the latency target of
	// its route; the rest of the target is left for the retry on another upstream.
	attemptTimeoutShare = 0.6
	// defaultRetryAfter is the Retry-After of refusals after a deadline or when no attempt executed the call.
	defaultRetryAfter = 300 * time.Millisecond
)

// Job is a call with its route, service, tier and ranks, resolved before it is sent.
type Job struct {
	// ReleaseBody releases the memory of the body of Call when no attempt needs it any more; it may be nil, and is called more than
	// once.
	ReleaseBody func()

	Call    *router.Call
	Route   *router.Route
	Service string
	// Engine describes the service's model engines; nil for plain services.
	Engine    *router.EngineSpec
	Workspace string
	Tier      int
	// Ranks are the call's possible ranks in the order in which engines process prompts; 0 is first.
	Ranks router.Ranks
}

// Report describes how a job ended.
type Report struct {
	Outcome router.Outcome
	// Status is the HTTP status sent to the caller; zero if the caller disconnected first.
	Status int
	// CallerLeft is set if the call ended because the caller disconnected, or closed its sending side. Its connection must be
	// closed, since the response is not complete.
	CallerLeft bool
	Upstream   string
	// Attempts is the number of attempts that may have reached an upstream.
	Attempts int
	// FirstEvent is the time from the arrival of the call to the first event, or to the whole response if it is no
	// stream; zero if there was neither.
	FirstEvent time.Duration
	// Events is the number of relayed events that have an id.
	Events int
	// Estimate is the estimate on which the last upstream was chosen.
	Estimate place.Estimate
	// MaxGap is the longest gap between two events.
	MaxGap time.Duration
	// Reason is why the last failed attempt failed, or why the call ended without a response from an upstream;
	// empty if the first attempt completed.
	Reason string
}

// Options are the dependencies and settings of a Sender.
type Options struct {
	Timers   router.Timers
	Dialect  router.Dialect
	Roster   *roster.Roster
	Balancer *place.Balancer
	Pools    *conns.Pools
	Budget   *budget.Registry
	Guard    *guard.Guard
	Terms    *terms.Registry
	Permits  *permit.Service
	Log      *slog.Logger
	// Memory bounds the answers that are held; nil sets no bound beyond the constants of this package.
	Memory *intake.Budget
	// OnCrash is called when an upstream crashed while it ran a request.
	OnCrash func(crs guard.Crash)
	// OnAnswer is called when an upstream began to answer a request with these shared parts at a time and went on.
	OnAnswer func(parts []uint64, begun time.Time)
	// OnRun is called when an upstream began to execute an attempt of a call of a workspace; nil means that runs are not counted.
	OnRun func(workspace string)
	// Admission decides which calls start, wait or are refused while a service is short of capacity; nil admits all.
	Admission router.Admission
	// RetryShare is the number of retry tokens that each call adds to the budget of its service, from 0 to 1.
	RetryShare float64
}

// Sender sends calls to upstreams and relays the responses to the callers.
type Sender struct {
	options Options
	// buffered is the number of bytes of responses that are held beyond freeResponseBytes each.
	buffered atomic.Int64
	// end is when all calls are answered because the node stops; nil before it does. stopped ends then.
	end     atomic.Pointer[time.Time]
	stopped context.Context
	stop    context.CancelFunc
}

// New returns a Sender.
func New(opt Options) *Sender {
	if opt.Memory == nil {
		opt.Memory = intake.New(intake.Options{Timers: opt.Timers, OnRefuse: func(string) {}})
	}
	snd := &Sender{options: opt}
	snd.stopped, snd.stop = context.WithCancel(context.Background())
	return snd
}

// Serve sends a job to upstreams until one responds or no retry is allowed, and writes the response or a refusal.
//
// If a stream fails after its first events were relayed and cannot be resumed, Serve panics with
// http.ErrAbortHandler, which closes the connection to the caller.
func (snd *Sender) Serve(ctx context.Context, job Job, wri http.ResponseWriter) (rep Report) {
	snd.options.Budget.Get(job.Service).Earn(snd.options.RetryShare)
	act := &activeCall{sender: snd, job: job, writer: wri, excluded: make(map[string]bool), digest: digest(job.Call), parts: sharedParts(job.Call.Prompt)}
	ctx, release := snd.withStop(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, act.deadline())
	defer cancel()
	defer act.leave()
	return act.run(ctx)
}

// attemptState is how one attempt ended.
type attemptState int

const (
	// notSent means that no byte was sent to an upstream.
	notSent attemptState = iota
	// rejected means that the upstream states that it did not execute the call.
	rejected
	// unknown means that the upstream may have executed the call, but there is no usable response.
	unknown
	// completed means that the upstream's whole response was relayed to the caller.
	completed
	// replaced means that another incarnation answered at the upstream's address and did not execute the call.
	replaced
	// interrupted means that a stream failed after some of its events were relayed to the caller.
	interrupted
)

// activeCall is the state of one job over all its attempts.
type activeCall struct {
	sender *Sender
	job    Job
	writer http.ResponseWriter

	// digest is the digest of the call by which package guard identifies it.
	digest string
	// parts holds the hashes of the parts of the prompt that requests share.
	parts []uint64
	// excluded holds the keys of the upstream incarnations on which an attempt failed; they are not chosen again.
	excluded map[string]bool
	// attempts counts attempts that got a connection; connectFailures counts those that got none.
	attempts, connectFailures int
	// replacements counts attempts that ended as replaced.
	replacements int
	// mayHaveRun is set once an attempt ended in a state other than notSent and rejected.
	mayHaveRun      bool
	upstream        string
	reason          string
	responseStarted bool
	firstEvent      time.Duration
	events          int
	estimate        place.Estimate
	// begunAt is when the upstream of the current attempt sent its first event; zero before. proven is set once it has gone on
	// for long enough that the call does not crash it.
	begunAt time.Time
	proven  bool
	// runCounted is set once the current attempt was counted as run.
	runCounted bool
	// lastEventAt is when the last events were relayed, and maxGap the longest time between two of these writes.
	lastEventAt time.Time
	maxGap      time.Duration
	lastEventID string
	status      int
	// retryAfter is when the caller of a call that was not run should come back; zero selects a default.
	retryAfter time.Duration
	// ticket is the admission of the call; nil before and without one.
	ticket router.AdmissionTicket
	// refusal is why the call is refused before it is sent; nil if it is not.
	refusal *router.Refusal
	// complete is set once the whole response was relayed.
	complete bool
}

// deadline returns the earlier of the caller's deadline and the timeout of the route, or a default if neither is set.
func (act *activeCall) deadline() time.Time {
	cal, rou := act.job.Call, act.job.Route
	end := cal.Deadline
	if rou.Timeout > 0 {
		if lim := cal.Arrived.Add(rou.Timeout); end.IsZero() || lim.Before(end) {
			end = lim
		}
	}
	if end.IsZero() {
		end = cal.Arrived.Add(defaultTimeout)
	}
	return end
}

// defaultTimeout limits calls for which neither the caller nor the route sets a limit.
const defaultTimeout = 5 * time.Minute

// run makes attempts until one completes, the context ends or no retry is allowed.
func (act *activeCall) run(ctx context.Context) Report {
	for {
		if act.isQuarantined() && !act.responseStarted {
			return act.finishQuarantined()
		}
		if act.stopsBeforeDeadline() && !act.responseStarted {
			return act.finishStopped()
		}
		if !act.admit(ctx) && act.refusal == nil {
			return act.finishUnadmitted(ctx)
		}
		sta := notSent
		if act.refusal == nil {
			sta = act.attempt(ctx)
		}
		switch {
		case act.refusal != nil:
			return act.refuse(act.refusal)
		case sta == completed:
			act.sender.options.Guard.Clear(act.digest)
			act.prove()
			act.complete = true
			return act.report(router.Ran)
		case errors.Is(context.Cause(ctx), errStopping):
			return act.finishStopped()
		case ctx.Err() != nil:
			return act.finishExpired(ctx)
		case !act.allowRetry(sta):
			return act.finishFailed()
		}
	}
}

// allowRetry reports whether the call may be sent again after an attempt that ended in the given state, and takes
// a token of the retry budget if it may. A retry after a failed connect takes no token.
func (act *activeCall) allowRetry(sta attemptState) bool {
	rou := act.job.Route
	switch sta {
	case notSent:
		return !act.outOfUpstreams() && act.connectFailures < maxConnectFailures
	case replaced:
		return !act.outOfUpstreams() && act.replacements <= maxReplacements && act.spendRetryToken()
	case rejected:
		return act.attempts < rou.Attempts && act.spendRetryToken()
	case unknown:
		return act.attempts < rou.Attempts && rou.Repeat != router.AtMostOnce && act.spendRetryToken()
	case interrupted:
		return act.attempts < rou.Attempts && rou.Repeat == router.Resumable && act.lastEventID != "" && act.spendRetryToken()
	default:
		return false
	}
}

func (act *activeCall) spendRetryToken() bool {
	if act.sender.options.Budget.Get(act.job.Service).Spend() {
		return true
	}
	act.reason += "; retry budget spent"
	return false
}

// outOfUpstreams reports whether the last attempt found no upstream to send the call to.
func (act *activeCall) outOfUpstreams() bool {
	return act.reason == reasonNoUpstream || act.reason == reasonRateLimit || act.reason == reasonPaused
}

// reasonNoUpstream is the reason when no upstream is left to try.
const reasonNoUpstream = "no upstream"
