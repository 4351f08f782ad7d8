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
	// callTimeout is the deadline of each request.
	callTimeout = 4 * time.Second
	// thinkTime is the pause between two requests of a caller.
	thinkTime = 15 * time.Millisecond
	// minAnsweredShare is the share of the requests sent after recovery that must be answered.
	minAnsweredShare = 0.95
)

// routes are the routes that each caller requests in turn. Requests on order and onestream must be
// executed at most once; lookup is idempotent and stream resumable.
var routes = []string{"order", "lookup", "stream", "onestream"}

// result is the outcome of one request as its caller saw it.
type result struct {
	id, route string
	// status is 0 when there was no answer.
	status int
	body   string
	// complete is set when the body ended without an error.
	complete bool
	// afterFaults is set for requests that were sent after the recovery from all faults.
	afterFaults bool
}

// callers is a set of clients that each send one request after the other on a keep-alive connection.
type callers struct {
	harness *harness
	num     int
	cancel  context.CancelFunc
	group   sync.WaitGroup

	mut         sync.Mutex
	results     []result
	afterFaults bool
}

func newCallers(har *harness, num int) *callers {
	return &callers{harness: har, num: num}
}

func (cas *callers) start(ctx context.Context) {
	ctx, cas.cancel = context.WithCancel(ctx)
	for num := range cas.num {
		cas.group.Go(func() { cas.runCaller(ctx, num) })
	}
}

// runCaller runs one caller until ctx is done. All its requests go to one node, as behind a
// connection-level load balancer.
func (cas *callers) runCaller(ctx context.Context, num int) {
	cli := &http.Client{Transport: &http.Transport{}}
	nod := cas.harness.nodes[num%len(cas.harness.nodes)]
	for turn := 0; ctx.Err() == nil; turn++ {
		cas.mut.Lock()
		afterFaults := cas.afterFaults
		cas.mut.Unlock()
		res := sendRequest(context.Background(), cli, nod, routes[turn%len(routes)], fmt.Sprintf("r-%d-%d", num, turn))
		res.afterFaults = afterFaults
		cas.mut.Lock()
		cas.results = append(cas.results, res)
		cas.mut.Unlock()
		timer.Sleep(ctx, thinkTime)
	}
}

// sendRequest sends one request and reads its answer.
func sendRequest(ctx context.Context, cli *http.Client, nod *node, route, id string) (res result) {
	res = result{id: id, route: route}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := mock.NewRequest(ctx, nod.listen, route, id, callTimeout)
	if err != nil {
		return res
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return res
	}
	defer rsp.Body.Close()
	txt, err := io.ReadAll(rsp.Body)
	res.status, res.body, res.complete = rsp.StatusCode, string(txt), err == nil
	return res
}

// markFaultsEnded marks all requests sent from now on as sent after recovery.
func (cas *callers) markFaultsEnded() {
	cas.mut.Lock()
	defer cas.mut.Unlock()
	cas.afterFaults = true
}

func (cas *callers) stop() {
	cas.cancel()
	cas.group.Wait()
}

// executions returns how often all upstreams together executed a request.
func (cas *callers) executions(id string) (num int) {
	for _, ups := range cas.harness.upstreams {
		num += ups.Executions(id)
	}
	return num
}

// check compares the outcome of every request with what the upstreams executed.
func (cas *callers) check() {
	sent, answered := 0, 0
	for _, res := range cas.results {
		cas.checkResult(res, cas.executions(res.id))
		if res.afterFaults {
			sent++
			if res.status == http.StatusOK && res.complete {
				answered++
			}
		}
	}
	if sent == 0 || float64(answered) < minAnsweredShare*float64(sent) {
		cas.harness.addViolation("Recover: %d of %d requests answered after the faults", answered, sent)
	}
}

// checkResult checks the outcome of one request that the upstreams executed the given number of
// times.
func (cas *callers) checkResult(res result, execs int) {
	atMostOnce := res.route == "order" || res.route == "onestream"
	if atMostOnce && execs > 1 {
		cas.harness.addViolation("Twice: %s on %s was executed %d times", res.id, res.route, execs)
	}
	switch res.status {
	// These refusals promise that the request was not executed. A lookup or a stream may have been
	// executed by an earlier attempt.
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if execs > 0 && res.route != "lookup" && res.route != "stream" {
			cas.harness.addViolation("Refused: %s on %s got %d but was executed", res.id, res.route, res.status)
		}
	case http.StatusOK:
		cas.checkAnswer(res, execs)
	case http.StatusUnauthorized, http.StatusNotFound, http.StatusForbidden:
		cas.harness.addViolation("Denied: %s on %s got %d", res.id, res.route, res.status)
	}
}

// checkAnswer checks that an answer belongs to its request and is complete or a prefix of the full
// answer.
func (cas *callers) checkAnswer(res result, execs int) {
	want := mock.AnswerBody(res.id)
	if strings.Contains(res.route, "stream") {
		want = mock.StreamBody(res.id)
	}
	switch {
	case execs == 0:
		cas.harness.addViolation("Mixed: %s on %s was answered but never executed", res.id, res.route)
	case res.complete && res.body != want:
		cas.harness.addViolation("Mixed: %s on %s got %q", res.id, res.route, res.body)
	case !res.complete && !strings.HasPrefix(want, res.body):
		cas.harness.addViolation("Order: %s on %s got %q, which is no prefix of the answer", res.id, res.route, res.body)
	}
}

// summarize counts the requests by outcome.
func (cas *callers) summarize() (rep Report) {
	for _, res := range cas.results {
		rep.Requests++
		switch {
		case res.status == http.StatusOK && res.complete:
			rep.Answered++
		case res.status == http.StatusServiceUnavailable:
			rep.Refused++
		default:
			rep.Unknown++
		}
	}
	return rep
}
