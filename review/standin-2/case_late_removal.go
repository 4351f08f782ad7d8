package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-removal"] = caseLateRemoval }

// caseLateRemoval cuts the machine of one zone from the store, and after that the machine that polls the store for another zone. An entry of
// a server is removed during the second cut. The judged machines are all but these two.
func caseLateRemoval(dep *Deployment, trouble bool) error {
	const (
		drain    = 3 * time.Second
		firstCut = 2 * time.Second
		nextCut  = 3 * time.Second
		// serves is how long a server goes on at least after its entry was removed.
		serves = 6 * time.Second
		rounds = 8
		// orders and looks are the rates of order-place and stock-look on the sheet.
		orders, looks = 7.74, 5.63
	)
	dep.Layout = layout
	if err := dep.Start(6, 3, 3); err != nil {
		return err
	}
	type arrival struct {
		server, node string
		at           time.Time
	}
	var mut sync.Mutex
	var arrivals []arrival
	serve := func(srv *Server) {
		srv.SetBehaviour(func(exc *Exchange) bool {
			mut.Lock()
			arrivals = append(arrivals, arrival{server: srv.ID, node: exc.Request.Header.Get("From-Node"), at: time.Now()})
			mut.Unlock()
			exc.Run()
			time.Sleep(15 * time.Millisecond)
			exc.Plain(http.StatusOK, AnswerOf(exc.ID()))
			return true
		})
	}
	for _, srv := range dep.Servers[3:] {
		serve(srv)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	generate := func(method, path string, perSecond float64, seed uint64) {
		rnd := rand.New(rand.NewPCG(dep.seed, seed))
		for num := 0; ctx.Err() == nil; num++ {
			time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
			nod, id := dep.consumerNode(rnd), fmt.Sprintf("%s-%d", path, num)
			req := Request{ID: id, Method: method, Path: "/" + path + "/2f?of=" + id, Key: Key, Header: "From-Node: " + nod.Name + "\r\n", Deadline: 3 * time.Second}
			if method == http.MethodPost {
				req.Body = "body of " + id
			}
			group.Go(func() {
				cli := nod.Client()
				defer cli.Close()
				cli.Do(context.Background(), req)
			})
		}
	}
	go generate(http.MethodPost, "order", orders, 11)
	go generate(http.MethodGet, "look", looks, 12)
	time.Sleep(3 * time.Second)
	alone, leaving := dep.Nodes[5], dep.Servers[3]
	for round := range rounds {
		next, err := dep.AddServer(fmt.Sprintf("i-p%d", round), zones[0].name)
		if err != nil {
			return err
		}
		serve(next)
		reader := dep.reader(dep.Nodes[:3])
		for end := time.Now().Add(3 * time.Second); reader == nil && time.Now().Before(end); reader = dep.reader(dep.Nodes[:3]) {
			time.Sleep(100 * time.Millisecond)
		}
		if reader == nil {
			return fmt.Errorf("not one machine of %s polls the store", zones[0].name)
		}
		dep.rec.Line("round %d: %s polls the store for its zone", round, reader.Name)
		if trouble {
			dep.rec.Line("%s is cut from the store for %s", alone.Name, firstCut)
			alone.Store.Set(ProxyReset)
			time.Sleep(firstCut)
			alone.Store.Set(ProxyPass)
			healed := time.Now()
			for began := (time.Time{}); !began.After(healed); began, _ = dep.Store.Polled(alone.Name) {
				time.Sleep(10 * time.Millisecond)
			}
			// Its poll gets an answer within a tenth of a second after an outage.
			time.Sleep(200 * time.Millisecond)
			dep.rec.Line("%s polls again; %s is cut from the store for %s", alone.Name, reader.Name, nextCut)
			reader.Store.Set(ProxyCut)
			time.AfterFunc(nextCut, func() { reader.Store.Set(ProxyPass) })
			time.Sleep(100 * time.Millisecond)
		}
		removed := leaving.Leave(dep.Store)
		time.Sleep(serves)
		late := make(map[string]int)
		last := make(map[string]time.Duration)
		mut.Lock()
		for _, arr := range arrivals {
			if after := arr.at.Sub(removed); arr.server == leaving.ID && after > drain {
				late[arr.node]++
				last[arr.node] = after.Round(time.Millisecond)
			}
		}
		mut.Unlock()
		for _, nod := range dep.Nodes {
			judged := nod != reader && nod != alone
			dep.rec.Line("%s: %d requests from %s later than %s after the removal, the last after %s; judged %t", leaving.ID, late[nod.Name], nod.Name, drain, last[nod.Name], judged)
			if late[nod.Name] > 0 && judged {
				dep.rec.Break("DRAIN: %d requests of %s reached %s later than %s after its entry was removed, the last after %s", late[nod.Name], nod.Name, leaving.ID, drain, last[nod.Name])
			}
		}
		leaving.Close()
		leaving = next
	}
	cancel()
	group.Wait()
	return nil
}

// reader returns the one node of some that polls the store, or nil.
func (dep *Deployment) reader(nodes []*Node) (res *Node) {
	for _, nod := range nodes {
		if began, _ := dep.Store.Polled(nod.Name); time.Since(began) < 1500*time.Millisecond {
			if res != nil {
				return nil
			}
			res = nod
		}
	}
	return res
}
