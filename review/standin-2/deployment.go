package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

// The names and bounds of the deployment. The bounds are those of the small sites.
const (
	Host         = "ficu95.example"
	Key          = "n2ctnfzs989anu6wsjnb"
	Tenant       = "hule930"
	Engines      = "huvo11a"
	Orders       = "wuno96b"
	heartbeat    = 1200 * time.Millisecond
	grace        = 8 * time.Second
	stableWindow = 4 * time.Second
)

// zone is a zone with its region and the number of its nodes.
type zone struct {
	name, region string
}

var zones = []zone{{"east-a", "scot-east"}, {"north-a", "scot-north"}, {"east-b", "scot-east"}}

// layout is the zone of each machine of sievedesk, and shares its zones' parts of the traffic.
var (
	layout = []int{0, 0, 0, 1, 1, 2}
	shares = []float64{14.9, 16.7, 12.8}
)

// consumerNode returns the machine of a consumer by a draw: a zone by its part of the traffic, and a machine there.
func (dep *Deployment) consumerNode(rnd *rand.Rand) *Node {
	draw, zone := rnd.Float64()*(shares[0]+shares[1]+shares[2]), 0
	for zone < 2 && draw >= shares[zone] {
		draw -= shares[zone]
		zone++
	}
	var nods []*Node
	for _, nod := range dep.Nodes {
		if nod.Zone == zones[zone].name {
			nods = append(nods, nod)
		}
	}
	return nods[rnd.IntN(len(nods))]
}

// Deployment is the nodes with their stand-ins.
type Deployment struct {
	Store    *Store
	Platform *Platform
	Runs     *Runs
	Servers  []*Server
	Nodes    []*Node
	Random   *rand.Rand

	rec     *Recorder
	dir     string
	binary  string
	seed    uint64
	closers []func()
	once    sync.Once
	stop    chan struct{}
	// paused is set while the records of the servers are not written.
	mut    sync.Mutex
	paused bool
	// config is the newest manifest.
	config map[string]any
	// memory is the memory of a machine in MiB, and duties is set if there are duty calls.
	Memory int
	Duties bool
	// Window is the length of a usage window, and Late the time for its report.
	Window, Late time.Duration
	Lease        time.Duration
	// Layout holds the zone of each node; without it they are dealt in turn.
	Layout []int
}

// Node is a process of the product.
type Node struct {
	Name, Zone, Front, Ready, Mesh string

	dep      *Deployment
	settings string
	log      string
	Store    *Proxy
	Duty     *Proxy

	mut  sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// NewDeployment returns a deployment that is not started.
func NewDeployment(rec *Recorder, dir, binary string, seed uint64) *Deployment {
	rec.Line("seed %d", seed)
	return &Deployment{
		rec: rec, dir: dir, binary: binary, seed: seed, Random: rand.New(rand.NewPCG(seed, 1)), Runs: &Runs{byID: make(map[string][]*Run)},
		stop: make(chan struct{}), Memory: 134, Window: 5 * time.Second, Late: 10 * time.Second, Lease: 3 * time.Second,
	}
}

// Close ends all that was started.
func (dep *Deployment) Close() {
	dep.once.Do(func() {
		close(dep.stop)
		for idx := len(dep.closers) - 1; idx >= 0; idx-- {
			dep.closers[idx]()
		}
	})
}

// KeepLogs copies the logs of the nodes to the folder that STANDIN_LOGS names, if it is set.
func (dep *Deployment) KeepLogs() {
	to := os.Getenv("STANDIN_LOGS")
	if to == "" {
		return
	}
	_ = os.MkdirAll(to, 0o755)
	for _, nod := range dep.Nodes {
		if txt, err := os.ReadFile(nod.log); err == nil {
			_ = os.WriteFile(filepath.Join(to, nod.Name+".log"), txt, 0o644)
		}
	}
}

// serveHTTP serves a handler on a free loopback port.
func (dep *Deployment) serveHTTP(han http.Handler) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: han}
	go func() { _ = srv.Serve(lis) }()
	dep.closers = append(dep.closers, func() { _ = srv.Close() })
	return lis.Addr().String(), nil
}

