package guard

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// DefaultMaxCrashes is the default number of crashes after which a request is quarantined.
	DefaultMaxCrashes = 2
	// sameCrashWindow is the time within which two reports about one upstream count as one crash.
	sameCrashWindow = time.Second
	// crashTTL is how long after its last crash a request stays suspect or quarantined.
	crashTTL   = 30 * time.Minute
	shardCount = 16
	// maxReportedRequests bounds the requests of which a node that has started gets to know the crashes.
	maxReportedRequests = 100
)

// Crash records that a request was running on an upstream when the upstream crashed.
type Crash struct {
	Digest   string
	Upstream string
	At       time.Time
	// Parts holds the parts of the prompt that requests share, if the upstream had not begun to answer.
	Parts []uint64
}

// Guard holds the crashes of each request by digest. It is sharded to reduce lock contention.
type Guard struct {
	timers router.Timers
	// maxCrashes is the number of crashes after which a request is quarantined.
	maxCrashes int
	shards     [shardCount]shard
	parts      *partGuard
}

type shard struct {
	mut     sync.Mutex
	crashes map[string][]Crash
}

// New returns an empty Guard that quarantines a request after maxCrashes crashes. It expires old crashes until
// stop is called.
func New(tms router.Timers, maxCrashes int) (grd *Guard, stop func()) {
	grd = &Guard{timers: tms, maxCrashes: maxCrashes, parts: newPartGuard()}
	for idx := range grd.shards {
		grd.shards[idx].crashes = make(map[string][]Crash)
	}
	return grd, tms.Every(time.Minute, grd.expire)
}

// Add records a crash and reports whether it is new, rather than another report of one that is recorded.
func (grd *Guard) Add(crs Crash) (added bool) {
	shd := grd.shard(crs.Digest)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	for _, old := range shd.crashes[crs.Digest] {
		if old.Upstream == crs.Upstream && crs.At.Sub(old.At).Abs() < sameCrashWindow {
			return false
		}
	}
	grd.parts.add(crs)
	crs.Parts = nil
	shd.crashes[crs.Digest] = append(shd.crashes[crs.Digest], crs)
	return true
}

// HasCrash reports whether a crash of an upstream is recorded for a request.
func (grd *Guard) HasCrash(digest, upstream string) bool {
	shd := grd.shard(digest)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	return slices.ContainsFunc(shd.crashes[digest], func(crs Crash) bool { return crs.Upstream == upstream })
}

// Clear removes the crashes of a request that completed, unless it is quarantined.
func (grd *Guard) Clear(digest string) {
	shd := grd.shard(digest)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	if len(shd.crashes[digest]) < grd.maxCrashes {
		delete(shd.crashes, digest)
	}
}

// Answered records that an upstream began to answer a request with these parts and did not crash. That clears them of the
// crashes before begun. It returns the parts that were suspect.
func (grd *Guard) Answered(parts []uint64, begun time.Time) (cleared []uint64) {
	return grd.parts.answered(parts, begun)
}

// PartCrashes returns the crashes of upstreams that suspect parts may explain, without the requests.
func (grd *Guard) PartCrashes() (css []Crash) {
	return grd.parts.crashes()
}

// RequestCrashes returns the crashes of requests without parts: of those that are quarantined, then of those that crashed fewer
// upstreams, the newest first, up to maxReportedRequests.
func (grd *Guard) RequestCrashes() (css []Crash) {
	var requests [][]Crash
	for idx := range grd.shards {
		shd := &grd.shards[idx]
		shd.mut.Lock()
		for _, old := range shd.crashes {
			requests = append(requests, slices.Clone(old[max(0, len(old)-grd.maxCrashes):]))
		}
		shd.mut.Unlock()
	}
	slices.SortFunc(requests, func(one, two []Crash) int {
		return cmp.Or(cmp.Compare(len(two), len(one)), two[len(two)-1].At.Compare(one[len(one)-1].At), strings.Compare(one[0].Digest, two[0].Digest))
	})
	return slices.Concat(requests[:min(len(requests), maxReportedRequests)]...)
}

// AddPartCrash records a crash that PartCrashes of another node returned.
func (grd *Guard) AddPartCrash(crs Crash) {
	grd.parts.add(crs)
}

// HasQuarantinedPart reports whether a request with these parts of its prompt must not be run.
func (grd *Guard) HasQuarantinedPart(parts []uint64) bool {
	return grd.parts.isQuarantined(parts)
}

// TotalCrashes returns the number of crashes recorded for all requests.
func (grd *Guard) TotalCrashes() (num int) {
	for idx := range grd.shards {
		shd := &grd.shards[idx]
		shd.mut.Lock()
		for _, css := range shd.crashes {
			num += len(css)
		}
		shd.mut.Unlock()
	}
	return num
}

// IsSuspect reports whether an upstream crashed while it ran the request.
func (grd *Guard) IsSuspect(digest string) bool {
	return grd.crashCount(digest) > 0
}

// IsQuarantined reports whether a request must not be run again.
func (grd *Guard) IsQuarantined(digest string) bool {
	return grd.crashCount(digest) >= grd.maxCrashes
}

func (grd *Guard) crashCount(digest string) int {
	shd := grd.shard(digest)
	shd.mut.Lock()
	defer shd.mut.Unlock()
	return len(shd.crashes[digest])
}

func (grd *Guard) shard(digest string) *shard {
	if digest == "" {
		return &grd.shards[0]
	}
	return &grd.shards[int(digest[len(digest)-1])%shardCount]
}

func (grd *Guard) expire(now time.Time) {
	grd.parts.expire(now)
	for idx := range grd.shards {
		grd.shards[idx].expire(now)
	}
}

func (shd *shard) expire(now time.Time) {
	shd.mut.Lock()
	defer shd.mut.Unlock()
	for dig, css := range shd.crashes {
		if now.Sub(css[len(css)-1].At) > crashTTL {
			delete(shd.crashes, dig)
		}
	}
}
