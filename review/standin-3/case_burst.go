package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["burst"] = caseBurst }

// caseBurst lets callers send requests with a part that crashes servers, several at once every five seconds, and counts those that
// still reach servers later than the bound after the fifth crash.
func caseBurst(rig *rig) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	tenants := []map[string]any{{"name": "hule930", "apiKeys": []string{key}}}
	rig.store.set("op", "config", modelManifest(tenants))

	var mut sync.Mutex
	var crashes []time.Time
	ran := map[string]time.Time{}
	rig.onLine = func(_, line string) {
		mut.Lock()
		defer mut.Unlock()
		switch wrd := strings.Fields(line); wrd[0] {
		case "run":
			ran[wrd[1]] = time.Now()
		case "crash":
			crashes = append(crashes, time.Now())
		}
	}
	over := make(chan struct{})
	var keepers sync.WaitGroup
	zones := []string{"east-a", "north-a", "east-b"}
	for num := range 9 {
		id, adr := fmt.Sprintf("i-%d", num), freeAddress("127.0.0.1")
		start := func() *proc {
			return rig.startServer(id, "huvo11a", zones[num%3], adr, 64, "--deadly", deadlyPart, "--events", "34", "--work", "30ms")
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
	nods := []*node{rig.startNode(1), rig.startNode(2), rig.startNode(3)}
	for _, nod := range nods {
		if !rig.awaitReady(nod) {
			return false, fmt.Errorf("a node is not ready")
		}
	}
	time.Sleep(3 * time.Second)

	var wg sync.WaitGroup
	sent := map[string]time.Time{}
	num, cut, served := 0, 0, 0
	call := func(prefix string, deadly bool) {
		num++
		id, front := fmt.Sprintf("%016x", num), nods[num%len(nods)].front
		if deadly {
			sent[id] = time.Now()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			rep := rig.send(front, "POST", "/lohu930/2f", id, key, 10*time.Second,
				map[string]string{"Model": "m", "Token-Usage": "1460,170", "Prompt-Prefix": prefix}, "question "+id)
			mut.Lock()
			defer mut.Unlock()
			switch {
			case deadly:
			case rep.status == 200:
				served++
			default:
				cut++
			}
		}()
	}
	began, bursts := time.Now(), 0
	for step := 0; time.Since(began) < 32*time.Second; step++ {
		call(fmt.Sprintf("77aa0b%02x:800,91bd3f06:410,f%07d:250", step%12, step), false)
		if rig.trouble && time.Since(began) > time.Duration(5+5*bursts)*time.Second && bursts < 5 {
			bursts++
			for one := range 8 {
				call(fmt.Sprintf("77aa0b%02x:800,%s:410,a%03d%04d:250", one, deadlyPart, bursts, one), true)
			}
		}
		time.Sleep(callPause)
	}
	wg.Wait()
	close(over)
	keepers.Wait()

	mut.Lock()
	defer mut.Unlock()
	late := 0
	if len(crashes) >= 5 {
		from := crashes[4].Add(stableWindow)
		for id, at := range sent {
			if arrived, fnd := ran[id]; fnd && at.After(from) && arrived.After(from) {
				late++
			}
		}
		rig.note("the fifth crash was at %.3f s", crashes[4].Sub(rig.began).Seconds())
	}
	rig.note("%d crashes; %d requests with the deadly part reached servers later than stableWindowMs after the fifth; of the sound ones %d were answered and %d not",
		len(crashes), late, served, cut)
	fmt.Printf("%d crashes; late requests with the deadly part at servers: %d; sound answered %d, not %d\n", len(crashes), late, served, cut)
	return late <= 3, nil
}
