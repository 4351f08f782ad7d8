package send

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/budget"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/link"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
)

const (
	// connectTries is the number of upstreams that one call may fail to connect to.
	connectTries = 4
	// onceIdle is how long a connection may have been idle to be used for a call that may run once; a reset on an old one leaves its outcome unknown.
	onceIdle = 2 * time.Second
	// anyIdle puts no bound on how long a connection may have been idle, beyond the upstream's own.
	anyIdle = time.Hour
	// silentShare is the share of its target that an idempotent call waits for an answer before it goes to another upstream.
	silentShare = 0.6
	// comeBack is the Retry-After of a refusal that says nothing better.
	comeBack = 300 * time.Millisecond
)

// Job is a call with everything that was decided about it before it is sent.
type Job struct {
	Call    *router.Call
	Route   *router.Route
	Service string
	// Engine describes the service's model engines; nil for plain services.
	Engine    *router.EngineSpec
	Workspace string
	Tier      int
	// Ranks are the call's places in the order in which engines read prompts.
	Ranks router.Ranks
}

// Report tells how a job ended.
type Report struct {
	Outcome router.Outcome
	// Status is what the caller was told; zero when the caller left first.
	Status   int
	Upstream string
	// Sends is the number of times that the call was sent.
	Sends int
	// First is the time from arrival to the first event or the whole answer; zero when there was none.
	First time.Duration
	// Events is the number of events relayed.
	Events int
	// Estimate is what was known when the last upstream was chosen.
	Estimate place.Estimate
	// Pause is the longest time between two events.
	Pause time.Duration
	// Reason tells why the call was not answered by an upstream.
	Reason string
}

// Options are what a Sender is built from.
type Options struct {
	Timers   router.Timers
	Dialect  router.Dialect
	Roster   *roster.Roster
	Balancer *place.Balancer
	Links    *link.Book
	Budget   *budget.Book
	Guard    *guard.Guard
	Log      *slog.Logger
	// Strike tells that an upstream crashed while it ran a request.
	Strike func(stk guard.Strike)
	// RetryShare is the number of repeated sendings allowed per call, from 0 to 1.
	RetryShare float64
}

// Sender carries calls to upstreams.
type Sender struct {
	options Options
}

// New returns a Sender.
func New(opt Options) *Sender {
	return &Sender{options: opt}
}

// Serve carries a job to an upstream and writes the answer; it panics with http.ErrAbortHandler to break off an answer that has begun.
func (snd *Sender) Serve(ctx context.Context, job Job, wri http.ResponseWriter) (rep Report) {
	snd.options.Budget.Of(job.Service).Earn(snd.options.RetryShare)
	cou := &course{sender: snd, job: job, writer: wri, tried: make(map[string]bool), digest: digest(job.Call)}
	ctx, cancel := context.WithDeadline(ctx, cou.deadline())
	defer cancel()
	return cou.run(ctx)
}

// state is how one sending ended.
type state int

const (
	// notSent means that no byte reached an upstream.
	notSent state = iota
	// rejected means that the upstream states that it did not execute the call.
	rejected
	// unknown means that the upstream may have executed the call and its answer is not usable.
	unknown
	// answered means that the caller has the upstream's answer.
	answered
	// broken means that an answer whose beginning the caller has broke off.
	broken
)

// course is one job under way.
type course struct {
	sender *Sender
	job    Job
	writer http.ResponseWriter

	// digest identifies requests that are the same for an upstream.
	digest string
	// tried holds the incarnations that are not chosen again.
	tried map[string]bool
	// sends counts sendings that may have reached an upstream; missed counts failures to connect.
	sends, missed int
	// mayHaveRun is set once a sending ended in any state but notSent and rejected.
	mayHaveRun bool
	upstream   string
	reason     string
	begun      bool
	first      time.Duration
	events     int
	estimate   place.Estimate
	// last is when the last event came, and pause the longest time between two.
	last      time.Time
	pause     time.Duration
	lastEvent string
	status    int
}

func (cou *course) deadline() time.Time {
	cal, rou := cou.job.Call, cou.job.Route
	end := cal.Deadline
	if rou.Timeout > 0 {
		if lim := cal.Arrived.Add(rou.Timeout); end.IsZero() || lim.Before(end) {
			end = lim
		}
	}
	if end.IsZero() {
		end = cal.Arrived.Add(unboundedTimeout)
	}
	return end
}

// unboundedTimeout limits calls for which neither the caller nor the route names a limit.
const unboundedTimeout = 5 * time.Minute

