package chaos

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// drainLoadDuration is how long RunDrain sends requests; drainStart is the time from the first
	// request until it marks the upstream.
	drainLoadDuration = 4 * time.Second
	drainStart        = time.Second
	requestInterval   = 10 * time.Millisecond
	// readinessPeriod is how often the balancer checks the readiness of the nodes.
	readinessPeriod = 200 * time.Millisecond
	streamClients   = 24
	streamTimeout   = 30 * time.Second
)

// RunDrain marks a service as leaving in the VM list while clients send requests, and returns how long after
// that the service got its last new request. It removes the mark at the end.
func RunDrain(flt *fleet.Fleet) (last time.Duration, err error) {
	defer errs.Annotate(&err, "leaving upstream")
	cli := NewClient(flt)
	pol := flt.Config.Pools[1]
	nam := pol.Upstreams[0].Name
	pth := "/services/" + pol.Name + pol.Operations[len(pol.Operations)-1].Path
	var leavingAt time.Time
	beg := time.Now()
	for num := 0; time.Since(beg) < drainLoadDuration; num++ {
		if leavingAt.IsZero() && time.Since(beg) > drainStart {
			if err := flt.SetLeaving(nam); err != nil {
				return 0, err
			}
			leavingAt = time.Now()
		}
		res, err := cli.send(context.Background(), http.MethodGet, num%len(flt.Nodes), pth, "", nil)
		if err == nil {
			res.Body.Close()
		}
		time.Sleep(requestInterval)
	}
	exs, err := flt.Executions()
	if err != nil {
		return 0, err
	}
	before := 0
	for _, exe := range exs[""] {
		switch {
		case exe.Service != nam:
		case exe.At.Before(leavingAt):
			before++
		default:
			last = max(last, exe.At.Sub(leavingAt))
		}
	}
	if before == 0 {
		return 0, errors.Errorf("%s got no call before it was marked as leaving", nam)
	}
	return last, flt.SetLeaving()
}

// RunRollingRestart stops every node by SIGTERM and starts it again, one after the other, while clients stream
// completions. It returns the number of streams and how many were incomplete.
func RunRollingRestart(flt *fleet.Fleet) (streams, broken int, err error) {
	defer errs.Annotate(&err, "rolling stop")
	bal := newBalancer(flt)
	defer bal.close()
	var all, bad atomic.Int64
	var grp sync.WaitGroup
	for num := range streamClients {
		grp.Go(func() {
			for turn := 0; !bal.closed(); turn++ {
				all.Add(1)
				if !bal.checkStream(num, turn) {
					bad.Add(1)
				}
			}
		})
	}
	for _, prc := range flt.Nodes {
		if err := prc.Signal(syscall.SIGTERM); err != nil {
			return 0, 0, err
		}
		<-prc.Done()
		if err := prc.Start(); err != nil {
			return 0, 0, err
		}
	}
	bal.close()
	grp.Wait()
	return int(all.Load()), int(bad.Load()), nil
}

// balancer distributes streams over the nodes that were ready at its last check, as the platform's load
// balancer does.
type balancer struct {
	fleet *fleet.Fleet
	key   string
	done  chan struct{}
	once  sync.Once
	mut   sync.Mutex
	ready []*fleet.Process
}

func newBalancer(flt *fleet.Fleet) *balancer {
	bal := &balancer{fleet: flt, key: fleet.KeyPrefix + flt.Config.Workspaces[0].Name, done: make(chan struct{})}
	bal.updateReady()
	go func() {
		for !bal.closed() {
			time.Sleep(readinessPeriod)
			bal.updateReady()
		}
	}()
	return bal
}

// updateReady checks the readiness of all nodes.
func (bal *balancer) updateReady() {
	var rdy []*fleet.Process
	for _, prc := range bal.fleet.Nodes {
		if isHealthy(prc.URL + "/readyz") {
			rdy = append(rdy, prc)
		}
	}
	bal.mut.Lock()
	defer bal.mut.Unlock()
	bal.ready = rdy
}

func (bal *balancer) close() { bal.once.Do(func() { close(bal.done) }) }

func (bal *balancer) closed() bool {
	select {
	case <-bal.done:
		return true
	default:
		return false
	}
}

// checkStream streams one completion and reports whether it was complete and correct. num and turn choose the
// node.
func (bal *balancer) checkStream(num, turn int) bool {
	bal.mut.Lock()
	prc := bal.ready[(num+turn)%len(bal.ready)]
	bal.mut.Unlock()
	txt := "tokens=40 stream " + time.Now().String()
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	bdy, err := json.Marshal(map[string]any{
		"model": bal.fleet.Config.Pools[0].Models[0], "stream": true,
		"messages": []map[string]string{{"role": "user", "content": txt}},
	})
	if err != nil {
		return false
	}
	cli := &Client{fleet: &fleet.Fleet{Nodes: []*fleet.Process{prc}}, httpClient: http.DefaultClient, key: bal.key}
	res, err := cli.send(ctx, http.MethodPost, 0, "/v1/chat/completions", string(bdy), map[string]string{
		router.HeaderClass: bal.fleet.Config.Classes[0].Name,
	})
	if err != nil {
		return false
	}
	defer res.Body.Close()
	got, complete := "", false
	for evt, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return false
		}
		complete = complete || evt.Data == "[DONE]"
		got += gjson.Get(evt.Data, "choices.0.delta.content").String()
	}
	return complete && got == fakes.ExpectedAnswer(fakes.RenderPrompt(txt))
}
