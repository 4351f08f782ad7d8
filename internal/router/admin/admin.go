package admin

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/sched"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Prefix is the path prefix of all resources that need an operator's key.
const Prefix = "/admin/v1"

// Status is the state of a node.
type Status struct {
	Node          string
	FailureDomain string
	Region        string
	Ready         bool
	Stopping      bool
	// Revision is the number of the installed revision, or 0 if the node runs from its configuration files.
	Revision uint64
	// Active is the number of requests in flight.
	Active    int
	Upstreams []sched.UpstreamStatus
	Members   []Member
}

// Member is a node of the cluster, as listed in the membership table of the node that answers.
type Member struct {
	Name          string
	FailureDomain string
	// State is Live, Suspect, Leaving or Dead.
	State string
	// Incarnation is raised only by the member itself; the state with the highest one is valid.
	Incarnation uint64
	Revision    uint64
	// Admin is the address of the member's API, as a URL or as host and port.
	Admin string
}

// URL returns the base URL of the member's API.
func (mem Member) URL() string {
	if strings.Contains(mem.Admin, "://") {
		return mem.Admin
	}
	return "http://" + mem.Admin
}

// Node is the node that the API controls.
type Node interface {
	// Status returns the state of the node.
	Status() Status
	// Configuration returns the installed revision, or nil if the node runs from its configuration files.
	Configuration() *wire.Revision
	// History returns up to limit revisions, newest first. The error is router.ErrUnavailable if the table
	// service does not answer.
	History(ctx context.Context, limit int) (rvs []*wire.Revision, err error)
	// Accept stores a change as the revision that follows base and returns its number.
	//
	// The error is conf.Errors, a *revise.Conflict, revise.ErrUncertain or router.ErrUnavailable.
	Accept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error)
	// Burn returns the error-budget report of the node's requests.
	Burn() burn.Report
	// Drain begins a graceful stop.
	Drain()
}

// Options configure an API.
type Options struct {
	Live    *conf.Live
	Node    Node
	Metrics http.Handler
	Log     *slog.Logger
	// Ready reports whether the node has a configuration and is not stopping.
	Ready func() bool
}

// API serves the operators of one node.
type API struct {
	options Options
}

// New returns an API; Handler serves it.
func New(opt Options) *API {
	return &API{options: opt}
}

// Handler returns the HTTP handler of all resources.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", api.options.Metrics)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(wri http.ResponseWriter, _ *http.Request) {
		if !api.options.Ready() {
			http.Error(wri, "not ready", http.StatusServiceUnavailable)
		}
	})
	api.addQueries(mux)
	api.addCommands(mux)
	return mux
}

// Failure is the body of an error response.
type Failure struct {
	Code    string
	Message string
	// Errors lists the errors in a rejected configuration.
	Errors []string `json:",omitempty"`
	// Head is the newest revision, if the change conflicts with it.
	Head uint64 `json:",omitempty"`
	// Base is the revision that a conflicting change was made against.
	Base uint64 `json:",omitempty"`
}

const (
	bearerPrefix       = "Bearer "
	codeInvalidKey     = "InvalidKey"
	codeRoleNotAllowed = "RoleNotAllowed"
)

// operatorHandler serves a request of an authenticated operator.
type operatorHandler func(wri http.ResponseWriter, req *http.Request, opr conf.Operator)

// requireRole authenticates the operator and calls next if the operator has one of the roles.
func (api *API) requireRole(next operatorHandler, rls ...conf.Role) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		opr, fnd := api.authenticate(req)
		if !fnd {
			writeJSON(wri, http.StatusUnauthorized, Failure{Code: codeInvalidKey, Message: "send an operator's key as a bearer token"})
			return
		}
		for _, rol := range rls {
			if opr.Role == rol {
				next(wri, req, opr)
				return
			}
		}
		writeJSON(wri, http.StatusForbidden, Failure{Code: codeRoleNotAllowed, Message: "the operator's role does not allow this"})
	}
}

// authenticate returns the operator whose key the request carries.
func (api *API) authenticate(req *http.Request) (opr conf.Operator, found bool) {
	hdr := req.Header.Get("Authorization")
	if !strings.HasPrefix(hdr, bearerPrefix) {
		return conf.Operator{}, false
	}
	dig := entry.KeyDigest(strings.TrimPrefix(hdr, bearerPrefix))
	for _, opr := range api.options.Live.Get().Operators {
		if opr.KeyDigest == dig {
			return opr, true
		}
	}
	return conf.Operator{}, false
}

// writeJSON writes a JSON response.
func writeJSON(wri http.ResponseWriter, status int, val any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// The status is already sent, so an error, such as a disconnected client, cannot be reported.
	_ = json.NewEncoder(wri).Encode(val)
}