func (cou *course) run(ctx context.Context) Report {
	for {
		if cou.sender.options.Guard.Quarantined(cou.digest) && !cou.begun {
			return cou.quarantine()
		}
		sta := cou.attempt(ctx)
		switch {
		case sta == answered:
			cou.sender.options.Guard.Clear(cou.digest)
			return cou.report(router.Ran)
		case ctx.Err() != nil:
			return cou.expire(ctx)
		case !cou.again(sta):
			return cou.fail()
		}
	}
}

// again reports whether the call may be sent once more.
func (cou *course) again(sta state) bool {
	rou := cou.job.Route
	switch sta {
	case notSent:
		return cou.reason != reasonNone && cou.missed < connectTries
	case rejected:
		return cou.sends < rou.Attempts && cou.spend()
	case unknown:
		return cou.sends < rou.Attempts && rou.Repeat != router.AtMostOnce && cou.spend()
	case broken:
		return cou.sends < rou.Attempts && rou.Repeat == router.Resumable && cou.lastEvent != "" && cou.spend()
	default:
		return false
	}
}

func (cou *course) spend() bool {
	if cou.sender.options.Budget.Of(cou.job.Service).Spend() {
		return true
	}
	cou.reason += "; retry budget spent"
	return false
}

// reasonNone is the reason when no upstream is left to try.
const reasonNone = "no upstream"

// attempt sends the call once.
func (cou *course) attempt(ctx context.Context) (sta state) {
	opt := cou.sender.options
	ins, rsv, ok := opt.Balancer.Choose(cou.want(), opt.Roster.Takers(cou.job.Service), func(ins router.Instance) bool {
		return cou.tried[place.InstanceKey(ins)]
	})
	if !ok {
		cou.reason = reasonNone
		return notSent
	}
	res := place.Inconclusive
	defer func() { rsv.Release(res) }()
	con, err := cou.connect(ctx, ins)
	if err != nil {
		cou.missed++
		cou.tried[place.InstanceKey(ins)] = true
		cou.note("connect failed", ins, err)
		if ctx.Err() == nil {
			res = place.Unreachable
		}
		return notSent
	}
	cou.upstream = ins.ID
	cou.estimate = rsv.Estimate
	if cou.sends > 0 || cou.missed > 0 {
		opt.Log.Info("sent again", "Request", cou.job.Call.ID, "Upstream", ins.ID, "Send", cou.sends+1, "After", cou.reason)
	}
	cou.sends++
	sub, cancel := cou.limit(ctx)
	defer cancel()
	sta, res = cou.exchange(sub, ins, con, rsv)
	if sub.Err() != nil && ctx.Err() == nil {
		// The upstream was silent; whether it is gone decides if others are sent there.
		res = place.Failed
		go cou.sender.reach(cou.job.Call.ID, ins)
	}
	if sta != answered {
		cou.tried[place.InstanceKey(ins)] = true
	}
	if sta != answered && sta != rejected {
		cou.mayHaveRun = true
	}
	return sta
}

// limit bounds a sending of an idempotent call that may be sent to another upstream after it.
func (cou *course) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	rou := cou.job.Route
	again := rou.Repeat == router.Idempotent && cou.sends < rou.Attempts && rou.Target > 0
	if !again || !cou.sender.options.Budget.Of(cou.job.Service).Can() {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(silentShare*float64(rou.Target)))
}

func (cou *course) want() place.Request {
	cal := cou.job.Call
	return place.Request{
		Service:      cou.job.Service,
		Prefixes:     place.SharedPrefixes(cal.Prompt),
		PromptTokens: cal.PromptTokens,
		OutputTokens: cal.OutputTokens,
		Ranks:        cou.job.Ranks,
		Target:       cou.job.Route.Target,
		GapTarget:    cou.job.Route.GapTarget,
		Engine:       cou.job.Engine,
	}
}

func (cou *course) connect(ctx context.Context, ins router.Instance) (con *link.Conn, err error) {
	idle := anyIdle
	if cou.job.Route.Repeat == router.AtMostOnce {
		idle = onceIdle
	}
	return cou.sender.options.Links.Pool(place.InstanceKey(ins), ins.Address).Get(ctx, idle)
}

