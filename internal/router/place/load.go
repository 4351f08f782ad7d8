package place

import (
	"math"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// minEjection and maxEjection bound the backoff of a failed upstream; crashed ones are back within seconds.
	minEjection = 250 * time.Millisecond
	maxEjection = 4 * time.Second
	// peerEjection is how long an upstream is ejected after a peer found no listener at its address.
	peerEjection = time.Second
	// failureWeight is the weight of the newest result in an upstream's failure rate.
	failureWeight = 0.2
	// defaultRate is the assumed prefill rate of an engine before the first observation, in tokens per millisecond.
	defaultRate = 40.0
	// minRate and maxRate clamp a single observation of a prefill rate.
	minRate = 5.0
	maxRate = 200.0
	// rateWeight is the weight of the newest observation of a prefill rate.
	rateWeight = 0.15
	// minRateTokens is the minimum number of tokens prefilled until the first event from which the prefill rate is
	// observed; the time for fewer tokens depends little on it.
	minRateTokens = 1500
)

// prefillShareHalfLife is the half-life of the moving average of the time spent on prefill.
const prefillShareHalfLife = time.Second

// PendingTokens counts the prompt tokens by rank that were sent to an engine and are not prefilled yet.
type PendingTokens [router.EngineRanks]int

// ahead returns how many tokens are prefilled before a call of a rank.
func (pnd PendingTokens) ahead(rank int) (sum int) {
	later := 0
	for num, val := range pnd {
		if num <= rank {
			sum += val
		} else {
			later += val
		}
	}
	return sum + min(later/lowerRankDivisor, maxStartedTokens)
}

// total returns the sum over all ranks.
func (pnd PendingTokens) total() (sum int) {
	for _, val := range pnd {
		sum += val
	}
	return sum
}

const (
	// lowerRankDivisor makes a call wait for a third of the work of later ranks, because an engine finishes the prompt
	// that it has started.
	lowerRankDivisor = 3
	// maxStartedTokens bounds that part, in tokens: half of a prompt of 16,000 tokens.
	maxStartedTokens = 8000
)

// InFlight sums the calls in flight at one incarnation.
type InFlight struct {
	Pending PendingTokens
	// Running is the number of calls.
	Running int
	// GapRisk is the expected number of running calls that miss their gap target while the engine prefills another prompt.
	GapRisk float64
	// CacheTokens is how many tokens of KV cache the calls occupy besides the prefixes that they share with others.
	CacheTokens int
}

func (inf *InFlight) add(oth InFlight, sign int) {
	for num := range inf.Pending {
		inf.Pending[num] += sign * oth.Pending[num]
	}
	inf.Running += sign * oth.Running
	inf.GapRisk += float64(sign) * oth.GapRisk
	inf.CacheTokens += sign * oth.CacheTokens
}

// load is the load and health of one incarnation.
type load struct {
	// id is the hash of the incarnation's key.
	id uint64

	mut sync.Mutex
	// local is the work from this node, peers the work from all others.
	local, peers InFlight
	// prefillRate is the moving average of prompt tokens prefilled per millisecond, as this node observed it; zero before the first
	// observation.
	prefillRate float64
	rate        engineRate
	// slow is set if the engine is slower than others of its service; offSince is when its rate began to say otherwise.
	slow     bool
	offSince time.Time
	// failureRate is the moving average of the share of failed calls.
	failureRate float64
	// failureStreak counts ejections since the last success.
	failureStreak int
	// ejectedUntil is when an ejected upstream may be probed; zero before the first ejection and after a success.
	ejectedUntil time.Time
	// probing is set while one call probes an ejected upstream.
	probing bool
	// prefillShare is the moving average of the share of time in which prefill was pending, as of prefillShareAt.
	prefillShare   float64
	prefillShareAt time.Time
	gaps           gapTracker
	// linkUntil is when the last copy on the engine's link ends, of those that this node started.
	linkUntil time.Time
	use       cacheUse
}

