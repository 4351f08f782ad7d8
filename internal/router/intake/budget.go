package intake

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// memoryPart is the inverse of the part of the memory that callers may make a node hold. Garbage takes as much again.
	memoryPart = 3
	// reservedPart is the inverse of the part of the bound that is reserved for small requests and answers.
	reservedPart = 4
	// SmallBytes is the size up to which a request is small. Ordinary requests have up to 100 KB.
	SmallBytes = 128 << 10
	// checkInterval is the time between two checks of the requests while one waits.
	checkInterval = 250 * time.Millisecond
	// stallTime is the time without progress after which a request is abandoned while others wait.
	stallTime = 2 * time.Second
	// shedAfter is the time without a grant after which requests are refused.
	shedAfter = time.Second
)

// The errors of a Hold.
var (
	// ErrShed reports that a request was refused because memory is short.
	ErrShed = errors.New("memory for requests is short")
	// ErrStalled reports that a caller made no progress while others waited for memory.
	ErrStalled = errors.New("the caller made no progress")
)

// The reasons for which requests are refused and connections closed.
const (
	ReasonShed        = "Shed"
	ReasonStalled     = "Stalled"
	ReasonWaited      = "Waited"
	ReasonConnections = "Connections"
	ReasonHeaderBytes = "HeaderBytes"
	ReasonHeaderTime  = "HeaderTime"
)

// Options are the settings and dependencies of a Budget and a Listener.
type Options struct {
	Timers router.Timers
	// MemoryBytes is the memory of the machine; zero sets no bound.
	MemoryBytes int64
	// Descriptors is the limit of open descriptors; zero sets no bound.
	Descriptors int
	// OnRefuse is called without locks when a request is refused or a connection closed, with the reason.
	OnRefuse func(reason string)
}

// Budget bounds the bytes that callers make a node hold.
type Budget struct {
	options Options
	// bound is the limit of all bytes, and large that of the bytes of requests that are not small.
	bound, large int64

	mut sync.Mutex
	// used is the number of bytes held, usedLarge that of requests that are not small.
	used, usedLarge int64
	holds           map[*Hold]bool
	// queue holds those that wait, in the order in which they began to.
	queue []*Hold
	// granted is when memory was last granted, or when the first in an empty queue began to wait.
	granted time.Time
	// checked is when the requests were last checked.
	checked time.Time
	stop    func()
}

// New returns a Budget.
func New(opt Options) *Budget {
	bud := &Budget{options: opt, bound: math.MaxInt64, holds: make(map[*Hold]bool)}
	if opt.MemoryBytes > 0 {
		bud.bound = opt.MemoryBytes / memoryPart
	}
	bud.large = bud.bound - bud.bound/reservedPart
	return bud
}

// Held returns the number of bytes held.
func (bud *Budget) Held() int64 {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	return bud.used
}

// Kind is what a Hold is for.
type Kind int

const (
	// Request is the header or body of a request that is not complete yet.
	Request Kind = iota
	// Answer is an answer that is held for its caller. It is small in any case, and never shed: it is cut only if the caller
	// makes no progress.
	Answer
)

// Hold is the memory that one request or answer takes. Its methods are not called concurrently, except by the Budget.
type Hold struct {
	budget *Budget
	kind   Kind
	abort  func()

	// All below is guarded by the lock of the budget.
	bytes int64
	small bool
	// watched is set while progress depends on the caller.
	watched bool
	last    time.Time
	// want is the number of bytes that are waited for, and answer gets the result.
	want   int64
	answer chan error
	err    error
}

// Open returns a Hold of no bytes. length is the announced number of bytes, negative if unknown. abort interrupts the reading
// from, or writing to, the caller; it is called at most once, with the reason then returned by Err, and must not block.
func (bud *Budget) Open(kind Kind, length int64, abort func()) *Hold {
	hol := &Hold{budget: bud, kind: kind, abort: abort, small: kind == Answer || length <= SmallBytes, watched: kind == Request, last: bud.options.Timers.Now()}
	bud.mut.Lock()
	defer bud.mut.Unlock()
	bud.holds[hol] = true
	return hol
}

// Err returns why the hold was aborted, or nil.
func (hol *Hold) Err() error {
	hol.budget.mut.Lock()
	defer hol.budget.mut.Unlock()
	return hol.err
}

// Progress notes that the caller sent or took bytes.
func (hol *Hold) Progress() {
	now := hol.budget.options.Timers.Now()
	hol.budget.mut.Lock()
	defer hol.budget.mut.Unlock()
	hol.last = now
}

// Watch sets whether progress depends on the caller. A request is watched until it is complete, an answer while it is written.
func (hol *Hold) Watch(watched bool) {
	now := hol.budget.options.Timers.Now()
	hol.budget.mut.Lock()
	defer hol.budget.mut.Unlock()
	hol.watched, hol.last = watched, now
}

