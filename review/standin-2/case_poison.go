package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["all-killed"] = caseAllKilled
}

// deadlyPart is the part of a prompt that crashes servers.
const deadlyPart = "dead0001"

// poisonable makes the model servers crash when they begin to write an answer on the deadly part, and be back after 2.5 s. It returns a function
// that returns the times of these crashes, with the machines that had sent the requests.
func (dep *Deployment) poisonable(events int, gap time.Duration) func() []crash {
	var mut sync.Mutex
	var crashes []crash
	for _, srv := range dep.Servers {
		if srv.Service != Engines {
			continue
		}
		srv.SetBehaviour(func(exc *Exchange) bool {
			if !strings.Contains(exc.Request.Header.Get("Prompt-Prefix"), deadlyPart) {
				exc.Stream(events, gap, true)
				return true
			}
			exc.Run()
			time.Sleep(50 * time.Millisecond)
			mut.Lock()
			crashes = append(crashes, crash{at: time.Now(), server: srv.ID, node: exc.Request.Header.Get("From-Node"), id: exc.ID()})
			mut.Unlock()
			srv.Crash()
			time.AfterFunc(2500*time.Millisecond, func() {
				if err := srv.Restart(); err == nil {
					dep.Heartbeat()
				}
			})
			exc.keep = false
			return true
		})
	}
	return func() []crash {
		mut.Lock()
		defer mut.Unlock()
		return append([]crash(nil), crashes...)
	}
}

// crash is the crash of a server by a request.
type crash struct {
	at               time.Time
	server, node, id string
}

// engineManifest is the manifest with the engines described.
func (dep *Deployment) engineManifest() {
	man := dep.Manifest(2)
	man["services"].([]any)[0].(map[string]any)["engine"] = map[string]any{
		"slots": 64, "kvCapacityTokens": 609782, "kvTokenBytes": 327680, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 3, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	dep.SetManifest(man)
	time.Sleep(3 * time.Second)
}

// caseAllKilled kills all machines' processes at one moment after a part of a prompt has crashed servers, and sends requests with that part
// again when all machines have been back for more than stableWindowMs.
func caseAllKilled(dep *Deployment, trouble bool) error {
	const (
		// drafts is the rate of quote-draft on the sheet, and deadly the pause between requests with the deadly part: 5 in 100 of these.
		drafts = 7.02
		deadly = 2850 * time.Millisecond
		events = 10
	)
	dep.Layout = layout
	if err := dep.Start(6, 9, 3); err != nil {
		return err
	}
	dep.engineManifest()
	crashes := dep.poisonable(events, 20*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	send := func(part string, num int, nod *Node) Result {
		cli := nod.Client()
		defer cli.Close()
		id := fmt.Sprintf("%s-%d", part, num)
		return cli.Do(context.Background(), Request{
			ID: id, Path: "/draft/2f?of=" + id, Key: Key, Body: "the prompt of " + id, Deadline: 5 * time.Second,
			Header: fmt.Sprintf("From-Node: %s\r\nModel: m\r\nToken-Usage: 9190,50\r\nPrompt-Prefix: 5c1e07a2:2520,%s:3780,%s:2890\r\n", nod.Name, part, id),
		})
	}
	group.Go(func() {
		rnd := rand.New(rand.NewPCG(dep.seed, 11))
		for num := 0; ctx.Err() == nil; num++ {
			time.Sleep(time.Duration(rnd.ExpFloat64() / drafts * float64(time.Second)))
			nod := dep.consumerNode(rnd)
			group.Go(func() { send(fmt.Sprintf("b%d", num%84), num, nod) })
		}
	})
	// poison sends requests with the deadly part. The client of a stream that may be resumed tries once more after a failure, at another machine.
	num := 0
	poison := func(number int) {
		for range number {
			began, nod, again := time.Now(), dep.Nodes[num%6], dep.Nodes[(num+1)%6]
			res := send(deadlyPart, num, nod)
			dep.rec.Line("request with the deadly part at %s: %d", nod.Name, res.Status)
			if res.Status != 503 {
				res = send(deadlyPart, 100+num, again)
				dep.rec.Line("its client's retry at %s: %d", again.Name, res.Status)
			}
			num++
			time.Sleep(max(0, deadly-time.Since(began)))
		}
	}
	time.Sleep(2 * time.Second)
	poison(8)
	time.Sleep(stableWindow)
	before := crashes()
	dep.rec.Line("%d crashes before", len(before))
	if len(before) < 5 {
		return fmt.Errorf("fewer than five crashes")
	}
	if trouble {
		for _, nod := range dep.Nodes {
			nod.Signal(syscall.SIGKILL)
		}
		for _, nod := range dep.Nodes {
			nod.AwaitEnd(time.Second)
		}
		time.Sleep(500 * time.Millisecond)
		for _, nod := range dep.Nodes {
			if err := nod.Start(); err != nil {
				return err
			}
		}
		for _, nod := range dep.Nodes {
			if err := nod.Await(10 * time.Second); err != nil {
				return err
			}
		}
	}
	time.Sleep(stableWindow + 2*time.Second)
	from := time.Now()
	poison(8)
	cancel()
	group.Wait()
	reached := 0
	for _, one := range crashes() {
		if one.at.After(from) {
			reached++
			dep.rec.Line("%s reached %s from %s and crashed it", one.id, one.server, one.node)
		}
	}
	dep.rec.Line("%d requests with the deadly part reached servers later than %s after the fifth crash, from machines in touch", reached, stableWindow)
	if reached > 3 {
		dep.rec.Break("BUDGET: %d requests with a part that crashes servers reached servers, sent by machines in touch later than %s after the fifth crash", reached, stableWindow)
	}
	return nil
}
