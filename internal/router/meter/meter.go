package meter

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Observation is the measured result of a request to a pool.
type Observation struct {
	Workspace string
	Class     router.Class
	Pool      string
	Outcome   router.Outcome
	Status    int
	// FirstToken is the time from arrival to the first token or, for services, to the end of the
	// answer; zero when there was none.
	FirstToken time.Duration
	// LateTokens counts the gaps between tokens that exceed the class's target.
	LateTokens int
	Tokens     int
	// CallerGone is set when the caller disconnected before the end of the answer.
	CallerGone bool
}

// maxLateShare is the maximum share of late tokens with which a request still meets its target.
const maxLateShare = 0.05

// MetTarget reports whether an upstream answered the request, without a server error, within its
// class's latency targets.
func (obs Observation) MetTarget() bool {
	if obs.Outcome != router.Ran || obs.Status >= http.StatusInternalServerError || obs.FirstToken == 0 {
		return false
	}
	return obs.FirstToken <= obs.Class.FirstToken && float64(obs.LateTokens) <= maxLateShare*float64(obs.Tokens)
}

// Counted reports whether the request counts towards its class's objective. Client errors (4xx) and
// requests whose caller disconnected do not.
func (obs Observation) Counted() bool {
	return !obs.CallerGone && (obs.Status < http.StatusBadRequest || obs.Status >= http.StatusInternalServerError)
}

// Meter records the metrics of one node.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

const reportPeriod = time.Second

// latencyBuckets are the bounds of the first-token histogram: 1 ms, doubled up to 32.8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// New returns a Meter whose metrics have the label node. A metric that cannot be registered is logged
// and omitted.
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

// Observe records a request.
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
		met.countObjective(obs)
	}
	if obs.FirstToken > 0 {
		met.classScope(obs.Class).Histogram("first_token_seconds", latencyBuckets).RecordDuration(obs.FirstToken)
	}
}

// Gauge sets a gauge with the labels pool and upstream, which may be empty.
func (met *Meter) Gauge(name, pool, upstream string, val float64) {
	met.scope.Tagged(map[string]string{"pool": pool, "upstream": upstream}).Gauge(name).Update(val)
}

// Event increments the counter of events with the label event set to name.
func (met *Meter) Event(name string) {
	met.scope.Tagged(map[string]string{"event": name}).Counter("events_total").Inc(1)
}

// Close stops the reporting of metrics.
func (met *Meter) Close() (err error) {
	defer errs.Annotate(&err, "close metrics")
	return met.closer.Close()
}

func (met *Meter) countObjective(obs Observation) {
	scp := met.classScope(obs.Class)
	scp.Counter("objective_total").Inc(1)
	if !obs.MetTarget() {
		scp.Counter("objective_missed_total").Inc(1)
	}
}

func (met *Meter) classScope(cls router.Class) tally.Scope {
	return met.scope.Tagged(map[string]string{"class": cls.Name})
}
