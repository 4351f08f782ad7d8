package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

// strike is a kind of fault; it returns how to end it, or nil when it ends by itself.
type strike struct {
	name  string
	apply func(wrd *world) (end func())
}

var strikes = []strike{
	{"Pause", func(wrd *world) func() {
		nod := wrd.anyNode()
		nod.signal(syscall.SIGSTOP)
		return func() { nod.signal(syscall.SIGCONT) }
	}},
	{"Kill", func(wrd *world) func() {
		nod := wrd.anyNode()
		done := nod.signal(syscall.SIGKILL)
		return func() { wrd.restart(nod, done, readyLimit) }
	}},
	{"Stop", func(wrd *world) func() {
		nod := wrd.anyNode()
		done := nod.signal(syscall.SIGTERM)
		// Pauses that overlap with the stop add to it.
		return func() { wrd.restart(nod, done, grace+2*holdMost) }
	}},
	{"Reload", func(wrd *world) func() {
		wrd.anyNode().signal(syscall.SIGHUP)
		return nil
	}},
	{"StorePath", func(wrd *world) func() {
		prx := wrd.anyNode().store
		prx.Set(wrd.anyMode())
		return func() { prx.Set(Pass) }
	}},
	{"UpstreamPath", func(wrd *world) func() {
		prx := wrd.ups[wrd.rnd.IntN(len(wrd.ups))].proxy
		prx.Set(wrd.anyMode())
		return func() { prx.Set(Pass) }
	}},
	{"LostAnswers", func(wrd *world) func() {
		ups := wrd.ups[wrd.rnd.IntN(len(wrd.ups))]
		ups.SetDropAnswers(true)
		return func() { ups.SetDropAnswers(false) }
	}},
	{"Drain", func(wrd *world) func() {
		ups := wrd.ups[wrd.rnd.IntN(len(wrd.ups))]
		wrd.mark(ups, true)
		return func() { wrd.mark(ups, false) }
	}},
	{"Vanish", func(wrd *world) func() {
		ups := wrd.ups[wrd.rnd.IntN(len(wrd.ups))]
		wrd.store.Set("servers", ups.ID, nil)
		return func() { wrd.publish(ups) }
	}},
	{"Garbage", func(wrd *world) func() {
		wrd.store.Set("servers", "odd", []byte("\x00{"))
		return nil
	}},
	{"Config", func(wrd *world) func() {
		wrd.store.Set("op", "config", mock.Config(wrd.version.Add(1)))
		return nil
	}},
}

// injectFaults applies faults in an order that the seed fixes; they overlap.
func (wrd *world) injectFaults(ctx context.Context) {
	for end := time.Now().Add(wrd.options.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		stk := strikes[wrd.rnd.IntN(len(strikes))]
		hold := holdLeast + rand64(wrd, holdMost-holdLeast)
		wrd.mut.Lock()
		wrd.faults[stk.name]++
		wrd.mut.Unlock()
		if fin := stk.apply(wrd); fin != nil {
			wrd.lasting.Go(func() {
				timer.Sleep(ctx, hold)
				fin()
			})
		}
		timer.Sleep(ctx, pauseLeast+rand64(wrd, pauseMost-pauseLeast))
	}
}

func rand64(wrd *world, most time.Duration) time.Duration {
	return time.Duration(wrd.rnd.Int64N(int64(most)))
}

func (wrd *world) anyNode() *node {
	return wrd.nodes[wrd.rnd.IntN(len(wrd.nodes))]
}

func (wrd *world) anyMode() Mode {
	return Mode(1 + wrd.rnd.IntN(int(modes)-1))
}

func (wrd *world) mark(ups *upstream, draining bool) {
	ups.mut.Lock()
	ups.draining = draining
	ups.mut.Unlock()
	wrd.publish(ups)
}

// restart starts a node again once the process that was told to end has ended, unless another fault did so already.
func (wrd *world) restart(nod *node, done <-chan struct{}, limit time.Duration) {
	if !within(done, limit) {
		wrd.breaks("Stop: %s does not end within its grace period", nod.name)
		return
	}
	if err := nod.startAgain(done); err != nil {
		wrd.breaks("Start: %v", err)
	}
}
