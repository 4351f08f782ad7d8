package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["limit-zero"] = caseLimitZero }

// caseLimitZero lets a server in need lower its limit from some requests a second to none.
func caseLimitZero(dep *Deployment, trouble bool) error {
	const perSecond = 13.4
	dep.Layout = layout
	if err := dep.Start(6, 3, 3); err != nil {
		return err
	}
	type arrival struct {
		at   time.Time
		node string
	}
	var mut sync.Mutex
	limit := ""
	var named, lowered, over time.Time
	var arrivals []arrival
	// passed holds when a machine first passed on an answer of the server that names the limit of none.
	passed := make(map[string]time.Time)
	for num, srv := range dep.Servers[3:] {
		srv.SetBehaviour(func(exc *Exchange) bool {
			exc.Run()
			time.Sleep(15 * time.Millisecond)
			mut.Lock()
			head := ""
			node := exc.Request.Header.Get("From-Node")
			if num == 0 {
				arrivals = append(arrivals, arrival{time.Now(), node})
				if limit != "" {
					head = "Server-Limit: " + limit + "\r\n"
				}
				if limit == "0" && passed[node].IsZero() {
					passed[node] = time.Now()
				}
			}
			mut.Unlock()
			body := AnswerOf(exc.ID())
			ok := exc.Write("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: s.%s\r\n%sContent-Length: %d\r\n\r\n%s", exc.ID(), exc.ID(), head, len(body), body)
			exc.end(ok)
			return true
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var all []Result
	go func() {
		rnd := rand.New(rand.NewPCG(dep.seed, 5))
		for num := 0; ctx.Err() == nil; num++ {
			time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
			nod := dep.consumerNode(rnd)
			id := fmt.Sprintf("order-%d", num)
			group.Go(func() {
				cli := nod.Client()
				defer cli.Close()
				res := cli.Do(context.Background(), Request{ID: id, Method: http.MethodPost, Path: "/order/2f?of=" + id, Key: Key, Body: "body of " + id, Header: "From-Node: " + nod.Name + "\r\n", Deadline: 3 * time.Second})
				mut.Lock()
				defer mut.Unlock()
				all = append(all, res)
			})
		}
	}()
	say := func(txt string) time.Time {
		mut.Lock()
		defer mut.Unlock()
		limit = txt
		dep.rec.Line("%s names the limit %q", dep.Servers[3].ID, txt)
		return time.Now()
	}
	time.Sleep(4 * time.Second)
	if trouble {
		named = say("2")
		time.Sleep(8 * time.Second)
		lowered = say("0")
		time.Sleep(20 * time.Second)
		over = say("")
	} else {
		time.Sleep(28 * time.Second)
	}
	time.Sleep(time.Second)
	cancel()
	group.Wait()
	dep.Check(all, 0)
	if !trouble {
		return nil
	}
	mut.Lock()
	defer mut.Unlock()
	// count returns the most requests in 4 s of a span, from machines that had passed on the answer half a second before.
	count := func(from, to time.Time) (most int) {
		for idx, one := range arrivals {
			num := 0
			for _, arr := range arrivals[idx:] {
				at := passed[arr.node]
				if one.at.Before(from) || arr.at.After(to) || arr.at.Sub(one.at) > 4*time.Second {
					break
				}
				if !from.Equal(lowered) || !at.IsZero() && arr.at.Sub(at) >= 500*time.Millisecond {
					num++
				}
			}
			most = max(most, num)
		}
		return most
	}
	dep.rec.Line("at a limit of 2 a second: at most %d requests in 4 s; at a limit of 0: %d", count(named.Add(stableWindow), lowered), count(lowered, over))
	if num := count(lowered, over); num > 5 {
		dep.rec.Break("LIMIT: %d requests in 4 s at a server that names a limit of 0, allowed 5", num)
	}
	return nil
}
