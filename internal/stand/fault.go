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

// ControlPath is where faults are switched.
const ControlPath = "/control"

// HealthPath answers 200 while the stand-in serves.
const HealthPath = "/health"

// Faults are the faults of a stand-in; the zero value is none.
type Faults struct {
	// Slow multiplies all times; 0 counts as 1.
	Slow float64
	// DelayMs delays every answer, in milliseconds.
	DelayMs int
	// Refuse answers 503 to everything.
	Refuse bool
	// Crash ends the process at once.
	Crash bool
	// SilenceOld makes the connections that are open now accept writes and never answer.
	SilenceOld bool
	// LoseShare is the share of executed requests, from 0 to 1, whose connection is cut in place of an answer.
	LoseShare float64
	// LagMs is the age of load reports and of the VM list, in milliseconds.
	LagMs int
}

type connKey struct{}

// Switch holds the faults in force and applies the common ones.
type Switch struct {
	mut        sync.Mutex
	faults     Faults
	generation int
	rnd        *rand.Rand
}

// NewSwitch returns a Switch without faults and with a seed for shares.
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

// Stretch returns a time multiplied by the slowness in force.
func (swt *Switch) Stretch(dur time.Duration) time.Duration {
	slw := swt.Faults().Slow
	if slw <= 0 {
		return dur
	}
	return time.Duration(float64(dur) * slw)
}

// Lose reports whether the next answer is to be lost.
func (swt *Switch) Lose() bool {
	swt.mut.Lock()
	defer swt.mut.Unlock()
	return swt.faults.LoseShare > 0 && swt.rnd.Float64() < swt.faults.LoseShare
}

// ConnContext marks a connection with the generation in which it was opened.
func (swt *Switch) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	swt.mut.Lock()
	defer swt.mut.Unlock()
	return context.WithValue(ctx, connKey{}, swt.generation)
}

// Silent reports whether the request's connection must not answer any more.
func (swt *Switch) Silent(ctx context.Context) bool {
	gen, fnd := ctx.Value(connKey{}).(int)
	swt.mut.Lock()
	defer swt.mut.Unlock()
	return fnd && gen < swt.generation
}

// Wrap adds health and control to a handler and applies the common faults.
func (swt *Switch) Wrap(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+ControlPath, swt.control)
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
			pause(req.Context(), time.Duration(flt.DelayMs)*time.Millisecond)
		}
		next.ServeHTTP(wri, req)
	})
	return mux
}

func (swt *Switch) control(wri http.ResponseWriter, req *http.Request) {
	var flt Faults
	if err := json.NewDecoder(req.Body).Decode(&flt); err != nil {
		http.Error(wri, err.Error(), http.StatusBadRequest)
		return
	}
	swt.Set(flt)
}

// cut closes the connection without an answer.
func cut() {
	panic(http.ErrAbortHandler)
}

func pause(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}
