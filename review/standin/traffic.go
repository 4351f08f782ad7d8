package main

import (
	"fmt"
	"sync"
	"time"
)

// traffic sends requests at a constant rate through each node and keeps how they ended.
type traffic struct {
	dep  *deployment
	stop chan struct{}
	wait sync.WaitGroup

	mut  sync.Mutex
	sent map[string]sentRequest
	// channels holds the channels of the consumers of each node.
	channels map[*node]*channels
}

// sentRequest is a request that was sent.
type sentRequest struct {
	node *node
	at   time.Time
	// answeredAt is when the answer was read; zero before.
	answeredAt time.Time
	result     result
}

func newTraffic(dep *deployment) *traffic {
	trf := &traffic{dep: dep, stop: make(chan struct{}), sent: make(map[string]sentRequest), channels: make(map[*node]*channels)}
	for _, nod := range dep.nodes {
		trf.channels[nod] = &channels{address: nod.front}
	}
	return trf
}

// start sends requests to all nodes at one rate: build makes the request with a number.
func (trf *traffic) start(interval time.Duration, build func(attempt string) request) {
	trf.startEach(func(*node) time.Duration { return interval }, build)
}

// startEach sends requests to all nodes, to each one at its own rate.
func (trf *traffic) startEach(intervalOf func(nod *node) time.Duration, build func(attempt string) request) {
	for _, nod := range trf.dep.nodes {
		interval := intervalOf(nod)
		trf.wait.Go(func() {
			for num := 0; ; num++ {
				select {
				case <-trf.stop:
					return
				case <-time.After(interval):
				}
				req := build(fmt.Sprintf("%s-%05d", nod.name, num))
				trf.wait.Go(func() { trf.send(trf.forward(nod), req) })
			}
		})
	}
}

// forward returns the node to which a consumer's request goes: an open channel stays with its node, and new ones go to nodes in rotation.
func (trf *traffic) forward(nod *node) *node {
	if nod.inRotation.Load() || trf.channels[nod].hasIdle() {
		return nod
	}
	best := nod
	for _, oth := range trf.dep.nodes {
		if oth.inRotation.Load() && (best == nod || oth.zone == nod.zone) {
			best = oth
		}
	}
	return best
}

func (trf *traffic) send(nod *node, req request) {
	trf.mut.Lock()
	trf.sent[req.attempt] = sentRequest{node: nod, at: time.Now()}
	trf.mut.Unlock()
	res := trf.channels[nod].send(req)
	trf.mut.Lock()
	defer trf.mut.Unlock()
	one := trf.sent[req.attempt]
	one.result, one.answeredAt = res, time.Now()
	trf.sent[req.attempt] = one
}

// finish stops sending and waits for the answers.
func (trf *traffic) finish() {
	close(trf.stop)
	trf.wait.Wait()
}

// log writes all requests with their answers, and all executions at the servers, to the record.
func (trf *traffic) log() {
	for id, one := range trf.sent {
		trf.dep.rec.addAt(one.at, "request %s sent to %s; after %d ms: %s", id, one.node.name, one.answeredAt.Sub(one.at).Milliseconds(), one.result)
	}
	for _, srv := range trf.dep.servers {
		for _, exe := range srv.executions() {
			trf.dep.rec.addAt(exe.at, "server %s executed %s %s of %s", srv.id, exe.method, exe.target, exe.attempt)
		}
	}
}

// order returns a request that may be executed once at most.
func order(attempt string) request {
	return request{method: "POST", target: "/order/2f", attempt: attempt, deadline: 3 * time.Second, body: []byte(`{"amount":1}`)}
}

// addTradeServers starts one server of the plain service a zone.
func addTradeServers(dep *deployment) error {
	for _, zone := range zones {
		if err := dep.addServer(tradeServer("i-trade-"+zone[0], zone[0])); err != nil {
			return err
		}
	}
	return nil
}

const (
	// drainTime is drainMs, stableWindow is stableWindowMs, and heartbeat is heartbeatMs of the deployment.
	drainTime    = 3 * time.Second
	stableWindow = 4 * time.Second
	heartbeat    = 1200 * time.Millisecond
)
