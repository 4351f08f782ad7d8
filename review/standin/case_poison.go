package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// crashTime is how long a crashed server is down.
	crashTime = 2500 * time.Millisecond
	// maxRetries is from the rule BUDGET.
	maxRetries = 3
)

// runPoison lets a request that crashes the servers which run it come again and again. Once it has crashed three and is refused, the
// machines are stopped and started in turn, and the request comes at each of them when it has been back for some time.
func runPoison(dep *deployment, trouble bool) (broken bool, err error) {
	if err := addTradeServers(dep); err != nil {
		return false, err
	}
	for _, srv := range dep.servers {
		srv.onPoison = func() {
			dep.rec.add("%s crashes", srv.id)
			_ = srv.http.Close()
			time.Sleep(crashTime)
			if err := srv.restart(); err != nil {
				dep.rec.add("%s is not back: %v", srv.id, err)
				return
			}
			dep.store.set("servers", srv.id, srv.record())
			dep.rec.add("%s is back", srv.id)
		}
	}
	dep.store.set("op", "config", config(1))
	if err := dep.startNodes(func(string) string { return dep.storeAddr }); err != nil {
		return false, err
	}
	trf := newTraffic(dep)
	trf.start(200*time.Millisecond, order)
	time.Sleep(5 * time.Second)
	tries := 0
	// inTouch holds the attempts that a machine in touch got.
	inTouch := make(map[string]bool)
	poison := func(nod *node) {
		tries++
		id := fmt.Sprintf("poison-%02d", tries)
		nod.mut.Lock()
		inTouch[id] = time.Since(nod.disturbedAt) > stableWindow
		nod.mut.Unlock()
		trf.send(nod, request{method: "POST", target: "/order/3a", attempt: id, deadline: 3 * time.Second, body: []byte(poisonBody)})
	}
	for num := range 5 {
		poison(dep.nodes[num])
		time.Sleep(crashTime + 500*time.Millisecond)
	}
	third := time.Time{}
	if hits := poisonArrivals(dep); len(hits) >= 3 {
		third = hits[2].at
	} else {
		return false, fmt.Errorf("the request reached servers %d times only", len(hits))
	}
	for _, nod := range dep.nodes {
		if trouble {
			dep.rec.add("%s gets SIGTERM", nod.name)
			nod.signal(syscall.SIGTERM)
			<-nod.done
			time.Sleep(restartDelay)
			if err := nod.start(); err != nil {
				return false, err
			}
			dep.rec.add("%s is started again", nod.name)
		}
		time.Sleep(stableWindow + time.Second)
		poison(nod)
		time.Sleep(crashTime + 300*time.Millisecond)
	}
	time.Sleep(time.Second)
	trf.finish()
	trf.log()
	retries := 0
	for _, exe := range poisonArrivals(dep) {
		if exe.at.After(third.Add(stableWindow)) && inTouch[exe.attempt] {
			retries++
		}
	}
	dep.rec.add("BUDGET: the request reached servers in %d retries, sent by machines in touch later than %s after it had crashed the third", retries, stableWindow)
	return retries > maxRetries, nil
}

// poisonArrivals returns the arrivals of the request that crashes servers, in order.
func poisonArrivals(dep *deployment) (hits []execution) {
	for _, srv := range dep.servers {
		for _, exe := range srv.executions() {
			if exe.target == "/order/3a" {
				hits = append(hits, exe)
			}
		}
	}
	sortExecutions(hits)
	return hits
}
