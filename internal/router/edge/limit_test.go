package edge

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// formTimeout is how long the nodes of a fleet may take to hear each other.
const formTimeout = 20 * time.Second

// startFleet starts nodes that share a store and hear each other, and returns the URLs at which they serve.
func startFleet(t *testing.T, size int, src *fakes.RecordStore) (urls []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	nodes := make([]*Node, 0, size)
	var wgr sync.WaitGroup
	t.Cleanup(wgr.Wait)
	t.Cleanup(cancel)
	for num := range size {
		soc, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		address := soc.LocalAddr().String()
		_ = soc.Close()
		nod := New(Options{
			Settings: conf.Node{
				Name: fmt.Sprintf("node-%d", num), FailureDomain: "here",
				Platform: conf.Platform{RetryReserve: 50, RetryShare: 0.2, Mesh: address},
			},
			Timers: timer.Real{}, Log: slog.New(slog.DiscardHandler), Source: src, Codec: fakes.Codec{}, Dialect: fakes.Dialect{},
		})
		for _, fun := range []func(){
			func() { nod.manifests.Run(ctx) }, func() { nod.instances.Run(ctx) }, func() { _ = nod.mesh.Run(ctx) },
		} {
			wgr.Go(fun)
		}
		srv := httptest.NewServer(nod.handler)
		t.Cleanup(srv.Close)
		nodes, urls = append(nodes, nod), append(urls, srv.URL)
	}
	forming := func(nod *Node) bool {
		return !nod.Ready() || nod.mesh.FleetSize() != size || nod.mesh.LiveNodes() != size
	}
	for end := time.Now().Add(formTimeout); slices.ContainsFunc(nodes, forming); {
		if time.Now().After(end) {
			t.Fatal("the fleet did not form")
		}
		time.Sleep(time.Millisecond)
	}
	return urls
}

// limitedUpstream is an upstream that states a rate limit.
type limitedUpstream struct {
	limit float64

	mut      sync.Mutex
	arrivals []time.Time
}

// ServeHTTP answers a request.
func (lup *limitedUpstream) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	lup.mut.Lock()
	lup.arrivals = append(lup.arrivals, time.Now())
	lup.mut.Unlock()
	hdr := wri.Header()
	hdr.Set(fakes.HeaderID, req.Header.Get(fakes.HeaderID))
	hdr.Set(fakes.HeaderSigned, "1")
	if lup.limit > 0 {
		hdr.Set(fakes.HeaderRateLimit, strconv.FormatFloat(lup.limit, 'f', -1, 64))
	}
	_, _ = wri.Write([]byte("ok"))
}

// since returns the number of requests that arrived after a time.
func (lup *limitedUpstream) since(at time.Time) (num int) {
	lup.mut.Lock()
	defer lup.mut.Unlock()
	for _, one := range lup.arrivals {
		if one.After(at) {
			num++
		}
	}
	return num
}

// press sends requests to a node, one after the other, until the context ends, and returns the answers by status.
func press(ctx context.Context, url, id string) (answers map[int][]*http.Response) {
	answers = make(map[int][]*http.Response)
	for num := 0; ctx.Err() == nil; num++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/plain/", http.NoBody)
		if err != nil {
			panic(err)
		}
		req.Host = "h"
		req.Header.Set(fakes.HeaderID, id+strconv.Itoa(num))
		req.Header.Set(fakes.HeaderKey, "key")
		if rsp, err := http.DefaultClient.Do(req); err == nil {
			_ = rsp.Body.Close()
			answers[rsp.StatusCode] = append(answers[rsp.StatusCode], rsp)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return answers
}

// TestFleetKeepsRateLimitOfUpstream guards against nodes that together send an upstream more requests than it states to
// accept, and against callers that are not told when to come back.
func TestFleetKeepsRateLimitOfUpstream(t *testing.T) {
	const (
		size  = 3
		limit = 2.0
		// learnTime is when all nodes know the limit, and countTime how long requests are counted.
		learnTime, countTime = 500 * time.Millisecond, 4 * time.Second
		allowed              = 1.5*limit*4 + 5
	)
	cases := map[string]struct {
		upstreams []*limitedUpstream
		refused   bool
	}{
		"the only upstream is limited":  {upstreams: []*limitedUpstream{{limit: limit}}, refused: true},
		"another upstream has no limit": {upstreams: []*limitedUpstream{{limit: limit}, {}}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			src := fakes.NewRecordStore()
			src.Set(router.Manifests, "m", []byte(manifest))
			for num, lup := range cas.upstreams {
				srv := httptest.NewServer(lup)
				t.Cleanup(srv.Close)
				src.Set(router.Instances, fmt.Sprint("up", num), []byte("{service: svc, address: '"+srv.Listener.Addr().String()+"'}"))
			}
			urls := startFleet(t, size, src)
			ctx, cancel := context.WithTimeout(t.Context(), learnTime+countTime)
			defer cancel()
			learned := time.Now().Add(learnTime)
			results := make([]map[int][]*http.Response, size)
			var wgr sync.WaitGroup
			for num, url := range urls {
				wgr.Go(func() { results[num] = press(ctx, url, fmt.Sprint(num, "-")) })
			}
			wgr.Wait()
			num := cas.upstreams[0].since(learned)
			if float64(num) > allowed || float64(num) < limit*countTime.Seconds()/2 {
				t.Errorf("%d requests in %s at a limit of %g a second, %g are allowed", num, countTime, limit, allowed)
			}
			for _, res := range results {
				for sta, rsps := range res {
					if sta != http.StatusOK && (sta != http.StatusServiceUnavailable || !cas.refused) {
						t.Errorf("%d answers with status %d", len(rsps), sta)
					}
				}
				for _, rsp := range res[http.StatusServiceUnavailable] {
					if sec, err := strconv.ParseFloat(rsp.Header.Get("Retry-After"), 64); err != nil || sec <= 0 {
						t.Fatalf("Retry-After %q", rsp.Header.Get("Retry-After"))
					}
				}
			}
		})
	}
}
