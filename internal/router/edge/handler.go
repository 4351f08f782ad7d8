package edge

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/route"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
)

// defaultMaxBodyBytes limits a request body where the manifest sets no limit.
const defaultMaxBodyBytes = 4 << 20

const (
	// bodyTimeout is how long a caller may take to send a request body, if its deadline is not earlier.
	bodyTimeout = 30 * time.Second
	// shedRetryAfter is the Retry-After of requests that are refused because memory is short.
	shedRetryAfter = time.Second
	// refusedBodyTime is how long the rest of a body is read after its request was refused because memory is short. Without it, the
	// close of the connection could reset it before the caller has read the refusal.
	refusedBodyTime = 500 * time.Millisecond
)

const (
	// Requests that succeed within their targets are logged at no more than successLogRate lines
	// per second, with bursts of successLogBurst.
	successLogRate  = 10
	successLogBurst = 20
)

// notReadyRetryAfter is the Retry-After while the manifest is missing or may be stale. The node
// tries to read it again about once per second.
const notReadyRetryAfter = 500 * time.Millisecond

// Handler is the HTTP handler for requests of callers.
type Handler struct {
	timers  router.Timers
	dialect router.Dialect
	sender  *send.Sender
	routes  *meter.Routes
	meter   *meter.Meter
	// memory bounds what callers make the node hold.
	memory *intake.Budget
	// successLog limits the log lines of requests that succeed; failed and late ones are always
	// logged.
	successLog *rate.Limiter
	log        *slog.Logger
	// index is the manifest in force; nil until the first is applied.
	index atomic.Pointer[route.Index]
	// stale reports whether the manifest is not known to be current, so that a newer one may have been in force for some time.
	stale func() bool
	// silence returns how long ago the store last answered this node's watch of the manifest.
	silence func() time.Duration
	active  atomic.Int64
	// closeConns is set when connections are to be closed after their current answer.
	closeConns atomic.Bool
	// refusing is set when a stopping node accepts no more requests.
	refusing atomic.Bool
}

// SetManifest puts a manifest in force for requests that arrive from now on.
func (han *Handler) SetManifest(man *router.Manifest) {
	han.index.Store(route.New(man))
}

// services returns the services of the manifest in force.
func (han *Handler) services() map[string]router.ServiceSpec {
	if idx := han.index.Load(); idx != nil {
		return idx.Manifest.Services
	}
	return nil
}

// ManifestVersion returns the version of the manifest in force, or zero if there is none.
func (han *Handler) ManifestVersion() int64 {
	idx := han.index.Load()
	if idx == nil {
		return 0
	}
	return idx.Manifest.Version
}

// ServeHTTP forwards a request to an upstream, or refuses it.
func (han *Handler) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	han.active.Add(1)
	defer han.active.Add(-1)
	now := han.timers.Now()
	if han.closeConns.Load() || len(req.TransferEncoding) > 0 {
		// A request with both Transfer-Encoding and Content-Length can be an attempt at request
		// smuggling. net/http drops the length, so close the connection after any chunked request
		// rather than parse the bytes behind it as another one.
		wri.Header().Set("Connection", "close")
	}
	cal, ref := han.dialect.Decode(req, now)
	if ref == nil {
		var job send.Job
		job, ref = han.admit(cal, wri, req)
		if ref == nil {
			defer job.ReleaseBody()
			if !intake.Complete(req.Context()) {
				panic(http.ErrAbortHandler)
			}
			rep := han.sender.Serve(req.Context(), job, wri)
			han.logReport(job, rep)
			if rep.CallerLeft {
				// To return would complete the response, as a success if none has begun.
				panic(http.ErrAbortHandler)
			}
			return
		}
	}
	han.writeRefusal(wri, req, cal, ref)
}

