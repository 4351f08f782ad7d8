package fakes

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

// Injector injects faults into an HTTP handler. It holds the faults in force and applies those that
// all handlers share.
type Injector struct {
	mut    sync.Mutex
	faults Faults
	// generation counts the SilenceOld faults so far. Connections of earlier generations are
	// silenced.
	generation int
	rnd        *rand.Rand
}

// NewInjector returns an Injector without faults. The seed is for the random choice of LoseShare.
func NewInjector(seed uint64) *Injector {
	return &Injector{rnd: rand.New(rand.NewPCG(seed, seed))}
}

// Faults returns the faults in force.
func (inj *Injector) Faults() Faults {
	inj.mut.Lock()
	defer inj.mut.Unlock()
	return inj.faults
}

// Set replaces the faults.
func (inj *Injector) Set(flt Faults) {
	if flt.Crash {
		os.Exit(1)
	}
	inj.mut.Lock()
	defer inj.mut.Unlock()
	if flt.SilenceOld {
		inj.generation++
	}
	inj.faults = flt
}

// Scale returns a duration multiplied by Slow.
func (inj *Injector) Scale(dur time.Duration) time.Duration {
	slw := inj.Faults().Slow
	if slw <= 0 {
		return dur
	}
	return time.Duration(float64(dur) * slw)
}

// DropAnswer reports whether to drop the answer to an executed request, at random with the
// probability LoseShare.
func (inj *Injector) DropAnswer() bool {
	inj.mut.Lock()
	defer inj.mut.Unlock()
	return inj.faults.LoseShare > 0 && inj.rnd.Float64() < inj.faults.LoseShare
}

// ConnContext stores the current generation in the context of a new connection; it is for
// http.Server.
func (inj *Injector) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	inj.mut.Lock()
	defer inj.mut.Unlock()
	return context.WithValue(ctx, connKey{}, inj.generation)
}

// IsSilenced reports whether the connection of a request is silenced by SilenceOld, given the
// request's context.
func (inj *Injector) IsSilenced(ctx context.Context) bool {
	gen, fnd := ctx.Value(connKey{}).(int)
	inj.mut.Lock()
	defer inj.mut.Unlock()
	return fnd && gen < inj.generation
}

// Wrap adds HealthPath and ControlPath to a handler and applies the faults that all handlers share.
func (inj *Injector) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ControlPath, inj.handleControl)
	mux.HandleFunc("GET "+HealthPath, func(wri http.ResponseWriter, _ *http.Request) {
		if inj.Faults().Refuse {
			http.Error(wri, "refusing", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("/", func(wri http.ResponseWriter, req *http.Request) {
		flt := inj.Faults()
		if inj.IsSilenced(req.Context()) {
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

func (inj *Injector) handleControl(wri http.ResponseWriter, req *http.Request) {
	var flt Faults
	if err := json.NewDecoder(req.Body).Decode(&flt); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	inj.Set(flt)
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
