package stand

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// ControlPath is the path to which Faults are posted.
const ControlPath = "/control"

// HealthPath is the path that answers 200 unless Refuse is set.
const HealthPath = "/health"

// Faults are the faults in force; the zero value means none.
type Faults struct {
	// Slow multiplies the times of an Engine or Service; 0 counts as 1.
	Slow float64
	// DelayMs is the time in milliseconds by which every request is delayed.
	DelayMs int
	// Refuse makes every request but those to ControlPath fail with 503.
	Refuse bool
	// Crash ends the process immediately.
	Crash bool
	// SilenceOld makes the connections that are open now accept requests and never answer, also
	// after later changes of the faults.
	SilenceOld bool
	// LoseShare is the share of executed requests, from 0 to 1, whose connection is closed instead
	// of answered.
	LoseShare float64
	// LagMs is the time in milliseconds by which load metrics and changes of the VM list are
	// delayed.
	LagMs int
}

// connKey is the context key of the generation of a connection.
type connKey struct{}

// Switch injects faults into an HTTP handler. It holds the faults in force and applies those that
// all handlers share.
type Switch struct {
	mut    sync.Mutex
	faults Faults
	// generation counts the SilenceOld faults so far. Connections of earlier generations are
	// silenced.
	generation int
	rnd        *rand.Rand
}

// NewSwitch returns a Switch without faults. The seed is for the random choice of LoseShare.
func NewSwitch(seed uint64) *Switch {
	return &Switch{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Faults returns the faults in force.
func (swt *Switch) Faults() Faults {
	swt.mut.Lock()
	defer swt.mut.Unlock()
	return swt.faults
}

// Set replaces the faults.
func (swt *Switch) Set(flt Faults) {
	if flt.Crash {
		os.Exit(1)
	}
	swt.mut.Lock()
	defer swt.mut.Unlock()
	if flt.SilenceOld {
		swt.generation++
	}
	swt.faults = flt
}

// Stretch returns a duration multiplied by Slow.
func (swt *Switch) Stretch(dur time.Duration) time.Duration {
	slw := swt.Faults().Slow
	if slw <= 0 {
		return dur
	}
	return time.Duration(float64(dur) * slw)
}

// Lose reports whether to drop the answer to an executed request, at random with the probability
// LoseShare.
func (swt *Switch) Lose() bool {
	swt.mut.Lock()
	defer swt.mut.Unlock()
	return swt.faults.LoseShare > 0 && swt.rnd.Float64() < swt.faults.LoseShare
}

// ConnContext stores the current generation in the context of a new connection; it is for
// http.Server.
func (swt *Switch) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	swt.mut.Lock()
	defer swt.mut.Unlock()
	return context.WithValue(ctx, connKey{}, swt.generation)
}

// Silent reports whether the connection of a request is silenced by SilenceOld, given the request's
// context.
func (swt *Switch) Silent(ctx context.Context) bool {
	gen, fnd := ctx.Value(connKey{}).(int)
	swt.mut.Lock()
	defer swt.mut.Unlock()
	return fnd && gen < swt.generation
}

// Wrap adds HealthPath and ControlPath to a handler and applies the faults that all handlers share.
func (swt *Switch) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ControlPath, swt.handleControl)
	mux.HandleFunc("GET "+HealthPath, func(wri http.ResponseWriter, _ *http.Request) {
		if swt.Faults().Refuse {
			http.Error(wri, "refusing", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", func(wri http.ResponseWriter, req *http.Request) {
		flt := swt.Faults()
		if swt.Silent(req.Context()) {
			<-req.Context().Done()
			return
		}
		if flt.Refuse {
			http.Error(wri, "refusing", http.StatusServiceUnavailable)
			return
		}
		if flt.DelayMs > 0 {
			sleep(req.Context(), time.Duration(flt.DelayMs)*time.Millisecond)
		}
		next.ServeHTTP(wri, req)
	})
	return mux
}

func (swt *Switch) handleControl(wri http.ResponseWriter, req *http.Request) {
	var flt Faults
	if err := json.NewDecoder(req.Body).Decode(&flt); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	swt.Set(flt)
}

// abortConn makes the HTTP server close the connection without an answer.
func abortConn() {
	panic(http.ErrAbortHandler)
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}