// admit matches a request to its route and account, reads the body and returns the job for the
// sender, or why the request is refused.
func (han *Handler) admit(cal *router.Call, wri http.ResponseWriter, req *http.Request) (job send.Job, ref *router.Refusal) {
	idx := han.index.Load()
	if idx == nil || han.refusing.Load() {
		return job, han.refuseNotReady("the node takes no requests now")
	}
	rou := idx.Find(cal.Host, cal.Path)
	if rou == nil {
		return job, han.refuseUnlessStale(router.Refuse(http.StatusNotFound, router.CodeRoute, "no route for %s%s", cal.Host, cal.Path))
	}
	acc := idx.Account(cal.Key)
	if acc == nil && idx.RequiresKeys() && !rou.Public {
		return job, han.refuseUnlessStale(router.Refuse(http.StatusUnauthorized, router.CodeKey, "unknown key"))
	}
	release, ref := han.readBody(cal, wri, req, idx.Manifest.Limits)
	if ref != nil {
		return job, ref
	}
	job = send.Job{
		Call: cal, ReleaseBody: release,
		Route:   rou,
		Service: route.ChooseService(rou, cal.ID),
		Tier:    route.Tier(rou, acc),
		Ranks:   idx.Ranks(rou, acc),
	}
	job.Engine = idx.Manifest.Services[job.Service].Engine
	if acc != nil {
		job.Workspace = acc.Name
	}
	return job, nil
}

// refuseUnlessStale returns the given refusal, or a temporary one while the manifest may be stale:
// a newer one may have the route or the key.
func (han *Handler) refuseUnlessStale(ref *router.Refusal) *router.Refusal {
	if han.stale() {
		return han.refuseNotReady("the configuration may be out of date")
	}
	return ref
}

func (han *Handler) refuseNotReady(msg string) (ref *router.Refusal) {
	ref = router.Refuse(http.StatusServiceUnavailable, router.CodeNotReady, "%s", msg)
	ref.RetryAfter = notReadyRetryAfter
	return ref
}

// readBody reads the request body within the limit of the manifest and the memory for requests. release releases the memory.
func (han *Handler) readBody(cal *router.Call, wri http.ResponseWriter, req *http.Request, lim router.CallerLimits) (release func(), ref *router.Refusal) {
	maxBytes := lim.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if req.ContentLength > maxBytes {
		return nil, router.Refuse(http.StatusRequestEntityTooLarge, router.CodeTooLarge, "the body is above %d bytes", maxBytes)
	}
	if req.ContentLength == 0 {
		return func() {}, nil
	}
	end := han.timers.Now().Add(bodyTimeout)
	if !cal.Deadline.IsZero() && cal.Deadline.Before(end) {
		end = cal.Deadline
	}
	// Without a deadline of the connection, as in tests, the caller may take any time.
	ctl := http.NewResponseController(wri)
	_ = ctl.SetReadDeadline(end)
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	stopped := han.sender.Stopped()
	// The wait for memory ends with the time for the body, and when the node stops.
	ctx, cancel := context.WithTimeout(req.Context(), end.Sub(han.timers.Now()))
	defer cancel()
	interrupt, done := intake.Guard(func() {
		if !intake.InterruptBody(req.Context()) {
			_ = ctl.SetReadDeadline(han.timers.Now())
		}
	})
	defer done()
	defer context.AfterFunc(stopped, func() { interrupt(); cancel() })()
	hol := han.memory.Open(intake.Request, req.ContentLength, interrupt)
	txt, err := hol.Read(ctx, http.MaxBytesReader(wri, req.Body, maxBytes), req.ContentLength)
	if err != nil {
		hol.Release()
		// The rest of the body is not read.
		wri.Header().Set("Connection", "close")
		return nil, han.refuseBody(err, maxBytes)
	}
	cal.Body = txt
	return hol.Release, nil
}

