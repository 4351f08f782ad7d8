package entry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/limit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/runner"
)

// Options are what an Entry is built from.
type Options struct {
	Timers  router.Timers
	Limiter *limit.Limiter
	Runner  *runner.Runner
	Log     *slog.Logger
	Node    string
	// Observe is told of every request when it ends.
	Observe func(obs meter.Observation)
	// Ready reports whether the node takes traffic.
	Ready func() bool
	// Settle waits until the node has the configuration that is in force, if it was paused.
	Settle func(ctx context.Context)
}

// Entry is the callers' API of one node.
type Entry struct {
	options Options
	state   atomic.Pointer[state]
	// active counts the requests in progress.
	active atomic.Int64
}

// New returns an Entry that refuses requests until Configure.
func New(opt Options) *Entry {
	return &Entry{options: opt}
}

// Configure puts a configuration in force for requests that arrive from now on.
func (ent *Entry) Configure(cfg conf.Config) {
	ent.state.Store(newState(cfg))
}

// Active returns the number of requests in progress.
func (ent *Entry) Active() int {
	return int(ent.active.Load())
}

// Handler serves the API.
func (ent *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", ent.serve(ent.chat))
	mux.HandleFunc("GET /v1/models", ent.serve(ent.models))
	mux.HandleFunc("/services/{pool}/{path...}", ent.serve(ent.service))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(wri http.ResponseWriter, _ *http.Request) {
		if !ent.options.Ready() {
			http.Error(wri, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", ent.serve(func(visit *visit) error {
		return router.Refuse(http.StatusNotFound, router.CodeOperation, "no operation %s %s", visit.request.Method, visit.request.URL.Path)
	}))
	return mux
}

// visit is one request as it passes through the entry.
type visit struct {
	id        string
	state     *state
	request   *http.Request
	writer    http.ResponseWriter
	workspace router.Workspace
	class     router.Class
	pool      router.Pool
	arrived   time.Time
	// observed is filled as the request goes on.
	observed meter.Observation
	// begun is set when the response's header has been sent.
	begun bool
}

// serve wraps an operation with authentication, classification, limits, error envelopes and observation.
func (ent *Entry) serve(opn func(vis *visit) error) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		ent.active.Add(1)
		defer ent.active.Add(-1)
		ent.options.Settle(req.Context())
		vis := &visit{id: uuid.NewString(), state: ent.state.Load(), request: req, writer: wri, arrived: ent.options.Timers.Now()}
		wri.Header().Set(router.HeaderNode, ent.options.Node)
		wri.Header().Set(router.HeaderRequest, vis.id)
		err := ent.admit(vis, opn)
		ent.conclude(vis, err)
	}
}

func (ent *Entry) admit(vis *visit, opn func(vis *visit) error) (err error) {
	if vis.state == nil {
		return router.Refuse(http.StatusServiceUnavailable, router.CodeNotReady, "the node has no configuration yet")
	}
	vis.workspace, err = vis.state.workspace(vis.request)
	if err != nil {
		return err
	}
	vis.class, err = vis.state.class(vis.request, vis.workspace)
	if err != nil {
		return err
	}
	lev, err := ent.options.Limiter.Admit(vis.workspace.Name, vis.arrived)
	if err != nil {
		return err
	}
	defer lev()
	return opn(vis)
}

// conclude tells the caller of an error and records what the request met.
func (ent *Entry) conclude(vis *visit, err error) {
	obs := &vis.observed
	obs.Workspace, obs.Class, obs.Pool = vis.workspace.Name, vis.class, vis.pool.Name
	if err == nil {
		ent.options.Observe(*obs)
		return
	}
	ref := refusal(err)
	if vis.request.Context().Err() != nil {
		obs.CallerGone = true
	}
	obs.Outcome, obs.Status = ref.Outcome, ref.Status
	ent.options.Log.Info("request refused", "Request", vis.id, "Workspace", obs.Workspace, "Class", obs.Class.Name,
		"Code", ref.Code, "Outcome", string(ref.Outcome), "Status", ref.Status, "Reason", ref.Message)
	ent.options.Observe(*obs)
	if vis.begun {
		vis.failEvent(ref)
		return
	}
	vis.fail(ref)
}

// refusal returns what the caller is told of an error; whatever is not a refusal leaves the outcome open.
func refusal(err error) *router.Refusal {
	var ref *router.Refusal
	if errors.As(err, &ref) {
		return ref
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return router.RefuseUnknown(router.CodeDeadline, "the caller left: %v", err)
	}
	return router.RefuseUnknown(router.CodeUpstream, "%v", err)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Param   *string        `json:"param"`
	Code    string         `json:"code"`
	Outcome router.Outcome `json:"hornbeamdyke_outcome"`
}

const (
	typeCaller = "invalid_request_error"
	typeServer = "server_error"
	// retryAfter is the number of seconds after which a refused caller should come again.
	retryAfter = "1"
)

func envelope(ref *router.Refusal) errorBody {
	typ := typeServer
	if ref.Status < http.StatusInternalServerError {
		typ = typeCaller
	}
	return errorBody{Error: errorDetail{Message: ref.Message, Type: typ, Code: ref.Code, Outcome: ref.Outcome}}
}

func (vis *visit) fail(ref *router.Refusal) {
	hdr := vis.writer.Header()
	hdr.Set("Content-Type", "application/json")
	hdr.Set(router.HeaderOutcome, string(ref.Outcome))
	if ref.Status == http.StatusTooManyRequests || ref.Status == http.StatusServiceUnavailable {
		hdr.Set("Retry-After", retryAfter)
	}
	vis.writer.WriteHeader(ref.Status)
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(vis.writer).Encode(envelope(ref))
}

// readBody reads the request's body up to the configured limit.
func (vis *visit) readBody() (raw []byte, err error) {
	lim := vis.state.config.Limits.BodyBytes
	raw, err = io.ReadAll(http.MaxBytesReader(vis.writer, vis.request.Body, int64(lim)))
	var big *http.MaxBytesError
	if errors.As(err, &big) {
		return nil, router.Refuse(http.StatusRequestEntityTooLarge, router.CodeTooLarge, "the body is larger than %d bytes", lim)
	}
	if err != nil {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "the body cannot be read: %v", err)
	}
	return raw, nil
}

// writeAnswer passes an upstream's whole answer on.
func (ent *Entry) writeAnswer(vis *visit, ans *router.Answer) {
	hdr := vis.writer.Header()
	for nam, vls := range ans.Header {
		if passed(nam) {
			hdr[nam] = vls
		}
	}
	out := router.Ran
	if ans.Status >= http.StatusInternalServerError {
		out = router.Unknown
	}
	hdr.Set(router.HeaderOutcome, string(out))
	hdr.Set(router.HeaderUpstream, ans.Upstream)
	vis.observed.Outcome, vis.observed.Status = out, ans.Status
	vis.observed.FirstToken = ent.options.Timers.Now().Sub(vis.arrived)
	vis.writer.WriteHeader(ans.Status)
	_, _ = vis.writer.Write(ans.Body)
}

// passed reports whether an upstream's header goes to the caller; those of the connection and the router's own do not.
func passed(nam string) bool {
	switch nam {
	case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Date", "Trailer", "Upgrade",
		router.HeaderOutcome, router.HeaderUpstream, router.HeaderNode, router.HeaderRequest:
		return false
	}
	return true
}
