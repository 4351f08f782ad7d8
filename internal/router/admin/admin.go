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

// Prefix is the root of the operators' API.
const Prefix = "/admin/v1"

// Status describes a node.
type Status struct {
	Node          string
	FailureDomain string
	Region        string
	Ready         bool
	Stopping      bool
	Revision      uint64
	Active        int
	Upstreams     []sched.UpstreamStatus
	Members       []Member
}

// Member is another node as this one sees it.
type Member struct {
	Name          string
	FailureDomain string
	State         string
	Incarnation   uint64
	Revision      uint64
	// Admin is the address of the member's operators' API.
	Admin string
}

// URL returns the base URL of the member's operators' API.
func (mem Member) URL() string {
	if strings.Contains(mem.Admin, "://") {
		return mem.Admin
	}
	return "http://" + mem.Admin
}

// Node is what the API needs of the node it serves.
type Node interface {
	// Status describes the node.
	Status() Status
	// Configuration returns the revision in force, or nil when files are.
	Configuration() *wire.Revision
	// History returns up to limit revisions, the newest first, or router.ErrUnavailable.
	History(ctx context.Context, limit int) (rvs []*wire.Revision, err error)
	// Accept makes a change the next revision after base and returns its number.
	//
	// The error is conf.Errors, a *revise.Conflict, revise.ErrUncertain or router.ErrUnavailable.
	Accept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error)
	// Burn returns how the node's requests met their objectives.
	Burn() burn.Report
	// Drain begins a graceful stop.
	Drain()
}

// Options are what an API is built from.
type Options struct {
	Live    *conf.Live
	Node    Node
	Metrics http.Handler
	Log     *slog.Logger
	// Ready reports whether the node takes traffic.
	Ready func() bool
}

// API is the operators' API of one node.
type API struct {
	options Options
}

// New returns an API.
func New(opt Options) *API {
	return &API{options: opt}
}

// Handler serves the API.
func (api *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", api.options.Metrics)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(wri http.ResponseWriter, _ *http.Request) {
		if !api.options.Ready() {
			http.Error(wri, "not ready", http.StatusServiceUnavailable)
		}
	})
	api.queries(mux)
	api.commands(mux)
	return mux
}

// Failure is the body of an error response.
type Failure struct {
	Code    string
	Message string
	// Errors are the faults of a rejected configuration.
	Errors []string `json:",omitempty"`
	// Head is the highest accepted revision, with a conflict.
	Head uint64 `json:",omitempty"`
	// Base is the revision that the change was made against, with a conflict.
	Base uint64 `json:",omitempty"`
}

const (
	bearer        = "Bearer "
	codeKey       = "InvalidKey"
	codeForbidden = "RoleNotAllowed"
)

// handler answers a request of an operator.
type handler func(wri http.ResponseWriter, req *http.Request, opr conf.Operator)

// allow lets an operator with one of the roles pass.
func (api *API) allow(next handler, rls ...conf.Role) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		opr, fnd := api.operator(req)
		if !fnd {
			Reply(wri, http.StatusUnauthorized, Failure{Code: codeKey, Message: "send an operator's key as a bearer token"})
			return
		}
		for _, rol := range rls {
			if opr.Role == rol {
				next(wri, req, opr)
				return
			}
		}
		Reply(wri, http.StatusForbidden, Failure{Code: codeForbidden, Message: "the operator's role does not allow this"})
	}
}

func (api *API) operator(req *http.Request) (opr conf.Operator, found bool) {
	hdr := req.Header.Get("Authorization")
	if !strings.HasPrefix(hdr, bearer) {
		return conf.Operator{}, false
	}
	dig := entry.KeyDigest(strings.TrimPrefix(hdr, bearer))
	for _, opr := range api.options.Live.Get().Operators {
		if opr.KeyDigest == dig {
			return opr, true
		}
	}
	return conf.Operator{}, false
}

// Reply writes a JSON response.
func Reply(wri http.ResponseWriter, status int, val any) {
	wri.Header().Set("Content-Type", "application/json")
	wri.WriteHeader(status)
	// The operator may be gone; there is nobody left to tell.
	_ = json.NewEncoder(wri).Encode(val)
}
