package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["foreign"] = func(rig *rig) (bool, error) { return caseForeign(rig, false) }
	cases["copy"] = func(rig *rig) (bool, error) { return caseForeign(rig, true) }
}

const (
	// drainTime is the bound drainMs of the small deployments.
	drainTime = 3 * time.Second
	// leavingTime is how long a server goes on after its entry was removed: drainMs and a little longer.
	leavingTime = 4600 * time.Millisecond
	// writeTime is the time from the removal to the entry of the other writer.
	writeTime = 4 * time.Second
)

// caseForeign removes the entry of a server that leaves, and lets another writer put an entry with fields missing in its place, or a
// whole one into another part of the table.
func caseForeign(rig *rig, otherPart bool) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	tenants := []map[string]any{{"name": "hule930", "apiKeys": []string{key}}}
	rig.store.set("op", "config", modelManifest(tenants))
	var mut sync.Mutex
	arrived := map[string]time.Time{}
	rig.onLine = func(server, line string) {
		if wrd := strings.Fields(line); server == "i-0" && wrd[0] == "run" {
			mut.Lock()
			defer mut.Unlock()
			arrived[wrd[1]] = time.Now()
		}
	}
	var srvs []*proc
	var adrs []string
	for num := range 3 {
		adrs = append(adrs, freeAddress("127.0.0.1"))
		srvs = append(srvs, rig.startServer(fmt.Sprintf("i-%d", num), "huvo11a", "east-a", adrs[num], 64, "--events", "34", "--work", "30ms"))
	}
	nods := []*node{rig.startNode(1), rig.startNode(2)}
	for _, nod := range nods {
		if !rig.awaitReady(nod) {
			return false, fmt.Errorf("a node is not ready")
		}
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	sent := map[string]time.Time{}
	cut, num := map[string]bool{}, 0
	run := func(dur time.Duration) {
		for end := time.Now().Add(dur); time.Now().Before(end); time.Sleep(callPause) {
			num++
			id, front := fmt.Sprintf("%016x", num), nods[num%len(nods)].front
			mut.Lock()
			sent[id] = time.Now()
			mut.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				rep := rig.send(front, "POST", "/lohu930/2f", id, key, 10*time.Second, map[string]string{
					"Model": "m", "Token-Usage": "1460,170", "Prompt-Prefix": fmt.Sprintf("77aa0b1c:800,91bd3f06:410,f%s:250", id[9:]),
				}, "question "+id)
				mut.Lock()
				defer mut.Unlock()
				if _, ok := arrived[id]; ok && rep.status != 200 {
					cut[id] = true
				}
			}()
		}
	}
	run(2 * time.Second)
	whole := rig.store.value("servers", "i-0")
	rig.signal(srvs[0], syscall.SIGUSR1)
	gone := rig.store.set("servers", "i-0", nil)
	rig.note("the entry of i-0 is removed; i-0 serves on for %v", leavingTime)
	run(writeTime)
	switch {
	case rig.trouble && otherPart:
		rig.store.setIn("copies", "servers", "i-0", whole)
		rig.note("another writer keeps a copy of the entry in the part copies")
	case rig.trouble:
		rig.store.set("servers", "i-0", mustJSON(map[string]any{"service": "huvo11a", "address": adrs[0], "zone": "east-a", "state": "ready"}))
		rig.note("another writer puts an entry without version, slots, warmupLeftMs, born and sequence")
	}
	run(leavingTime - time.Since(gone))
	rig.signal(srvs[0], syscall.SIGKILL)
	run(2 * time.Second)
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	mut.Lock()
	defer mut.Unlock()
	late, lateCut := 0, 0
	for id, at := range arrived {
		if sent[id].After(gone.Add(drainTime)) && at.After(gone.Add(drainTime)) {
			late++
			if cut[id] {
				lateCut++
			}
		}
	}
	rig.note("%d requests that were sent later than drainMs after the removal reached i-0; %d of them were cut", late, lateCut)
	fmt.Printf("late at the server that left: %d, %d of them cut; all requests %d\n", late, lateCut, num)
	return late == 0, nil
}
