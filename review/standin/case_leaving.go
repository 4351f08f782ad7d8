package main

import "time"

// lateWriteDelay is how long after it was sent the write without an answer is performed.
const lateWriteDelay = 6 * time.Second

// runLeaving lets a server leave that says so in its answers and whose record is removed. A write of the server's record that it sent
// before, and that got no answer, is performed later.
func runLeaving(dep *deployment, trouble bool) (broken bool, err error) {
	if err := addTradeServers(dep); err != nil {
		return false, err
	}
	leaver := dep.servers[2]
	dep.store.set("op", "config", config(1))
	if err := dep.startNodes(func(string) string { return dep.storeAddr }); err != nil {
		return false, err
	}
	trf := newTraffic(dep)
	trf.start(100*time.Millisecond, order)
	time.Sleep(6 * time.Second)
	lost := leaver.record()
	sent := time.Now()
	if trouble {
		dep.rec.add("%s writes its record; the answer is lost, and the write is performed %s later", leaver.id, lateWriteDelay)
	}
	time.Sleep(500 * time.Millisecond)
	leaver.leaving.Store(true)
	dep.rec.add("%s is leaving and says so in all its answers", leaver.id)
	time.Sleep(500 * time.Millisecond)
	dep.store.remove("servers", leaver.id)
	dep.rec.add("the record of %s is removed; it goes on serving for 10 s", leaver.id)
	removed := time.Now()
	if trouble {
		time.Sleep(time.Until(sent.Add(lateWriteDelay)))
		dep.store.set("servers", leaver.id, lost)
		dep.rec.add("the late write of %s is performed", leaver.id)
		time.Sleep(3 * heartbeat)
		dep.store.remove("servers", leaver.id)
		dep.rec.add("the record of %s is removed after three heartbeats of silence", leaver.id)
	}
	time.Sleep(time.Until(removed.Add(10 * time.Second)))
	dep.rec.add("%s exits", leaver.id)
	leaver.exit()
	time.Sleep(time.Second)
	trf.finish()
	trf.log()
	// told holds when each node first passed on an answer that says that the server is leaving.
	told := make(map[*node]time.Time)
	for _, one := range trf.sent {
		if at, fnd := told[one.node]; one.result.leaving && (!fnd || one.answeredAt.Before(at)) {
			told[one.node] = one.answeredAt
		}
	}
	late := make(map[string]int)
	for _, exe := range leaver.executions() {
		req := trf.sent[exe.attempt]
		if at, fnd := told[req.node]; fnd && req.at.After(at.Add(drainTime)) {
			late[req.node.name]++
		}
	}
	for nod, at := range told {
		dep.rec.addAt(at, "%s passed on its first answer with Server-Leaving", nod.name)
	}
	for name, num := range late {
		dep.rec.add("DRAIN: %d requests sent later than %s after that reached %s from %s", num, drainTime, leaver.id, name)
	}
	return len(late) > 0, nil
}
