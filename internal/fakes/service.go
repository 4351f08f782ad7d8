package fakes

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

// Execution is the journal entry of one call that a Service executed.
type Execution struct {
	Service string
	// Request is the router's ID of the call.
	Request string
	// Key is the idempotency key.
	Key  string
	Path string
	// Digest is the SHA-256 of the body in hexadecimal.
	Digest string
	At     time.Time
}

// Service is a fake of a plain HTTP service; it executes every request.
type Service struct {
	name    string
	work    time.Duration
	faults  *Injector
	journal *os.File
	mut     sync.Mutex
}

// NewService returns a Service that spends the duration work on each call. It appends each
// execution to the journal as a line of JSON unless the journal is nil.
func NewService(name string, work time.Duration, inj *Injector, journal *os.File) *Service {
	return &Service{name: name, work: work, faults: inj, journal: journal}
}

// Handler executes requests to all paths.
func (srv *Service) Handler() http.Handler {
	return srv.faults.Wrap(http.HandlerFunc(srv.handleCall))
}

func (srv *Service) handleCall(wri http.ResponseWriter, req *http.Request) {
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
	sleep(req.Context(), srv.faults.Scale(srv.work))
	if srv.faults.IsSilenced(req.Context()) {
		<-req.Context().Done()
		return
	}
	if srv.faults.DropAnswer() {
		abortConn()
	}
	wri.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(wri, `{"Service":%q,"Path":%q,"Key":%q,"Digest":%q}`, srv.name, exe.Path, exe.Key, exe.Digest)
}

// record writes an execution to the journal. It runs before the answer, so that faults cannot hide
// an execution.
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