// Grow adds bytes to the hold, and waits while the bound is reached. The error is that of the context, ErrShed or
// ErrStalled.
func (hol *Hold) Grow(ctx context.Context, num int64) (err error) {
	bud := hol.budget
	bud.mut.Lock()
	if err := bud.ended(hol); err != nil {
		bud.mut.Unlock()
		return err
	}
	if bud.fits(hol, num) && !bud.isPassed(hol, num) {
		bud.add(hol, num)
		bud.mut.Unlock()
		return nil
	}
	hol.want, hol.answer = num, make(chan error, 1)
	if len(bud.queue) == 0 {
		bud.granted = bud.options.Timers.Now()
		bud.checked = bud.granted
		bud.stop = bud.options.Timers.Every(checkInterval, bud.check)
	}
	bud.queue = append(bud.queue, hol)
	answer := hol.answer
	bud.mut.Unlock()
	select {
	case err = <-answer:
		return err
	case <-ctx.Done():
	}
	if ended, err := bud.giveUp(hol, answer); ended {
		return err
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		bud.options.OnRefuse(ReasonWaited)
	}
	return ctx.Err()
}

// giveUp ends the wait of a hold, or returns its result if it has one.
func (bud *Budget) giveUp(hol *Hold, answer chan error) (ended bool, err error) {
	bud.mut.Lock()
	defer bud.mut.Unlock()
	select {
	case err = <-answer:
		return true, err
	default:
	}
	bud.leave(hol)
	bud.grant()
	return false, nil
}

// Take adds bytes to the hold without regard to the bound.
func (hol *Hold) Take(num int64) {
	hol.budget.mut.Lock()
	defer hol.budget.mut.Unlock()
	hol.budget.add(hol, num)
}

// Shrink takes bytes from the hold that are no longer allocated.
func (hol *Hold) Shrink(num int64) {
	hol.budget.mut.Lock()
	defer hol.budget.mut.Unlock()
	if !hol.budget.holds[hol] {
		return
	}
	hol.budget.add(hol, -num)
	hol.budget.grant()
}

// Release ends the hold. It may be called more than once, and wakes a Grow that waits.
func (hol *Hold) Release() {
	bud := hol.budget
	bud.mut.Lock()
	defer bud.mut.Unlock()
	if !bud.holds[hol] {
		return
	}
	if hol.answer != nil {
		hol.answer <- ErrShed
		bud.leave(hol)
	}
	bud.add(hol, -hol.bytes)
	delete(bud.holds, hol)
	bud.grant()
}

// ended returns why a hold gets no more bytes, or nil. The caller holds mut, as for all methods below.
func (bud *Budget) ended(hol *Hold) error {
	if hol.err == nil && !bud.holds[hol] {
		return ErrShed
	}
	return hol.err
}

// fits reports whether a hold may get more bytes by the bounds. A hold that outgrows SmallBytes is counted as large. A hold that is
// alone fits in any case, so that no bound is below a single request.
func (bud *Budget) fits(hol *Hold, num int64) bool {
	if bud.used == hol.bytes {
		return true
	}
	if bud.staysSmall(hol, num) {
		return bud.used+num <= bud.bound
	}
	own := int64(0)
	if hol.small {
		own = hol.bytes
	}
	return bud.used+num <= bud.bound && bud.usedLarge+own+num <= bud.large
}

func (bud *Budget) staysSmall(hol *Hold, num int64) bool {
	return hol.kind == Answer || hol.small && hol.bytes+num <= SmallBytes
}

// isPassed reports whether a large request must not pass those that wait.
func (bud *Budget) isPassed(hol *Hold, num int64) bool {
	return len(bud.queue) > 0 && !bud.staysSmall(hol, num)
}

// add changes the bytes of a hold.
func (bud *Budget) add(hol *Hold, num int64) {
	if !bud.holds[hol] {
		return
	}
	if hol.small && !bud.staysSmall(hol, num) {
		hol.small = false
		bud.usedLarge += hol.bytes
	}
	hol.bytes += num
	bud.used += num
	if !hol.small {
		bud.usedLarge += num
	}
}

// grant gives memory to those that wait, small ones first, each kind in the order in which they began to wait.
func (bud *Budget) grant() {
	for _, small := range []bool{true, false} {
		for idx := 0; idx < len(bud.queue); {
			hol := bud.queue[idx]
			if bud.staysSmall(hol, hol.want) != small {
				idx++
				continue
			}
			if !bud.fits(hol, hol.want) {
				break
			}
			bud.add(hol, hol.want)
			bud.granted = bud.options.Timers.Now()
			hol.last = bud.granted
			hol.answer <- nil
			bud.leave(hol)
		}
	}
}

// leave removes a hold from the queue.
func (bud *Budget) leave(hol *Hold) {
	hol.want, hol.answer = 0, nil
	for idx, one := range bud.queue {
		if one == hol {
			bud.queue = append(bud.queue[:idx], bud.queue[idx+1:]...)
			break
		}
	}
	if len(bud.queue) == 0 && bud.stop != nil {
		bud.stop()
		bud.stop = nil
	}
}

// Guard returns a function that calls fun unless release has been called. It keeps an abort that comes late from the next request
// on the same connection.
func Guard(fun func()) (abort, release func()) {
	var mut sync.Mutex
	released := false
	return func() {
			mut.Lock()
			defer mut.Unlock()
			if !released {
				fun()
			}
		}, func() {
			mut.Lock()
			defer mut.Unlock()
			released = true
		}
}
