package edge

import (
	"errors"
	"io"
	"log/slog"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/route"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
)

// defaultBody bounds a request's body where the manifest does not.
const defaultBody = 4 << 20

const (
	// calmLines is how many requests a second that went well have a line of their own, and calmBurst how many at once.
	calmLines = 10
	calmBurst = 20
)

// notReadyWait is the Retry-After while a node has no manifest or an old one; both are read again within a second.
const notReadyWait = 500 * time.Millisecond

// Front serves callers.
type Front struct {
	timers  router.Timers
	dialect router.Dialect
	sender  *send.Sender
	routes  *meter.Routes
	meter   *meter.Meter
	// calm bounds the lines about requests that went well; failed ones are always told.
	calm *rate.Limiter
	log  *slog.Logger
	// index is nil until a manifest was read.
	index atomic.Pointer[route.Index]
	// stale reports whether the manifest may be older than the newest one.
	stale  func() bool
	active atomic.Int64
	// closing is set when connections are to be closed after their answers.
	closing atomic.Bool
	// refusing is set when a stopping node takes no more requests.
	refusing atomic.Bool
}

// Use makes a manifest the one by which new requests are judged.
func (fro *Front) Use(man *router.Manifest) {
	fro.index.Store(route.New(man))
}

// Version returns the version of the manifest in force; zero means that there is none.
func (fro *Front) Version() int64 {
	idx := fro.index.Load()
	if idx == nil {
		return 0
	}
	return idx.Manifest.Version
}

// ServeHTTP serves one request of a caller.
func (fro *Front) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	fro.active.Add(1)
	defer fro.active.Add(-1)
	now := fro.timers.Now()
	if fro.closing.Load() || len(req.TransferEncoding) > 0 {
		// A chunked request may have carried a length too, which the library drops; what follows it is not trusted.
		wri.Header().Set("Connection", "close")
	}
	cal, ref := fro.dialect.Decode(req, now)
	if ref == nil {
		var job send.Job
		job, ref = fro.judge(cal, wri, req)
		if ref == nil {
			rep := fro.sender.Serve(req.Context(), job, wri)
			fro.logReport(job, rep)
			return
		}
	}
	fro.refuse(wri, req, cal, ref)
}

// judge decides route, workspace and size, and reads the body.
func (fro *Front) judge(cal *router.Call, wri http.ResponseWriter, req *http.Request) (job send.Job, ref *router.Refusal) {
	idx := fro.index.Load()
	if idx == nil || fro.refusing.Load() {
		return job, fro.unready("the node takes no requests now")
	}
	rou := idx.Find(cal.Host, cal.Path)
	if rou == nil {
		return job, fro.unless(router.Refuse(http.StatusNotFound, router.CodeRoute, "no route for %s%s", cal.Host, cal.Path))
	}
	acc := idx.Account(cal.Key)
	if acc == nil && idx.Keyed() && !rou.Public {
		return job, fro.unless(router.Refuse(http.StatusUnauthorized, router.CodeKey, "unknown key"))
	}
	if ref := fro.read(cal, wri, req, idx.Manifest.Limits); ref != nil {
		return job, ref
	}
	job = send.Job{
		Call:    cal,
		Route:   rou,
		Service: route.Service(rou, cal.ID),
		Tier:    route.Tier(rou, acc),
		Ranks:   idx.Ranks(rou, acc),
	}
	job.Engine = idx.Manifest.Services[job.Service].Engine
	if acc != nil {
		job.Workspace = acc.Name
	}
	return job, nil
}

// unless returns the refusal, or a temporary one while the manifest may be old.
func (fro *Front) unless(ref *router.Refusal) *router.Refusal {
	if fro.stale() {
		return fro.unready("the configuration may be out of date")
	}
	return ref
}

func (fro *Front) unready(msg string) (ref *router.Refusal) {
	ref = router.Refuse(http.StatusServiceUnavailable, router.CodeNotReady, "%s", msg)
	ref.RetryAfter = notReadyWait
	return ref
}

// read reads the body within the limits.
func (fro *Front) read(cal *router.Call, wri http.ResponseWriter, req *http.Request, lim router.CallerLimits) (ref *router.Refusal) {
	most := lim.BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if req.ContentLength > most {
		return router.Refuse(http.StatusRequestEntityTooLarge, router.CodeTooLarge, "the body is above %d bytes", most)
	}
	var err error
	if req.ContentLength > 0 {
		cal.Body = make([]byte, req.ContentLength)
		_, err = io.ReadFull(req.Body, cal.Body)
	} else {
		cal.Body, err = io.ReadAll(http.MaxBytesReader(wri, req.Body, most))
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return router.Refuse(http.StatusRequestEntityTooLarge, router.CodeTooLarge, "the body is above %d bytes", most)
	case err != nil:
		return router.Refuse(http.StatusBadRequest, router.CodeInvalid, "the body ended early")
	default:
		return nil
	}
}

func (fro *Front) refuse(wri http.ResponseWriter, req *http.Request, cal *router.Call, ref *router.Refusal) {
	id := ""
	if cal != nil {
		id = cal.ID
	}
	fro.meter.Event("refused_" + ref.Code)
	fro.log.Info("request refused", "Request", id, "Host", req.Host, "Path", req.URL.Path, "Status", ref.Status,
		"Code", ref.Code, "Manifest", fro.Version(), "Stale", fro.stale())
	send.WriteRefusal(wri, ref)
}

func (fro *Front) logReport(job send.Job, rep send.Report) {
	late := job.Route.Target > 0 && rep.FirstEvent > job.Route.Target || job.Route.GapTarget > 0 && rep.MaxPause > job.Route.GapTarget
	fro.routes.Observe(meter.RouteObservation{
		Route: job.Route.Name, Outcome: string(rep.Outcome), Status: rep.Status, FirstEvent: rep.FirstEvent, MaxPause: rep.MaxPause, Attempts: rep.Attempts, Late: late,
	})
	if rep.Outcome == router.Ran && rep.Reason == "" && !late && !fro.calm.Allow() {
		fro.meter.Event("line_left_out")
		return
	}
	est := rep.Estimate
	fro.log.Info("request done", "Request", job.Call.ID, "Route", job.Route.Name, "Workspace", job.Workspace, "Tier", job.Tier,
		"Outcome", rep.Outcome, "Status", rep.Status, "Upstream", rep.Upstream, "Sends", rep.Attempts, "Reason", rep.Reason,
		"PromptTokens", job.Call.PromptTokens, "HintTokens", job.Call.OutputTokens, "AheadTokens", est.AheadTokens, "ReadTokens", est.PrefillTokens, "Rank", est.Rank, "CopiedFrom", est.Source, "Slow", math.Round(10*est.Slowdown)/10,
		"FirstMs", rep.FirstEvent.Milliseconds(), "TargetMs", job.Route.Target.Milliseconds(),
		"PauseMs", rep.MaxPause.Milliseconds(), "PauseTargetMs", job.Route.GapTarget.Milliseconds(),
		"TookMs", fro.timers.Now().Sub(job.Call.Arrived).Milliseconds(), "Late", late, "Events", rep.Events, "Manifest", fro.Version())
}
