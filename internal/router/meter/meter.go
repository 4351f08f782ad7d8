package meter

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Observation is what one request met.
type Observation struct {
	Workspace string
	Class     router.Class
	Pool      string
	Outcome   router.Outcome
	Status    int
	// FirstToken is the time from arrival to the first token or the whole answer; zero when there was none.
	FirstToken time.Duration
	// LateTokens counts the gaps between tokens above the class's target.
	LateTokens int
	Tokens     int
	// CallerGone is set when the caller left first; such a request counts neither way.
	CallerGone bool
}

// lateShare is the share of late token gaps from which a request misses its target.
const lateShare = 0.05

// MetTarget reports whether the request met its class's target.
func (obs Observation) MetTarget() bool {
	if obs.Outcome != router.Ran || obs.Status >= http.StatusInternalServerError || obs.FirstToken == 0 {
		return false
	}
	return obs.FirstToken <= obs.Class.FirstToken && float64(obs.LateTokens) <= lateShare*float64(obs.Tokens)
}

// Counted reports whether the request counts towards its class's objective: refusals that are the caller's own do not.
func (obs Observation) Counted() bool {
	return !obs.CallerGone && (obs.Status < http.StatusBadRequest || obs.Status >= http.StatusInternalServerError)
}

// Meter is the metrics of one node.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

const reportPeriod = time.Second

// latencyBuckets are the bounds of the first-token histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// New returns a Meter whose metrics carry the node's name; a metric that cannot be registered is logged and left out.
func New(node string, log *slog.Logger) *Meter {
	reg := prom.NewRegistry()
	rep := prometheus.NewReporter(prometheus.Options{
		Registerer: reg,
		Gatherer:   reg,
		OnRegisterError: func(err error) {
			log.Error("metric not registered", "Error", err.Error())
		},
	})
	scp, clo := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "hornbeamdyke",
		Tags:            map[string]string{"node": node},
		CachedReporter:  rep,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportPeriod)
	return &Meter{scope: scp, closer: clo, reporter: rep}
}

// Handler serves the metrics in the Prometheus format.
func (met *Meter) Handler() http.Handler {
	return met.reporter.HTTPHandler()
}

// Observe records one request.
func (met *Meter) Observe(obs Observation) {
	tgs := met.scope.Tagged(map[string]string{
		"class":     obs.Class.Name,
		"workspace": obs.Workspace,
		"pool":      obs.Pool,
		"outcome":   string(obs.Outcome),
	})
	tgs.Counter("requests_total").Inc(1)
	tgs.Counter("tokens_total").Inc(int64(obs.Tokens))
	if obs.Counted() {
		met.count(obs)
	}
	if obs.FirstToken > 0 {
		met.class(obs.Class).Histogram("first_token_seconds", latencyBuckets).RecordDuration(obs.FirstToken)
	}
}

// Gauge sets a gauge with a tag for the pool and the upstream.
func (met *Meter) Gauge(name, pool, upstream string, val float64) {
	met.scope.Tagged(map[string]string{"pool": pool, "upstream": upstream}).Gauge(name).Update(val)
}

// Event counts something that happened on this node.
func (met *Meter) Event(name string) {
	met.scope.Tagged(map[string]string{"event": name}).Counter("events_total").Inc(1)
}

// Close stops reporting.
func (met *Meter) Close() (err error) {
	defer fault.Annotate(&err, "close metrics")
	return met.closer.Close()
}

func (met *Meter) count(obs Observation) {
	scp := met.class(obs.Class)
	scp.Counter("objective_total").Inc(1)
	if !obs.MetTarget() {
		scp.Counter("objective_missed_total").Inc(1)
	}
}

func (met *Meter) class(cls router.Class) tally.Scope {
	return met.scope.Tagged(map[string]string{"class": cls.Name})
}
