package mesh

import (
	"cmp"
	"compress/gzip"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// applyLimit is how long after a change it must be in force on all nodes that reach the store.
const applyLimit = 3 * time.Second

// TestCopiesStayConfirmed guards against a node that refuses requests as if its configuration were out of date, again and again,
// because it waits for changes before it confirms a copy that peers did not confirm.
func TestCopiesStayConfirmed(t *testing.T) {
	// staleAge is the age from which unknown keys and routes are answered with 503.
	const size, troubled, staleAge = 6, 2, 2500 * time.Millisecond
	cases := map[string]func(nod *domainNode){
		"all reach the store":             func(*domainNode) {},
		"readers are frozen":              func(nod *domainNode) { nod.frozen.Store(true) },
		"readers are of an older release": func(nod *domainNode) { nod.outdated.Store(true) },
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				dom := newTestDomain(ctx, size)
				time.Sleep(10 * time.Second)
				for _, nod := range dom.nodes[:troubled] {
					trouble(nod)
				}
				for range 300 {
					time.Sleep(100 * time.Millisecond)
					for num, nod := range dom.nodes[troubled:] {
						if !nod.follower.IsCurrent(staleAge) {
							t.Fatalf("the copy of node %d was not confirmed for %s", troubled+num, staleAge)
						}
					}
				}
			})
		})
	}
}

// domainStore is the store as one node reaches it: calls that are sent while it is silent are never answered.
type domainStore struct {
	*fakes.RecordStore

	silent atomic.Bool
}

func (dom *domainStore) Watch(ctx context.Context, cal router.WatchCall) (chs router.Changes, err error) {
	silent := dom.silent.Load()
	if !silent {
		chs, err = dom.RecordStore.Watch(ctx, cal)
		silent = dom.silent.Load()
	}
	if !silent {
		return chs, err
	}
	ctx, cancel := context.WithTimeout(ctx, cal.Wait+cal.AnswerTimeout)
	defer cancel()
	<-ctx.Done()
	return router.Changes{}, router.ErrUnavailable
}

// domainNode is a node of a failure domain in process.
type domainNode struct {
	*Mesh

	number   int
	store    domainStore
	follower *follow.Follower
	// value is the value of the record that was applied last.
	value atomic.Value
	mut   sync.Mutex
	// values are the applied values by the keys of their records.
	values map[string]string
	// frozen stops the digests of the node; outdated removes from them what older releases do not send.
	frozen, outdated atomic.Bool
}

// testDomain is a failure domain whose nodes exchange digests and copies without a network, in fake time.
type testDomain struct {
	store *fakes.RecordStore
	kind  router.RecordKind
	// copies counts the copies that nodes fetched from each other.
	copies atomic.Int64

	mut sync.Mutex
	// nodes are in the order in which they watch the store. The test reads them without the lock.
	nodes []*domainNode
}

// list returns the nodes that run at present.
func (dom *testDomain) list() (nods []*domainNode) {
	dom.mut.Lock()
	defer dom.mut.Unlock()
	return slices.Clone(dom.nodes)
}

// RoundTrip calls a node's handler of copies.
func (dom *testDomain) RoundTrip(req *http.Request) (rsp *http.Response, err error) {
	for _, nod := range dom.list() {
		if nod.options.Self.Address == req.URL.Host && !nod.frozen.Load() {
			dom.copies.Add(1)
			rec := httptest.NewRecorder()
			req.Header.Set("Accept-Encoding", "gzip")
			nod.Handler().ServeHTTP(rec, req)
			rsp = rec.Result()
			// The transport of TCP decompresses as well.
			rsp.Body, err = gzip.NewReader(rsp.Body)
			return rsp, err
		}
	}
	<-req.Context().Done()
	return nil, req.Context().Err()
}

func newTestDomain(ctx context.Context, size int) (dom *testDomain) {
	dom = &testDomain{store: fakes.NewRecordStore(), kind: router.Manifests}
	dom.store.Set(router.Manifests, "config", []byte("first"))
	dom.start(ctx, size)
	return dom
}

