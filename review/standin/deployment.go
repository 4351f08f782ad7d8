package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// zones are the zones of the deployment with their regions, as on the sheet of sievedesk.
var zones = [][2]string{{"east-a", "scot-east"}, {"north-a", "scot-north"}, {"east-b", "scot-east"}}

// nodeZones are the zones of the machines, as on the sheet of sievedesk.
var nodeZones = []string{"east-a", "east-a", "east-a", "north-a", "north-a", "east-b"}

// memoryMb is the memory of a machine.
const memoryMb = 134

const (
	serviceModel = "model-pool"
	serviceTrade = "trade-app"
	host         = "desk.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
)

// deployment is the router with the stand-ins around it.
type deployment struct {
	root, dir string
	rec       *record
	store     *store
	storeAddr string
	nodes     []*node
	servers   []*server
	stops     []func()
}

// node is a process of the router.
type node struct {
	name, zone, ip, front, readiness, settings string
	dep                                        *deployment

	// inRotation is set while the platform forwards new channels to the node.
	inRotation atomic.Bool

	mut     sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	// disturbedAt is when the process was last started or got a signal.
	disturbedAt time.Time
	// kills counts how often the stand-in of the platform killed the process for its memory.
	kills int
}

func newDeployment(root string, rec *record) (dep *deployment, err error) {
	dep = &deployment{root: root, rec: rec, store: newStore()}
	if dep.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	dep.stops = append(dep.stops, func() { _ = os.RemoveAll(dep.dir) })
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	dep.storeAddr = lis.Addr().String()
	srv := &http.Server{Handler: dep.store.handler()}
	go func() { _ = srv.Serve(lis) }()
	dep.stops = append(dep.stops, func() { _ = srv.Close() })
	return dep, nil
}

// stop ends everything that the deployment started.
func (dep *deployment) stop() {
	for num := len(dep.stops) - 1; num >= 0; num-- {
		dep.stops[num]()
	}
}

// addServer starts a server and writes its record.
func (dep *deployment) addServer(srv *server) error {
	if err := srv.start("127.0.0.1"); err != nil {
		return err
	}
	dep.servers = append(dep.servers, srv)
	dep.stops = append(dep.stops, func() { _ = srv.http.Close() })
	dep.store.set("servers", srv.id, srv.record())
	return nil
}

// startNodes starts one node a machine. storeOf returns the address of the store for a node.
func (dep *deployment) startNodes(storeOf func(name string) string) error {
	for num, zone := range nodeZones {
		nod := &node{name: fmt.Sprintf("edge-%s-%d", zone, num+1), zone: zone, dep: dep}
		if err := nod.prepare(storeOf(nod.name)); err != nil {
			return err
		}
		if err := nod.start(); err != nil {
			return err
		}
		dep.nodes = append(dep.nodes, nod)
		dep.stops = append(dep.stops, nod.kill)
	}
	end := time.Now().Add(15 * time.Second)
	for _, nod := range dep.nodes {
		for !nod.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not become ready", nod.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		nod.inRotation.Store(true)
		go nod.probe()
	}
	return nil
}

// probe asks the node once per second whether it is ready. After two misses it gets no new channels until it is ready again.
func (nod *node) probe() {
	for misses := 0; ; time.Sleep(time.Second) {
		nod.mut.Lock()
		stopped := nod.stopped
		nod.mut.Unlock()
		switch {
		case stopped:
			return
		case nod.ready():
			misses = 0
		default:
			misses++
		}
		nod.inRotation.Store(misses < 2)
	}
}

// prepare chooses a loopback address with free ports and renders the settings from the template of the deploy file.
func (nod *node) prepare(storeAddr string) error {
	var mesh string
	for try := 0; ; try++ {
		if try == 50 {
			return errors.New("no free loopback address")
		}
		nod.ip = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))
		metrics, err := net.Listen("tcp", nod.ip+":9464")
		if err != nil {
			continue
		}
		var adrs []string
		for range 3 {
			lis, err := net.Listen("tcp", nod.ip+":0")
			if err != nil {
				return err
			}
			defer lis.Close()
			adrs = append(adrs, lis.Addr().String())
		}
		_ = metrics.Close()
		nod.front, nod.readiness, mesh = adrs[0], adrs[1], adrs[2]
		break
	}
	_, meshPort, _ := net.SplitHostPort(mesh)
	region := ""
	for _, one := range zones {
		if one[0] == nod.zone {
			region = one[1]
		}
	}
	txt, err := os.ReadFile(filepath.Join(nod.dep.root, "deploy/settings.yaml"))
	if err != nil {
		return err
	}
	settings := renderSettings(string(txt), map[string]string{
		"nodeName": nod.name, "zone": nod.zone, "region": region, "listen.front": nod.front, "listen.readiness": nod.readiness,
		"ip": nod.ip, "internalPortRange.0": meshPort, "platform.address": storeAddr, "bounds.graceS": "8",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryAllowance": "52", "limits.memoryMb": strconv.Itoa(memoryMb),
	})
	nod.settings = filepath.Join(nod.dep.dir, nod.name+".yaml")
	return os.WriteFile(nod.settings, []byte(settings), 0o600)
}

