package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["identical"] = caseIdentical }

// caseIdentical crashes the servers of a service at one moment, for two seconds, while clients of a tenant look up the same thing on a
// route that was added later. No request crashes a server.
func caseIdentical(dep *Deployment, trouble bool) error {
	const (
		// The figures of order-place and stock-look on the sheet of sievedesk-grown.
		orders, looks = 51.2, 20.5
		work          = 60 * time.Millisecond
		downFor       = 2 * time.Second
		steadyFor     = 20 * time.Second
	)
	if err := dep.Start(6, 3, 6); err != nil {
		return err
	}
	man := dep.Manifest(2)
	man["routes"] = append(man["routes"].([]any), map[string]any{
		"name": "status", "hostname": Host, "prefix": "/status/", "routeType": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 400,
		"priority": 1, "service": Orders, "maxAttempts": 2, "public": false,
	})
	dep.SetManifest(man)
	for _, srv := range dep.Servers {
		srv.SetBehaviour(func(exc *Exchange) bool {
			exc.Run()
			time.Sleep(work)
			exc.Plain(http.StatusOK, AnswerOf(exc.ID()))
			return true
		})
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mut sync.Mutex
	var all []Result
	var group sync.WaitGroup
	generate := func(method, path string, perSecond float64, seed uint64) {
		rnd := rand.New(rand.NewPCG(dep.seed, seed))
		for num := 0; ctx.Err() == nil; num++ {
			time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
			nod := dep.Nodes[rnd.IntN(len(dep.Nodes))]
			id := fmt.Sprintf("%s-%d", path, num)
			req := Request{ID: id, Method: method, Path: "/" + path + "/fi50/2f", Key: Key, Deadline: 6 * time.Second}
			if method == http.MethodPost {
				req.Body = "order " + id
			}
			group.Go(func() {
				cli := nod.Client()
				defer cli.Close()
				res := cli.Do(context.Background(), req)
				mut.Lock()
				defer mut.Unlock()
				all = append(all, res)
			})
		}
	}
	go generate(http.MethodPost, "order", orders, 11)
	go generate(http.MethodGet, "status", looks, 12)
	time.Sleep(6 * time.Second)
	if trouble {
		// The servers crash while three of them work on a look-up, which is so an eighth of the time.
		dep.awaitWorking("status-", 3, 20*time.Second)
		for _, srv := range dep.Servers[3:] {
			srv.Crash()
		}
		time.Sleep(downFor)
		for _, srv := range dep.Servers[3:] {
			if err := srv.Restart(); err != nil {
				return err
			}
		}
		dep.Heartbeat()
	}
	from := time.Now().Add(2 * stableWindow)
	time.Sleep(time.Until(from) + steadyFor)
	cancel()
	group.Wait()
	dep.Check(all, 0)
	sent, served := make(map[string]int), make(map[string]int)
	for _, res := range all {
		route, _, _ := strings.Cut(res.Path[1:], "/")
		if res.Sent.Before(from) {
			continue
		}
		sent[route]++
		if res.Status == http.StatusOK {
			served[route]++
		}
	}
	dep.rec.Line("from %s after the servers were back, for %s: sent %v, served %v", 2*stableWindow, steadyFor, sent, served)
	if sent["status"] < 20 || sent["order"] < 20 {
		return fmt.Errorf("too few requests: %v", sent)
	}
	added, first := float64(served["status"])/float64(sent["status"]), float64(served["order"])/float64(sent["order"])
	if added < first/4 {
		dep.rec.Break("CONFIG: in steady state %d of %d requests on the route that was added later are served, and %d of %d on the first one",
			served["status"], sent["status"], served["order"], sent["order"])
	}
	return nil
}

// awaitWorking waits until a number of servers work on requests whose ids have a prefix.
func (dep *Deployment) awaitWorking(prefix string, number int, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		busy := make(map[string]bool)
		dep.Runs.mut.Lock()
		for _, run := range dep.Runs.all[max(0, len(dep.Runs.all)-50):] {
			if run.Ended.IsZero() && strings.HasPrefix(run.ID, prefix) {
				busy[run.Server] = true
			}
		}
		dep.Runs.mut.Unlock()
		if len(busy) >= number {
			return
		}
	}
}
