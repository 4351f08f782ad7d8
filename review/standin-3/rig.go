package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proc is a process that the rig started.
type proc struct {
	name string
	argv []string
	cmd  *exec.Cmd
	done chan struct{}
	// stopped is set before the rig ends the process.
	stopped bool
}

// rig holds a small deployment on loopback addresses.
type rig struct {
	dir, binary, self string
	trouble           bool
	// idleChannels is the number of channels that other callers keep open to each server.
	idleChannels int
	began        time.Time
	store        *store
	storeAddress string

	mut    sync.Mutex
	record *os.File
	procs  []*proc
	// onLine gets each line that a server prints.
	onLine func(server, line string)
}

// node is a router node of the rig.
type node struct {
	*proc

	front, ready string
}

func newRig(dir, binary string, trouble bool) (*rig, error) {
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	rig := &rig{dir: tmp, binary: binary, self: self, trouble: trouble, began: time.Now(), record: out, store: newStore()}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	rig.storeAddress = lis.Addr().String()
	go func() { _ = http.Serve(lis, rig.store.handler()) }()
	rig.note("trouble %v, store at %s", trouble, rig.storeAddress)
	return rig, nil
}

// note writes a line with the time since the begin to the record.
func (rig *rig) note(format string, args ...any) {
	rig.mut.Lock()
	defer rig.mut.Unlock()
	fmt.Fprintf(rig.record, "%8.3f "+format+"\n", append([]any{time.Since(rig.began).Seconds()}, args...)...)
}

