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

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/mesh"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const patience = 20 * time.Second

// load records what a Mesh learns.
type load struct {
	learned chan *wire.Digest
	lost    chan string
}

func newLoad() load {
	return load{learned: make(chan *wire.Digest, 1024), lost: make(chan string, 16)}
}

func (lod load) Describe(dig *wire.Digest) {
	dig.Loads = append(dig.Loads, &wire.InstanceLoad{Instance: 7, Running: 3})
}

func (lod load) Learn(dig *wire.Digest) {
	select {
	case lod.learned <- dig:
	default:
	}
}

func (lod load) Lose(name string) { lod.lost <- name }

type node struct {
	*mesh.Mesh

	load   load
	copies *follow.Follower
	stop   func()
}

// start runs a node whose own feed comes from feed and whose list of nodes is in src.
func start(t *testing.T, name string, src *stand.Source, feed router.RecordStore) node {
	t.Helper()
	return startIn(t, "domain", name, src, feed)
}

func startIn(t *testing.T, domain, name string, src *stand.Source, feed router.RecordStore) node {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	fol := follow.New(follow.Options{Source: feed, Kind: router.Instances, Log: log, Apply: func(follow.Update) {}})
	lod := newLoad()
	msh := mesh.New(mesh.Options{
		Self:   router.Member{Name: name, Address: lis.Addr().String(), FailureDomain: domain},
		Timers: timer.Real{}, Log: log, Source: src, Codec: stand.Codec{}, Load: lod,
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
	for end := time.Now().Add(patience); !met(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestNodesHearEachOther(t *testing.T) {
	src := stand.NewSource()
	one := start(t, "one", src, src)
	two := start(t, "two", src, src)
	eventually(t, "the nodes did not find each other", func() bool { return one.Live() == 2 && two.Live() == 2 })
	dig := <-one.load.learned
	if dig.GetNode() != "two" || dig.GetLoads()[0].GetRunning() != 3 {
		t.Errorf("digest %v", dig)
	}
	two.stop()
	eventually(t, "the end of a node is not noticed", func() bool { return one.Live() == 1 })
	if nam := <-one.load.lost; nam != "two" {
		t.Errorf("lost %q", nam)
	}
}

// TestTurnedAwayNodeCatchesUp has the store serve one node and refuse the other.
func TestTurnedAwayNodeCatchesUp(t *testing.T) {
	src, away := stand.NewSource(), stand.NewSource()
	away.Fail(router.ErrUnavailable)
	src.Set(router.Instances, "first", []byte("1"))
	one := start(t, "one", src, src)
	two := start(t, "two", src, away)
	eventually(t, "the copy was not fetched", func() bool { return len(two.copies.Copy().Records) == 1 })
	src.Set(router.Instances, "second", []byte("1"))
	eventually(t, "the change was not fetched", func() bool { return len(two.copies.Copy().Records) == 2 })
	if one.copies.Version() < two.copies.Version() {
		t.Errorf("versions %d and %d", one.copies.Version(), two.copies.Version())
	}
}

// TestStaleNeighboursDoNotHideNewerOnes has the store turn away a whole failure domain, whose nodes hear each other most.
func TestStaleNeighboursDoNotHideNewerOnes(t *testing.T) {
	src, away := stand.NewSource(), stand.NewSource()
	away.Fail(router.ErrUnavailable)
	src.Set(router.Instances, "first", []byte("1"))
	startIn(t, "far", "one", src, src)
	near := []node{startIn(t, "near", "two", src, away), startIn(t, "near", "three", src, away), startIn(t, "near", "four", src, away)}
	for num := range 3 {
		src.Set(router.Instances, string(rune('a'+num)), []byte("1"))
		for _, nod := range near {
			eventually(t, "the change was not fetched", func() bool { return len(nod.copies.Copy().Records) == num+2 })
		}
	}
}
