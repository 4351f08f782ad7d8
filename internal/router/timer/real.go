package timer

import (
	"sync"
	"time"
)

// Real is the system clock.
type Real struct{}

// Now returns the current time.
func (Real) Now() time.Time {
	return time.Now()
}

// Every calls fun once per period on its own goroutine until stop is called.
func (Real) Every(period time.Duration, fun func(now time.Time)) (stop func()) {
	tkr := time.NewTicker(period)
	don := make(chan struct{})
	go func() {
		for {
			select {
			case now := <-tkr.C:
				fun(now)
			case <-don:
				return
			}
		}
	}()
	return sync.OnceFunc(func() {
		tkr.Stop()
		close(don)
	})
}

// After calls fun once after the delay, on its own goroutine, unless stop is called first.
func (Real) After(delay time.Duration, fun func(now time.Time)) (stop func()) {
	tmr := time.AfterFunc(delay, func() { fun(time.Now()) })
	return func() { tmr.Stop() }
}
