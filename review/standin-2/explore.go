package main

import (
	"syscall"
	"time"
)

func init() {
	cases["explore-duty"] = exploreDuty
	cases["calm"] = func(dep *Deployment, _ bool) error {
		dep.Duties = true
		if err := dep.Start(6, 3, 3); err != nil {
			return err
		}
		stop := dep.Traffic(2, 30*time.Millisecond, "order", "look", "draft", "ask", "order2")
		time.Sleep(15 * time.Second)
		dep.Check(stop(), 12)
		dep.rec.Line("%d windows reported", dep.Platform.Reports())
		return nil
	}
}

// exploreDuty plays random disruptions of the holder of the duties, of the store and of the links.
func exploreDuty(dep *Deployment, trouble bool) error {
	dep.Duties = true
	if err := dep.Start(4, 3, 3); err != nil {
		return err
	}
	stop := dep.Traffic(1, 30*time.Millisecond, "order", "look", "draft", "ask")
	time.Sleep(8 * time.Second)
	rnd := dep.Random
	end := time.Now().Add(75 * time.Second)
	node := func() *Node {
		if rnd.IntN(10) < 7 {
			for _, nod := range dep.Nodes {
				if nod.Name == dep.Platform.Last() {
					return nod
				}
			}
		}
		return dep.Nodes[rnd.IntN(len(dep.Nodes))]
	}
	dur := func(low, high int) time.Duration { return time.Duration(low+rnd.IntN(high-low)) * time.Millisecond }
	for time.Now().Before(end) && len(dep.rec.Broken()) == 0 && trouble {
		nod := node()
		switch rnd.IntN(8) {
		case 0:
			nod.Signal(syscall.SIGSTOP)
			time.Sleep(dur(500, 5000))
			dep.Platform.Excuse(nod.Name)
			nod.Signal(syscall.SIGCONT)
		case 1:
			nod.Signal(syscall.SIGKILL)
			nod.AwaitEnd(time.Second)
			time.Sleep(dur(0, 1500))
			_ = nod.Start()
		case 2:
			nod.Signal(syscall.SIGTERM)
			if !nod.AwaitEnd(grace) {
				dep.rec.Break("Fault: %s runs %s after SIGTERM", nod.Name, grace)
			}
			_ = nod.Start()
		case 3:
			dep.Store.SetLosses(0.3, 0.3)
			time.Sleep(dur(1000, 5000))
			dep.Store.SetLosses(0, 0)
		case 4:
			bak := dep.Store.Backup()
			time.Sleep(dur(100, 6000))
			dep.Store.Restore(bak)
			time.Sleep(dur(0, 500))
			dep.Rewrite()
		case 5:
			nod.Store.Set(ProxyCut)
			time.Sleep(dur(500, 5000))
			dep.Platform.Excuse(nod.Name)
			nod.Store.Set(ProxyPass)
		case 6:
			nod.Duty.Set(ProxyCut)
			time.Sleep(dur(500, 5000))
			dep.Platform.Excuse(nod.Name)
			nod.Duty.Set(ProxyPass)
		case 7:
			dep.Store.SetDelay(dur(50, 400))
			time.Sleep(dur(500, 4000))
			dep.Store.SetDelay(0)
		}
		time.Sleep(dur(0, 2500))
	}
	time.Sleep(5 * time.Second)
	dep.Check(stop(), 12)
	dep.rec.Line("%d windows reported", dep.Platform.Reports())
	return nil
}
