package revise

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// PollPeriod is how often the head is read by the nodes that poll.
	PollPeriod = time.Second
	// beatPeriod is how often a node notes that it runs.
	beatPeriod = 250 * time.Millisecond
	// pauseLimit is the time without a beat from which a node was paused and must catch up.
	pauseLimit = 2 * time.Second
	// catchUpTimeout is how long a request waits for a node that was paused to catch up.
	catchUpTimeout = time.Second
)

// Peers is where a follower hears of revisions besides the table service.
type Peers interface {
	// Newest returns the highest revision above a number that any peer asked has, or nil; asked is false if none answered.
	Newest(ctx context.Context, above uint64) (rev *wire.Revision, asked bool)
	// Fetch returns the revision above a number that the peer at an address has, or nil.
	Fetch(ctx context.Context, address string, above uint64) (rev *wire.Revision)
	// Announce tells peers that this node has a revision in force.
	Announce(num uint64)
	// Polls reports whether this node is one of those that poll the table service.
	Polls() bool
}

// FollowOptions are what a Follower is built from.
type FollowOptions struct {
	Timers router.Timers
	Store  *Store
	Peers  Peers
	Log    *slog.Logger
	// Install puts a revision in force; an error leaves the one before.
	Install func(rev *wire.Revision) error
}

// Follower keeps a node at the highest revision it has heard of.
type Follower struct {
	options FollowOptions
	mut     sync.Mutex
	current *wire.Revision
	number  atomic.Uint64
	// beat is when the node last noted that it runs, in Unix nanoseconds.
	beat atomic.Int64
	// behind is set from the moment a pause is noticed until the node has caught up.
	behind  atomic.Bool
	caught  sync.Mutex
	closers []func()
}

// NewFollower returns a Follower at no revision.
func NewFollower(opt FollowOptions) *Follower {
	fol := &Follower{options: opt}
	fol.beat.Store(opt.Timers.Now().UnixNano())
	return fol
}

// Start begins to poll and to notice pauses; Close ends both.
func (fol *Follower) Start() {
	tms := fol.options.Timers
	fol.closers = []func(){
		tms.Every(beatPeriod, fol.onBeat),
		tms.Every(PollPeriod, func(time.Time) {
			if fol.options.Peers.Polls() {
				fol.poll(context.Background())
			}
		}),
	}
}

// Close ends polling.
func (fol *Follower) Close() {
	for _, clo := range fol.closers {
		clo()
	}
}

// Begin brings a starting node to the highest revision of the table service, or of its peers when that is down.
//
// found is false when the table service has no revision; err is
// router.ErrUnavailable when nobody could tell.
func (fol *Follower) Begin(ctx context.Context) (found bool, err error) {
	rev, err := fol.options.Store.Latest(ctx)
	if errors.Is(err, router.ErrMissing) {
		return false, nil
	}
	if err != nil {
		rev, _ = fol.options.Peers.Newest(ctx, 0)
		if rev == nil {
			return false, err
		}
	}
	fol.Offer(rev)
	return true, nil
}

// Number returns the revision in force, 0 for none.
func (fol *Follower) Number() uint64 {
	return fol.number.Load()
}

// Current returns the revision in force, or nil.
func (fol *Follower) Current() *wire.Revision {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.current
}

// Offer puts a revision in force if it is above the present one, and passes it on.
func (fol *Follower) Offer(rev *wire.Revision) {
	if !fol.install(rev) {
		return
	}
	fol.options.Peers.Announce(rev.GetNumber())
}

// Hear is told of a revision number that the peer at an address has, and fetches it if it is above the present one.
func (fol *Follower) Hear(ctx context.Context, num uint64, address string) {
	if num <= fol.Number() {
		return
	}
	if rev := fol.options.Peers.Fetch(ctx, address, fol.Number()); rev != nil {
		fol.Offer(rev)
	}
}

// Settle returns at once, unless the node was paused: then it waits, for a bounded time, until the node has caught up.
func (fol *Follower) Settle(ctx context.Context) {
	if !fol.paused(fol.options.Timers.Now()) && !fol.behind.Load() {
		return
	}
	fol.behind.Store(true)
	fol.catchUp(ctx)
}

func (fol *Follower) paused(now time.Time) bool {
	return now.Sub(time.Unix(0, fol.beat.Load())) > pauseLimit
}

func (fol *Follower) onBeat(now time.Time) {
	if fol.paused(now) {
		fol.behind.Store(true)
		fol.options.Log.Warn("node was paused", "Seconds", now.Sub(time.Unix(0, fol.beat.Load())).Seconds())
		go fol.catchUp(context.Background())
	}
	fol.beat.Store(now.UnixNano())
}

// catchUp asks the table service, or else the peers, for what was missed; one caller works and the others wait for it.
func (fol *Follower) catchUp(ctx context.Context) {
	fol.caught.Lock()
	defer fol.caught.Unlock()
	if !fol.behind.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if !fol.poll(ctx) {
		if rev, _ := fol.options.Peers.Newest(ctx, fol.Number()); rev != nil {
			fol.Offer(rev)
		}
	}
	fol.behind.Store(false)
}

// poll reads the head and fetches what is new; it reports whether the table service answered.
func (fol *Follower) poll(ctx context.Context) (answered bool) {
	num, err := fol.options.Store.Head(ctx)
	if err != nil {
		return false
	}
	if num <= fol.Number() {
		return true
	}
	rev, err := fol.options.Store.Get(ctx, num)
	if err != nil {
		return false
	}
	fol.Offer(rev)
	return true
}

// install puts a revision in force if it is above the present one, and reports whether it did.
func (fol *Follower) install(rev *wire.Revision) (installed bool) {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	if rev.GetNumber() <= fol.number.Load() {
		return false
	}
	if err := fol.options.Install(rev); err != nil {
		fol.options.Log.Error("revision not installed", "Revision", rev.GetNumber(), "Error", err.Error())
		return false
	}
	fol.current = rev
	fol.number.Store(rev.GetNumber())
	fol.options.Log.Info("revision in force", "Revision", rev.GetNumber(), "Author", rev.GetAuthor())
	return true
}
