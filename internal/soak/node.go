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

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 6 * time.Second

// node is a process of the product, started again whenever it ended.
type node struct {
	name   string
	listen string
	file   string
	binary string
	log    string
	store  *Proxy

	mut sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process ended.
	done chan struct{}
}

// newNode writes the settings of a node.
func newNode(opt Options, num int, store *Proxy) (nod *node, err error) {
	defer fault.Annotatef(&err, "prepare node %d", num)
	adrs, err := addresses(opt.Seed, num)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("n-%d", num)
	nod = &node{
		name: name, listen: adrs[0], binary: opt.Binary, store: store,
		file: filepath.Join(opt.Dir, name+".yaml"), log: filepath.Join(opt.Dir, name+".log"),
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
`, name, adrs[0], adrs[1], store.Address(), adrs[2], grace)
	return nod, os.WriteFile(nod.file, []byte(txt), 0o600)
}

// addresses returns three free addresses; each node of each seed has a loopback address of its own, so that other nodes, runs beside this one and outgoing connections take no port of it.
func addresses(seed uint64, num int) (adrs [3]string, err error) {
	for idx := range adrs {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", num+1, seed/250%250, seed%250+1))
		if err != nil {
			return adrs, err
		}
		// Open until all are chosen, so that no port comes twice.
		defer func() { _ = lis.Close() }()
		adrs[idx] = lis.Addr().String()
	}
	return adrs, nil
}

// startAgain runs the process if the one that ended is still the newest.
func (nod *node) startAgain(ended <-chan struct{}) (err error) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	if nod.done != ended {
		return nil
	}
	return nod.start()
}

// start runs the process; its lines go to the node's log. The lock is held once the node has run.
func (nod *node) start() (err error) {
	defer fault.Annotatef(&err, "start %s", nod.name)
	out, err := os.OpenFile(nod.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(nod.binary, "serve", "--node", nod.file)
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

// signal sends a signal to the process that this soak started, and returns what is closed when that process ends.
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

// within reports whether a process ended within a time.
func within(done <-chan struct{}, limit time.Duration) bool {
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