// exchange sends the call on a connection and relays the answer.
func (cou *course) exchange(ctx context.Context, ins router.Instance, con *link.Conn, rsv *place.Reservation) (sta state, res place.Result) {
	opt, cal := cou.sender.options, cou.job.Call
	hdr := opt.Dialect.Encode(cal, router.Attempt{
		Instance:    ins,
		Workspace:   cou.job.Workspace,
		Rank:        rsv.Rank,
		CacheSource: rsv.Source,
		TimeLimit:   max(time.Millisecond, cou.deadline().Sub(opt.Timers.Now())),
		LastEventID: cou.lastEvent,
	})
	rsp, err := con.Send(ctx, link.Request{Method: cal.Method, Host: cal.Host, Target: cal.Target, Header: hdr, Body: cal.Body})
	if err != nil {
		con.Close()
		return cou.lost(ctx, "no answer", ins, err)
	}
	ver := opt.Dialect.CheckAnswer(cal, rsp)
	switch {
	case ver.Mismatched:
		con.Close()
		return cou.lost(ctx, "answer to another request", ins, errors.Errorf("status %d", rsp.StatusCode))
	case ver.NotRun:
		cou.discard(con, rsp)
		cou.note("rejected", ins, errors.Errorf("status %d", rsp.StatusCode))
		return rejected, place.Rejected
	case !ver.Relayable || promises(rsp.StatusCode):
		con.Close()
		return cou.lost(ctx, "answer not the upstream's", ins, errors.Errorf("status %d", rsp.StatusCode))
	case cou.job.Route.Stream && rsp.StatusCode == http.StatusOK:
		return cou.stream(ctx, ins, con, rsp, rsv)
	case cou.begun:
		con.Close()
		return cou.lost(ctx, "stream not continued", ins, errors.Errorf("status %d", rsp.StatusCode))
	default:
		return cou.plain(ctx, ins, con, rsp)
	}
}

// promises reports whether a status tells the caller that its request was not run, which only the upstream's own statement allows.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// lost records a sending whose outcome is unknown.
func (cou *course) lost(ctx context.Context, what string, ins router.Instance, err error) (state, place.Result) {
	cou.note(what, ins, err)
	if broke(err) && ctx.Err() == nil {
		go cou.sender.confirmCrash(cou.job.Call.ID, cou.digest, ins)
	}
	sta := unknown
	if cou.begun {
		sta = broken
	}
	if ctx.Err() != nil {
		return sta, place.Inconclusive
	}
	return sta, place.Failed
}

// note logs what went wrong with an upstream.
func (cou *course) note(what string, ins router.Instance, err error) {
	cou.reason = what
	cou.sender.options.Log.Info("send failed", "Request", cou.job.Call.ID, "Upstream", ins.ID, "Service", ins.Service,
		"What", what, "Error", err.Error(), "Sends", cou.sends, "Begun", cou.begun)
}

// expire ends a call whose caller left or whose time is over.
func (cou *course) expire(ctx context.Context) Report {
	if cou.reason == "" {
		cou.reason = "deadline"
	}
	out := cou.outcome()
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		cou.reason = "caller left"
		return cou.report(out)
	}
	cou.reason = "time over: " + cou.reason
	if cou.begun {
		cou.abort()
	}
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeDeadline, "the time for the request is over")
	ref.RetryAfter = comeBack
	if out == router.Unknown {
		ref = router.RefuseUnknown(router.CodeDeadline, "the upstream did not answer in time")
		ref.Status = http.StatusGatewayTimeout
	}
	return cou.refuse(ref)
}

// fail ends a call that is not sent again.
func (cou *course) fail() Report {
	if cou.begun {
		cou.abort()
	}
	if cou.outcome() == router.Unknown {
		return cou.refuse(router.RefuseUnknown(router.CodeUpstream, "the upstream failed: %s", cou.reason))
	}
	ref := router.Refuse(http.StatusServiceUnavailable, router.CodeNoUpstream, "not run: %s", cou.reason)
	ref.RetryAfter = comeBack
	return cou.refuse(ref)
}

func (cou *course) outcome() router.Outcome {
	if cou.mayHaveRun {
		return router.Unknown
	}
	return router.NotRun
}

func (cou *course) refuse(ref *router.Refusal) Report {
	WriteRefusal(cou.writer, ref)
	cou.status = ref.Status
	return cou.report(ref.Outcome)
}

// abort breaks off an answer that the caller has in part.
func (cou *course) abort() {
	rep := cou.report(router.Unknown)
	cou.sender.options.Log.Warn("answer broken off", "Request", cou.job.Call.ID, "Route", cou.job.Route.Name,
		"Upstream", rep.Upstream, "Sends", rep.Sends, "Events", rep.Events, "Reason", rep.Reason)
	panic(http.ErrAbortHandler)
}

func (cou *course) report(out router.Outcome) Report {
	return Report{
		Outcome:  out,
		Status:   cou.status,
		Upstream: cou.upstream,
		Sends:    cou.sends,
		First:    cou.first,
		Events:   cou.events,
		Pause:    cou.pause,
		Estimate: cou.estimate,
		Reason:   cou.reason,
	}
}
