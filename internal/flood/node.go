package flood

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

// maxBodyBytes is the limit of request bodies in the configuration of the node.
const maxBodyBytes = 4 << 20

// sampleInterval is the time between two readings of the memory and the descriptors of a process.
const sampleInterval = 5 * time.Millisecond

// Options are the parameters of a Node.
type Options struct {
	// Binary is the path of the router's executable, and Dir the directory for its settings and log.
	Binary, Dir string
	// MemoryMebibytes and FileDescriptors are settings of the node.
	MemoryMebibytes, FileDescriptors int
	// Upstream answers the requests of callers, and UpstreamID is its ID.
	Upstream   http.Handler
	UpstreamID string
	// WrapStore, if not nil, wraps the store.
	WrapStore func(store http.Handler) http.Handler
}

// Node is a router process with a store and an upstream.
type Node struct {
	// Address is where callers connect.
	Address string
	// Store is the address of the platform's store; empty for a node that serves the product's own interface.
	Store string

	log   string
	cmd   *exec.Cmd
	stops []func()
	// done is closed when the process has ended, and sampled when no more samples are taken.
	done, sampled chan struct{}

	mut  sync.Mutex
	peak Usage
}

// Usage is what a process uses.
type Usage struct {
	// Bytes is the anonymous resident memory.
	Bytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Start starts a node. The caller calls Stop, also after an error.
func Start(opt Options) (nod *Node, err error) {
	defer errs.Annotate(&err, "start node")
	nod = &Node{log: filepath.Join(opt.Dir, "node.log"), done: make(chan struct{}), sampled: make(chan struct{})}
	str := mock.NewStore(fakes.NewInjector(1))
	han := str.Handler()
	if opt.WrapStore != nil {
		han = opt.WrapStore(han)
	}
	store, err := nod.serve(han)
	if err != nil {
		return nod, err
	}
	ups, err := nod.serve(opt.Upstream)
	if err != nil {
		return nod, err
	}
	str.Set("op", "config", mock.ConfigWithBodies(1, maxBodyBytes))
	str.Set("servers", opt.UpstreamID, mock.ServerRecord(ups, "here", false, 1, 1))
	adrs, release, err := reserve(3)
	if err != nil {
		return nod, err
	}
	defer release()
	nod.Address, nod.Store = adrs[0], store
	txt := fmt.Sprintf(`Name: n-0
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
  Grace: 6s
  RetryShare: 0.2
  RetryReserve: 100
  MemoryMebibytes: %d
  FileDescriptors: %d
`, adrs[0], adrs[1], store, adrs[2], opt.MemoryMebibytes, opt.FileDescriptors)
	settings := filepath.Join(opt.Dir, "node.yaml")
	if err := os.WriteFile(settings, []byte(txt), 0o600); err != nil {
		return nod, err
	}
	release()
	return nod, nod.launch(opt.Binary, "serve", "--node", settings)
}

// reserve returns free addresses, which are reserved until release is called.
func reserve(num int) (adrs []string, release func(), err error) {
	var held []net.Listener
	release = func() {
		for _, lis := range held {
			_ = lis.Close()
		}
	}
	for range num {
		lis, err := net.Listen("tcp", "127.77.0.1:0")
		if err != nil {
			release()
			return nil, nil, err
		}
		held, adrs = append(held, lis), append(adrs, lis.Addr().String())
	}
	return adrs, release, nil
}

// launch starts a command as the process, and the sampling of what it uses.
func (nod *Node) launch(name string, args ...string) (err error) {
	out, err := os.Create(nod.log)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	nod.cmd = exec.Command(name, args...)
	nod.cmd.Stdout, nod.cmd.Stderr = out, out
	if err := nod.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = nod.cmd.Wait()
		close(nod.done)
	}()
	go func() {
		defer close(nod.sampled)
		for nod.Alive() {
			nod.sample()
			time.Sleep(sampleInterval)
		}
	}()
	return nil
}

// serve serves HTTP on a free loopback port until Stop.
func (nod *Node) serve(han http.Handler) (address string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: han, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(lis) }()
	nod.stops = append(nod.stops, func() { _ = srv.Close() })
	return lis.Addr().String(), nil
}

// Stop ends the process and what belongs to it.
func (nod *Node) Stop() {
	if nod.cmd != nil && nod.cmd.Process != nil {
		_ = nod.cmd.Process.Kill()
		<-nod.done
		<-nod.sampled
	}
	for _, stop := range nod.stops {
		stop()
	}
}

// Alive reports whether the process runs.
func (nod *Node) Alive() bool {
	select {
	case <-nod.done:
		return false
	default:
		return true
	}
}

// Peak returns the highest values of each kind that were sampled.
func (nod *Node) Peak() Usage {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	return nod.peak
}

// LogEnd returns the end of the process's output.
func (nod *Node) LogEnd() string {
	txt, err := os.ReadFile(nod.log)
	if err != nil {
		return err.Error()
	}
	return string(txt[max(0, len(txt)-1500):])
}

// sample reads what the process uses from /proc. A process that has just ended has no values.
func (nod *Node) sample() {
	dir := "/proc/" + strconv.Itoa(nod.cmd.Process.Pid)
	var use Usage
	if txt, err := os.ReadFile(dir + "/status"); err == nil {
		for _, lin := range strings.Split(string(txt), "\n") {
			if fds := strings.Fields(lin); len(fds) > 1 && fds[0] == "RssAnon:" {
				kib, _ := strconv.ParseInt(fds[1], 10, 64)
				use.Bytes = kib << 10
			}
		}
	}
	if ents, err := os.ReadDir(dir + "/fd"); err == nil {
		use.Descriptors = len(ents)
	}
	nod.mut.Lock()
	defer nod.mut.Unlock()
	nod.peak.Bytes = max(nod.peak.Bytes, use.Bytes)
	nod.peak.Descriptors = max(nod.peak.Descriptors, use.Descriptors)
}
