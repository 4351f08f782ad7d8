package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore-lost"] = exploreLost }

// exploreLost stops nodes while clients send requests of different length on kept channels.
func exploreLost(dep *Deployment, trouble bool) error {
	if err := dep.Start(3, 3, 3); err != nil {
		return err
	}
	rnd := dep.Random
	var mut sync.Mutex
	for _, srv := range dep.Servers {
		srv.SetBehaviour(func(exc *Exchange) bool {
			mut.Lock()
			work := time.Duration(rnd.ExpFloat64() * float64(300*time.Millisecond))
			events, gap := 1+rnd.IntN(60), time.Duration(1+rnd.IntN(100))*time.Millisecond
			early, unframed := rnd.IntN(20) == 0, rnd.IntN(4) == 0
			mut.Unlock()
			if early {
				exc.NotRun("")
				return true
			}
			if strings.Contains(exc.Request.URL.Path, "/draft/") || strings.Contains(exc.Request.URL.Path, "/ask/") {
				exc.Stream(events, gap, !unframed)
				return true
			}
			exc.Run()
			time.Sleep(min(work, 2500*time.Millisecond))
			exc.Plain(http.StatusOK, AnswerOf(exc.ID()))
			return true
		})
	}
	type sig struct {
		node string
		at   time.Time
	}
	var terms []sig
	end := time.Now().Add(80 * time.Second)
	var all []Result
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for num, nod := range dep.Nodes {
		for one := range 25 {
			group.Add(1)
			go func() {
				defer group.Done()
				cli := nod.Client()
				defer cli.Close()
				for turn := 0; ctx.Err() == nil; turn++ {
					path := []string{"order", "look", "draft", "ask", "order2"}[(turn+one)%5]
					id := fmt.Sprintf("%s-%d-%d-%d", path, num, one, turn)
					body := "body of " + id
					if one%5 == 0 {
						body += strings.Repeat("x", 200_000)
					}
					res := cli.Do(context.Background(), Request{ID: id, Path: "/" + path + "/2f?of=" + id, Key: Key, Body: body, Deadline: 12 * time.Second})
					mut.Lock()
					all = append(all, res)
					pause := time.Duration(rnd.IntN(200)) * time.Millisecond
					mut.Unlock()
					time.Sleep(pause)
				}
			}()
		}
	}
	version := int64(1)
	for turn := 0; time.Now().Before(end) && trouble; turn++ {
		nod := dep.Nodes[turn%len(dep.Nodes)]
		terms = append(terms, sig{nod.Name, time.Now()})
		nod.Signal(syscall.SIGTERM)
		version++
		dep.SetManifest(dep.Manifest(version))
		dep.Nodes[(turn+1)%3].Signal(syscall.SIGHUP)
		if !nod.AwaitEnd(grace) {
			dep.rec.Break("Fault: %s runs %s after SIGTERM", nod.Name, grace)
			nod.Signal(syscall.SIGKILL)
			nod.AwaitEnd(time.Second)
		}
		_ = nod.Start()
		_ = nod.Await(10 * time.Second)
		time.Sleep(2 * time.Second)
	}
	if !trouble {
		time.Sleep(time.Until(end))
	}
	cancel()
	group.Wait()
	statuses := map[int]int{}
	for _, res := range all {
		statuses[res.Status]++
		runs := dep.Runs.Of(res.ID)
		once := !strings.HasPrefix(res.Path, "/look") && !strings.HasPrefix(res.Path, "/draft")
		if once && len(runs) > 1 {
			dep.rec.Break("TWICE: %s", res.ID)
		}
		if once && len(runs) > 0 && res.Status == 503 {
			dep.rec.Break("REFUSED: %s", res.ID)
		}
		if res.Status != 0 && res.Complete {
			continue
		}
		for _, run := range runs {
			var at time.Time
			for _, one := range terms {
				if one.node == res.Node && one.at.Before(res.Ended) {
					at = one.at
				}
			}
			worked := run.Ended.Sub(at)
			dep.rec.Line("cut %s at %s sent %s after SIGTERM, ended %s after, server ended %s after, complete %t: %v", res.ID, res.Node, res.Sent.Sub(at), res.Ended.Sub(at), worked, run.Complete, res.Err)
			if res.Ended.Sub(at) < grace*5/6 {
				dep.rec.Break("LOST: %s", res.ID)
			}
		}
	}
	dep.rec.Line("answers by status: %v", statuses)
	return nil
}
