package guard

import (
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// Strikes is the number of crashes after which a request is refused, where nothing else is said.
	Strikes = 2
	// sameCrash is how close in time two strikes by one upstream count as one crash.
	sameCrash = time.Second
	// strikeLife is how long a strike is remembered.
	strikeLife = 30 * time.Minute
	shards     = 16
)

// Strike reports that a request was running on an upstream when it crashed.
type Strike struct {
	Digest   string
	Upstream string
	At       time.Time
}

// Guard remembers strikes by digest, in shards with a lock each.
type Guard struct {
	timers router.Timers
	// most is the number of crashes after which a request is refused.
	most   int
	shards [shards]shard
}

type shard struct {
	mut     sync.Mutex
	strikes map[string][]Strike
}

// New returns an empty Guard that refuses requests after a number of crashes and drops old strikes as time passes.
func New(tms router.Timers, most int) (grd *Guard, stop func()) {
	grd = &Guard{timers: tms, most: most}
	for idx := range grd.shards {
		grd.shards[idx].strikes = make(map[string][]Strike)
	}
	return grd, tms.Every(time.Minute, grd.expire)
}

// Add records a strike and reports whether it is new.
func (grd *Guard) Add(stk Strike) (added bool) {
	shd := grd.shard(stk.Digest)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	for _, old := range shd.strikes[stk.Digest] {
		if old.Upstream == stk.Upstream && stk.At.Sub(old.At).Abs() < sameCrash {
			return false
		}
	}
	shd.strikes[stk.Digest] = append(shd.strikes[stk.Digest], stk)
	return true
}

// Clear forgets the strikes of a request that completed, unless it is quarantined.
func (grd *Guard) Clear(digest string) {
	shd := grd.shard(digest)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	if len(shd.strikes[digest]) < grd.most {
		delete(shd.strikes, digest)
	}
}

// Total returns the number of strikes that are remembered.
func (grd *Guard) Total() (num int) {
	for idx := range grd.shards {
		shd := &grd.shards[idx]
		shd.mut.Lock()
		for _, sts := range shd.strikes {
			num += len(sts)
		}
		shd.mut.Unlock()
	}
	return num
}

// Suspect reports whether a request has a strike.
func (grd *Guard) Suspect(digest string) bool {
	return grd.count(digest) > 0
}

// Quarantined reports whether a request must not be run again.
func (grd *Guard) Quarantined(digest string) bool {
	return grd.count(digest) >= grd.most
}

func (grd *Guard) count(digest string) int {
	shd := grd.shard(digest)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	return len(shd.strikes[digest])
}

func (grd *Guard) shard(digest string) *shard {
	if digest == "" {
		return &grd.shards[0]
	}
	return &grd.shards[int(digest[len(digest)-1])%shards]
}

func (grd *Guard) expire(now time.Time) {
	for idx := range grd.shards {
		grd.shards[idx].expire(now)
	}
}

func (shd *shard) expire(now time.Time) {
	shd.mut.Lock()
	defer shd.mut.Unlock()
	for dig, sts := range shd.strikes {
		if now.Sub(sts[len(sts)-1].At) > strikeLife {
			delete(shd.strikes, dig)
		}
	}
}
