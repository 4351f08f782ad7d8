package admit

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the shortest Retry-After.
	minRetryAfter = 50 * time.Millisecond
	// leftShare bounds Retry-After by the time that the caller has left.
	leftShare = 1.0 / 3
	// maxReturns bounds the refused callers of which the time of their return is kept.
	maxReturns = 4096
)

// returns holds when refused callers are expected back.
type returns struct {
	// due holds the times by the digest of the request.
	due map[string]time.Time
	// last is the latest time that a caller was told.
	last time.Time
}

// next returns the Retry-After of a refused call. The wait is the time until the calls that wait are served, and rate the
// calls per second of this node.
func (ret *returns) next(digest string, wait time.Duration, rate float64, left time.Duration, now time.Time) (after time.Duration) {
	at := now.Add(wait)
	if at.Before(ret.last) {
		at = ret.last
	}
	at = at.Add(time.Duration(float64(time.Second) / max(rate, 1)))
	after = at.Sub(now)
	if limit := time.Duration(leftShare * float64(left)); after > limit {
		// Without the spread, all callers with the same deadline would come back together.
		after = limit/2 + rand.N(max(limit/2, 1))
	} else {
		ret.last = at
	}
	after = max(after, minRetryAfter)
	if ret.due == nil {
		ret.due = make(map[string]time.Time)
	}
	if len(ret.due) >= maxReturns {
		maps.DeleteFunc(ret.due, func(_ string, due time.Time) bool { return !due.After(now) })
	}
	if len(ret.due) < maxReturns {
		ret.due[digest] = now.Add(after)
	}
	return after
}

// early reports whether a refused caller is back before its time, and forgets those that are not.
func (ret *returns) early(digest string, now time.Time) bool {
	due, fnd := ret.due[digest]
	if fnd && !due.After(now) {
		delete(ret.due, digest)
	}
	return fnd && due.After(now)
}
