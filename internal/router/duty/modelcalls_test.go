package duty

import (
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// call sends a request to the store. It is applied at once, late or never; the answer may be lost. done gets it, or
// ErrUnavailable at the time limit.
func (mac *machine) call(apply func() (answer func()), fail func()) {
	wld := mac.world
	mac.busy = true
	ended := false
	end := func(run func()) {
		if !ended {
			ended, mac.busy = true, false
			run()
		}
	}
	mac.do(modelLimit, func() { end(fail) })
	delay := wld.between(time.Millisecond, 30*time.Millisecond)
	switch {
	case wld.chance(0.05), wld.now < mac.cut && wld.chance(0.5):
		return
	case wld.now < mac.cut:
		delay = mac.cut - wld.now + wld.between(0, modelThaw)
	case wld.chance(0.1):
		delay = wld.between(0, 600*time.Millisecond)
	case wld.chance(0.06):
		delay = wld.between(time.Second, 4*time.Second)
	}
	wld.after(delay, func() {
		answer := apply()
		if !wld.chance(0.05) && wld.now >= mac.cut {
			mac.do(wld.between(time.Millisecond, 30*time.Millisecond), func() { end(answer) })
		}
	})
}

func (mac *machine) read() {
	wld := mac.world
	mac.state.beginRead(wld.now)
	mac.call(func() func() {
		vie := view{era: wld.era, version: wld.store.leaseAt, row: wld.store.lease}
		return func() {
			if mac.state.known && mac.state.seen.era != vie.era {
				mac.first = int64(wld.now / modelWindow)
				clear(mac.composed)
			}
			mac.state.observe(wld.now, vie)
		}
	}, mac.state.readFailed)
}

// transact writes the lease row, and a report unless its window is zero. done gets the report that is stored.
func (mac *machine) transact(att attempt, win, num int64, done func(stored int64, err error)) {
	wld := mac.world
	mac.call(func() func() {
		stored, taken := wld.store.reports[win]
		if wld.store.leaseAt != att.ifVersion || win != 0 && taken {
			// The read of a stored report is part of the answer here; a holder reads it after ErrCondition.
			same := wld.store.leaseAt == att.ifVersion && wld.era == att.row.Era
			return func() {
				mac.state.failed(true)
				if same {
					done(stored, nil)
				}
			}
		}
		wld.store.version++
		wld.store.lease, wld.store.leaseAt = att.row, wld.store.version
		if win != 0 {
			wld.store.reports[win] = num
		}
		era, version := wld.era, wld.store.version
		return func() {
			if era != att.row.Era {
				mac.state.failed(false)
				return
			}
			mac.state.applied(wld.now, att, version)
			done(num, nil)
		}
	}, func() {
		mac.state.failed(false)
		done(0, router.ErrUnavailable)
	})
}

// send makes a call to the platform that was just checked. The machine may be frozen before the bytes are written. After the time
// limit the connection is reset, so that only what had left the machine arrives.
func (mac *machine) send(token, win, num int64) {
	wld := mac.world
	limit := wld.now + modelLimit
	mac.do(wld.between(0, 10*time.Millisecond), func() {
		delay := wld.between(time.Millisecond, 50*time.Millisecond)
		latest := limit - wld.now + modelLate
		switch {
		case wld.now >= limit:
		case wld.chance(0.1):
			delay = latest - wld.between(0, 100*time.Millisecond)
		case wld.chance(0.2):
			delay = wld.between(0, latest)
		}
		wld.after(delay, func() { wld.accept(mac, token, win, num) })
	})
}

// accept checks the rules of the platform.
func (wld *world) accept(mac *machine, token, win, num int64) {
	wld.accepted++
	if old, fnd := wld.reports[win]; win != 0 && fnd && old != num {
		wld.broken["different reports"] = true
	}
	if win != 0 {
		wld.reports[win] = num
	}
	if own, fnd := wld.owners[token]; fnd && own != mac.index {
		wld.broken["token of two holders"] = true
	}
	wld.owners[token] = mac.index
	exempt := mac.thawed > 0 && wld.now >= mac.thawed && wld.now < mac.thawed+modelThaw
	if exempt {
		wld.highest = max(wld.highest, token)
		return
	}
	if token < wld.highest {
		wld.broken["lower token"] = true
	}
	wld.highest = max(wld.highest, token)
	wld.arrivals = append(wld.arrivals, arrival{wld.now, mac.index})
	between := false
	for idx := len(wld.arrivals) - 1; idx >= 0 && wld.arrivals[idx].at > wld.now-modelLease; idx-- {
		if wld.arrivals[idx].machine != mac.index {
			between = true
		} else if between {
			wld.broken["alternating holders"] = true
		}
	}
}

// TestModel guards against two holders of the duties at a time, whatever is killed, frozen, cut off, late, lost or restored, and
// against a safeguard that protects from nothing: without any one of them a rule is broken.
func TestModel(t *testing.T) {
	whole := defaultSafeguards(modelLease)
	without := func(change func(grs *safeguards)) safeguards {
		grs := whole
		change(&grs)
		return grs
	}
	const unstoredReports = "reports sent unstored"
	cases := map[string]struct {
		guards safeguards
		breaks bool
	}{
		"all safeguards":          {whole, false},
		"no wait for expiry":      {without(func(grs *safeguards) { grs.expiry = 0 }), true},
		"no delay after release":  {without(func(grs *safeguards) { grs.delay = 0 }), true},
		"no era in the token":     {without(func(grs *safeguards) { grs.eraInToken, grs.versionInToken = false, false }), true},
		"no validity margin":      {without(func(grs *safeguards) { grs.margin = 0 }), true},
		"no check before a call":  {without(func(grs *safeguards) { grs.check = false }), true},
		"no version in the token": {without(func(grs *safeguards) { grs.versionInToken = false }), true},
		unstoredReports:           {whole, true},
		"no slack for the expiry": {without(func(grs *safeguards) { grs.expiry, grs.margin = modelLease, 0 }), true},
	}
	const seeds = 1000
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			accepted, reports := 0, 0
			for seed := range uint64(seeds) {
				wld := newWorld(seed, cas.guards)
				wld.unstored = name == unstoredReports
				wld.run()
				accepted += wld.accepted
				reports += len(wld.reports)
				if len(wld.broken) == 0 {
					continue
				}
				if !cas.breaks {
					t.Fatalf("seed %d after %s: %v", seed, wld.now, wld.broken)
				}
				t.Logf("seed %d after %s: %v", seed, wld.now, wld.broken)
				return
			}
			if cas.breaks {
				t.Fatal("no rule is broken without the safeguard")
			}
			t.Logf("%d calls accepted, %d reports", accepted, reports)
			if accepted < 100*seeds || reports < 2*seeds {
				t.Errorf("%d calls and %d reports are too few to show anything", accepted, reports)
			}
		})
	}
}
