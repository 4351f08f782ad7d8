package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// faultKind is a kind of fault.
type faultKind struct {
	// name is the key of the kind in Report.Faults.
	name string
	// apply starts the fault and returns the function that ends it, or nil when it ends by itself.
	apply func(har *harness) (end func())
}

// faultKinds are the kinds of faults. A seed draws them by their index, so their order and their
// random draws must not change.
var faultKinds = []faultKind{
	{"Pause", func(har *harness) func() {
		nod := har.randomNode()
		nod.signal(syscall.SIGSTOP)
		return func() { har.thaw(nod) }
	}},
	{"Kill", func(har *harness) func() {
		nod := har.randomNode()
		done := nod.signal(syscall.SIGKILL)
		return func() { har.restart(nod, done, startTimeout) }
	}},
	{"Stop", func(har *harness) func() {
		nod := har.randomNode()
		done := nod.signal(syscall.SIGTERM)
		// Pause faults that overlap with the stop delay the exit.
		return func() { har.restart(nod, done, gracePeriod+2*maxFaultDuration) }
	}},
	{"Reload", func(har *harness) func() {
		har.randomNode().signal(syscall.SIGHUP)
		return nil
	}},
	{"StorePath", func(har *harness) func() {
		nod, mod := har.randomNode(), har.randomMode()
		nod.store.SetMode(mod)
		return func() { har.recoverLink(nod, nod.store, mod) }
	}},
	{"UpstreamPath", func(har *harness) func() {
		prx := har.upstreams[har.rnd.IntN(len(har.upstreams))].proxy
		prx.SetMode(har.randomMode())
		return func() { prx.SetMode(Pass) }
	}},
	{"LostAnswers", func(har *harness) func() {
		ups := har.upstreams[har.rnd.IntN(len(har.upstreams))]
		ups.SetDropAnswers(true)
		return func() { ups.SetDropAnswers(false) }
	}},
	{"Drain", func(har *harness) func() {
		ups := har.upstreams[har.rnd.IntN(len(har.upstreams))]
		har.setDraining(ups, true)
		return func() { har.setDraining(ups, false) }
	}},
	{"Vanish", func(har *harness) func() {
		ups := har.upstreams[har.rnd.IntN(len(har.upstreams))]
		har.store.Set("servers", ups.ID, nil)
		return func() { har.publishRecord(ups) }
	}},
	{"Garbage", func(har *harness) func() {
		har.store.Set("servers", "odd", []byte("\x00{"))
		return nil
	}},
	{"Config", func(har *harness) func() {
		har.publishConfig(true)
		return nil
	}},
}

// injectFaults injects faults, which may overlap, in an order that the seed determines.
func (har *harness) injectFaults(ctx context.Context) {
	for end := time.Now().Add(har.options.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		knd := faultKinds[har.rnd.IntN(len(faultKinds))]
		duration := minFaultDuration + randomDuration(har, maxFaultDuration-minFaultDuration)
		har.mut.Lock()
		har.faults[knd.name]++
		har.mut.Unlock()
		if endFault := knd.apply(har); endFault != nil {
			har.activeFaults.Go(func() {
				timer.Sleep(ctx, duration)
				endFault()
			})
		}
		timer.Sleep(ctx, minFaultInterval+randomDuration(har, maxFaultInterval-minFaultInterval))
	}
}

// restoreStore restores the store once from a copy that is up to maxFaultDuration old. The operator and the upstreams write again
// what it lost. The random draws are apart from those of the other faults, which stay the same for a seed.
func (har *harness) restoreStore(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(har.options.Seed, 2))
	timer.Sleep(ctx, time.Duration(rnd.Int64N(int64(har.options.Faults))))
	bak := har.store.Backup()
	timer.Sleep(ctx, time.Duration(rnd.Int64N(int64(maxFaultDuration))))
	har.store.Restore(bak)
	har.mut.Lock()
	har.faults["Restore"]++
	har.mut.Unlock()
	timer.Sleep(ctx, time.Duration(rnd.Int64N(int64(maxFaultInterval))))
	har.publishConfig(false)
	for _, ups := range har.upstreams {
		har.publishRecord(ups)
	}
}

// randomDuration returns a random duration below the limit.
func randomDuration(har *harness, limit time.Duration) time.Duration {
	return time.Duration(har.rnd.Int64N(int64(limit)))
}

func (har *harness) randomNode() *node {
	return har.nodes[har.rnd.IntN(len(har.nodes))]
}

// randomMode returns a random mode other than Pass.
func (har *harness) randomMode() Mode {
	return Mode(1 + har.rnd.IntN(int(modeCount)-1))
}

// setDraining writes the record of an upstream with the draining flag.
func (har *harness) setDraining(ups *upstream, draining bool) {
	ups.mut.Lock()
	ups.draining = draining
	ups.mut.Unlock()
	har.publishRecord(ups)
}

// restart waits until the process that was signalled has ended and starts the node again, unless
// another fault has done so already.
func (har *harness) restart(nod *node, done <-chan struct{}, limit time.Duration) {
	if !waitFor(done, limit) {
		har.addViolation("Stop: %s did not exit within its grace period", nod.name)
		return
	}
	if err := nod.restartAfter(done); err != nil {
		har.addViolation("Start: %v", err)
	}
}
