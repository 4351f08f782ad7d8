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
	// PollPeriod is how often a polling node reads the head.
	PollPeriod = time.Second
	// heartbeatPeriod is how often a node records that its process runs.
	heartbeatPeriod = 250 * time.Millisecond
	// maxHeartbeatAge is the age of the last heartbeat above which the process counts as paused and must
	// catch up with the revisions that it missed.
	maxHeartbeatAge = 2 * time.Second
	// catchUpTimeout bounds how long a request waits until a paused node has caught up.
	catchUpTimeout = time.Second
)

// Peers is the source of revisions besides the table service.
type Peers interface {
	// Newest requests the highest revision above a number from some peers; rev is nil if none has one.
	// answered is false if no peer replied.
	Newest(ctx context.Context, above uint64) (rev *wire.Revision, answered bool)
	// Fetch requests the current revision of the peer at an address; it is nil unless it is above the number.
	Fetch(ctx context.Context, address string, above uint64) (rev *wire.Revision)
	// Announce sends the number of the revision that this node installed to its peers.
	Announce(num uint64)
	// Polls reports whether this node polls the table service.
	Polls() bool
}

// FollowOptions configure a Follower.
type FollowOptions struct {
	Timers router.Timers
	Store  *Store
	Peers  Peers
	Log    *slog.Logger
	// Install applies a revision on this node; after an error, the previous one stays installed.
	Install func(rev *wire.Revision) error
}

// Follower keeps a node at the highest revision that it has received.
type Follower struct {
	options FollowOptions
	// mut guards current and serializes calls of Install.
	mut     sync.Mutex
	current *wire.Revision
	number  atomic.Uint64
	// heartbeat is the time of the last heartbeat, in Unix nanoseconds.
	heartbeat atomic.Int64
	// behind is set from the detection of a pause until catchUp ends, also if neither the table service
	// nor a peer answered.
	behind atomic.Bool
	// catchUpMut lets one caller catch up while the others wait for it.
	catchUpMut sync.Mutex
	// closers stop the timers of Start.
	closers []func()
}

// NewFollower returns a Follower without a revision.
func NewFollower(opt FollowOptions) *Follower {
	fol := &Follower{options: opt}
	fol.heartbeat.Store(opt.Timers.Now().UnixNano())
	return fol
}

// Start begins to poll and to detect pauses, until Close.
func (fol *Follower) Start() {
	tms := fol.options.Timers
	fol.closers = []func(){
		tms.Every(heartbeatPeriod, fol.onHeartbeat),
		tms.Every(PollPeriod, func(time.Time) {
			if fol.options.Peers.Polls() {
				fol.poll(context.Background())
			}
		}),
	}
}

// Close stops polling and the detection of pauses.
func (fol *Follower) Close() {
	for _, clo := range fol.closers {
		clo()
	}
}

// LoadInitial installs the highest revision of the table service, or of the peers if the service does not answer.
//
// found is false if the table service has no revision; it is true even if Install rejected the
// revision. err is the table service's, such as router.ErrUnavailable, if no peer had a revision either.
func (fol *Follower) LoadInitial(ctx context.Context) (found bool, err error) {
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

// Number returns the number of the installed revision, or 0 if there is none.
func (fol *Follower) Number() uint64 {
	return fol.number.Load()
}

// Current returns the installed revision, or nil if there is none.
func (fol *Follower) Current() *wire.Revision {
	fol.mut.Lock()
	defer fol.mut.Unlock()
	return fol.current
}

// Offer installs a revision if it is newer than the current one, and announces it to the peers.
func (fol *Follower) Offer(rev *wire.Revision) {
	if !fol.install(rev) {
		return
	}
	fol.options.Peers.Announce(rev.GetNumber())
}

// HandleAnnouncement fetches and installs the revision of the peer at an address if the announced number is
// above the current one.
func (fol *Follower) HandleAnnouncement(ctx context.Context, num uint64, address string) {
	if num <= fol.Number() {
		return
	}
	if rev := fol.options.Peers.Fetch(ctx, address, fol.Number()); rev != nil {
		fol.Offer(rev)
	}
}

// AwaitCatchUp returns at once unless the node was paused. Then it waits until the node has caught up, or for
// catchUpTimeout.
func (fol *Follower) AwaitCatchUp(ctx context.Context) {
	if !fol.paused(fol.options.Timers.Now()) && !fol.behind.Load() {
		return
	}
	fol.behind.Store(true)
	fol.catchUp(ctx)
}

// paused reports whether the last heartbeat is older than maxHeartbeatAge.
func (fol *Follower) paused(now time.Time) bool {
	return now.Sub(time.Unix(0, fol.heartbeat.Load())) > maxHeartbeatAge
}

// onHeartbeat records a heartbeat, and starts to catch up if the previous one is too old.
func (fol *Follower) onHeartbeat(now time.Time) {
	if fol.paused(now) {
		fol.behind.Store(true)
		fol.options.Log.Warn("node was paused", "Seconds", now.Sub(time.Unix(0, fol.heartbeat.Load())).Seconds())
		go fol.catchUp(context.Background())
	}
	fol.heartbeat.Store(now.UnixNano())
}

// catchUp installs the newest revision of the table service, or of the peers if the service does not answer.
// Concurrent callers wait for the first one.
func (fol *Follower) catchUp(ctx context.Context) {
	fol.catchUpMut.Lock()
	defer fol.catchUpMut.Unlock()
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

// poll installs the head's revision if it is newer, and reports whether the table service answered.
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

// install installs a revision if it is newer than the current one, and reports whether it did.
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
