package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

const (
	// patience is how long a caller waits.
	patience = 4 * time.Second
	// think is the pause between two requests of a caller.
	think = 15 * time.Millisecond
	// goodShare is the share of requests in quiet times that must be answered.
	goodShare = 0.95
)

// routes are what callers ask for, by turns.
var routes = []string{"order", "lookup", "stream", "onestream"}

// result is how one request ended.
type result struct {
	id, route string
	// status is 0 when no answer came.
	status int
	body   string
	whole  bool
	// quiet is set for requests sent after all faults had ended.
	quiet bool
}

// callers send requests on connections that they keep.
type callers struct {
	world  *world
	num    int
	cancel context.CancelFunc
	group  sync.WaitGroup

	mut     sync.Mutex
	results []result
	quiet   bool
}

func newCallers(wrd *world, num int) *callers {
	return &callers{world: wrd, num: num}
}

func (cas *callers) start(ctx context.Context) {
	ctx, cas.cancel = context.WithCancel(ctx)
	for num := range cas.num {
		cas.group.Go(func() { cas.run(ctx, num) })
	}
}

// run is one caller; each stays with one node, as behind a balancer that spreads connections.
func (cas *callers) run(ctx context.Context, num int) {
	cli := &http.Client{Transport: &http.Transport{}}
	nod := cas.world.nodes[num%len(cas.world.nodes)]
	for turn := 0; ctx.Err() == nil; turn++ {
		cas.mut.Lock()
		quiet := cas.quiet
		cas.mut.Unlock()
		res := ask(context.Background(), cli, nod, routes[turn%len(routes)], fmt.Sprintf("r-%d-%d", num, turn))
		res.quiet = quiet
		cas.mut.Lock()
		cas.results = append(cas.results, res)
		cas.mut.Unlock()
		timer.Sleep(ctx, think)
	}
}

// ask sends one request.
func ask(ctx context.Context, cli *http.Client, nod *node, route, id string) (res result) {
	res = result{id: id, route: route}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	req, err := mock.NewRequest(ctx, nod.listen, route, id, patience)
	if err != nil {
		return res
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return res
	}
	defer rsp.Body.Close()
	txt, err := io.ReadAll(rsp.Body)
	res.status, res.body, res.whole = rsp.StatusCode, string(txt), err == nil
	return res
}

// mark begins the quiet time.
func (cas *callers) mark() {
	cas.mut.Lock()
	defer cas.mut.Unlock()
	cas.quiet = true
}

func (cas *callers) stop() {
	cas.cancel()
	cas.group.Wait()
}

// runs returns how often a request was executed by all upstreams.
func (cas *callers) runs(id string) (num int) {
	for _, ups := range cas.world.ups {
		num += ups.Executions(id)
	}
	return num
}

// judge checks every request against what the upstreams executed.
func (cas *callers) judge() {
	quiet, good := 0, 0
	for _, res := range cas.results {
		cas.judgeOne(res, cas.runs(res.id))
		if res.quiet {
			quiet++
			if res.status == http.StatusOK && res.whole {
				good++
			}
		}
	}
	if quiet == 0 || float64(good) < goodShare*float64(quiet) {
		cas.world.breaks("Recover: %d of %d requests answered after the faults", good, quiet)
	}
}

func (cas *callers) judgeOne(res result, runs int) {
	once := res.route == "order" || res.route == "onestream"
	if once && runs > 1 {
		cas.world.breaks("Twice: %s on %s was executed %d times", res.id, res.route, runs)
	}
	switch res.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 && res.route != "lookup" && res.route != "stream" {
			cas.world.breaks("Refused: %s on %s was told %d and was executed", res.id, res.route, res.status)
		}
	case http.StatusOK:
		cas.judgeAnswer(res, runs)
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden:
		cas.world.breaks("Denied: %s on %s got %d", res.id, res.route, res.status)
	}
}

// judgeAnswer checks that an answer is the one to the request, whole or from its beginning.
func (cas *callers) judgeAnswer(res result, runs int) {
	want := mock.AnswerBody(res.id)
	if strings.Contains(res.route, "stream") {
		want = mock.StreamBody(res.id)
	}
	switch {
	case runs == 0:
		cas.world.breaks("Mixed: %s on %s was answered and never executed", res.id, res.route)
	case res.whole && res.body != want:
		cas.world.breaks("Mixed: %s on %s got %q", res.id, res.route, res.body)
	case !res.whole && !strings.HasPrefix(want, res.body):
		cas.world.breaks("Order: %s on %s got the part %q", res.id, res.route, res.body)
	}
}

// count adds up how requests ended.
func (cas *callers) count() (rep Report) {
	for _, res := range cas.results {
		rep.Requests++
		switch {
		case res.status == http.StatusOK && res.whole:
			rep.Answered++
		case res.status == http.StatusServiceUnavailable:
			rep.Refused++
		default:
			rep.Unknown++
		}
	}
	return rep
}
