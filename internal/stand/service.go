package stand

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// Execution is one call that a Service executed.
type Execution struct {
	Service string
	// Request is the router's identifier of the call.
	Request string
	Key     string
	Path    string
	Digest  string
	At      time.Time
}

// Service is a stand-in for a plain service; it executes whatever it is sent.
type Service struct {
	name    string
	work    time.Duration
	faults  *Switch
	journal *os.File
	mut     sync.Mutex
}

// NewService returns a Service that works for a time on each call, and appends executions to the journal unless it is nil.
func NewService(name string, work time.Duration, swt *Switch, journal *os.File) *Service {
	return &Service{name: name, work: work, faults: swt, journal: journal}
}

// Handler serves every path as a call.
func (srv *Service) Handler() http.Handler {
	return srv.faults.Wrap(http.HandlerFunc(srv.call))
}

func (srv *Service) call(wri http.ResponseWriter, req *http.Request) {
	bdy, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	sum := sha256.Sum256(bdy)
	exe := Execution{
		Service: srv.name,
		Request: req.Header.Get("Hornbeamdyke-Request"),
		Key:     req.Header.Get("Idempotency-Key"),
		Path:    req.URL.Path,
		Digest:  hex.EncodeToString(sum[:]),
		At:      time.Now(),
	}
	srv.record(exe)
	pause(req.Context(), srv.faults.Stretch(srv.work))
	if srv.faults.Silent(req.Context()) {
		<-req.Context().Done()
		return
	}
	if srv.faults.Lose() {
		cut()
	}
	wri.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(wri, `{"Service":%q,"Path":%q,"Key":%q,"Digest":%q}`, srv.name, exe.Path, exe.Key, exe.Digest)
}

// record notes an execution before it is answered, so that no fault hides it.
func (srv *Service) record(exe Execution) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	if srv.journal == nil {
		return
	}
	if err := json.NewEncoder(srv.journal).Encode(exe); err != nil {
		panic(err)
	}
}
