package place

import (
	"math"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// pauseLeast and pauseMost bound how long a failed upstream gets nothing; crashed ones are back within seconds.
	pauseLeast = 250 * time.Millisecond
	pauseMost  = 4 * time.Second
	// failureWeight is the weight of the newest result in an upstream's share of failures.
	failureWeight = 0.2
	// rateGuess is how many prompt tokens an engine reads in a millisecond, until its answers show it.
	rateGuess = 40.0
	// rateLeast and rateMost bound what a single observation can make of an engine's rate.
	rateLeast = 5.0
	rateMost  = 200.0
	// rateWeight is the weight of the newest observation of an engine's rate.
	rateWeight = 0.15
	// rateTokens is the work from which an observation says something about the rate, in tokens.
	rateTokens = 1500
)

// readingHalfLife is the time in which the memory of past reading halves.
const readingHalfLife = time.Second

// Unread counts prompt tokens that were sent and not read yet, by rank.
type Unread [router.EngineRanks]int

// ahead returns how much is read before a call of a rank.
func (unr Unread) ahead(rank int) (sum int) {
	later := 0
	for num, val := range unr {
		if num <= rank {
			sum += val
		} else {
			later += val
		}
	}
	return sum + min(later/lowerRankDivisor, begunMost)
}

// total returns all that is unread.
func (unr Unread) total() (sum int) {
	for _, val := range unr {
		sum += val
	}
	return sum
}

const (
	// lowerRankDivisor is the part of the work of later ranks that a call waits for, because an engine finishes the prompt that it has begun.
	lowerRankDivisor = 3
	// begunMost bounds that part, in tokens: half of a long prompt.
	begunMost = 8000
)

// InFlight is the work at one incarnation.
type InFlight struct {
	Unread  Unread
	Running int
	// Fragile is how easily the running calls miss their pauses when the engine reads a prompt: the sum of their fragility.
	Fragile float64
}

func (inf *InFlight) add(oth InFlight, sign int) {
	for num := range inf.Unread {
		inf.Unread[num] += sign * oth.Unread[num]
	}
	inf.Running += sign * oth.Running
	inf.Fragile += float64(sign) * oth.Fragile
}

// load is what is known of one incarnation.
type load struct {
	id uint64

	mut sync.Mutex
	// own is the work from this node, peers the work from all others.
	own, peers InFlight
	// rate is the observed number of prompt tokens read in a millisecond; zero means none yet.
	rate float64
	// failures is the recent share of failed calls.
	failures float64
	// streak counts failures since the last success.
	streak int
	// until is when a paused upstream may be tried again.
	until time.Time
	// trying is set while a paused upstream is tried by one call.
	trying bool
	// reading is the recent share of time in which the engine had something to read, as of looked.
	reading float64
	looked  time.Time
	pace    pace
}

// view is a consistent copy of a load.
type view struct {
	InFlight

	rate     float64
	failures float64
	paused   bool
	reading  float64
	// slow is how many times longer than usual the engine's steps take now; at least 1.
	slow float64
}

func (lod *load) view(now time.Time) (vew view) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	vew = view{
		InFlight: lod.own,
		rate:     lod.rate,
		failures: lod.failures,
		paused:   now.Before(lod.until) || lod.trying,
	}
	vew.add(lod.peers, 1)
	if vew.rate == 0 {
		vew.rate = rateGuess
	}
	lod.look(now, vew.Unread.total() > 0)
	vew.reading = lod.reading
	vew.slow = max(1, lod.pace.at(now))
	return vew
}

// look adds the time since the last look to the share of time spent reading.
func (lod *load) look(now time.Time, reads bool) {
	if lod.looked.IsZero() {
		lod.looked = now
	}
	keep := math.Exp2(-now.Sub(lod.looked).Seconds() / readingHalfLife.Seconds())
	lod.looked = now
	lod.reading *= keep
	if reads {
		lod.reading += 1 - keep
	}
}

// enter books a call that makes the engine read a number of tokens.
func (lod *load) enter(unread, rank int, wnt Want, now func() time.Time) *Ticket {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	tic := &Ticket{load: lod, now: now, unread: unread, sent: now(), fragile: wnt.fragility()}
	if lod.streak > 0 && !lod.until.IsZero() {
		lod.trying = true
		tic.tried = true
	}
	all := lod.own
	all.add(lod.peers, 1)
	tic.Estimate = Estimate{Ahead: all.Unread.ahead(rank), Read: unread, Rank: rank, Slow: max(1, lod.pace.at(tic.sent))}
	tic.work = tic.Read + tic.Ahead
	lod.own.Unread[tic.Rank] += unread
	lod.own.Running++
	lod.own.Fragile += tic.fragile
	return tic
}

func (lod *load) leave(tic *Ticket, res Result) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.own.Unread[tic.Rank] -= tic.unread
	lod.own.Running--
	lod.own.Fragile = max(0, lod.own.Fragile-tic.fragile)
	if tic.tried {
		lod.trying = false
	}
	switch res {
	case Served:
		lod.failures -= failureWeight * lod.failures
		lod.streak = 0
		lod.until = time.Time{}
	case Failed:
		lod.failures += failureWeight * (1 - lod.failures)
	case Unreachable, Full:
		lod.pause(tic.now())
	case Left:
	}
}

// pause leaves an upstream alone for a time that doubles with each failure; the lock is held.
func (lod *load) pause(now time.Time) {
	lod.failures += failureWeight * (1 - lod.failures)
	lod.streak++
	lod.until = now.Add(min(pauseMost, pauseLeast<<min(lod.streak-1, 5)))
}
