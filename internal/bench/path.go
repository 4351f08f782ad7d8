package bench

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
)

const (
	engineAddress    = "127.0.0.1:23801"
	nodeAddress      = "127.0.0.1:23802"
	adminAddress     = "127.0.0.1:23803"
	latencyRequests  = 1500
	parallelCallers  = 32
	parallelRequests = 12000
	// ticksPerSec is USER_HZ: /proc counts CPU time in ticks of 10 ms.
	ticksPerSec  = 100
	startupDelay = 500 * time.Millisecond
	chatPath     = "/v1/chat/completions"
)

// RequestPath measures requests to a simulated engine directly and through one node that uses one core. It prints
// the latency and the throughput of both, and the node's CPU time and memory by the number of open streams.
func RequestPath(out io.Writer, binaries string) (err error) {
	defer errs.Annotate(&err, "measure path")
	dir, err := os.MkdirTemp("", "hbbench")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	eng := exec.Command(filepath.Join(binaries, "hbstand"), "engine", "--listen", engineAddress, "--slots", "4000", "--gap", "20ms", "--prefill", "0s")
	if err := eng.Start(); err != nil {
		return err
	}
	defer stop(eng)
	nod, err := startNode(binaries, dir)
	if err != nil {
		return err
	}
	defer stop(nod)
	time.Sleep(startupDelay)
	if err := latency(out); err != nil {
		return err
	}
	if err := throughput(out, nod.Process.Pid); err != nil {
		return err
	}
	return streams(out, nod.Process.Pid)
}

// startNode starts a node with the configuration of examples/single, with slots and rate limits raised above the
// load of the benchmark.
func startNode(binaries, dir string) (nod *exec.Cmd, err error) {
	bas, err := os.ReadFile(filepath.Join("examples", "single", "base.yaml"))
	if err != nil {
		return nil, err
	}
	txt := strings.ReplaceAll(string(bas), "http://127.0.0.1:8000", "http://"+engineAddress)
	for old, rpl := range map[string]string{"Slots: 16": "Slots: 4000", "RequestRate: 1000": "RequestRate: 1000000", "Burst: 1000": "Burst: 1000000"} {
		txt = strings.ReplaceAll(txt, old, rpl)
	}
	set := fmt.Sprintf("Name: hb-1\nFailureDomain: here\nListen: %s\nAdmin: %s\n", nodeAddress, adminAddress)
	for nam, val := range map[string]string{"base.yaml": txt, "node.yaml": set} {
		if err := os.WriteFile(filepath.Join(dir, nam), []byte(val), 0o600); err != nil {
			return nil, err
		}
	}
	nod = exec.Command(filepath.Join(binaries, "hornbeamdyke"), "serve", "--node", filepath.Join(dir, "node.yaml"), "--base", filepath.Join(dir, "base.yaml"))
	nod.Env = append(os.Environ(), "GOMAXPROCS=1")
	return nod, nod.Start()
}

