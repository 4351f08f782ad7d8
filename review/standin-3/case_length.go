package main

import (
	"fmt"
	"time"
)

func init() { cases["length"] = caseLength }

// caseLength lets one of two servers state a length that no answer has, and counts the idempotent requests whose channel ends without
// an answer. No rule of the pages is checked.
func caseLength(rig *rig) (bool, error) {
	const key = "n2ctnfzs989anu6wsjnb"
	tenants := []map[string]any{{"name": "hule930", "apiKeys": []string{key}}}
	rous := []map[string]any{route("r-1", "/cufi504/", "idempotent", "orders", 1500, 200, 2, false)}
	rig.store.set("op", "config", manifest(3, rous, []map[string]any{service("orders")}, tenants))
	var extra []string
	if rig.trouble {
		extra = []string{"--length", "9223372036854775807"}
	}
	rig.startServer("i-0", "orders", "east-a", freeAddress("127.0.0.1"), 6, extra...)
	rig.startServer("i-1", "orders", "east-a", freeAddress("127.0.0.1"), 6)
	nod := rig.startNode(1)
	if !rig.awaitReady(nod) {
		return false, fmt.Errorf("the node is not ready")
	}
	ended := 0
	for num := range 40 {
		if rep := rig.send(nod.front, "GET", "/cufi504/2f", fmt.Sprintf("%016x", num), key, 3*time.Second, nil, ""); rep.status == 0 {
			ended++
		}
	}
	fmt.Printf("channels that ended without an answer: %d of 40\n", ended)
	return ended == 0, nil
}
