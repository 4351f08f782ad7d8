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

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
)

const (
	engineAddress = "127.0.0.1:23801"
	nodeAddress   = "127.0.0.1:23802"
	adminAddress  = "127.0.0.1:23803"
	sequential    = 1500
	parallel      = 32
	parallelCalls = 12000
	ticksPerSec   = 100
	startPause    = 500 * time.Millisecond
	chatPath      = "/v1/chat/completions"
)

// Path measures one node on one core before one engine, against direct calls in the same run.
func Path(out io.Writer, binaries string) (err error) {
	defer fault.Annotate(&err, "measure path")
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
	time.Sleep(startPause)
	if err := latency(out); err != nil {
		return err
	}
	if err := throughput(out, nod.Process.Pid); err != nil {
		return err
	}
	return streams(out, nod.Process.Pid)
}

func startNode(binaries, dir string) (nod *exec.Cmd, err error) {
	bas, err := os.ReadFile(filepath.Join("examples", "single", "base.yaml"))
	if err != nil {
		return nil, err
	}
	txt := strings.ReplaceAll(string(bas), "http://127.0.0.1:8000", "http://"+engineAddress)
	for old, now := range map[string]string{"Slots: 16": "Slots: 4000", "RequestRate: 1000": "RequestRate: 1000000", "Burst: 1000": "Burst: 1000000"} {
		txt = strings.ReplaceAll(txt, old, now)
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

// latency alternates direct and routed requests of one token, one at a time.
func latency(out io.Writer) error {
	var hgs [2]*hdrhistogram.Histogram
	for idx := range hgs {
		hgs[idx] = hdrhistogram.New(1, int64(time.Minute), 3)
	}
	for num := range sequential {
		for idx, adr := range []string{engineAddress, nodeAddress} {
			beg := time.Now()
			if err := ask(adr, 1, num); err != nil {
				return err
			}
			if err := hgs[idx].RecordValue(int64(time.Since(beg))); err != nil {
				return err
			}
		}
	}
	for _, qnt := range []float64{50, 99} {
		dir, via := hgs[0].ValueAtQuantile(qnt), hgs[1].ValueAtQuantile(qnt)
		fmt.Fprintf(out, "\nlatency p%.0f: direct %.3f ms, routed %.3f ms, added %.3f ms, ratio %.2f",
			qnt, float64(dir)/1e6, float64(via)/1e6, float64(via-dir)/1e6, float64(via)/float64(dir))
	}
	fmt.Fprintln(out)
	return nil
}

// throughput sends requests of one token in parallel, directly and through the node.
func throughput(out io.Writer, pid int) error {
	dir, err := flood(engineAddress)
	if err != nil {
		return err
	}
	beg, err := processTime(pid)
	if err != nil {
		return err
	}
	via, err := flood(nodeAddress)
	if err != nil {
		return err
	}
	end, err := processTime(pid)
	if err != nil {
		return err
	}
	use := (end - beg).Seconds() * 1e6 / parallelCalls
	fmt.Fprintf(out, "requests: direct %.0f/s, routed on one core %.0f/s, ratio %.2f; %.0f CPU us/request\n", dir, via, via/dir, use)
	return nil
}

func flood(adr string) (rate float64, err error) {
	var grp sync.WaitGroup
	ers := make(chan error, parallel)
	beg := time.Now()
	for wrk := range parallel {
		grp.Go(func() {
			for num := range parallelCalls / parallel {
				if err := ask(adr, 1, wrk*parallelCalls+num); err != nil {
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
		return parallelCalls / time.Since(beg).Seconds(), nil
	}
}

// streams holds open streams in four numbers and reads what the node uses meanwhile.
func streams(out io.Writer, pid int) error {
	slp := Slope{Name: "Open streams on one node on one core", Unit: "streams", Columns: []string{"tokens/s", "CPU us/token", "memory MB"}}
	for _, size := range []int{250, 500, 1000, 2000} {
		pnt, err := hold(pid, size)
		if err != nil {
			return err
		}
		slp.Points = append(slp.Points, pnt)
	}
	slp.Write(out)
	return nil
}

const (
	holdTokens = 250
	holdStart  = 2 * time.Second
	holdTime   = 2 * time.Second
)

func hold(pid, size int) (pnt Point, err error) {
	var grp sync.WaitGroup
	ers := make(chan error, size)
	for num := range size {
		grp.Go(func() {
			if err := ask(nodeAddress, holdTokens, num); err != nil {
				ers <- err
			}
		})
	}
	time.Sleep(holdStart)
	beg, err := processTime(pid)
	if err != nil {
		return Point{}, err
	}
	was := events.Load()
	time.Sleep(holdTime)
	tks := float64(events.Load()-was) / holdTime.Seconds()
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
	use := (end - beg).Seconds() / holdTime.Seconds() * 1e6 / tks
	return Point{Size: float64(size), Figures: []float64{tks, use, mem / 1e6}}, nil
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096, MaxConnsPerHost: 0}}

func ask(adr string, tokens, num int) error {
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
	tal := &tally{}
	if _, err := io.Copy(tal, res.Body); err != nil {
		return err
	}
	if !bytes.HasSuffix(tal.last, []byte("data: [DONE]\n\n")) {
		return errors.Errorf("answer is not whole: %d %s", res.StatusCode, tal.last)
	}
	return nil
}

// events counts the events that all callers received.
var events atomic.Int64

// tally is a writer that counts events and keeps the last bytes.
type tally struct {
	last []byte
}

// Write counts the events that end in a part of an answer.
func (tal *tally) Write(buf []byte) (num int, err error) {
	events.Add(int64(bytes.Count(buf, []byte("\n\n"))))
	tal.last = append(tal.last[:0], buf...)
	return len(buf), nil
}

// processTime returns the processor time that a process has used.
func processTime(pid int) (use time.Duration, err error) {
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

func residentBytes(pid int) (num float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pgs, err := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
	return pgs * float64(os.Getpagesize()), err
}
