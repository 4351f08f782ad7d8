package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore-engine"] = exploreEngine }

// exploreEngine loads engines beyond their slots while they crash, limit, leave and are replaced, and manifests change.
func exploreEngine(dep *Deployment, trouble bool) error {
	if other := os.Getenv("STANDIN_BINARY"); other != "" {
		dep.binary = other
	}
	dep.Duties = true
	if err := dep.Start(3, 5, 3); err != nil {
		return err
	}
	rnd := dep.Random
	version := int64(1)
	manifest := func() {
		version++
		man := dep.Manifest(version)
		svc := man["services"].([]any)[0].(map[string]any)
		svc["engine"] = map[string]any{"slots": 4, "kvCapacityTokens": 40000 + 10000*(version%2), "kvTokenBytes": 327680, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}
		for idx, rou := range man["routes"].([]any) {
			rou.(map[string]any)["priority"] = (int64(idx) + version) % 4
		}
		dep.SetManifest(man)
	}
	manifest()
	var mut sync.Mutex
	for _, srv := range dep.Servers {
		srv.SetBehaviour(func(exc *Exchange) bool {
			mut.Lock()
			draw, events, gap := rnd.IntN(40), 1+rnd.IntN(30), time.Duration(1+rnd.IntN(40))*time.Millisecond
			mut.Unlock()
			switch {
			case !trouble:
			case draw == 0:
				exc.NotRun("")
				return true
			case draw == 1:
				exc.NotRun("Retry-After: 0.5\r\n")
				return true
			case draw == 2:
				exc.Run()
				exc.Reset()
				return true
			}
			if strings.Contains(exc.Request.URL.Path, "/draft/") || strings.Contains(exc.Request.URL.Path, "/ask/") {
				if draw == 3 && trouble {
					exc.StreamCut(12, gap, events%2 == 0, events)
					return true
				}
				exc.Stream(12, gap, draw%2 == 0)
				return true
			}
			return false
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all []Result
	var group sync.WaitGroup
	for num, nod := range dep.Nodes {
		for one := range 30 {
			group.Add(1)
			go func() {
				defer group.Done()
				own := rand.New(rand.NewPCG(dep.seed, uint64(num*100+one)))
				cli := nod.Client()
				defer cli.Close()
				for turn := 0; ctx.Err() == nil; turn++ {
					path := []string{"order", "look", "draft", "ask", "ask"}[(turn+one)%5]
					id := fmt.Sprintf("%s-%d-%d-%d", path, num, one, turn)
					hdr := ""
					if path == "draft" || path == "ask" {
						toks := 200 + own.IntN(8000)
						hdr = fmt.Sprintf("Model: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: a%d:100,b%d:%d,c%s:90\r\nLength-Hint: 40\r\n", toks, 80, own.IntN(3), own.IntN(20), toks, id)
					}
					sub, stop := ctx, func() {}
					if own.IntN(10) == 0 && os.Getenv("NOCANCEL") == "" {
						var c context.CancelFunc
						sub, c = context.WithTimeout(context.Background(), time.Duration(own.IntN(400))*time.Millisecond)
						stop = c
					} else {
						sub = context.Background()
					}
					res := cli.Do(sub, Request{ID: id, Path: "/" + path + "/2f?of=" + id, Key: Key, Body: "body of " + id, Header: hdr, Deadline: 6 * time.Second})
					stop()
					mut.Lock()
					all = append(all, res)
					mut.Unlock()
					time.Sleep(time.Duration(own.IntN(30)) * time.Millisecond)
				}
			}()
		}
	}
	end := time.Now().Add(60 * time.Second)
	for time.Now().Before(end) && trouble {
		mut.Lock()
		kind, idx := rnd.IntN(7), rnd.IntN(len(dep.Servers))
		mut.Unlock()
		srv, nod := dep.Servers[idx], dep.Nodes[idx%3]
		switch kind {
		case 0:
			srv.Crash()
			time.Sleep(700 * time.Millisecond)
			_ = srv.Restart()
			dep.Heartbeat()
		case 1:
			manifest()
		case 2:
			srv.SetDraining(true)
			dep.Heartbeat()
			time.Sleep(time.Second)
			srv.SetDraining(false)
			dep.Heartbeat()
		case 3:
			nod.Signal(syscall.SIGHUP)
		case 4:
			if os.Getenv("NOCANCEL") != "" {
				break
			}
			nod.Signal(syscall.SIGSTOP)
			time.Sleep(700 * time.Millisecond)
			nod.Signal(syscall.SIGCONT)
		case 5:
			dep.Store.Compact()
		case 6:
			bak := dep.Store.Backup()
			time.Sleep(500 * time.Millisecond)
			dep.Store.Restore(bak)
			dep.Rewrite()
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	cancel()
	group.Wait()
	kept := all[:0]
	for _, res := range all {
		kept = append(kept, res)
	}
	for _, res := range kept {
		if os.Getenv("NOCANCEL") != "" && res.Status == 0 {
			dep.rec.Line("no answer: %s kept %t after %s: %v, runs %v", res.ID, res.Kept, res.Ended.Sub(res.Sent), res.Err, dep.Runs.Of(res.ID))
		}
	}
	dep.Check(kept, 12)
	if os.Getenv("STANDIN_LOGS") != "" {
		dep.KeepLogs()
	}
	return nil
}
