package main

import (
	"fmt"
	"time"
)

// runPath adds a route for all paths of a host by a new manifest, while consumers send orders whose path begins with two slashes.
func runPath(dep *deployment, trouble bool) (broken bool, err error) {
	if err := addTradeServers(dep); err != nil {
		return false, err
	}
	dep.store.set("op", "config", config(1))
	if err := dep.startNodes(func(string) string { return dep.storeAddr }); err != nil {
		return false, err
	}
	targets := make(map[string]string)
	trf := newTraffic(dep)
	trf.start(100*time.Millisecond, func(attempt string) request {
		req := order(attempt)
		req.target = fmt.Sprintf("//basket/%s?amount=1", attempt)
		trf.mut.Lock()
		targets[attempt] = req.target
		trf.mut.Unlock()
		return req
	})
	time.Sleep(3 * time.Second)
	if trouble {
		dep.store.set("op", "config", config(2, route("basket", "/", "non_idempotent", serviceTrade, 1500, 200, 1)))
		dep.rec.add("version 2 of the manifest adds a route for all paths")
	}
	time.Sleep(6 * time.Second)
	trf.finish()
	trf.log()
	changed := 0
	for _, srv := range dep.servers {
		for _, exe := range srv.executions() {
			if exe.method != "POST" || exe.target != targets[exe.attempt] {
				changed++
			}
		}
	}
	if changed > 0 {
		dep.rec.add("UNASKED: servers executed %d requests whose path or query is not the consumer's", changed)
	}
	return changed > 0, nil
}
