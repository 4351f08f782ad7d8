package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	steady := []time.Duration{0}
	cases["part"] = func(rig *rig) (bool, error) {
		return casePart(rig, partCase{rule: "LOST", servers: 3, period: 2 * time.Second, offsets: []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond}})
	}
	cases["channels"] = func(rig *rig) (bool, error) {
		return casePart(rig, partCase{rule: "BUDGET", servers: 9, period: 680 * time.Millisecond, offsets: steady, unlike: true, idleChannels: 320})
	}
	cases["late"] = func(rig *rig) (bool, error) {
		return casePart(rig, partCase{rule: "BUDGET", servers: 9, period: 680 * time.Millisecond, offsets: steady, unlike: true, crash: []string{"--later", "450ms"}})
	}
}

// partCase is a case with a deadly part.
type partCase struct {
	// rule is the one that is checked, LOST or BUDGET.
	rule    string
	servers int
	// Requests with the deadly part come once in each period at each of the offsets, from deadlyFrom on.
	period  time.Duration
	offsets []time.Duration
	// unlike is set if no two sound requests are alike.
	unlike bool
	// idleChannels is the number of channels that other callers keep open to each server.
	idleChannels int
	// crash holds the options for the way in which a server crashes.
	crash []string
}

const (
	// deadlyPart is the part of a prompt that crashes each server which begins to answer on it.
	deadlyPart = "5c1e07a2"
	// deadlyFrom is the time from the begin of the sound requests to the first with the deadly part, and callTime that to the last request.
	deadlyFrom = 10 * time.Second
	callTime   = 45 * time.Second
	// callPause is the time between two sound requests: the sheet has 31 streams a second.
	callPause = 32 * time.Millisecond
	// downTime is how long a crashed server is away.
	downTime = 2 * time.Second
	// stableWindow is the bound stableWindowMs of the small deployments.
	stableWindow = 4 * time.Second
)

