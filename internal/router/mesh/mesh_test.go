package mesh_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/mesh"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const testTimeout = 20 * time.Second

// fakeLoad records the calls of a Mesh.
type fakeLoad struct {
	digests chan *wire.Digest
	removed chan string
}

func newFakeLoad() fakeLoad {
	return fakeLoad{digests: make(chan *wire.Digest, 1024), removed: make(chan string, 16)}
}

func (lod fakeLoad) AddLocal(dig *wire.Digest) {
	dig.Loads = append(dig.Loads, &wire.InstanceLoad{Instance: 7, Running: 3})
}

func (lod fakeLoad) SetPeer(dig *wire.Digest) {
	select {
	case lod.digests <- dig:
	default:
	}
}

func (fakeLoad) AddStrikes([]*wire.CrashStrike) {}
func (fakeLoad) History() []*wire.CrashStrike   { return nil }

func (lod fakeLoad) RemovePeer(name string) { lod.removed <- name }

type node struct {
	*mesh.Mesh

	load   fakeLoad
	copies *follow.Follower
	stop   func()
}

// startNode runs a node that watches instanceStore for instances and whose member list is in src.
func startNode(t *testing.T, name string, src *fakes.RecordStore, instanceStore router.RecordStore) node {
	t.Helper()
	return startNodeIn(t, "domain", name, src, instanceStore)
}

func startNodeIn(t *testing.T, domain, name string, src *fakes.RecordStore, instanceStore router.RecordStore) node {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	fol := follow.New(follow.Options{Source: instanceStore, Kind: router.Instances, Log: log, Apply: func(follow.Update) {}})
	lod := newFakeLoad()
	msh := mesh.New(mesh.Options{
		Self:   router.Member{Name: name, Address: lis.Addr().String(), FailureDomain: domain},
		Timers: timer.Real{}, Log: log, Source: src, Codec: fakes.Codec{}, Load: lod,
		Copies: map[router.RecordKind]*follow.Follower{router.Instances: fol},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	srv := &http.Server{Handler: msh.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(lis) }()
	go fol.Run(ctx)
	go func() {
		defer close(done)
		if err := msh.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	nod := node{Mesh: msh, load: lod, copies: fol, stop: func() {
		cancel()
		_ = srv.Close()
		<-done
	}}
	t.Cleanup(nod.stop)
	return nod
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !met(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// TestNodesExchangeDigests guards against digests that do not arrive or lack the load, and against a
// stopped peer that stays live or whose load is kept.
func TestNodesExchangeDigests(t *testing.T) {
	src := fakes.NewRecordStore()
	one := startNode(t, "one", src, src)
	two := startNode(t, "two", src, src)
	eventually(t, "the nodes did not exchange digests", func() bool { return one.LiveNodes() == 2 && two.LiveNodes() == 2 })
	dig := <-one.load.digests
	if dig.GetNode() != "two" || dig.GetLoads()[0].GetRunning() != 3 {
		t.Errorf("digest %v", dig)
	}
	two.stop()
	eventually(t, "the stopped node still counts as live", func() bool { return one.LiveNodes() == 1 })
	if nam := <-one.load.removed; nam != "two" {
		t.Errorf("removed %q", nam)
	}
}

// TestNodeWithoutStoreCopiesFromPeer guards against a stale copy on a node that the store refuses
// while it serves a peer.
func TestNodeWithoutStoreCopiesFromPeer(t *testing.T) {
	src, failing := fakes.NewRecordStore(), fakes.NewRecordStore()
	failing.SetError(router.ErrUnavailable)
	src.Set(router.Instances, "first", []byte("1"))
	one := startNode(t, "one", src, src)
	two := startNode(t, "two", src, failing)
	eventually(t, "the copy was not fetched", func() bool { return len(two.copies.Snapshot().Records) == 1 })
	src.Set(router.Instances, "second", []byte("1"))
	eventually(t, "the change was not fetched", func() bool { return len(two.copies.Snapshot().Records) == 2 })
	if one.copies.Version() < two.copies.Version() {
		t.Errorf("versions %d and %d", one.copies.Version(), two.copies.Version())
	}
}

// TestDomainWithoutStoreCopiesFromAnotherDomain guards against a failure domain that stays stale
// when the store refuses all its nodes: they exchange digests mostly with each other, but must
// fetch from another domain.
func TestDomainWithoutStoreCopiesFromAnotherDomain(t *testing.T) {
	src, failing := fakes.NewRecordStore(), fakes.NewRecordStore()
	failing.SetError(router.ErrUnavailable)
	src.Set(router.Instances, "first", []byte("1"))
	startNodeIn(t, "far", "one", src, src)
	near := []node{startNodeIn(t, "near", "two", src, failing), startNodeIn(t, "near", "three", src, failing), startNodeIn(t, "near", "four", src, failing)}
	for num := range 3 {
		src.Set(router.Instances, string(rune('a'+num)), []byte("1"))
		for _, nod := range near {
			eventually(t, "the change was not fetched", func() bool { return len(nod.copies.Snapshot().Records) == num+2 })
		}
	}
}
