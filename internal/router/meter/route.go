package meter

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// RouteObservation is the measured result of a request on a route.
type RouteObservation struct {
	Route string
	// Outcome is a value of router.Outcome.
	Outcome string
	// Status is the HTTP status sent to the caller; zero when the caller disconnected first.
	Status int
	// FirstEvent is the time to the first event of a stream or to the end of a plain answer; zero when
	// there was none.
	FirstEvent time.Duration
	// MaxGap is the longest gap between events; zero for plain answers.
	MaxGap time.Duration
	// Attempts is the number of times that the request was sent to an upstream.
	Attempts int
	// Late is set when the answer exceeded a latency objective of the route.
	Late bool
	// SavedTokens is how many tokens of the prompt were cached or copied at the engine, Wait the estimated time until it had
	// memory and a slot, and Passed why one that holds more of the prefix was passed over, by the estimate; see place.Estimate.
	SavedTokens int
	Wait        time.Duration
	Passed      string
}

// routeBuckets are the bounds of the histograms of routes, dense around targets of 100 ms to 3 s.
var routeBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 500 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second,
	2500 * time.Millisecond, 4 * time.Second, 8 * time.Second, 15 * time.Second,
}

// Routes records requests by route. It caches the metric scope of each route, so that requests need
// not create one.
type Routes struct {
	meter *Meter

	mut    sync.Mutex
	scopes map[string]tally.Scope
}

// NewRoutes returns a Routes that records to met.
func NewRoutes(met *Meter) *Routes {
	return &Routes{meter: met, scopes: make(map[string]tally.Scope)}
}

// Observe records a request.
func (rts *Routes) Observe(obs RouteObservation) {
	scp := rts.scope(obs.Route)
	scp.Counter("route_requests_" + obs.Outcome + "_" + strconv.Itoa(obs.Status)).Inc(1)
	if obs.Attempts > 1 {
		scp.Counter("route_repeats_total").Inc(int64(obs.Attempts - 1))
	}
	if obs.Late {
		scp.Counter("route_late_total").Inc(1)
	}
	if obs.FirstEvent > 0 {
		scp.Histogram("route_first_seconds", routeBuckets).RecordDuration(obs.FirstEvent)
	}
	if obs.MaxGap > 0 {
		scp.Histogram("route_pause_seconds", routeBuckets).RecordDuration(obs.MaxGap)
	}
	if obs.SavedTokens > 0 {
		scp.Counter("route_saved_tokens_total").Inc(int64(obs.SavedTokens))
	}
	if obs.Wait > 0 {
		scp.Histogram("route_room_wait_seconds", routeBuckets).RecordDuration(obs.Wait)
	}
	if obs.Passed != "" {
		scp.Counter("route_passed_" + strings.ToLower(obs.Passed) + "_total").Inc(1)
	}
}

func (rts *Routes) scope(route string) tally.Scope {
	rts.mut.Lock()
	defer rts.mut.Unlock()
	scp := rts.scopes[route]
	if scp == nil {
		scp = rts.meter.scope.Tagged(map[string]string{"route": route})
		rts.scopes[route] = scp
	}
	return scp
}
