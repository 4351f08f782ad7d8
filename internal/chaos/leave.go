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

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const (
	leaveLoad   = 4 * time.Second
	leaveAfter  = time.Second
	lookupPause = 10 * time.Millisecond
	// balancerPeriod is how often the balancer's stand-in looks at readiness.
	balancerPeriod = 200 * time.Millisecond
	streamers      = 24
	streamTimeout  = 30 * time.Second
)

// Leaving marks a service as leaving under load and returns how long after that it got its last new call.
func Leaving(flt *fleet.Fleet) (last time.Duration, err error) {
	defer fault.Annotate(&err, "leaving upstream")
	cls := NewCallers(flt)
	pol := flt.Config.Pools[1]
	nam := pol.Upstreams[0].Name
	pth := "/services/" + pol.Name + pol.Operations[len(pol.Operations)-1].Path
	var left time.Time
	beg := time.Now()
	for num := 0; time.Since(beg) < leaveLoad; num++ {
		if left.IsZero() && time.Since(beg) > leaveAfter {
			if err := flt.SetVMs(nam); err != nil {
				return 0, err
			}
			left = time.Now()
		}
		res, err := cls.send(context.Background(), http.MethodGet, num%len(flt.Nodes), pth, "", nil)
		if err == nil {
			res.Body.Close()
		}
		time.Sleep(lookupPause)
	}
	exs, err := flt.Executions()
	if err != nil {
		return 0, err
	}
	before := 0
	for _, exe := range exs[""] {
		switch {
		case exe.Service != nam:
		case exe.At.Before(left):
			before++
		default:
			last = max(last, exe.At.Sub(left))
		}
	}
	if before == 0 {
		return 0, errors.Errorf("%s got no call before it was leaving", nam)
	}
	return last, flt.SetVMs()
}

// Rolling stops and starts every node in turn by SIGTERM while streams run, and returns how many ran and how many were not whole.
func Rolling(flt *fleet.Fleet) (streams, broken int, err error) {
	defer fault.Annotate(&err, "rolling stop")
	bal := newBalancer(flt)
	defer bal.close()
	var all, bad atomic.Int64
	var grp sync.WaitGroup
	for num := range streamers {
		grp.Go(func() {
			for turn := 0; !bal.closed(); turn++ {
				all.Add(1)
				if !bal.stream(num, turn) {
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

// balancer sends callers to nodes that were ready when it last looked, as the platform's does.
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
	bal.look()
	go func() {
		for !bal.closed() {
			time.Sleep(balancerPeriod)
			bal.look()
		}
	}()
	return bal
}

func (bal *balancer) look() {
	var rdy []*fleet.Process
	for _, prc := range bal.fleet.Nodes {
		if answering(prc.URL + "/readyz") {
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

// stream asks for one answer and reports whether it was whole.
func (bal *balancer) stream(num, turn int) bool {
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
	cls := &Callers{fleet: &fleet.Fleet{Nodes: []*fleet.Process{prc}}, client: http.DefaultClient, key: bal.key}
	res, err := cls.send(ctx, http.MethodPost, 0, "/v1/chat/completions", string(bdy), map[string]string{
		router.HeaderClass: bal.fleet.Config.Classes[0].Name,
	})
	if err != nil {
		return false
	}
	defer res.Body.Close()
	got, whole := "", false
	for evt, err := range sse.Read(res.Body, nil) {
		if err != nil {
			return false
		}
		whole = whole || evt.Data == "[DONE]"
		got += gjson.Get(evt.Data, "choices.0.delta.content").String()
	}
	return whole && got == stand.Expected(stand.Prompt(txt))
}
