package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["explore-memory"] = exploreMemory }

// exploreMemory lets many clients send large bodies and read large answers slowly, and prints the peak memory of the nodes.
func exploreMemory(dep *Deployment, trouble bool) error {
	number := func(name string, def int) int {
		if num, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return num
		}
		return def
	}
	clients, size, bodySize, slow := number("CLIENTS", 600), number("ANSWER", 60_000), number("BODY", 60_000), number("SLOW", 50)
	if err := dep.Start(1, 3, 3); err != nil {
		return err
	}
	txt := strings.Repeat("y", size)
	for _, srv := range dep.Servers {
		srv.SetBehaviour(func(exc *Exchange) bool {
			exc.Run()
			time.Sleep(200 * time.Millisecond)
			exc.Plain(http.StatusOK, txt)
			return true
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mut sync.Mutex
	statuses := make(map[string]int)
	nod := dep.Nodes[0]
	body := strings.Repeat("x", bodySize)
	for one := range clients {
		group.Go(func() {
			cli := nod.Client()
			defer cli.Close()
			for turn := 0; ctx.Err() == nil; turn++ {
				id := fmt.Sprintf("order-%d-%d", one, turn)
				res := cli.Do(context.Background(), Request{ID: id, Path: "/order2/2f", Key: Key, Body: body, Deadline: 12 * time.Second, Slow: time.Duration(slow) * time.Millisecond})
				mut.Lock()
				statuses[fmt.Sprintf("%d %t", res.Status, res.Complete)]++
				mut.Unlock()
			}
		})
	}
	for range 20 {
		time.Sleep(time.Second)
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", nod.Pid()))
		for _, lin := range strings.Split(string(raw), "\n") {
			if strings.HasPrefix(lin, "VmHWM") || strings.HasPrefix(lin, "VmRSS") {
				dep.rec.Line("%s", lin)
			}
		}
	}
	cancel()
	group.Wait()
	dep.rec.Line("%v", statuses)
	return nil
}
