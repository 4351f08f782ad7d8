package place

import (
	"math"
	"sync"
	"time"
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

// tiers is the number of tiers that placement tells apart; lower ones count as the last.
const tiers = 5

// Ranks is the number of ranks in which engines read prompts: two for each tier.
const Ranks = 2 * tiers

// rank returns a call's place in the order in which engines read prompts; within a tier, calls that will be late anyway come last.
func rank(tier int, late bool) (res int) {
	res = 2 * min(max(tier, 0), tiers-1)
	if late {
		res++
	}
	return res
}

// Unread counts prompt tokens that were sent and not read yet, by rank.
type Unread [Ranks]int

// ahead returns how much is read before a call of a rank.
func (unr Unread) ahead(rank int) (sum int) {
	for num, val := range unr {
		if num <= rank {
			sum += val
		} else {
			// An engine finishes what it has begun of later ones.
			sum += val / lowerRankDivisor
		}
	}
	return sum
}

// total returns all that is unread.
func (unr Unread) total() (sum int) {
	for _, val := range unr {
		sum += val
	}
	return sum
}

// lowerRankDivisor is the part of the work of later ranks that a call waits for.
const lowerRankDivisor = 3

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

// Result is how a call at an upstream ended.
type Result int

// The values of Result.
const (
	// Served means that the upstream answered.
	Served Result = iota
	// Failed means that the upstream answered with an error or broke off.
	Failed
	// Unreachable means that no connection was obtained.
	Unreachable
	// Full means that the upstream rejected the call unrun.
	Full
	// Left means that the call ended for reasons that say nothing of the upstream.
	Left
)

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

// Ticket is a call's place at an upstream.
type Ticket struct {
	// Ahead is how many prompt tokens were to be read before the call, and Read how many of its own.
	Ahead, Read int
	// Rank is the call's place in the order in which the engine reads prompts; 0 is read first.
	Rank int
	// Source is the address of an engine from which shared parts are copied; empty for none.
	Source string

	// noteRead tells that the engine has read the shared parts.
	noteRead func()
	load     *load
	now      func() time.Time
	// unread is what the engine still has to read of the call.
	unread int
	// work is what the engine had to read up to the call's first event, when it was sent.
	work int
	sent time.Time
	// fragile is the call's share of the engine's fragility.
	fragile float64
	tried   bool
	// last is when the last event came, and waiting what the engine had to read then, in tokens.
	last    time.Time
	waiting int
	once    sync.Once
}

// enter books a call that makes the engine read a number of tokens.
func (lod *load) enter(unread, rank int, wnt Want, now func() time.Time) *Ticket {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	tic := &Ticket{load: lod, now: now, Rank: rank, unread: unread, sent: now(), fragile: wnt.fragility()}
	if lod.streak > 0 && !lod.until.IsZero() {
		lod.trying = true
		tic.tried = true
	}
	all := lod.own
	all.add(lod.peers, 1)
	tic.Read, tic.Ahead = unread, all.Unread.ahead(tic.Rank)
	tic.work = tic.Read + tic.Ahead
	lod.own.Unread[tic.Rank] += unread
	lod.own.Running++
	lod.own.Fragile += tic.fragile
	return tic
}

// Begun reports the first event, after which the prompt has been read; further calls do nothing.
func (tic *Ticket) Begun() {
	lod := tic.load
	lod.mut.Lock()
	defer lod.mut.Unlock()
	if tic.unread == 0 {
		return
	}
	lod.own.Unread[tic.Rank] -= tic.unread
	tic.unread = 0
	took := float64(tic.now().Sub(tic.sent).Microseconds()) / 1000
	if tic.work < rateTokens || took <= 0 {
		return
	}
	seen := min(max(float64(tic.work)/took, rateLeast), rateMost)
	if lod.rate == 0 {
		lod.rate = rateGuess
	}
	lod.rate += rateWeight * (seen - lod.rate)
}

// Event reports an event of the answer; its pause after the one before shows how fast the engine is.
func (tic *Ticket) Event() {
	if tic.last.IsZero() && tic.noteRead != nil {
		tic.noteRead()
	}
	tic.Begun()
	lod, now := tic.load, tic.now()
	lod.mut.Lock()
	defer lod.mut.Unlock()
	all := lod.own
	all.add(lod.peers, 1)
	unread := all.Unread.total()
	if !tic.last.IsZero() {
		lod.pace.observe(now.Sub(tic.last), max(tic.waiting, unread), now)
	}
	tic.last, tic.waiting = now, unread
}

// Done gives the place back; further calls do nothing.
func (tic *Ticket) Done(res Result) {
	tic.once.Do(func() { tic.load.leave(tic, res) })
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