// snapshot is a consistent copy of a load.
type snapshot struct {
	InFlight

	prefillRate  float64
	failureRate  float64
	ejected      bool
	prefillShare float64
	// linkWait is how long the engine's link is still occupied by copies.
	linkWait time.Duration
	// slowdown is how many times longer than usual the engine's gaps between events are; at least 1.
	slowdown float64
}

func (lod *load) snapshot(now time.Time) (snp snapshot) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	snp = snapshot{
		InFlight:    lod.local,
		prefillRate: lod.rateAt(),
		failureRate: lod.failureRate,
		ejected:     now.Before(lod.ejectedUntil) || lod.probing,
	}
	snp.linkWait = lod.linkUntil.Sub(now)
	snp.add(lod.peers, 1)
	lod.updatePrefillShare(now, snp.Pending.total() > 0)
	snp.prefillShare = lod.prefillShare
	snp.slowdown = max(1, lod.gaps.slowdownAt(now))
	return snp
}

// updatePrefillShare adds the time since the last update to the moving average.
func (lod *load) updatePrefillShare(now time.Time, pending bool) {
	if lod.prefillShareAt.IsZero() {
		lod.prefillShareAt = now
	}
	keep := math.Exp2(-now.Sub(lod.prefillShareAt).Seconds() / prefillShareHalfLife.Seconds())
	lod.prefillShareAt = now
	lod.prefillShare *= keep
	if pending {
		lod.prefillShare += 1 - keep
	}
}

// reserve adds a call that makes the engine prefill a number of tokens. At an ejected upstream the call is a probe.
func (lod *load) reserve(prefillTokens, rank int, req Request, now func() time.Time) *Reservation {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	rsv := &Reservation{load: lod, now: now, pending: prefillTokens, sentAt: now(), gapRisk: req.gapRisk(req.prefillGap), cacheTokens: req.ownTokens()}
	if lod.failureStreak > 0 && !lod.ejectedUntil.IsZero() {
		lod.probing = true
		rsv.probe = true
	}
	all := lod.local
	all.add(lod.peers, 1)
	rsv.Estimate = Estimate{AheadTokens: all.Pending.ahead(rank), PrefillTokens: prefillTokens, Rank: rank, Slowdown: max(1, lod.gaps.slowdownAt(rsv.sentAt)), Running: all.Running}
	rsv.FirstEvent, rsv.EventGap = lod.progress(rsv.AheadTokens + prefillTokens)
	rsv.firstEventWork = rsv.PrefillTokens + rsv.AheadTokens
	lod.local.Pending[rsv.Rank] += prefillTokens
	lod.local.Running++
	lod.local.GapRisk += rsv.gapRisk
	lod.use.advance(all.CacheTokens, rsv.sentAt)
	lod.local.CacheTokens += rsv.cacheTokens
	return rsv
}

// release removes a call and updates the health of the upstream by its result.
func (lod *load) release(rsv *Reservation, res Result) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.local.Pending[rsv.Rank] -= rsv.pending
	lod.local.Running--
	lod.use.advance(lod.local.CacheTokens+lod.peers.CacheTokens, rsv.now())
	lod.local.CacheTokens -= rsv.cacheTokens
	lod.local.GapRisk = max(0, lod.local.GapRisk-rsv.gapRisk)
	if rsv.probe {
		lod.probing = false
	}
	switch res {
	case Served:
		lod.failureRate -= failureWeight * lod.failureRate
		lod.failureStreak = 0
		lod.ejectedUntil = time.Time{}
	case Failed:
		lod.failureRate += failureWeight * (1 - lod.failureRate)
	case Unreachable, Rejected:
		lod.eject(rsv.now())
	case Inconclusive:
	}
}

// eject counts a failure and ejects the upstream for a time that doubles with each failure; the caller holds the lock.
func (lod *load) eject(now time.Time) {
	lod.failureRate += failureWeight * (1 - lod.failureRate)
	lod.failureStreak++
	lod.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(lod.failureStreak-1, 5)))
}