// freeAddress returns a free address at a loopback IP.
func freeAddress(ip string) string {
	lis, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

// start starts a process whose output goes to a file, and whose lines go to onLine if it is a server.
func (rig *rig) start(name string, server bool, argv ...string) *proc {
	prc := &proc{name: name, argv: argv, done: make(chan struct{})}
	prc.cmd = exec.Command(argv[0], argv[1:]...)
	prc.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(rig.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	prc.cmd.Stderr = log
	var pipe io.ReadCloser
	if server {
		pipe, err = prc.cmd.StdoutPipe()
		if err != nil {
			panic(err)
		}
	} else {
		prc.cmd.Stdout = log
	}
	if err := prc.cmd.Start(); err != nil {
		panic(err)
	}
	rig.note("start %s pid %d", name, prc.cmd.Process.Pid)
	rig.mut.Lock()
	rig.procs = append(rig.procs, prc)
	rig.mut.Unlock()
	go func() {
		if pipe != nil {
			scn := bufio.NewScanner(pipe)
			for scn.Scan() {
				rig.note("server %s: %s", name, scn.Text())
				if rig.onLine != nil {
					rig.onLine(name, scn.Text())
				}
			}
		}
		err := prc.cmd.Wait()
		rig.mut.Lock()
		stopped := prc.stopped
		rig.mut.Unlock()
		rig.note("end %s (by the rig: %v) %v", name, stopped, err)
		close(prc.done)
	}()
	return prc
}

// signal sends a signal to a process that the rig started.
func (rig *rig) signal(prc *proc, sig syscall.Signal) {
	rig.mut.Lock()
	if sig != syscall.SIGHUP && sig != syscall.SIGUSR1 {
		prc.stopped = true
	}
	rig.mut.Unlock()
	rig.note("signal %s %v", prc.name, sig)
	_ = prc.cmd.Process.Signal(sig)
}

// startServer starts a server and writes its record. A restart has the same address and id, and a later start time.
func (rig *rig) startServer(id, service, zone, address string, slots int, extra ...string) *proc {
	argv := append([]string{rig.self, "server", "--listen", address, "--id", id, "--slots", fmt.Sprint(slots)}, extra...)
	prc := rig.start(id, true, argv...)
	born := time.Now().UnixMilli()
	await(func() bool { con, err := net.Dial("tcp", address); return err == nil && con.Close() == nil }, 3*time.Second)
	for range rig.idleChannels {
		go func() {
			// Callers open a new channel when the server closes one that is idle, until the server has ended.
			for {
				con, err := net.Dial("tcp", address)
				if err != nil {
					return
				}
				_, _ = con.Read(make([]byte, 1))
				_ = con.Close()
				select {
				case <-prc.done:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}()
	}
	rig.store.set("servers", id, mustJSON(map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"warmupLeftMs": 0, "born": born, "sequence": 1,
	}))
	return prc
}

// startNode starts a node by the run line of the deploy file, with settings like those of the site sievedesk.
func (rig *rig) startNode(num int) *node {
	ip := fmt.Sprintf("127.0.%d.1", num+1)
	nod := &node{front: freeAddress(ip), ready: freeAddress(ip)}
	name := fmt.Sprintf("edge-east-a-%d", num)
	path := filepath.Join(rig.dir, name+".yaml")
	txt := fmt.Sprintf(`Name: "%s"
FailureDomain: "east-a"
Region: "scot-east"
Listen: "%s"
Admin: "%s"
Platform:
  Mesh: "%s"
  Store: "%s"
  Metrics: "%s"
  FailureDomains:
    - Name: "east-a"
      Region: "scot-east"
    - Name: "north-a"
      Region: "scot-north"
    - Name: "east-b"
      Region: "scot-east"
  Grace: 8s
  RetryShare: 0.2
  RetryReserve: 52
  MemoryMebibytes: 134
  FileDescriptors: 4100
`, name, nod.front, nod.ready, freeAddress(ip), rig.storeAddress, freeAddress(ip))
	if err := os.WriteFile(path, []byte(txt), 0o600); err != nil {
		panic(err)
	}
	nod.proc = rig.start(name, false, rig.binary, "serve", "--node", path)
	return nod
}

// awaitReady waits until a node reports itself ready.
func (rig *rig) awaitReady(nod *node) bool {
	return await(func() bool {
		rsp, err := http.Get("http://" + nod.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = rsp.Body.Close()
		return rsp.StatusCode == http.StatusOK
	}, 15*time.Second)
}

// close ends all processes that the rig started.
func (rig *rig) close() {
	rig.mut.Lock()
	procs := rig.procs
	rig.mut.Unlock()
	for _, prc := range procs {
		select {
		case <-prc.done:
		default:
			rig.signal(prc, syscall.SIGKILL)
			<-prc.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(rig.dir)
	} else {
		fmt.Println("logs in", rig.dir)
	}
	_ = rig.record.Close()
}

func await(cond func() bool, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return false
}

func mustJSON(val any) []byte {
	txt, err := json.Marshal(val)
	if err != nil {
		panic(err)
	}
	return txt
}

// reply is what a caller saw of one attempt.
type reply struct {
	id, target string
	sent       time.Time
	took       time.Duration
	// status is zero if the channel ended without a complete answer.
	status int
	header http.Header
	body   string
	err    error
}

// send makes one attempt on a channel of its own. Without a body the request has none.
func (rig *rig) send(front, method, target, id, key string, limit time.Duration, header map[string]string, body string) (rep reply) {
	rep = reply{id: id, target: target, sent: time.Now()}
	defer func() {
		rep.took = time.Since(rep.sent)
		rig.note("caller %s %s %s -> %d %v after %d ms signed=%q outcome=%q retry=%q", id, method, target, rep.status, rep.err,
			rep.took.Milliseconds(), rep.header.Get("Server-Signature"), rep.header.Get("Hornbeamdyke-Outcome"), rep.header.Get("Retry-After"))
	}()
	con, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		rep.err = err
		return rep
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(limit))
	var txt strings.Builder
	fmt.Fprintf(&txt, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\n", method, target, hostName, id, limit.Milliseconds(), key)
	for nam, val := range header {
		fmt.Fprintf(&txt, "%s: %s\r\n", nam, val)
	}
	if body != "" {
		fmt.Fprintf(&txt, "Content-Length: %d\r\n", len(body))
	}
	txt.WriteString("\r\n" + body)
	if _, err := io.WriteString(con, txt.String()); err != nil {
		rep.err = err
		return rep
	}
	rsp, err := http.ReadResponse(bufio.NewReader(con), &http.Request{Method: method})
	if err != nil {
		rep.err = err
		return rep
	}
	all, err := io.ReadAll(rsp.Body)
	if err != nil {
		rep.err = err
		return rep
	}
	rep.status, rep.header, rep.body = rsp.StatusCode, rsp.Header, string(all)
	return rep
}

const hostName = "ficu95.example"
