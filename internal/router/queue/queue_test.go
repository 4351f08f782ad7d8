package queue_test

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/queue"
)

var (
	epoch   = time.Unix(1000, 0)
	preview = router.Class{Name: "preview", Tier: 0, MinimumShare: 0.2}
	draft   = router.Class{Name: "draft", Tier: 3, MinimumShare: 0.25}
)

func entry(cls router.Class, at time.Duration) *router.QueueEntry {
	return &router.QueueEntry{Request: router.SlotRequest{Class: cls, Arrived: epoch.Add(at)}}
}

func fitsAny(*router.QueueEntry) bool { return true }

// TestShedding guards against dropping the wrong request when a queue is full: one of a higher tier, an older one, or
// one that an upstream has run in part.
func TestShedding(t *testing.T) {
	for name, tst := range map[string]struct {
		queue router.Queue
		push  []*router.QueueEntry
		// shed is the index of the entry that the last push returns.
		shed int
	}{
		"sheds the newest of the lowest tier": {
			queue: queue.NewTiered(2),
			push:  []*router.QueueEntry{entry(draft, 0), entry(draft, 1), entry(preview, 2)},
			shed:  1,
		},
		"sheds the new request if its tier is lowest": {
			queue: queue.NewTiered(2),
			push:  []*router.QueueEntry{entry(preview, 0), entry(preview, 1), entry(draft, 2)},
			shed:  2,
		},
		"keeps a started request of a lower tier": {
			queue: queue.NewTiered(1),
			push:  []*router.QueueEntry{started(draft, 0), entry(preview, 1)},
			shed:  1,
		},
		"Fifo sheds the newest of any tier": {
			queue: queue.NewFifo(1),
			push:  []*router.QueueEntry{entry(draft, 0), entry(preview, 1)},
			shed:  1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var got *router.QueueEntry
			for _, ent := range tst.push {
				got = tst.queue.Push(ent)
			}
			if got != tst.push[tst.shed] {
				t.Fatalf("shed %+v, want entry %d", got, tst.shed)
			}
		})
	}
}

func started(cls router.Class, at time.Duration) *router.QueueEntry {
	ent := entry(cls, at)
	ent.Request.Started = true
	return ent
}

// TestMinimumShare guards against starvation of a low tier: while requests of the highest tier always wait, drafts must
// still get about their minimum share of the slot time.
func TestMinimumShare(t *testing.T) {
	const slots, steps = 8, 4000
	que := queue.NewTiered(1 << 20)
	que.Resize(slots, epoch)
	// run is a running request and the step at which it ends.
	type run struct {
		cls router.Class
		end int
	}
	var running []run
	held := make(map[string]int)
	for step := range steps {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		que.Push(entry(preview, time.Duration(step)))
		que.Push(entry(draft, time.Duration(step)))
		kept := running[:0]
		for _, one := range running {
			if one.end > step {
				kept = append(kept, one)
				continue
			}
			que.AdjustHeld(one.cls, -1, now)
		}
		running = kept
		for len(running) < slots {
			ent := que.Pop(now, fitsAny)
			if ent == nil {
				break
			}
			que.AdjustHeld(ent.Request.Class, 1, now)
			// Drafts run ten times as long as previews.
			length := 10
			if ent.Request.Class.Name == draft.Name {
				length = 100
			}
			running = append(running, run{ent.Request.Class, step + length})
		}
		for _, one := range running {
			held[one.cls.Name]++
		}
	}
	share := float64(held[draft.Name]) / float64(held[draft.Name]+held[preview.Name])
	if share < 0.15 || share > 0.35 {
		t.Fatalf("drafts held %.2f of the slot time, want about their minimum share %.2f", share, draft.MinimumShare)
	}
}

// TestTierOrder checks that the higher tier is popped first, and each tier in order of arrival, not of Push.
func TestTierOrder(t *testing.T) {
	que := queue.NewTiered(10)
	que.Resize(4, epoch)
	que.Push(entry(draft, 0))
	que.Push(entry(preview, 2))
	que.Push(entry(preview, 1))
	if got := que.OldestOfHighestTier(); got.Request.Class.Tier != 0 {
		t.Fatalf("OldestOfHighestTier returned %+v, want an entry of tier 0", got)
	}
	var got []time.Duration
	for ent := que.Pop(epoch, fitsAny); ent != nil; ent = que.Pop(epoch, fitsAny) {
		got = append(got, ent.Request.Arrived.Sub(epoch))
	}
	if len(got) != 3 || got[0] != 1 || got[1] != 2 || got[2] != 0 {
		t.Fatalf("popped in order %v, want [1ns 2ns 0s]", got)
	}
}
