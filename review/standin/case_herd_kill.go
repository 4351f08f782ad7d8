package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// rounds is how often processes are killed, and lingerTime how long a server serves after the removal of its record.
	rounds     = 4
	lingerTime = 10 * time.Second
)

// runHerdKill kills half of the processes at once, those that poll the store among them, and starts them again. Meanwhile a server
// leaves whose record is removed without a report before. All of this happens once a round.
func runHerdKill(dep *deployment, trouble bool) (broken bool, err error) {
	if err := addTradeServers(dep); err != nil {
		return false, err
	}
	leavers := []*server{dep.servers[0]}
	for num := 2; num <= rounds; num++ {
		srv := tradeServer(fmt.Sprintf("i-trade-east-a-%d", num), "east-a")
		if err := dep.addServer(srv); err != nil {
			return false, err
		}
		leavers = append(leavers, srv)
	}
	dep.store.set("op", "config", config(1))
	polls := &pollCounter{counts: make(map[string]int)}
	err = dep.startNodes(func(name string) string {
		prx, err := newProxy(dep.storeAddr)
		if err != nil {
			return dep.storeAddr
		}
		prx.onSend = func(txt []byte) { polls.add(name, bytes.Count(txt, []byte("GET /rows-feed"))) }
		dep.stops = append(dep.stops, func() { _ = prx.listener.Close() })
		return prx.address()
	})
	if err != nil {
		return false, err
	}
	trf := newTraffic(dep)
	trf.start(100*time.Millisecond, order)
	time.Sleep(3 * time.Second)
	var leaves []leave
	for _, leaver := range leavers {
		polls.reset()
		time.Sleep(3 * time.Second)
		leaves = append(leaves, leaveDuringKill(dep, leaver, polls, trouble))
	}
	time.Sleep(time.Second)
	trf.finish()
	trf.log()
	for _, one := range leaves {
		late := make(map[string]int)
		for _, exe := range one.server.executions() {
			// Machines whose processes were killed are not in touch.
			if name := trf.sent[exe.attempt].node.name; exe.at.After(one.removed.Add(drainTime)) && !one.killed[name] {
				late[name]++
			}
		}
		for name, num := range late {
			broken = true
			dep.rec.add("DRAIN: %d requests reached %s from %s, which no disruption hit, later than %s after the removal of its record", num, one.server.id, name, drainTime)
		}
	}
	return broken, nil
}

// leave is the planned leaving of a server.
type leave struct {
	server  *server
	removed time.Time
	// killed holds the names of the nodes that were killed.
	killed map[string]bool
}

// leaveDuringKill removes the record of a server while the nodes that polled the store are down.
func leaveDuringKill(dep *deployment, leaver *server, polls *pollCounter, trouble bool) (res leave) {
	res = leave{server: leaver, killed: make(map[string]bool)}
	var restarts sync.WaitGroup
	for _, nod := range dep.nodes {
		if !trouble || polls.count(nod.name) == 0 || len(res.killed) == len(dep.nodes)/2 {
			continue
		}
		res.killed[nod.name] = true
		dep.rec.add("%s is killed", nod.name)
		restarts.Go(func() {
			nod.signal(syscall.SIGKILL)
			time.Sleep(restartDelay)
			if err := nod.start(); err != nil {
				dep.rec.add("%s is not started again: %v", nod.name, err)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	dep.store.remove("servers", leaver.id)
	res.removed = time.Now()
	dep.rec.add("the record of %s is removed; it goes on serving for %s", leaver.id, lingerTime)
	restarts.Wait()
	time.Sleep(time.Until(res.removed.Add(lingerTime)))
	dep.rec.add("%s exits", leaver.id)
	leaver.exit()
	return res
}

// pollCounter counts the polls of each node.
type pollCounter struct {
	mut    sync.Mutex
	counts map[string]int
}

func (cnt *pollCounter) add(name string, num int) {
	cnt.mut.Lock()
	defer cnt.mut.Unlock()
	cnt.counts[name] += num
}

func (cnt *pollCounter) reset() {
	cnt.mut.Lock()
	defer cnt.mut.Unlock()
	clear(cnt.counts)
}

func (cnt *pollCounter) count(name string) int {
	cnt.mut.Lock()
	defer cnt.mut.Unlock()
	return cnt.counts[name]
}
