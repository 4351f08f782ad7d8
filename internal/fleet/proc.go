package fleet

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

const (
	startTimeout = 20 * time.Second
	pollPeriod   = 20 * time.Millisecond
	pollTimeout  = time.Second
)

// Process is one process of a fleet.
type Process struct {
	Name string
	// URL is its address for requests.
	URL    string
	health string
	binary string
	args   []string
	dir    string
	env    []string

	mut  sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// Start runs the process and waits until it is healthy.
func (prc *Process) Start() (err error) {
	defer fault.Annotatef(&err, "start %s", prc.Name)
	if Healthy(context.Background(), prc.health, pollTimeout) {
		return errors.Errorf("%s is answered already; is another run under way?", prc.health)
	}
	log, err := os.OpenFile(filepath.Join(prc.dir, prc.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(prc.binary, prc.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), prc.env...)
	if err := cmd.Start(); err != nil {
		return err
	}
	don := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(don)
	}()
	prc.mut.Lock()
	prc.cmd, prc.done = cmd, don
	prc.mut.Unlock()
	return prc.await()
}

// Signal sends a signal to the process.
func (prc *Process) Signal(sig syscall.Signal) error {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	if prc.cmd == nil {
		return errors.New("not started")
	}
	return prc.cmd.Process.Signal(sig)
}

// Kill ends the process at once and waits until it is gone.
func (prc *Process) Kill() {
	if prc.Signal(syscall.SIGKILL) != nil {
		return
	}
	<-prc.Done()
}

// Done is closed when the process has ended.
func (prc *Process) Done() <-chan struct{} {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	return prc.done
}

// Log returns what the process has printed.
func (prc *Process) Log() string {
	txt, err := os.ReadFile(filepath.Join(prc.dir, prc.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(txt)
}

func (prc *Process) await() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		if Healthy(ctx, prc.health, pollTimeout) {
			return nil
		}
		select {
		case <-prc.Done():
			return errors.Errorf("ended early: %s", strings.TrimSpace(prc.Log()))
		case <-ctx.Done():
			return errors.Errorf("not healthy in time: %s", strings.TrimSpace(prc.Log()))
		case <-time.After(pollPeriod):
		}
	}
}

// Healthy reports whether a GET of the URL is answered with 200 within the limit.
func Healthy(ctx context.Context, url string, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}
