package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["split"] = caseSplit }

func route(name, prefix, kind, service string, timeout, target, attempts int, public bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": hostName, "prefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target,
		"priority": 2, "service": service, "maxAttempts": attempts, "public": public, "sessionAffinity": false,
	}
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "healthCheckPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false}
}

func manifest(version int, routes, services, tenants []map[string]any) []byte {
	return mustJSON(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
}

func caseSplit(rig *rig) (bool, error) {
	tenants := []map[string]any{{"name": "hule930", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}}}
	svcs := []map[string]any{service("orders"), service("archive")}
	first := []map[string]any{route("r-1", "/puxa403/", "non_idempotent", "orders", 1500, 200, 1, false)}
	second := append(first, route("r-2", "/puxa403/old/", "non_idempotent", "archive", 1500, 200, 1, false))
	rig.store.set("op", "config", manifest(3, first, svcs, tenants))
	var mut sync.Mutex
	ran := map[string]string{}
	rig.onLine = func(server, line string) {
		if wrd := strings.Fields(line); wrd[0] == "run" {
			mut.Lock()
			defer mut.Unlock()
			ran[wrd[1]] = server
		}
	}
	rig.startServer("i-orders", "orders", "east-a", freeAddress("127.0.0.1"), 6)
	rig.startServer("i-archive", "archive", "east-a", freeAddress("127.0.0.1"), 6)
	nod := rig.startNode(1)
	if !rig.awaitReady(nod) {
		return false, fmt.Errorf("node not ready")
	}
	if rig.trouble {
		rig.store.set("op", "config", manifest(5, second, svcs, tenants))
	}
	time.Sleep(5 * time.Second)
	for num := range 5 {
		rig.send(nod.front, "POST", fmt.Sprintf("/puxa403/old%%2F%d", num), fmt.Sprintf("%016x", num), "n2ctnfzs989anu6wsjnb", 3*time.Second, nil, "order")
	}
	time.Sleep(100 * time.Millisecond)
	mut.Lock()
	defer mut.Unlock()
	held := true
	for _, srv := range ran {
		held = held && srv == "i-orders"
	}
	return held && len(ran) == 5, nil
}