func stop(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// latency sends requests for one token sequentially, by turns to the engine and to the node.
func latency(out io.Writer) error {
	var hgs [2]*hdrhistogram.Histogram
	for idx := range hgs {
		hgs[idx] = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	for num := range latencyRequests {
		for idx, adr := range []string{engineAddress, nodeAddress} {
			beg := time.Now()
			if err := request(adr, 1, num); err != nil {
				return err
			}
			if err := hgs[idx].RecordValue(int64(time.Since(beg))); err != nil {
				return err
			}
		}
	}
	for _, qnt := range []float64{50, 99} {
		dir, routed := hgs[0].ValueAtQuantile(qnt), hgs[1].ValueAtQuantile(qnt)
		fmt.Fprintf(out, "\nlatency p%.0f: direct %.3f ms, routed %.3f ms, added %.3f ms, ratio %.2f",
			qnt, float64(dir)/1e6, float64(routed)/1e6, float64(routed-dir)/1e6, float64(routed)/float64(dir))
	}
	fmt.Fprintln(out)
	return nil
}

// throughput sends requests for one token in parallel, first to the engine, then to the node.
func throughput(out io.Writer, pid int) error {
	dir, err := parallelRate(engineAddress)
	if err != nil {
		return err
	}
	beg, err := processTime(pid)
	if err != nil {
		return err
	}
	routed, err := parallelRate(nodeAddress)
	if err != nil {
		return err
	}
	end, err := processTime(pid)
	if err != nil {
		return err
	}
	used := (end - beg).Seconds() * 1e6 / parallelRequests
	fmt.Fprintf(out, "requests: direct %.0f/s, routed on one core %.0f/s, ratio %.2f; %.0f CPU us/request\n", dir, routed, routed/dir, used)
	return nil
}

// parallelRate sends parallelRequests requests from parallelCallers goroutines and returns the requests per second.
func parallelRate(adr string) (rate float64, err error) {
	var grp sync.WaitGroup
	ers := make(chan error, parallelCallers)
	beg := time.Now()
	for wrk := range parallelCallers {
		grp.Go(func() {
			for num := range parallelRequests / parallelCallers {
				if err := request(adr, 1, wrk*parallelRequests+num); err != nil {
					ers <- err
					return
				}
			}
		})
	}
	grp.Wait()
	select {
	case err := <-ers:
		return 0, err
	default:
		return parallelRequests / time.Since(beg).Seconds(), nil
	}
}

// streams measures the node by the number of streams that are open at once.
func streams(out io.Writer, pid int) error {
	srs := Series{Name: "Open streams on one node on one core", Unit: "streams", Columns: []string{"tokens/s", "CPU us/token", "memory MB"}}
	for _, size := range []int{250, 500, 1000, 2000} {
		pnt, err := measureStreams(pid, size)
		if err != nil {
			return err
		}
		srs.Points = append(srs.Points, pnt)
	}
	srs.Write(out)
	return nil
}

const (
	// At 20 ms per token a stream lasts 5 s, longer than streamWarmup and streamWindow together.
	streamTokens = 250
	streamWarmup = 2 * time.Second
	streamWindow = 2 * time.Second
)

// measureStreams opens size streams, waits streamWarmup for them to start, and reads the node's CPU time
// over streamWindow and its memory at the end.
func measureStreams(pid, size int) (pnt Point, err error) {
	var grp sync.WaitGroup
	ers := make(chan error, size)
	for num := range size {
		grp.Go(func() {
			if err := request(nodeAddress, streamTokens, num); err != nil {
				ers <- err
			}
		})
	}
	time.Sleep(streamWarmup)
	beg, err := processTime(pid)
	if err != nil {
		return Point{}, err
	}
	before := receivedEvents.Load()
	time.Sleep(streamWindow)
	tks := float64(receivedEvents.Load()-before) / streamWindow.Seconds()
	end, err := processTime(pid)
	if err != nil {
		return Point{}, err
	}
	mem, err := residentBytes(pid)
	if err != nil {
		return Point{}, err
	}
	grp.Wait()
	if len(ers) > 0 {
		return Point{}, <-ers
	}
	used := (end - beg).Seconds() / streamWindow.Seconds() * 1e6 / tks
	return Point{Size: float64(size), Figures: []float64{tks, used, mem / 1e6}}, nil
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0}}

// request sends a chat request and reads the streamed answer to its end. num makes the prompt unique.
func request(adr string, tokens, num int) error {
	bdy := fmt.Sprintf(`{"model":"model-1","stream":true,"messages":[{"role":"user","content":"tokens=%d number %d"}]}`, tokens, num)
	req, err := http.NewRequest(http.MethodPost, "http://"+adr+chatPath, bytes.NewReader([]byte(bdy)))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer demo-key-of-me")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	cnt := &eventCounter{}
	if _, err := io.Copy(cnt, res.Body); err != nil {
		return err
	}
	if !bytes.HasSuffix(cnt.last, []byte("data: [DONE]\n\n")) {
		return errors.Errorf("answer does not end with [DONE]: status %d, last chunk %q", res.StatusCode, cnt.last)
	}
	return nil
}

// receivedEvents is the number of events that all requests received.
var receivedEvents atomic.Int64

// eventCounter is a writer that counts events and keeps the last chunk.
type eventCounter struct {
	last []byte
}

// Write counts the events that end in a chunk of an answer.
func (cnt *eventCounter) Write(buf []byte) (num int, err error) {
	receivedEvents.Add(int64(bytes.Count(buf, []byte("\n\n"))))
	cnt.last = append(cnt.last[:0], buf...)
	return len(buf), nil
}

// processTime returns the user and system CPU time of a process.
func processTime(pid int) (used time.Duration, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fls := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	sum := 0
	// The 12th and 13th fields after the name are the user and system ticks.
	for _, fld := range fls[11:13] {
		num, err := strconv.Atoi(fld)
		if err != nil {
			return 0, err
		}
		sum += num
	}
	return time.Duration(sum) * time.Second / ticksPerSec, nil
}

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (num float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pgs, err := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
	return pgs * float64(os.Getpagesize()), err
}
