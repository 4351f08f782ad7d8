package main

import (
	"regexp"
	"strconv"
	"time"
)

const (
	// cutTime is how long the machine is partitioned from the store.
	cutTime = 1600 * time.Millisecond
	// warmupHeartbeat is about heartbeatMs.
	warmupHeartbeat = heartbeat + 100*time.Millisecond
	// fullWait is the wait of a poll, in milliseconds, that follows one without changes.
	fullWait = 1200
)

// feedCall finds the long poll for the records of servers and its wait.
var feedCall = regexp.MustCompile(`GET /rows-feed\?[^ ]*table=servers[^ ]*waitMs=(\d+)`)

// runStaleRecord partitions one machine from the store while a server that warms up leaves. The answer to the machine's poll, with a
// change of the server's record, is delivered when the partition ends, after the machine has got the removal of the record from
// another machine.
func runStaleRecord(dep *deployment, trouble bool) (broken bool, err error) {
	if err := addTradeServers(dep); err != nil {
		return false, err
	}
	leaver := dep.servers[2]
	leaver.warmup = 30_000
	dep.store.set("servers", leaver.id, leaver.record())
	dep.store.set("op", "config", config(1))
	prx, err := newProxy(dep.storeAddr)
	if err != nil {
		return false, err
	}
	dep.stops = append(dep.stops, func() { _ = prx.listener.Close() })
	polls := make(chan time.Time, 100)
	prx.onSend = func(txt []byte) {
		if hit := feedCall.FindSubmatch(txt); hit != nil {
			if wait, _ := strconv.Atoi(string(hit[1])); wait >= fullWait {
				select {
				case polls <- time.Now():
				default:
				}
			}
		}
	}
	cutNode := "edge-east-b-6"
	err = dep.startNodes(func(name string) string {
		if name == cutNode {
			return prx.address()
		}
		return dep.storeAddr
	})
	if err != nil {
		return false, err
	}
	trf := newTraffic(dep)
	trf.start(100*time.Millisecond, order)
	// The server warms up and writes its record at each heartbeat, because warmupLeftMs changes.
	beats, over := make(chan time.Time), make(chan struct{})
	go func() {
		for {
			select {
			case <-time.After(warmupHeartbeat):
				beat(dep, leaver)
				select {
				case beats <- time.Now():
				default:
				}
			case <-over:
				return
			}
		}
	}()
	time.Sleep(6 * time.Second)
	for len(polls) > 0 {
		<-polls
	}
	// The cut begins with a poll, and the next heartbeat comes a moment later.
	began := <-polls
	healed := began
	if trouble {
		healed = began.Add(cutTime)
		prx.hold(healed)
		dep.rec.add("%s is partitioned from the store for %s", cutNode, cutTime)
	}
	<-beats
	close(over)
	dep.rec.add("%s writes its last heartbeat", leaver.id)
	time.Sleep(200 * time.Millisecond)
	dep.store.remove("servers", leaver.id)
	removed := time.Now()
	dep.rec.add("the record of %s is removed; it goes on serving for 14 s", leaver.id)
	time.Sleep(14 * time.Second)
	dep.rec.add("%s exits", leaver.id)
	leaver.exit()
	time.Sleep(time.Second)
	trf.finish()
	trf.log()
	late := make(map[string]int)
	for _, exe := range leaver.executions() {
		req := trf.sent[exe.attempt]
		inTouch := removed
		if req.node.name == cutNode && trouble {
			inTouch = healed.Add(stableWindow)
		}
		if exe.at.After(removed.Add(drainTime)) && req.at.After(inTouch) {
			late[req.node.name]++
		}
	}
	for name, num := range late {
		dep.rec.add("DRAIN: %d requests that machines in touch had taken reached %s from %s later than %s after the removal of its record", num, leaver.id, name, drainTime)
	}
	return len(late) > 0, nil
}

// beat writes the record of a server that warms up.
func beat(dep *deployment, srv *server) {
	srv.mut.Lock()
	srv.warmup -= int(heartbeat.Milliseconds())
	srv.mut.Unlock()
	dep.store.set("servers", srv.id, srv.record())
}