// Manifest returns a manifest.
func (dep *Deployment) Manifest(version int64) map[string]any {
	route := func(name, kind, service string, attempts int, timeout, target float64, resume bool) map[string]any {
		rou := map[string]any{
			"name": name, "hostname": Host, "prefix": "/" + name + "/", "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": 1, "service": service, "maxAttempts": attempts, "public": false,
		}
		if kind == "streaming" {
			rou["sessionAffinity"], rou["streamResume"], rou["targetGapMs"] = true, resume, 400
		}
		return rou
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("order", "non_idempotent", Orders, 1, 3000, 200, false), route("order2", "non_idempotent", Orders, 2, 3000, 200, false),
			route("look", "idempotent", Orders, 2, 3000, 200, false),
			route("draft", "streaming", Engines, 2, 8000, 600, true), route("ask", "streaming", Engines, 1, 8000, 400, false),
		},
		"services": []any{
			map[string]any{"name": Engines, "healthCheckPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": false},
			map[string]any{"name": Orders, "healthCheckPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}, "priority": 1}},
	}
}

// Start starts the stand-ins, and the nodes unless their number is zero.
func (dep *Deployment) Start(nodes, engines, orders int) error {
	dep.Store = NewStore(dep.rec, dep.seed)
	dep.Platform = NewPlatform(dep.rec, dutyRules{Lease: dep.Lease, Thaw: 300 * time.Millisecond, PerSecond: 50})
	dep.SetManifest(dep.Manifest(1))
	for num := range engines + orders {
		id, service := fmt.Sprintf("i-e%d", num), Engines
		if num >= engines {
			id, service = fmt.Sprintf("i-o%d", num-engines), Orders
		}
		srv, err := NewServer(dep.rec, dep.Runs, id, service, zones[num%len(zones)].name)
		if err != nil {
			return err
		}
		dep.closers = append(dep.closers, srv.Close)
		dep.Servers = append(dep.Servers, srv)
	}
	dep.Heartbeat()
	go dep.heartbeats()
	for num := range nodes {
		if err := dep.addNode(num); err != nil {
			return err
		}
	}
	for _, nod := range dep.Nodes {
		if err := nod.Start(); err != nil {
			return err
		}
	}
	for _, nod := range dep.Nodes {
		if err := nod.Await(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2500 * time.Millisecond)
	return nil
}

// AddServer starts one more server of the ordering service.
func (dep *Deployment) AddServer(id, zone string) (*Server, error) {
	srv, err := NewServer(dep.rec, dep.Runs, id, Orders, zone)
	if err != nil {
		return nil, err
	}
	dep.mut.Lock()
	dep.closers = append(dep.closers, srv.Close)
	dep.Servers = append(dep.Servers, srv)
	dep.mut.Unlock()
	dep.Heartbeat()
	return srv, nil
}

// SetManifest writes a manifest.
func (dep *Deployment) SetManifest(cfg map[string]any) {
	dep.mut.Lock()
	dep.config = cfg
	dep.mut.Unlock()
	dep.Store.Set("op", "config", cfg)
	dep.rec.Line("manifest %v written", cfg["version"])
}

// Rewrite writes again what the operator and the servers wrote.
func (dep *Deployment) Rewrite() {
	dep.mut.Lock()
	cfg := dep.config
	dep.mut.Unlock()
	dep.Store.Set("op", "config", cfg)
	dep.writeRecords(true)
}

// Heartbeat writes the records of the servers that have changed.
func (dep *Deployment) Heartbeat() {
	dep.writeRecords(false)
}

func (dep *Deployment) writeRecords(all bool) {
	dep.mut.Lock()
	servers := append([]*Server(nil), dep.Servers...)
	dep.mut.Unlock()
	for _, srv := range servers {
		if rec := srv.Record(all); rec != nil {
			dep.Store.Set("servers", srv.ID, rec)
		}
	}
}

func (dep *Deployment) heartbeats() {
	tck := time.NewTicker(heartbeat)
	defer tck.Stop()
	for {
		select {
		case <-tck.C:
			dep.mut.Lock()
			paused := dep.paused
			dep.mut.Unlock()
			if !paused {
				dep.Heartbeat()
			}
		case <-dep.stop:
			return
		}
	}
}

// freeAddresses returns free addresses of an IP; all stay taken until the last one is found.
func freeAddresses(ip string, number int) (adrs []string, err error) {
	for range number {
		lis, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer lis.Close()
		adrs = append(adrs, lis.Addr().String())
	}
	return adrs, nil
}

func (dep *Deployment) addNode(num int) error {
	zon, place := zones[num%len(zones)], num/len(zones)
	if len(dep.Layout) > 0 {
		zon, place = zones[dep.Layout[num]], 0
		for _, nod := range dep.Nodes {
			if nod.Zone == zon.name {
				place++
			}
		}
	}
	nod := &Node{Name: fmt.Sprintf("edge-%s-%d", zon.name, place+1), Zone: zon.name, dep: dep}
	// An address of its own for each node of each run.
	ip := fmt.Sprintf("127.%d.%d.%d", 10+num, os.Getpid()/250%250, os.Getpid()%250+1)
	adrs, err := freeAddresses(ip, 4)
	if err != nil {
		return err
	}
	nod.Front, nod.Ready, nod.Mesh = adrs[0], adrs[1], adrs[2]
	metrics := adrs[3]
	store, err := dep.serveHTTP(dep.Store.Handler(nod.Name))
	if err != nil {
		return err
	}
	if nod.Store, err = NewProxy(store); err != nil {
		return err
	}
	duty, err := dep.serveHTTP(dep.Platform.Handler(nod.Name))
	if err != nil {
		return err
	}
	if nod.Duty, err = NewProxy(duty); err != nil {
		return err
	}
	dep.closers = append(dep.closers, nod.Store.Close, nod.Duty.Close, func() { nod.Signal(syscall.SIGCONT); nod.Signal(syscall.SIGKILL); nod.AwaitEnd(5 * time.Second) })
	nod.settings, nod.log = filepath.Join(dep.dir, nod.Name+".yaml"), filepath.Join(dep.dir, nod.Name+".log")
	var txt strings.Builder
	fmt.Fprintf(&txt, "Name: %q\nFailureDomain: %q\nRegion: %q\nListen: %q\nAdmin: %q\nPlatform:\n  Mesh: %q\n  Store: %q\n  Metrics: %q\n  FailureDomains:\n",
		nod.Name, zon.name, zon.region, nod.Front, nod.Ready, nod.Mesh, nod.Store.Address(), metrics)
	for _, one := range zones {
		fmt.Fprintf(&txt, "    - Name: %q\n      Region: %q\n", one.name, one.region)
	}
	fmt.Fprintf(&txt, "  Grace: %gs\n  RetryShare: 0.2\n  RetryReserve: 52\n  MemoryMebibytes: %d\n  FileDescriptors: 4100\n", grace.Seconds(), dep.Memory)
	if dep.Duties {
		fmt.Fprintf(&txt, "  Duties:\n    Address: %q\n    Kinds: [usage_reporting]\n    CallsPerSecond: 50\n    LeaseMilliseconds: %d\n    ThawMilliseconds: 300\n    WindowSeconds: %g\n    ReportWithinSeconds: %g\n    Tolerance: 0.05\n    FenceChecked: false\n",
			nod.Duty.Address(), dep.Lease.Milliseconds(), dep.Window.Seconds(), dep.Late.Seconds())
	}
	dep.Nodes = append(dep.Nodes, nod)
	return os.WriteFile(nod.settings, []byte(txt.String()), 0o600)
}

// Start starts the process.
func (nod *Node) Start() error {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	out, err := os.OpenFile(nod.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(nod.dep.binary, "serve", "--node", nod.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + nod.dep.dir, "HORNBEAMDYKE_CONFIG=" + nod.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	nod.cmd, nod.done = cmd, done
	nod.dep.rec.Line("node %s started", nod.Name)
	go func() {
		err := cmd.Wait()
		nod.dep.rec.Line("node %s ended: %v", nod.Name, err)
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process if it runs.
func (nod *Node) Signal(sig syscall.Signal) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	if nod.cmd == nil {
		return
	}
	select {
	case <-nod.done:
	default:
		nod.dep.rec.Line("node %s gets %s", nod.Name, sig)
		_ = nod.cmd.Process.Signal(sig)
	}
}

// AwaitEnd reports whether the process ended within a time.
func (nod *Node) AwaitEnd(limit time.Duration) bool {
	nod.mut.Lock()
	done := nod.done
	nod.mut.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Pid returns the process id.
func (nod *Node) Pid() int {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	return nod.cmd.Process.Pid
}

// Restart ends the process if it still runs, and starts it again.
func (nod *Node) Restart() error {
	nod.Signal(syscall.SIGCONT)
	nod.Signal(syscall.SIGKILL)
	nod.AwaitEnd(5 * time.Second)
	return nod.Start()
}

// IsReady asks the node whether it is ready.
func (nod *Node) IsReady() bool {
	cli := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cli.Get("http://" + nod.Ready + "/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, rsp.Body)
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// Await waits until the node is ready.
func (nod *Node) Await(limit time.Duration) error {
	for end := time.Now().Add(limit); !nod.IsReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready", nod.Name)
		}
	}
	return nil
}

// Client returns a client of the node with a channel of its own.
func (nod *Node) Client() *Client {
	return &Client{rec: nod.dep.rec, address: nod.Front, node: nod.Name}
}

// Traffic sends requests from some clients to each node until stop is called, which returns the results.
func (dep *Deployment) Traffic(clients int, pause time.Duration, paths ...string) (stop func() []Result) {
	ctx, cancel := context.WithCancel(context.Background())
	var mut sync.Mutex
	var all []Result
	var group sync.WaitGroup
	for num, nod := range dep.Nodes {
		for one := range clients {
			group.Add(1)
			go func() {
				defer group.Done()
				cli := nod.Client()
				defer cli.Close()
				for turn := 0; ctx.Err() == nil; turn++ {
					path := paths[(turn+one)%len(paths)]
					id := fmt.Sprintf("%s-%d-%d-%d", path, num, one, turn)
					res := cli.Do(context.Background(), Request{ID: id, Path: "/" + path + "/2f?of=" + id, Key: Key, Body: "body of " + id})
					mut.Lock()
					all = append(all, res)
					mut.Unlock()
					time.Sleep(pause)
				}
			}()
		}
	}
	return func() []Result {
		cancel()
		group.Wait()
		return all
	}
}

// Check judges TWICE, REFUSED, MIXED, ORDER and UNASKED for the results of plain and streamed requests.
func (dep *Deployment) Check(results []Result, events int) {
	sent := make(map[string]Result, len(results))
	counts := make(map[int]int)
	for _, res := range results {
		sent[res.ID] = res
		counts[res.Status]++
		runs := dep.Runs.Of(res.ID)
		once := strings.HasPrefix(res.Path, "/order") || strings.HasPrefix(res.Path, "/ask/")
		if once && len(runs) > 1 {
			dep.rec.Break("TWICE: %s ran %d times", res.ID, len(runs))
		}
		stream := strings.HasPrefix(res.Path, "/ask/") || strings.HasPrefix(res.Path, "/draft/")
		want := AnswerOf(res.ID)
		if stream {
			want = StreamOf(res.ID, events)
		}
		switch {
		case once && len(runs) > 0 && (res.Status == 503 || res.Status == 429 || res.Status == 408 || res.Status == 421):
			dep.rec.Break("REFUSED: %s got %d and ran", res.ID, res.Status)
		case res.Status == 401 || res.Status == 403 || res.Status == 404 || res.Status == 400:
			dep.rec.Break("DENIED: %s got %d", res.ID, res.Status)
		case res.Status != 200:
		case res.Header.Get("Server-Signature") != "s."+res.ID || res.Header.Get("Attempt-Id") != res.ID:
			dep.rec.Break("MIXED: %s got %v", res.ID, res.Header)
		case res.Complete && res.Answer != want && stream:
			dep.rec.Break("ORDER: %s got %q", res.ID, res.Answer)
		case res.Complete && res.Answer != want:
			dep.rec.Break("MIXED: %s got %q", res.ID, res.Answer)
		case !strings.HasPrefix(want, res.Answer):
			dep.rec.Break("ORDER: %s got %q", res.ID, res.Answer)
		}
	}
	dep.Runs.mut.Lock()
	defer dep.Runs.mut.Unlock()
	for _, run := range dep.Runs.all {
		res, fnd := sent[run.ID]
		if fnd && (res.Path != run.Target || res.Body != run.Body || run.Tenant != Tenant) {
			dep.rec.Break("UNASKED: %s ran as %s %q of %s", run.ID, run.Target, run.Body, run.Tenant)
		}
	}
	dep.rec.Line("answers by status: %v", counts)
}
