package permit

import "time"

// burstTime is how much unused time of a limit an owner saves.
const burstTime = 500 * time.Millisecond

// bucket spaces the permits of one upstream; it is the virtual scheduling form of the generic cell rate algorithm.
type bucket struct {
	// next is when the next permit is due at the rate of the limit. It may lie in the past by burstTime.
	next time.Time
}

// newBucket returns a bucket whose first permit is due after one interval.
func newBucket(now time.Time, interval time.Duration) *bucket {
	return &bucket{next: now.Add(interval)}
}

// take returns the delay until the next permit. It takes the permit if the delay is no longer than wait.
func (buc *bucket) take(now time.Time, interval, wait time.Duration) (delay time.Duration, taken bool) {
	if first := now.Add(-burstTime); buc.next.Before(first) {
		buc.next = first
	}
	delay = max(0, buc.next.Sub(now))
	if delay > wait {
		return delay, false
	}
	buc.next = buc.next.Add(interval)
	return delay, true
}