// start starts the nodes.
func (dom *testDomain) start(ctx context.Context, size int) {
	for num := range size {
		dom.nodes = append(dom.nodes, dom.newNode(num))
	}
	slices.SortFunc(dom.nodes, func(one, two *domainNode) int {
		return cmp.Compare(xxhash.Sum64String(one.options.Self.Name), xxhash.Sum64String(two.options.Self.Name))
	})
	for _, nod := range dom.nodes {
		dom.run(ctx, nod)
	}
}

// newNode returns the node of a number, which does not run yet.
func (dom *testDomain) newNode(num int) (nod *domainNode) {
	nod = &domainNode{number: num, store: domainStore{RecordStore: dom.store}, values: make(map[string]string)}
	nod.follower = follow.New(follow.Options{
		Source: &nod.store, Kind: dom.kind, Log: slog.New(slog.DiscardHandler), Apply: nod.apply,
		UsePeers: func() bool { return nod.follower.Version() > 0 && nod.KeepsCurrent(nod.follower) },
	})
	nod.Mesh = New(Options{
		Self:   router.Member{Name: fmt.Sprintf("node-%d", num), Address: fmt.Sprintf("10.0.0.%d:1", num+1), FailureDomain: "domain"},
		Timers: timer.Real{}, Log: slog.New(slog.DiscardHandler), Codec: fakes.Codec{}, Load: emptyLoad{},
		Copies: map[router.RecordKind]*follow.Follower{dom.kind: nod.follower}, Transport: dom,
	})
	return nod
}

// apply applies an update to the values.
func (nod *domainNode) apply(upd follow.Update) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	for _, rec := range upd.Changed {
		nod.value.Store(string(rec.Value))
		nod.values[rec.Key] = string(rec.Value)
		if rec.Deleted {
			delete(nod.values, rec.Key)
		}
	}
}

// holds reports whether the node has a record.
func (nod *domainNode) holds(key string) (ok bool) {
	nod.mut.Lock()
	defer nod.mut.Unlock()
	_, ok = nod.values[key]
	return ok
}

// run runs a node that knows the others.
func (dom *testDomain) run(ctx context.Context, nod *domainNode) {
	for _, oth := range dom.nodes {
		if oth.number != nod.number {
			if err := nod.addMember(oth.options.Self, 1); err != nil {
				panic(err)
			}
		}
	}
	nod.membersRead = true
	go nod.follower.Run(ctx)
	go dom.sendDigests(ctx, nod)
}

// restart replaces a node that is frozen by one of the same name which knows nothing.
func (dom *testDomain) restart(ctx context.Context, pos int) {
	nod := dom.newNode(dom.nodes[pos].number)
	dom.mut.Lock()
	dom.nodes[pos] = nod
	dom.mut.Unlock()
	dom.run(ctx, nod)
}

func (dom *testDomain) sendDigests(ctx context.Context, nod *domainNode) {
	self := nod.options.Self
	for ctx.Err() == nil {
		dig := &wire.Digest{
			Node: self.Name, FailureDomain: self.FailureDomain, Incarnation: nod.incarnation, Address: self.Address, Versions: make(map[string]int64),
		}
		nod.addCopies(dig)
		nod.prepareDigest(dig)
		if nod.outdated.Load() {
			dig.ConfirmedStoreMs, dig.ConfirmedAgeMs, dig.Reads, dig.Eras = 0, 0, true, nil
			dig.DeletionsAfter, dig.CompleteVersion = nil, 0
		}
		for _, oth := range dom.list() {
			if oth != nod && !nod.frozen.Load() && !oth.frozen.Load() && oth.acceptDigest(dig) {
				oth.fetchNewerCopies(ctx, dig)
			}
		}
		timer.Sleep(ctx, nod.digestInterval())
	}
}

