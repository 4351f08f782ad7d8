package place

import (
	"sync"
	"time"
)

// Estimate is what was known of a call and its upstream when the upstream was chosen.
type Estimate struct {
	// Ahead is how many prompt tokens were to be read before the call, and Read how many of its own.
	Ahead, Read int
	// Rank is the call's place in the order in which the engine reads prompts; 0 is read first.
	Rank int
	// Source is the address of an engine from which shared parts are copied; empty for none.
	Source string
	// Slow is how many times longer than usual the engine's steps took; at least 1.
	Slow float64
}

// Ticket is a call's place at an upstream.
type Ticket struct {
	Estimate

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
