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

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

const (
	// startTimeout is how long a process may take to become healthy.
	startTimeout = 20 * time.Second
	pollPeriod   = 20 * time.Millisecond
	// pollTimeout limits a health check and a request to a stand-in.
	pollTimeout = time.Second
)

// Process is one process of a fleet. It can be started again after it has ended.
type Process struct {
	Name string
	// URL is the base URL for requests.
	URL string
	// health is the URL of the health check.
	health string
	binary string
	args   []string
	dir    string // of the log
	env    []string

	mut  sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has exited
}

// Start starts the process and waits until it is healthy. It fails if something answers at its address already.
func (prc *Process) Start() (err error) {
	defer errs.Annotatef(&err, "start %s", prc.Name)
	if Healthy(context.Background(), prc.health, pollTimeout) {
		return errors.Errorf("%s already answers; another fleet may be running on this machine", prc.health)
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
	return prc.awaitHealthy()
}

// Signal sends a signal to the process.
func (prc *Process) Signal(sig syscall.Signal) error {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	if prc.cmd == nil {
		return errors.New("process was not started")
	}
	return prc.cmd.Process.Signal(sig)
}

// Kill kills the process, if it was started, and waits until it has exited.
func (prc *Process) Kill() {
	if prc.Signal(syscall.SIGKILL) != nil {
		return
	}
	<-prc.Done()
}

// Done returns a channel that is closed when the process has exited.
func (prc *Process) Done() <-chan struct{} {
	prc.mut.Lock()
	defer prc.mut.Unlock()
	return prc.done
}

// Log returns the output of the process since the first start, or the error of reading it.
func (prc *Process) Log() string {
	txt, err := os.ReadFile(filepath.Join(prc.dir, prc.Name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(txt)
}

func (prc *Process) awaitHealthy() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for {
		if Healthy(ctx, prc.health, pollTimeout) {
			return nil
		}
		select {
		case <-prc.Done():
			return errors.Errorf("process exited before it was healthy: %s", strings.TrimSpace(prc.Log()))
		case <-ctx.Done():
			return errors.Errorf("process not healthy after the start timeout: %s", strings.TrimSpace(prc.Log()))
		case <-time.After(pollPeriod):
		}
	}
}

// Healthy reports whether a GET of the URL returns status 200 within the limit.
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