// casePart sends requests with a part that crashes servers beside sound ones of the same route and key, and compares how often
// the sound ones begin.
func casePart(rig *rig, cas partCase) (bool, error) {
	rig.idleChannels = cas.idleChannels
	const key = "n2ctnfzs989anu6wsjnb"
	tenants := []map[string]any{{"name": "hule930", "apiKeys": []string{key}}}
	rig.store.set("op", "config", modelManifest(tenants))

	var mut sync.Mutex
	begun := map[string]bool{}
	var crashes []time.Time
	arrived := map[string]time.Time{}
	rig.onLine = func(_, line string) {
		mut.Lock()
		defer mut.Unlock()
		switch wrd := strings.Fields(line); wrd[0] {
		case "run":
			begun[wrd[1]] = true
			arrived[wrd[1]] = time.Now()
		case "crash":
			crashes = append(crashes, time.Now())
		}
	}
	over := make(chan struct{})
	var keepers sync.WaitGroup
	zones := []string{"east-a", "north-a", "east-b"}
	for num := range cas.servers {
		id, adr, zone := fmt.Sprintf("i-%d", num), freeAddress("127.0.0.1"), zones[num%len(zones)]
		start := func() *proc {
			return rig.startServer(id, "huvo11a", zone, adr, 64, append([]string{"--deadly", deadlyPart, "--events", "34", "--work", "30ms"}, cas.crash...)...)
		}
		srv := start()
		keepers.Add(1)
		go func() {
			defer keepers.Done()
			for {
				select {
				case <-srv.done:
					time.Sleep(downTime)
					srv = start()
				case <-over:
					return
				}
			}
		}()
	}
	nods := []*node{rig.startNode(1), rig.startNode(2)}
	for _, nod := range nods {
		if !rig.awaitReady(nod) {
			return false, fmt.Errorf("a node is not ready")
		}
	}
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	type sound struct {
		id   string
		sent time.Time
	}
	var sounds, deadly []sound
	num, cut := 0, 0
	call := func(prefix, body string, ok bool) {
		num++
		id, front := fmt.Sprintf("%016x", num), nods[num%len(nods)].front
		if ok {
			sounds = append(sounds, sound{id, time.Now()})
		} else {
			deadly = append(deadly, sound{id, time.Now()})
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			rep := rig.send(front, "POST", "/lohu930/2f", id, key, 10*time.Second,
				map[string]string{"Model": "m", "Token-Usage": "1460,170", "Prompt-Prefix": prefix}, body)
			mut.Lock()
			defer mut.Unlock()
			if ok && rep.status != 200 && begun[id] {
				cut++
			}
		}()
	}
	// Callers ask one of six questions again and again, and every tenth request is about something else.
	began, crashing := time.Now(), 0
	for step := 0; time.Since(began) < callTime; step++ {
		if question := step % 20; question < 18 && !cas.unlike {
			question %= 6
			call(fmt.Sprintf("77aa0b1c:800,91bd3f06:410,e4402b%02d:250", question), fmt.Sprintf("question %d", question), true)
		} else {
			call(fmt.Sprintf("77aa0b1c:800,91bd3f06:410,f%07d:250", step), fmt.Sprintf("another question %d", step), true)
		}
		next := deadlyFrom + time.Duration(crashing/len(cas.offsets))*cas.period + cas.offsets[crashing%len(cas.offsets)]
		if rig.trouble && time.Since(began) >= next {
			crashing++
			call(fmt.Sprintf("77aa0b1c:800,%s:410,a%07d:250", deadlyPart, step), fmt.Sprintf("broken question %d", step), false)
		}
		time.Sleep(callPause)
	}
	wg.Wait()
	close(over)
	keepers.Wait()

	mut.Lock()
	defer mut.Unlock()
	from := began.Add(deadlyFrom)
	if num := len(crashes); num > 0 {
		from = crashes[min(num, 5)-1].Add(2 * stableWindow)
	}
	var before, beforeBegun, after, afterBegun int
	for _, one := range sounds {
		switch {
		case one.sent.Before(began.Add(deadlyFrom - time.Second)):
			before++
			if begun[one.id] {
				beforeBegun++
			}
		case one.sent.After(from):
			after++
			if begun[one.id] {
				afterBegun++
			}
		}
	}
	rig.note("%d crashes; sound requests before: %d of %d begun; from %.1f s on: %d of %d begun", len(crashes), beforeBegun, before,
		from.Sub(rig.began).Seconds(), afterBegun, after)
	fmt.Printf("%d crashes; sound before %d/%d, after %d/%d\n", len(crashes), beforeBegun, before, afterBegun, after)
	share := float64(len(deadly)) / float64(len(deadly)+len(sounds)) * callTime.Seconds() / (callTime - deadlyFrom).Seconds()
	rig.note("%d requests with the deadly part, a share of %.3f while they came", len(deadly), share)
	if cas.rule == "BUDGET" {
		late := 0
		for _, one := range deadly {
			if num := len(crashes); num >= 5 && one.sent.After(crashes[4].Add(stableWindow)) && begun[one.id] && arrived[one.id].After(crashes[4].Add(stableWindow)) {
				late++
			}
		}
		rig.note("%d requests with the deadly part reached servers later than stableWindowMs after the fifth crash; %d sound ones that had begun were cut", late, cut)
		fmt.Printf("late requests with the deadly part at servers: %d; sound ones cut: %d\n", late, cut)
		return late <= 3, nil
	}
	if before < 20 || after < 20 {
		return false, fmt.Errorf("too few requests")
	}
	return 2*afterBegun*before >= beforeBegun*after, nil
}

// modelManifest returns a configuration with one streaming route to a service of model servers.
func modelManifest(tenants []map[string]any) []byte {
	pool := service("huvo11a")
	pool["maxConnections"] = 360
	pool["engine"] = map[string]any{
		"slots": 64, "kvCapacityTokens": 417546, "kvTokenBytes": 327680, "linkMbps": 1100000.0,
		"models": []map[string]any{{"name": "m"}},
	}
	rou := route("r-1", "/lohu930/", "streaming", "huvo11a", 10000, 400, 1, false)
	rou["sessionAffinity"], rou["targetGapMs"] = true, 250
	return manifest(3, []map[string]any{rou}, []map[string]any{pool}, tenants)
}
