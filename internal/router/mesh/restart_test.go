package mesh

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// TestDeletionDuringRestartOfReaders guards against requests to an upstream that has left: its record is deleted while the nodes
// that watch the store are down, they start with a snapshot in which nothing shows the deletion, and their digests confirm the
// copies of the other nodes, which hold the record.
func TestDeletionDuringRestartOfReaders(t *testing.T) {
	const (
		size, killed = 5, 2
		downTime     = 500 * time.Millisecond
		// The deletion comes at steps different times after the kill.
		steps = 10
	)
	cases := map[string]hiddenDeletion{
		"store without an era":               {kind: router.Instances, rounds: 1},
		"store with an era":                  {kind: router.Instances, restored: true, rounds: 1},
		"another kind of record":             {kind: router.Manifests, rounds: 1},
		"records written after the deletion": {kind: router.Instances, written: 2, rounds: 1},
		"record of a short life":             {kind: router.Instances, created: true, rounds: 1},
		"killed again":                       {kind: router.Instances, rounds: 3},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			for step := range time.Duration(steps) {
				synctest.Test(t, func(t *testing.T) {
					cas.play(t, size, killed, step*downTime/steps, downTime)
				})
				if t.Failed() {
					return
				}
			}
		})
	}
}

// hiddenDeletion is the deletion of a record while the nodes that watch the store are down.
type hiddenDeletion struct {
	kind router.RecordKind
	// restored starts the nodes with a store that states an era.
	restored bool
	// created creates the record only shortly before the nodes are killed.
	created bool
	// written is the number of records that are written after the deletion.
	written int
	// rounds is how often the nodes are killed.
	rounds int
}

// play kills the first nodes of a domain, deletes the record a delay later, and starts the nodes again after downTime.
func (hid hiddenDeletion) play(t *testing.T, size, killed int, delay, downTime time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dom := &testDomain{store: fakes.NewRecordStore(), kind: hid.kind}
	dom.store.Set(hid.kind, "stays", []byte("stays"))
	if !hid.created {
		dom.store.Set(hid.kind, "leaves", []byte("leaves"))
	}
	if hid.restored {
		dom.store.Restore(dom.store.Backup())
	}
	dom.start(ctx, size)
	time.Sleep(10 * time.Second)
	if hid.created {
		dom.store.Set(hid.kind, "leaves", []byte("leaves"))
		time.Sleep(time.Second)
	}
	var deadline time.Time
	for round := range hid.rounds {
		for _, nod := range dom.nodes[:killed] {
			nod.frozen.Store(true)
		}
		time.Sleep(delay)
		if round == 0 {
			dom.store.Set(hid.kind, "leaves", nil)
			deadline = time.Now().Add(applyLimit)
			for num := range hid.written {
				dom.store.Set(hid.kind, fmt.Sprint("written-", num), []byte("new"))
			}
		}
		time.Sleep(downTime - delay)
		for pos := range killed {
			dom.restart(ctx, pos)
		}
		time.Sleep(downTime / 2)
	}
	time.Sleep(time.Until(deadline))
	for num, nod := range dom.nodes[killed:] {
		if nod.holds("leaves") {
			t.Errorf("node %d holds the record %s after its deletion, made %s after the kill", killed+num, applyLimit, delay)
		}
		for extra := range hid.written {
			if key := fmt.Sprint("written-", extra); !nod.holds(key) {
				t.Errorf("node %d lacks %s, written after the deletion", killed+num, key)
			}
		}
	}
}

// TestRestartsCauseFewCopies guards against whole copies between all nodes of a failure domain whenever one of them starts and
// reads a snapshot, although nothing was deleted. The store's version rises by writes of other kinds meanwhile.
func TestRestartsCauseFewCopies(t *testing.T) {
	const size = 6
	cases := map[string]struct {
		// restarted is the position of the node that is restarted; the first one watches the store for the others.
		restarted, copies int
	}{
		"node that watches the store": {restarted: 0, copies: size - 1},
		"node that uses peers":        {restarted: size - 1, copies: 0},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				dom := &testDomain{store: fakes.NewRecordStore(), kind: router.Instances}
				dom.store.Set(router.Instances, "stays", []byte("stays"))
				dom.start(ctx, size)
				go func() {
					for ctx.Err() == nil {
						dom.store.Set(router.Members, "node", []byte("written again"))
						timer.Sleep(ctx, 50*time.Millisecond)
					}
				}()
				time.Sleep(20 * time.Second)
				before := dom.copies.Load()
				dom.nodes[cas.restarted].frozen.Store(true)
				time.Sleep(500 * time.Millisecond)
				dom.restart(ctx, cas.restarted)
				time.Sleep(20 * time.Second)
				if got := int(dom.copies.Load() - before); got > cas.copies {
					t.Errorf("%d copies between nodes, at most %d are expected", got, cas.copies)
				}
			})
		})
	}
}
