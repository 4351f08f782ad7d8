package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore-limit"] = exploreLimit }

// exploreLimit lets all servers of a service state limits while nodes are stopped, killed, frozen and cut.
func exploreLimit(dep *Deployment, trouble bool) error {
	if err := dep.Start(6, 3, 3); err != nil {
		return err
	}
	const limit = 10.0
	type arrival struct {
		at   time.Time
		node string
	}
	var mut sync.Mutex
	arrivals := make(map[string][]arrival)
	var stated time.Time
	for _, srv := range dep.Servers[3:] {
		srv.SetBehaviour(func(exc *Exchange) bool {
			mut.Lock()
			arrivals[srv.ID] = append(arrivals[srv.ID], arrival{time.Now(), exc.Request.Header.Get("From-Node")})
			if stated.IsZero() {
				stated = time.Now()
			}
			mut.Unlock()
			exc.Run()
			body := AnswerOf(exc.ID())
			exc.Write("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: s.%s\r\nServer-Limit: %g\r\nContent-Length: %d\r\n\r\n%s", exc.ID(), exc.ID(), limit, len(body), body)
			exc.end(true)
			return true
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var all []Result
	for num, nod := range dep.Nodes {
		for one := range 6 {
			group.Go(func() {
				cli := nod.Client()
				defer cli.Close()
				for turn := 0; ctx.Err() == nil; turn++ {
					id := fmt.Sprintf("order-%d-%d-%d", num, one, turn)
					res := cli.Do(context.Background(), Request{ID: id, Path: "/order/2f?of=" + id, Key: Key, Body: "body of " + id, Header: "From-Node: " + nod.Name + "\r\n", Deadline: 3 * time.Second})
					mut.Lock()
					all = append(all, res)
					mut.Unlock()
					pause := 30 * time.Millisecond
					if res.Status == http.StatusServiceUnavailable {
						pause = 100 * time.Millisecond
					}
					time.Sleep(pause)
				}
			})
		}
	}
	type span struct{ from, to time.Time }
	excused := make(map[string][]span)
	rnd := rand.New(rand.NewPCG(dep.seed, 3))
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		if !trouble {
			time.Sleep(time.Second)
			continue
		}
		nods := rnd.Perm(len(dep.Nodes))[:1+rnd.IntN(3)]
		kind := rnd.IntN(4)
		from := time.Now()
		for _, idx := range nods {
			nod := dep.Nodes[idx]
			switch kind {
			case 0:
				nod.Signal(syscall.SIGTERM)
			case 1:
				nod.Signal(syscall.SIGKILL)
			case 2:
				nod.Signal(syscall.SIGSTOP)
			case 3:
				nod.Store.Set(ProxyCut)
			}
		}
		time.Sleep(time.Duration(500+rnd.IntN(3500)) * time.Millisecond)
		for _, idx := range nods {
			nod := dep.Nodes[idx]
			switch kind {
			case 0, 1:
				nod.AwaitEnd(grace)
				_ = nod.Start()
			case 2:
				nod.Signal(syscall.SIGCONT)
			case 3:
				nod.Store.Set(ProxyPass)
			}
			excused[nod.Name] = append(excused[nod.Name], span{from, time.Now()})
		}
		time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
	}
	cancel()
	group.Wait()
	worst := 0
	for id, one := range arrivals {
		sort.Slice(one, func(i, j int) bool { return one[i].at.Before(one[j].at) })
		for idx := range one {
			from := one[idx].at
			if from.Before(stated.Add(stableWindow)) {
				continue
			}
			num := 0
			var by []string
			for _, arr := range one[idx:] {
				if arr.at.Sub(from) > 4*time.Second {
					break
				}
				free := false
				for _, spa := range excused[arr.node] {
					// From the disruption until four seconds after it.
					free = free || arr.at.After(spa.from) && arr.at.Before(spa.to.Add(stableWindow))
				}
				if !free {
					num++
					by = append(by, arr.node)
				}
			}
			if num > worst {
				worst = num
				dep.rec.Line("%s got %d in 4 s from %.2f: %s", id, num, from.Sub(dep.rec.began).Seconds(), strings.Join(by[:min(5, len(by))], " "))
			}
		}
	}
	if float64(worst) > 1.5*limit*4+5 {
		dep.rec.Break("LIMIT: %d in 4 s at a limit of %g a second", worst, limit)
	}
	dep.rec.Line("worst %d of %g, allowed %g", worst, 4*limit, 1.5*limit*4+5)
	dep.Check(all, 0)
	return nil
}
