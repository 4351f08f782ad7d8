package place

import (
	"sync"
	"time"
)

const (
	// pauseLeast and pauseMost bound how long a failed upstream gets nothing; crashed ones are back within seconds.
	pauseLeast = 250 * time.Millisecond
	pauseMost  = 4 * time.Second
	// failureWeight is the weight of the newest result in an upstream's share of failures.
	failureWeight = 0.2
)

// load is what is known of one incarnation.
type load struct {
	mut sync.Mutex
	// unread is the number of prompt tokens sent whose answers have not begun.
	unread int
	// running is the number of calls in flight.
	running int
	// failures is the recent share of failed calls.
	failures float64
	// streak counts failures since the last success.
	streak int
	// until is when a paused upstream may be tried again.
	until time.Time
	// trying is set while a paused upstream is tried by one call.
	trying bool
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
	unread, running int
	failures        float64
	paused          bool
}

func (lod *load) view(now time.Time) (vew view) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	return view{
		unread:   lod.unread,
		running:  lod.running,
		failures: lod.failures,
		paused:   now.Before(lod.until) || lod.trying,
	}
}

// Ticket is a call's place at an upstream.
type Ticket struct {
	load   *load
	now    func() time.Time
	unread int
	tried  bool
	once   sync.Once
}

func (lod *load) enter(unread int, now func() time.Time) *Ticket {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	tic := &Ticket{load: lod, now: now, unread: unread}
	if lod.streak > 0 && !lod.until.IsZero() {
		lod.trying = true
		tic.tried = true
	}
	lod.unread += unread
	lod.running++
	return tic
}

// Begun reports the first event, after which the prompt has been read.
func (tic *Ticket) Begun() {
	tic.load.mut.Lock()
	defer tic.load.mut.Unlock()
	tic.load.unread -= tic.unread
	tic.unread = 0
}

// Done gives the place back; further calls do nothing.
func (tic *Ticket) Done(res Result) {
	tic.once.Do(func() { tic.load.leave(tic, res) })
}

func (lod *load) leave(tic *Ticket, res Result) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.unread -= tic.unread
	lod.running--
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
		lod.failures += failureWeight * (1 - lod.failures)
		lod.streak++
		lod.until = tic.now().Add(min(pauseMost, pauseLeast<<min(lod.streak-1, 5)))
	case Left:
	}
}