// TestCopiesAreCurrentWithoutReaders guards against nodes that act on an old configuration although they reach the store,
// because the nodes that watch it for them get no answers and do not notice, or do not run. The change comes at different
// times after the trouble.
func TestCopiesAreCurrentWithoutReaders(t *testing.T) {
	const size, troubled = 6, 2
	cases := map[string]func(nod *domainNode){
		"all reach the store":                 func(*domainNode) {},
		"readers get no answers":              func(nod *domainNode) { nod.store.silent.Store(true) },
		"readers are frozen":                  func(nod *domainNode) { nod.frozen.Store(true); nod.store.silent.Store(true) },
		"readers of an older release are old": func(nod *domainNode) { nod.outdated.Store(true); nod.store.silent.Store(true) },
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			for step := range time.Duration(40) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					dom := newTestDomain(ctx, size)
					time.Sleep(10 * time.Second)
					for _, nod := range dom.nodes[:troubled] {
						trouble(nod)
					}
					time.Sleep(step * 100 * time.Millisecond)
					dom.store.Set(router.Manifests, "config", []byte("second"))
					time.Sleep(applyLimit)
					for num, nod := range dom.nodes[troubled:] {
						if nod.value.Load() != "second" {
							t.Errorf("node %d has the first configuration %s after a change, made %s after the trouble",
								troubled+num, applyLimit, step*100*time.Millisecond)
						}
					}
				})
				if t.Failed() {
					return
				}
			}
		})
	}
}

// TestCopiesFollowRestoredStore guards against nodes that keep an old configuration after the store was restored from a copy,
// because they compare its versions with those of before, in their copies or in the digests of peers. The change that is
// written again, or after that, comes at different times after the restoration.
func TestCopiesFollowRestoredStore(t *testing.T) {
	const size, troubled = 5, 2
	cases := map[string]struct {
		trouble func(nod *domainNode)
		// changes is the number of changes after the restoration; three were lost.
		changes int
	}{
		"fewer changes":                    {trouble: func(*domainNode) {}, changes: 1},
		"as many changes":                  {trouble: func(*domainNode) {}, changes: 3},
		"more changes":                     {trouble: func(*domainNode) {}, changes: 5},
		"readers get no answers":           {trouble: func(nod *domainNode) { nod.store.silent.Store(true) }, changes: 3},
		"readers are frozen":               {trouble: func(nod *domainNode) { nod.frozen.Store(true); nod.store.silent.Store(true) }, changes: 3},
		"readers are of an older release":  {trouble: func(nod *domainNode) { nod.outdated.Store(true) }, changes: 3},
		"older readers do not notice this": {trouble: func(nod *domainNode) { nod.outdated.Store(true); nod.store.silent.Store(true) }, changes: 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			for step := range time.Duration(20) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					dom := newTestDomain(ctx, size)
					time.Sleep(10 * time.Second)
					bak := dom.store.Backup()
					for num := range 3 {
						dom.store.Set(router.Manifests, "config", []byte(fmt.Sprint("lost ", num)))
					}
					time.Sleep(5 * time.Second)
					dom.store.SetError(router.ErrUnavailable)
					time.Sleep(2 * time.Second)
					dom.store.Restore(bak)
					dom.store.SetError(nil)
					for _, nod := range dom.nodes[:troubled] {
						cas.trouble(nod)
					}
					time.Sleep(step * 200 * time.Millisecond)
					last := ""
					for num := range cas.changes {
						last = fmt.Sprint("new ", num)
						dom.store.Set(router.Manifests, "config", []byte(last))
					}
					time.Sleep(applyLimit)
					for num, nod := range dom.nodes[troubled:] {
						if nod.value.Load() != last {
							t.Errorf("node %d has %q in place of %q %s after a change, made %s after the restoration",
								troubled+num, nod.value.Load(), last, applyLimit, step*200*time.Millisecond)
						}
					}
				})
				if t.Failed() {
					return
				}
			}
		})
	}
}

// TestFewNodesWatchTheStore guards against nodes that all call the store, because the confirmations of the readers come too late.
func TestFewNodesWatchTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		dom := newTestDomain(ctx, 6)
		time.Sleep(10 * time.Second)
		before := dom.store.Calls()
		const duration = time.Minute
		for num := range int(duration / (5 * time.Second)) {
			dom.store.Set(router.Manifests, "config", []byte(fmt.Sprint(num)))
			time.Sleep(5 * time.Second)
		}
		// Of each failure domain one node watches, with one call in 1.25 s and one for each change.
		const limit = 1.1 * (float64(duration)/1.25/float64(time.Second) + float64(duration/(5*time.Second)))
		if got := float64(dom.store.Calls() - before); got > limit {
			t.Errorf("%.0f calls in %s, at most %.0f are expected", got, duration, limit)
		}
	})
}
