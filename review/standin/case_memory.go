package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// promptRate is the usual number of long prompts a second at all nodes, and burstFactor how many times as many come in a burst.
	promptRate  = 8.87
	burstFactor = 2.4
	burstTime   = 9 * time.Second
	burstPause  = 4 * time.Second
	bursts      = 3
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// maxLost is from the rule LOST, and killsPerNode from the rule Fault.
	maxLost        = 3
	killsPerNode   = 3
	promptDeadline = 8 * time.Second
)

// runMemory sends prompts with bodies of the largest size that the manifest allows, at a constant rate and, with the disruption, in
// bursts. The stand-in of the platform kills a process whose anonymous memory exceeds that of the machine.
func runMemory(dep *deployment, trouble bool) (broken bool, err error) {
	if err := addTradeServers(dep); err != nil {
		return false, err
	}
	for num := range 9 {
		srv := &server{
			id: "i-model-" + string(rune('a'+num)), service: serviceModel, zone: zones[num%3][0], slots: make(chan struct{}, 64),
			places: make(chan struct{}, 64+192), maxConnections: modelConnections, work: 1800 * time.Millisecond, events: 24, gap: 170 * time.Millisecond,
		}
		if err := dep.addServer(srv); err != nil {
			return false, err
		}
	}
	dep.store.set("op", "config", config(1))
	if err := dep.startNodes(func(string) string { return dep.storeAddr }); err != nil {
		return false, err
	}
	watch := watchMemory(dep)
	trf := newTraffic(dep)
	trf.start(500*time.Millisecond, order)
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	prompt := func(attempt string) request {
		return request{
			method: "POST", target: "/digest/2f", attempt: attempt, deadline: promptDeadline, body: body,
			header: promptHeader(attempt),
		}
	}
	trf.startEach(func(nod *node) time.Duration { return promptInterval(nod, 1) }, func(attempt string) request { return prompt("usual-" + attempt) })
	time.Sleep(8 * time.Second)
	for num := range bursts {
		if trouble {
			dep.rec.add("burst %d begins: %g times the usual prompts for %s", num+1, burstFactor, burstTime)
			extra := newTraffic(dep)
			extra.startEach(func(nod *node) time.Duration { return promptInterval(nod, burstFactor-1) }, func(attempt string) request {
				return prompt("burst" + string(rune('1'+num)) + "-" + attempt)
			})
			time.Sleep(burstTime)
			extra.finish()
			trf.add(extra)
		} else {
			time.Sleep(burstTime)
		}
		time.Sleep(burstPause)
	}
	trf.finish()
	watch.finish()
	trf.log()
	executed := make(map[string]bool)
	for _, srv := range dep.servers {
		for _, exe := range srv.executions() {
			executed[exe.attempt] = true
		}
	}
	lost := 0
	for id, one := range trf.sent {
		// A channel that the consumer closed at its time limit doesn't count.
		if one.result.kept && one.result.status == 0 && executed[id] && one.answeredAt.Sub(one.at) < promptDeadline-time.Second {
			lost++
		}
	}
	often := 0
	for _, nod := range dep.nodes {
		dep.rec.add("%s: at most %d MiB of anonymous memory, killed %d times", nod.name, watch.most[nod]>>20, nod.kills)
		if nod.kills >= killsPerNode {
			often++
		}
	}
	dep.rec.add("Fault: the processes of %d machines exceeded %d MB %d times or more", often, memoryMb, killsPerNode)
	dep.rec.add("LOST: %d requests from kept channels were passed on to a sound server, and the channel was closed without an answer", lost)
	return lost > maxLost, nil
}

// zoneTraffic is the traffic of the zones, in requests a second, as in the site file of sievedesk.
var zoneTraffic = map[string]float64{"east-a": 14.9, "north-a": 16.7, "east-b": 12.8}

// promptInterval returns the time between two long prompts at a node. The consumers of a zone come to its nodes.
func promptInterval(nod *node, factor float64) time.Duration {
	sum, nodes := 0.0, 0
	for _, val := range zoneTraffic {
		sum += val
	}
	for _, zone := range nodeZones {
		if zone == nod.zone {
			nodes++
		}
	}
	return time.Duration(float64(time.Second) / (factor * promptRate * zoneTraffic[nod.zone] / sum / float64(nodes)))
}

// promptHeader returns the header of a long prompt, which shares its first part with one of 71.
func promptHeader(attempt string) string {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(attempt))
	return fmt.Sprintf("Model: m\r\nToken-Usage: 17020,24\r\nPrompt-Prefix: %08x:13300,%08x:3720\r\n", sum.Sum32()%71+1, sum.Sum32())
}

// memoryWatch kills processes that exceed the memory of their machine, and starts them again.
type memoryWatch struct {
	stopped atomic.Bool
	wait    sync.WaitGroup
	mut     sync.Mutex
	most    map[*node]int64
}

func watchMemory(dep *deployment) *memoryWatch {
	wat := &memoryWatch{most: make(map[*node]int64)}
	for _, nod := range dep.nodes {
		wat.wait.Go(func() {
			for !wat.stopped.Load() {
				used := nod.anonymousMemory()
				wat.mut.Lock()
				wat.most[nod] = max(wat.most[nod], used)
				wat.mut.Unlock()
				if used > memoryMb<<20 {
					dep.rec.add("%s has %d MiB of anonymous memory and is killed", nod.name, used>>20)
					nod.kills++
					nod.signal(syscall.SIGKILL)
					time.Sleep(restartDelay)
					if err := nod.start(); err != nil {
						dep.rec.add("%s is not started again: %v", nod.name, err)
						return
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return wat
}

// finish stops watching.
func (wat *memoryWatch) finish() {
	wat.stopped.Store(true)
	wat.wait.Wait()
}

// add takes over the requests of other traffic that has finished.
func (trf *traffic) add(oth *traffic) {
	trf.mut.Lock()
	defer trf.mut.Unlock()
	for id, one := range oth.sent {
		trf.sent[id] = one
	}
}
