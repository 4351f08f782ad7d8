package soak

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

const (
	// dutyLease is above 1.5 s: a holder needs a validity (the lease less 500 ms) above the time limit of a call, 1 s. It is short
	// enough that other nodes take the duties over within the longest duty fault.
	dutyLease  = 2 * time.Second
	dutyThaw   = 300 * time.Millisecond
	dutyWindow = 2 * time.Second
	// reportWithin is the time after the end of its window at which a usage report is due.
	reportWithin = 5 * time.Second
	dutyRate     = 20
	// usageTolerance and usageSlack bound the difference between a reported and the true count, as a share and in requests.
	usageTolerance = 0.05
	usageSlack     = 3
	// The duration of a fault of the holder. A pause or an outage of the store lets another node take over after the lease and 300 ms.
	minDutyFault = 500 * time.Millisecond
	maxDutyFault = 4 * time.Second
	// The time between the starts of two faults of the holder. At shorter ones no node makes a call between most of them.
	minDutyFaultInterval = 300 * time.Millisecond
	maxDutyFaultInterval = 1500 * time.Millisecond
)

// dutyRules are the rules that the stand-in judges.
var dutyRules = mock.DutyRules{PerSecond: dutyRate, Lease: dutyLease, Thaw: dutyThaw}

// dutyFaultKinds are the faults that meet the node which made the last duty call. A seed draws them by their index, apart from
// those of faultKinds, so their order must not change.
var dutyFaultKinds = []struct {
	name  string
	apply func(har *harness, nod *node, mod Mode) (end func())
}{
	{"HolderPause", func(har *harness, nod *node, _ Mode) func() {
		nod.signal(syscall.SIGSTOP)
		return func() { har.thaw(nod) }
	}},
	{"HolderKill", func(har *harness, nod *node, _ Mode) func() {
		done := nod.signal(syscall.SIGKILL)
		return func() { har.restart(nod, done, startTimeout) }
	}},
	{"HolderStop", func(har *harness, nod *node, _ Mode) func() {
		done := nod.signal(syscall.SIGTERM)
		return func() { har.restart(nod, done, gracePeriod+maxFaultDuration+maxDutyFault) }
	}},
	{"HolderStorePath", func(har *harness, nod *node, mod Mode) func() {
		nod.store.SetMode(mod)
		return func() { har.recoverLink(nod, nod.store, mod) }
	}},
	{"DutyPath", func(har *harness, nod *node, mod Mode) func() {
		nod.duties.SetMode(mod)
		return func() { har.recoverLink(nod, nod.duties, mod) }
	}},
}

// dutySettings returns the settings of the duties, with the address of the duty calls.
func dutySettings(address string) string {
	return fmt.Sprintf(`  Duties:
    Address: %s
    Kinds: [usage_reporting]
    CallsPerSecond: %d
    LeaseMilliseconds: %d
    ThawMilliseconds: %d
    WindowSeconds: %g
    ReportWithinSeconds: %g
    Tolerance: %g
`, address, dutyRate, dutyLease.Milliseconds(), dutyThaw.Milliseconds(), dutyWindow.Seconds(), reportWithin.Seconds(), usageTolerance)
}

// awaitDuties waits for the first duty call, so that there is a holder that the faults can meet.
func (har *harness) awaitDuties(ctx context.Context) {
	for end := time.Now().Add(startTimeout); har.duties.LastHolder() == ""; timer.Sleep(ctx, minFaultInterval) {
		if time.Now().After(end) || ctx.Err() != nil {
			har.addViolation("Duty: no call within %s of the start", startTimeout)
			return
		}
	}
}

// injectDutyFaults injects faults that meet the holder of the duties. The random draws are apart from those of the other faults,
// which stay the same for a seed.
func (har *harness) injectDutyFaults(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(har.options.Seed, 3))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rnd.Int64N(int64(high-low))) }
	for end := time.Now().Add(har.options.Faults); time.Now().Before(end) && ctx.Err() == nil; {
		knd, mod := dutyFaultKinds[rnd.IntN(len(dutyFaultKinds))], Mode(1+rnd.IntN(int(modeCount)-1))
		duration := between(minDutyFault, maxDutyFault)
		if nod := har.holder(); nod != nil {
			har.mut.Lock()
			har.faults[knd.name]++
			har.mut.Unlock()
			endFault := knd.apply(har, nod, mod)
			har.activeFaults.Go(func() {
				timer.Sleep(ctx, duration)
				endFault()
			})
		}
		timer.Sleep(ctx, between(minDutyFaultInterval, maxDutyFaultInterval))
	}
}

// holder returns the node that made the last duty call, or nil.
func (har *harness) holder() *node {
	name := har.duties.LastHolder()
	for _, nod := range har.nodes {
		if nod.name == name {
			return nod
		}
	}
	return nil
}

// thaw continues a paused node. The exemption of the calls that it had checked before the pause begins before the signal, because
// they may arrive at once, and again after it, because the signal may be late on a loaded machine.
func (har *harness) thaw(nod *node) {
	har.duties.SetThawed(nod.name)
	nod.signal(syscall.SIGCONT)
	har.duties.SetThawed(nod.name)
}

// recoverLink ends the fault of one path of a node. A path that was only slow was not cut, and exempts no call.
func (har *harness) recoverLink(nod *node, prx *Proxy, mod Mode) {
	if mod != Delay {
		har.duties.SetThawed(nod.name)
	}
	prx.SetMode(Pass)
}

// checkDuties checks the rules of duty calls, and that at least one usage report of a window between two times is correct.
func (har *harness) checkDuties(rep *Report, from, until time.Time) {
	for _, txt := range har.duties.Violations() {
		rep.Broken = append(rep.Broken, "Duty: "+txt)
	}
	reports := har.duties.Reports()
	rep.Reports = len(reports)
	seen := ""
	for _, win := range slices.Sorted(maps.Keys(reports)) {
		counts := reports[win]
		begin := time.UnixMilli(win * dutyWindow.Milliseconds())
		end := begin.Add(dutyWindow)
		if begin.Before(from) || end.After(until) {
			continue
		}
		want := 0
		for _, ups := range har.upstreams {
			want += ups.ExecutedBetween(begin, end)
		}
		rep.Calm++
		if IsCorrect(counts, want) {
			rep.Correct++
		}
		seen += fmt.Sprintf(" window %d: %v for %d executions;", win, counts, want)
	}
	if rep.Correct == 0 {
		rep.Broken = append(rep.Broken, fmt.Sprintf("Duty: no correct usage report after the faults;%s", seen))
	}
}

// IsCorrect reports whether the counts of a usage report match the number of executions, which were all for mock.Workspace.
func IsCorrect(counts map[string]int64, executions int) bool {
	for wsp := range counts {
		if wsp != mock.Workspace {
			return false
		}
	}
	off := math.Abs(float64(counts[mock.Workspace]) - float64(executions))
	return executions > 0 && off <= max(usageSlack, usageTolerance*float64(executions))
}
