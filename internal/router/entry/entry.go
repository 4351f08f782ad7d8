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

// Options are the dependencies of an API.
type Options struct {
	Timers  router.Timers
	Limiter *limit.Limiter
	Runner  *runner.Runner
	Log     *slog.Logger
	Node    string
	// Observe is called once for each request, when it ends.
	Observe func(obs meter.Observation)
	// Ready reports whether the node accepts traffic.
	Ready func() bool
	// AwaitConfig is called before each request. After a pause of the process, when the
	// configuration in memory may be out of date, it waits for the newest one for a limited time.
	AwaitConfig func(ctx context.Context)
}

// API serves the callers of one node.
type API struct {
	options Options
	index   atomic.Pointer[configIndex]
	// active is the number of requests in progress.
	active atomic.Int64
}

// New returns an API that refuses requests until Configure is called.
func New(opt Options) *API {
	return &API{options: opt}
}

// Configure replaces the configuration for requests that arrive from now on.
func (api *API) Configure(cfg conf.Config) {
	api.index.Store(newConfigIndex(cfg))
}

// Active returns the number of requests in progress.
func (api *API) Active() int {
	return int(api.active.Load())
}

// Handler returns the HTTP handler of the API, with the health and readiness probes.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", api.handle(api.serveChat))
	mux.HandleFunc("GET /v1/models", api.handle(api.serveModels))
	mux.HandleFunc("/services/{pool}/{path...}", api.handle(api.serveService))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(wri http.ResponseWriter, _ *http.Request) {
		if !api.options.Ready() {
			http.Error(wri, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", api.handle(func(exc *exchange) error {
		return router.Refuse(http.StatusNotFound, router.CodeOperation, "no operation %s %s", exc.request.Method, exc.request.URL.Path)
	}))
	return mux
}

// exchange is one request and its response.
type exchange struct {
	id        string
	index     *configIndex
	request   *http.Request
	writer    http.ResponseWriter
	workspace router.Workspace
	class     router.Class
	pool      router.Pool
	arrived   time.Time
	// observed is filled in as the request proceeds, and reported when it ends.
	observed meter.Observation
	// streaming is set once a stream began. From then on an error is sent as an event.
	streaming bool
}

// handle returns the handler of an operation. It authenticates and admits the request, runs the
// operation, writes its error to the caller and reports the observation.
func (api *API) handle(opn func(exc *exchange) error) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		api.active.Add(1)
		defer api.active.Add(-1)
		api.options.AwaitConfig(req.Context())
		exc := &exchange{id: uuid.NewString(), index: api.index.Load(), request: req, writer: wri, arrived: api.options.Timers.Now()}
		wri.Header().Set(router.HeaderNode, api.options.Node)
		wri.Header().Set(router.HeaderRequest, exc.id)
		err := api.admit(exc, opn)
		api.finish(exc, err)
	}
}

func (api *API) admit(exc *exchange, opn func(exc *exchange) error) (err error) {
	if exc.index == nil {
		return router.Refuse(http.StatusServiceUnavailable, router.CodeNotReady, "the node has no configuration yet")
	}
	exc.workspace, err = exc.index.workspace(exc.request)
	if err != nil {
		return err
	}
	exc.class, err = exc.index.class(exc.request, exc.workspace)
	if err != nil {
		return err
	}
	release, err := api.options.Limiter.Admit(exc.workspace.Name, exc.arrived)
	if err != nil {
		return err
	}
	defer release()
	return opn(exc)
}

// finish reports the observation and writes err, if any, to the caller.
func (api *API) finish(exc *exchange, err error) {
	obs := &exc.observed
	obs.Workspace, obs.Class, obs.Pool = exc.workspace.Name, exc.class, exc.pool.Name
	if err == nil {
		api.options.Observe(*obs)
		return
	}
	ref := refusalOf(err)
	if exc.request.Context().Err() != nil {
		obs.CallerGone = true
	}
	obs.Outcome, obs.Status = ref.Outcome, ref.Status
	api.options.Log.Info("request refused", "Request", exc.id, "Workspace", obs.Workspace, "Class", obs.Class.Name,
		"Code", ref.Code, "Outcome", string(ref.Outcome), "Status", ref.Status, "Reason", ref.Message)
	api.options.Observe(*obs)
	if exc.streaming {
		exc.writeErrorEvent(ref)
		return
	}
	exc.writeError(ref)
}

// refusalOf converts an error to the refusal that the caller gets. For an error that is not a
// refusal it is unknown whether an upstream executed the request.
func refusalOf(err error) *router.Refusal {
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
	errorTypeRequest = "invalid_request_error"
	errorTypeServer  = "server_error"
	// retryAfterSeconds is the Retry-After of responses with status 429 or 503.
	retryAfterSeconds = "1"
)

func newErrorBody(ref *router.Refusal) errorBody {
	typ := errorTypeServer
	if ref.Status < http.StatusInternalServerError {
		typ = errorTypeRequest
	}
	return errorBody{Error: errorDetail{Message: ref.Message, Type: typ, Code: ref.Code, Outcome: ref.Outcome}}
}

func (exc *exchange) writeError(ref *router.Refusal) {
	hdr := exc.writer.Header()
	hdr.Set("Content-Type", "application/json")
	hdr.Set(router.HeaderOutcome, string(ref.Outcome))
	if ref.Status == http.StatusTooManyRequests || ref.Status == http.StatusServiceUnavailable {
		hdr.Set("Retry-After", retryAfterSeconds)
	}
	exc.writer.WriteHeader(ref.Status)
	// The caller may have disconnected; then there is nobody to report the error to.
	_ = json.NewEncoder(exc.writer).Encode(newErrorBody(ref))
}

// readBody reads the request body within the configured limit.
func (exc *exchange) readBody() (raw []byte, err error) {
	lim := exc.index.config.Limits.BodyBytes
	raw, err = io.ReadAll(http.MaxBytesReader(exc.writer, exc.request.Body, int64(lim)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, router.Refuse(http.StatusRequestEntityTooLarge, router.CodeTooLarge, "the body is larger than %d bytes", lim)
	}
	if err != nil {
		return nil, router.Refuse(http.StatusBadRequest, router.CodeInvalid, "the body cannot be read: %v", err)
	}
	return raw, nil
}

// writeAnswer writes an upstream's complete answer to the caller. With a 5xx status it is unknown
// whether the upstream executed the request.
func (api *API) writeAnswer(exc *exchange, ans *router.Answer) {
	hdr := exc.writer.Header()
	for nam, vls := range ans.Header {
		if forwardsHeader(nam) {
			hdr[nam] = vls
		}
	}
	out := router.Ran
	if ans.Status >= http.StatusInternalServerError {
		out = router.Unknown
	}
	hdr.Set(router.HeaderOutcome, string(out))
	hdr.Set(router.HeaderUpstream, ans.Upstream)
	exc.observed.Outcome, exc.observed.Status = out, ans.Status
	exc.observed.FirstToken = api.options.Timers.Now().Sub(exc.arrived)
	exc.writer.WriteHeader(ans.Status)
	_, _ = exc.writer.Write(ans.Body)
}

// forwardsHeader reports whether a header of an upstream's answer is forwarded. Headers that concern
// only the connection, and those that the router sets, are not.
func forwardsHeader(nam string) bool {
	switch nam {
	case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Date", "Trailer", "Upgrade",
		router.HeaderOutcome, router.HeaderUpstream, router.HeaderNode, router.HeaderRequest:
		return false
	}
	return true
}