// renderSettings fills the template as the platform does, as far as the template of this project needs it.
func renderSettings(txt string, vals map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	txt = section.ReplaceAllStringFunc(txt, func(all string) string {
		body, out := section.FindStringSubmatch(all)[1], ""
		for _, one := range zones {
			out += strings.NewReplacer("{{@}}", one[0], "{{.}}", one[1]).Replace(body)
		}
		return out
	})
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(txt, func(one string) string { return vals[strings.Trim(one, "{}")] })
}

// start starts the process with the command of the deploy file.
func (nod *node) start() error {
	txt, err := os.ReadFile(filepath.Join(nod.dep.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(txt)
	if run == nil {
		return errors.New("deploy/system.toml has no run line")
	}
	words := strings.Fields(strings.ReplaceAll(string(run[1]), "/etc/hornbeamdyke/settings.yaml", nod.settings))
	log, err := os.OpenFile(filepath.Join(nod.dep.dir, nod.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(nod.dep.root, words[0]), words[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = nod.dep.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + nod.dep.dir, "LANG=C", "HORNBEAMDYKE_CONFIG=" + nod.settings}
	nod.mut.Lock()
	defer nod.mut.Unlock()
	if nod.stopped {
		return errors.New("the case is over")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	nod.cmd, nod.done, nod.disturbedAt = cmd, done, time.Now()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// kill ends the process for good.
func (nod *node) kill() {
	nod.mut.Lock()
	nod.stopped = true
	nod.mut.Unlock()
	nod.signal(syscall.SIGKILL)
}

// signal sends a signal to the process and, after SIGKILL, waits for its end.
func (nod *node) signal(sig syscall.Signal) {
	nod.mut.Lock()
	cmd, done := nod.cmd, nod.done
	nod.disturbedAt = time.Now()
	nod.mut.Unlock()
	select {
	case <-done:
		return
	default:
	}
	_ = cmd.Process.Signal(sig)
	if sig == syscall.SIGKILL {
		<-done
	}
}

// ready asks the node whether it is ready.
func (nod *node) ready() bool {
	cli := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rsp, err := cli.Get("http://" + nod.readiness + "/readyz")
	if err != nil {
		return false
	}
	_ = rsp.Body.Close()
	return rsp.StatusCode == http.StatusOK
}

// anonymousMemory returns the anonymous memory of the process in bytes; zero if it has ended.
func (nod *node) anonymousMemory() int64 {
	nod.mut.Lock()
	pid := nod.cmd.Process.Pid
	nod.mut.Unlock()
	txt, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	hit := regexp.MustCompile(`RssAnon:\s+(\d+) kB`).FindSubmatch(txt)
	if hit == nil {
		return 0
	}
	num, _ := strconv.ParseInt(string(hit[1]), 10, 64)
	return num << 10
}

// config returns a manifest like that of the small deployment, with further routes.
func config(version int, more ...map[string]any) map[string]any {
	routes := []map[string]any{
		streamRoute("digest", "/digest/", serviceModel, 8000, 2000, 1000),
		route("order", "/order/", "non_idempotent", serviceTrade, 1500, 200, 1),
		route("stock", "/stock/", "idempotent", serviceTrade, 1500, 200, 2),
	}
	return map[string]any{
		"version": version, "routes": append(routes, more...),
		"services": []map[string]any{
			{"name": serviceModel, "healthCheckPath": "/healthz", "maxConnections": modelConnections, "protocol": "h1", "tls": false, "engine": engine},
			{"name": serviceTrade, "healthCheckPath": "/healthz", "maxConnections": tradeConnections, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// engine describes the model servers, as fleetbench wire shows them for sievedesk.
var engine = map[string]any{
	"slots": 64, "kvCapacityTokens": 417546, "kvTokenBytes": 327680, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 5,
	"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
}

const (
	modelConnections = 360
	tradeConnections = 96
)

// maxBodyBytes is the largest body that consumers may send.
const maxBodyBytes = 4194304

func route(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"priority": 2, "service": service, "maxAttempts": attempts, "public": false,
	}
}

func streamRoute(name, prefix, service string, timeoutMs, targetMs, gapMs int) map[string]any {
	rou := route(name, prefix, "streaming", service, timeoutMs, targetMs, 1)
	rou["sessionAffinity"], rou["streamResume"], rou["targetGapMs"] = true, false, gapMs
	return rou
}

// tradeServer returns a server of the plain service, as on the sheet of sievedesk.
func tradeServer(id, zone string) *server {
	return &server{
		id: id, service: serviceTrade, zone: zone, slots: make(chan struct{}, 6), places: make(chan struct{}, 6+24),
		maxConnections: tradeConnections, work: 15 * time.Millisecond,
	}
}
