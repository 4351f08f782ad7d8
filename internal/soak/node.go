package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

// gracePeriod is the time that a node has to exit after SIGTERM.
const gracePeriod = 6 * time.Second

// node is a router node, run as a process that is started again after each exit.
type node struct {
	name string
	// listen is the address for callers.
	listen string
	// settings is the path of the settings file.
	settings string
	binary   string
	logFile  string
	// store is the proxy through which the node connects to the store.
	store *Proxy
	// duties is the proxy through which the node makes its duty calls.
	duties *Proxy

	mut sync.Mutex
	cmd *exec.Cmd
	// done is closed when the newest process has ended.
	done chan struct{}
}

// newNode returns a node that is not started yet, and writes its settings.
func newNode(opt Options, num int, store, duties *Proxy) (nod *node, err error) {
	defer errs.Annotatef(&err, "prepare node %d", num)
	adrs, err := freeAddresses(opt.Seed, num)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n-%d", num)
	nod = &node{
		name: name, listen: adrs[0], binary: opt.Binary, store: store, duties: duties,
		settings: filepath.Join(opt.Dir, name+".yaml"), logFile: filepath.Join(opt.Dir, name+".log"),
	}
	txt := fmt.Sprintf(`Name: %s
FailureDomain: here
Region: home
Listen: %s
Admin: %s
Platform:
  Store: %s
  Mesh: %s
  FailureDomains:
    - Name: here
      Region: home
  Grace: %s
  RetryShare: 0.2
  RetryReserve: 100
%s`, name, adrs[0], adrs[1], store.Address(), adrs[2], gracePeriod, dutySettings(duties.Address()))
	return nod, os.WriteFile(nod.settings, []byte(txt), 0o600)
}

// freeAddresses returns three free addresses. Each node of each seed has its own loopback IP, so
// that no other node, concurrent run or outgoing connection takes one of the ports before the node
// listens on it.
func freeAddresses(seed uint64, num int) (adrs [3]string, err error) {
	for idx := range adrs {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", num+1, seed/250%250, seed%250+1))
		if err != nil {
			return adrs, err
		}
		// All listeners stay open until the function returns, so that no port is chosen twice.
		defer func() { _ = lis.Close() }()
		adrs[idx] = lis.Addr().String()
	}
	return adrs, nil
}

// restartAfter starts the process again unless another fault has already replaced the one that
// ended.
func (nod *node) restartAfter(ended <-chan struct{}) (err error) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	if nod.done != ended {
		return nil
	}
	return nod.start()
}

// start starts the process and appends its output to the log file. The caller holds the lock,
// except on the first start.
func (nod *node) start() (err error) {
	defer errs.Annotatef(&err, "start %s", nod.name)
	out, err := os.OpenFile(nod.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(nod.binary, "serve", "--node", nod.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	nod.cmd, nod.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the newest process if it still runs, and returns a channel that is
// closed when that process has ended.
func (nod *node) signal(sig syscall.Signal) (done <-chan struct{}) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	select {
	case <-nod.done:
	default:
		_ = nod.cmd.Process.Signal(sig)
	}
	return nod.done
}

// waitFor reports whether done is closed within the limit.
func waitFor(done <-chan struct{}, limit time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