// refuseBody returns the refusal of a request whose body was not read to its end.
func (han *Handler) refuseBody(err error, maxBytes int64) (ref *router.Refusal) {
	var tooLarge *http.MaxBytesError
	stopped := han.sender.Stopped().Err() != nil
	late := errors.Is(err, os.ErrDeadlineExceeded)
	// These ended a wait for memory rather than for the caller.
	waited := !late && (errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled))
	switch {
	case errors.Is(err, intake.ErrStalled):
		return router.Refuse(http.StatusRequestTimeout, router.CodeMemory, "%s", err)
	case (late || waited) && stopped:
		return han.refuseNotReady("the node stops")
	case waited || errors.Is(err, intake.ErrShed):
		ref = router.Refuse(http.StatusServiceUnavailable, router.CodeMemory, "%s", intake.ErrShed)
		ref.RetryAfter = shedRetryAfter
		return ref
	case late:
		return router.Refuse(http.StatusRequestTimeout, router.CodeDeadline, "the body did not arrive in time")
	case errors.As(err, &tooLarge):
		return router.Refuse(http.StatusRequestEntityTooLarge, router.CodeTooLarge, "the body is above %d bytes", maxBytes)
	default:
		return router.Refuse(http.StatusBadRequest, router.CodeInvalid, "the body ended early")
	}
}

func (han *Handler) writeRefusal(wri http.ResponseWriter, req *http.Request, cal *router.Call, ref *router.Refusal) {
	id := ""
	if cal != nil {
		id = cal.ID
	}
	han.meter.Event("refused_" + ref.Code)
	send.LimitWrites(wri, han.timers)
	if ref.Code == router.CodeMemory {
		// These are counted and logged by package intake, at a bounded rate. net/http reads up to 256 KiB of the rest of the body
		// before it closes the connection.
		_ = http.NewResponseController(wri).SetReadDeadline(han.timers.Now().Add(refusedBodyTime))
		send.WriteRefusal(wri, ref)
		return
	}
	han.log.Info("request refused", "Request", id, "Host", req.Host, "Path", req.URL.Path, "Status", ref.Status,
		"Code", ref.Code, "Manifest", han.ManifestVersion(), "Stale", han.stale(), "SilenceMs", han.silence().Milliseconds())
	if req.ContentLength != 0 {
		// net/http reads the rest of a small body.
		_ = http.NewResponseController(wri).SetReadDeadline(han.timers.Now().Add(bodyTimeout))
	}
	send.WriteRefusal(wri, ref)
}

// logReport records the outcome of a call in the metrics and logs it. A call is late if its first
// event or its longest pause between events exceeded the target of the route.
func (han *Handler) logReport(job send.Job, rep send.Report) {
	late := job.Route.Target > 0 && rep.FirstEvent > job.Route.Target || job.Route.GapTarget > 0 && rep.MaxGap > job.Route.GapTarget
	han.routes.Observe(meter.RouteObservation{
		Route: job.Route.Name, Outcome: string(rep.Outcome), Status: rep.Status, FirstEvent: rep.FirstEvent, MaxGap: rep.MaxGap, Attempts: rep.Attempts, Late: late,
		SavedTokens: rep.Estimate.SavedTokens, Wait: rep.Estimate.Wait, Passed: string(rep.Estimate.Passed),
	})
	if rep.Outcome == router.Ran && rep.Reason == "" && !late && !han.successLog.Allow() {
		han.meter.Event("line_left_out")
		return
	}
	est := rep.Estimate
	han.log.Info("request done", "Request", job.Call.ID, "Route", job.Route.Name, "Workspace", job.Workspace, "Tier", job.Tier,
		"Outcome", rep.Outcome, "Status", rep.Status, "Upstream", rep.Upstream, "Sends", rep.Attempts, "Reason", rep.Reason,
		"PromptTokens", job.Call.PromptTokens, "HintTokens", job.Call.OutputTokens, "AheadTokens", est.AheadTokens, "ReadTokens", est.PrefillTokens, "Rank", est.Rank, "CopiedFrom", est.Source, "Slow", math.Round(10*est.Slowdown)/10,
		"SavedTokens", est.SavedTokens, "WaitMs", est.Wait.Milliseconds(), "Passed", est.Passed,
		"FirstMs", rep.FirstEvent.Milliseconds(), "TargetMs", job.Route.Target.Milliseconds(),
		"PauseMs", rep.MaxGap.Milliseconds(), "PauseTargetMs", job.Route.GapTarget.Milliseconds(),
		"TookMs", han.timers.Now().Sub(job.Call.Arrived).Milliseconds(), "Late", late, "Events", rep.Events, "Manifest", han.ManifestVersion())
}
