package timer

import (
	"sync"
	"time"
)

// Manual is a fake clock whose time changes only in Advance.
type Manual struct {
	mut sync.Mutex
	now time.Time
	// sub holds the pending callbacks by number. Numbers start at 1 and follow the order of creation.
	sub map[int]*subscription
	seq int
}

type subscription struct {
	due time.Time
	// period is zero for a callback that runs once.
	period time.Duration
	fun    func(now time.Time)
}

// NewManual returns a Manual that starts at the given time.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now, sub: make(map[int]*subscription)}
}

// Now returns the current fake time.
func (man *Manual) Now() time.Time {
	man.mut.Lock()
	defer man.mut.Unlock()
	return man.now
}

// Every calls fun once per period of advanced time until stop is called.
func (man *Manual) Every(period time.Duration, fun func(now time.Time)) (stop func()) {
	return man.subscribe(period, period, fun)
}

// After calls fun once when time has advanced by the delay, unless stop is called first.
func (man *Manual) After(delay time.Duration, fun func(now time.Time)) (stop func()) {
	return man.subscribe(delay, 0, fun)
}

// Advance moves time forward by step and runs the callbacks that become due, in the order of their
// due times; Now returns the due time while one runs.
func (man *Manual) Advance(step time.Duration) {
	end := man.Now().Add(step)
	for {
		fun, now := man.next(end)
		if fun == nil {
			return
		}
		fun(now)
	}
}

func (man *Manual) subscribe(delay, period time.Duration, fun func(now time.Time)) (stop func()) {
	man.mut.Lock()
	defer man.mut.Unlock()
	man.seq++
	num := man.seq
	man.sub[num] = &subscription{due: man.now.Add(delay), period: period, fun: fun}
	return func() {
		man.mut.Lock()
		defer man.mut.Unlock()
		delete(man.sub, num)
	}
}

// next moves time to the earliest due callback and returns it; if none is due by end, it moves time
// to end and returns nil. Callbacks due at the same time run in the order of their creation.
func (man *Manual) next(end time.Time) (fun func(time.Time), now time.Time) {
	man.mut.Lock()
	defer man.mut.Unlock()
	best := 0
	for num, sub := range man.sub {
		if sub.due.After(end) {
			continue
		}
		if best == 0 || sub.due.Before(man.sub[best].due) || sub.due.Equal(man.sub[best].due) && num < best {
			best = num
		}
	}
	if best == 0 {
		man.now = end
		return nil, end
	}
	sub := man.sub[best]
	man.now = sub.due
	if sub.period > 0 {
		sub.due = sub.due.Add(sub.period)
	} else {
		delete(man.sub, best)
	}
	return sub.fun, man.now
}
