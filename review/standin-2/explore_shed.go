package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["explore-shed"] = exploreShed }

// exploreShed lets a server turn all requests away with 503 and Retry-After, without an Attempt-Id, and counts what it gets meanwhile.
func exploreShed(dep *Deployment, trouble bool) error {
	if err := dep.Start(3, 3, 3); err != nil {
		return err
	}
	var mut sync.Mutex
	shed := false
	first := make(map[string]time.Time)
	late := make(map[string]int)
	for num, srv := range dep.Servers[3:] {
		srv.SetBehaviour(func(exc *Exchange) bool {
			mut.Lock()
			node := exc.Request.Header.Get("From-Node")
			now := shed && num == 0
			if now {
				if first[node].IsZero() {
					first[node] = time.Now()
				} else if after := time.Since(first[node]); after > 500*time.Millisecond && after < 8*time.Second {
					late[node]++
				}
			}
			mut.Unlock()
			if now {
				exc.Write("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 8\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			exc.Run()
			time.Sleep(60 * time.Millisecond)
			exc.Plain(http.StatusOK, AnswerOf(exc.ID()))
			return true
		})
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for num, nod := range dep.Nodes {
		for one := range 20 {
			group.Go(func() {
				cli := nod.Client()
				defer cli.Close()
				for turn := 0; ; turn++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprintf("order-%d-%d-%d", num, one, turn)
					cli.Do(context.Background(), Request{ID: id, Path: "/order/2f?of=" + id, Key: Key, Body: "body of " + id, Header: "From-Node: " + nod.Name + "\r\n", Deadline: 3 * time.Second})
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	mut.Lock()
	shed = trouble
	mut.Unlock()
	time.Sleep(12 * time.Second)
	close(stop)
	group.Wait()
	for node, num := range late {
		dep.rec.Line("%s sent %d requests to the server between 0.5 s and 8 s after its 503 with Retry-After: 8", node, num)
		if num > 2 {
			dep.rec.Break("BUDGET: %d requests of %s", num, node)
		}
	}
	return nil
}
