package duty

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
)

// CallTimeout is a time limit for a call to the platform that leaves time for a slow store: the validity that is left just before
// a renewal of a lease of 3 s is applied is 1.15 s if renewals take 0.6 s.
const CallTimeout = time.Second

// RankKey is the key by which the nodes rank as candidates.
const RankKey = "duties"

// rowKey is the key of the lease row.
const rowKey = "lease"

// Options are the settings and dependencies of a Lease.
type Options struct {
	// Holder is the name of this node.
	Holder string
	// Length is the length of the lease.
	Length time.Duration
	Timers router.Timers
	Rows   router.RowStore
	// Rank returns the rank of this node among the live nodes, 0 for the first one.
	Rank  func() (rank int)
	Log   *slog.Logger
	Meter *meter.Meter
	// Clock is the machine's boot-time clock; nil selects CLOCK_BOOTTIME.
	Clock func() time.Duration
}

// Lease acquires and renews the lease of the fleet's duties; it implements router.DutyLease.
type Lease struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc

	// calls is held during a call to the store, so that writes are sent one at a time.
	calls sync.Mutex

	// mut guards the fields below.
	mut      sync.Mutex
	state    *state
	stopping bool
	// valid is set if the lease was valid at the last decision.
	valid bool
	// unschedule stops the timer of the next decision.
	unschedule func()
}

// New returns a Lease that makes no call before Start.
func New(opt Options) *Lease {
	if opt.Clock == nil {
		opt.Clock = bootTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Lease{
		options:    opt,
		ctx:        ctx,
		cancel:     cancel,
		state:      newState(opt.Holder, opt.Timers.Now().UnixNano(), opt.Length, defaultSafeguards(opt.Length)),
		unschedule: func() {},
	}
}

// Start begins to acquire the lease.
func (les *Lease) Start() {
	les.schedule(0)
}

// Stop releases the lease if this node holds it. Fence and Commit fail from the call on, and the store gets no call after its return.
func (les *Lease) Stop(ctx context.Context) {
	les.mut.Lock()
	les.stopping = true
	les.unschedule()
	les.mut.Unlock()
	// Ends a call in progress; a renewal that is applied later fails the release, which is then repeated on its version.
	les.cancel()
	les.calls.Lock()
	defer les.calls.Unlock()
	for range 2 {
		les.mut.Lock()
		att, ok := les.state.beginRelease(les.options.Clock())
		les.mut.Unlock()
		if !ok {
			return
		}
		err := les.write(ctx, att)
		if err == nil {
			les.options.Log.Info("duty lease released", "Token", att.row.Token)
			les.options.Meter.Event("duty_lease_released")
			les.options.Meter.Gauge("duty_lease_valid", "", "", 0)
			return
		}
		les.options.Log.Warn("duty lease not released", "Token", att.row.Token, "Error", err.Error())
		if !errors.Is(err, router.ErrCondition) || les.read(ctx) != nil {
			return
		}
	}
}

// Fence returns the fence for a call that ends within a time limit.
func (les *Lease) Fence(limit time.Duration) (fen router.Fence, ok bool) {
	les.mut.Lock()
	defer les.mut.Unlock()
	if les.stopping || !les.state.mayCall(les.options.Clock(), limit) {
		return router.Fence{}, false
	}
	return router.Fence{Holder: les.options.Holder, Number: les.state.seen.row.Token}, true
}

// Commit writes rows together with a renewal of the lease by a fence that Fence returned. The versions are those of the era of that fence:
// rows that were listed before Fence returned another number must be listed again. A write that its caller held back until a later
// lease of this node has another fence and fails.
func (les *Lease) Commit(ctx context.Context, fen router.Fence, wrs ...router.RowWrite) (err error) {
	defer errs.Annotate(&err, "commit with duty lease")
	les.calls.Lock()
	defer les.calls.Unlock()
	for range 2 {
		les.mut.Lock()
		now := les.options.Clock()
		if les.stopping || !les.state.valid(now, 0) || les.state.seen.row.Token != fen.Number {
			les.mut.Unlock()
			return router.ErrCondition
		}
		att, _ := les.state.beginWrite(now)
		les.mut.Unlock()
		err = les.write(ctx, att, wrs...)
		if !errors.Is(err, router.ErrCondition) {
			return err
		}
		// The condition of a row failed, or a renewal without an answer was applied, and then the write is repeated.
		if rerr := les.read(ctx); rerr != nil {
			return err
		}
		les.mut.Lock()
		same := les.state.seen.version == att.ifVersion
		les.mut.Unlock()
		if same {
			return err
		}
	}
	return err
}

// schedule runs the next decision after a delay, instead of one that was scheduled before.
func (les *Lease) schedule(delay time.Duration) {
	les.mut.Lock()
	defer les.mut.Unlock()
	if les.stopping {
		return
	}
	les.unschedule()
	les.unschedule = les.options.Timers.After(delay, func(time.Time) { les.step() })
}

// step makes the calls to the store that are due, and schedules the next decision.
func (les *Lease) step() {
	les.calls.Lock()
	wait := les.options.Length / renewalsPerLease
	for range maxStepCalls {
		les.mut.Lock()
		now := les.options.Clock()
		if les.stopping {
			les.mut.Unlock()
			break
		}
		les.noteValidity(now)
		act, pause := les.state.next(now, les.options.Rank())
		les.mut.Unlock()
		if act == actIdle {
			wait = pause
			break
		}
		if err := les.perform(act); err != nil {
			les.options.Log.Debug("duty lease call failed", "Error", err.Error())
		}
	}
	les.calls.Unlock()
	les.schedule(max(wait, minPause))
}

const (
	// minPause is the shortest time between two decisions.
	minPause = 10 * time.Millisecond
	// maxStepCalls is the number of calls to the store without a pause: a write that fails on its condition, a read, and the write
	// that follows from it.
	maxStepCalls = 3
)

// noteValidity logs and counts that the lease ended to be valid or is valid again; the caller holds mut.
func (les *Lease) noteValidity(now time.Duration) {
	valid := les.state.valid(now, 0)
	if valid == les.valid {
		return
	}
	les.valid = valid
	num := 0.0
	if valid {
		num = 1
	} else if les.state.held {
		les.options.Log.Warn("duty lease expired", "Token", les.state.seen.row.Token, "Reason", "NotRenewed")
		les.options.Meter.Event("duty_lease_expired")
	}
	les.options.Meter.Gauge("duty_lease_valid", "", "", num)
}

// perform makes a call to the store.
func (les *Lease) perform(act action) (err error) {
	if act == actRead {
		return les.read(les.ctx)
	}
	les.mut.Lock()
	reason, delayed, _ := les.state.mayAcquire(les.options.Clock())
	old := les.state.seen.row.Holder
	att, ok := les.state.beginWrite(les.options.Clock())
	les.mut.Unlock()
	if !ok {
		return nil
	}
	err = les.write(les.ctx, att)
	if err == nil && att.acquire {
		les.options.Log.Info("duty lease acquired", "Token", att.row.Token, "Reason", reason, "Delayed", delayed, "Before", old)
		les.options.Meter.Event("duty_lease_acquired")
	}
	return err
}

// write sends a write of the lease row, with other writes, and records its outcome; the caller holds calls.
func (les *Lease) write(ctx context.Context, att attempt, wrs ...router.RowWrite) (err error) {
	val, err := json.Marshal(att.row)
	if err != nil {
		return err
	}
	all := append([]router.RowWrite{{Key: rowKey, Value: val, IfVersion: att.ifVersion}}, wrs...)
	version, err := les.options.Rows.Transact(ctx, att.row.Era, all...)
	les.mut.Lock()
	defer les.mut.Unlock()
	if err != nil {
		les.state.failed(errors.Is(err, router.ErrCondition))
		return err
	}
	les.state.applied(les.options.Clock(), att, version)
	return nil
}

// read reads the lease row and records it; the caller holds calls.
func (les *Lease) read(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "read duty lease")
	les.mut.Lock()
	les.state.beginRead(les.options.Clock())
	les.mut.Unlock()
	rws, era, err := les.options.Rows.List(ctx, rowKey)
	les.mut.Lock()
	defer les.mut.Unlock()
	if err != nil {
		les.state.readFailed()
		return err
	}
	vie := view{era: era}
	for _, one := range rws {
		if one.Key != rowKey {
			continue
		}
		vie.version = one.Version
		if jerr := json.Unmarshal(one.Value, &vie.row); jerr != nil {
			vie.broken = true
			les.options.Log.Error("duty lease cannot be decoded", "Version", one.Version, "Error", jerr.Error())
		}
	}
	token := les.state.seen.row.Token
	was := les.state.held
	lost := les.state.observe(les.options.Clock(), vie)
	if lost != "" {
		les.options.Log.Warn("duty lease lost", "Token", token, "Reason", lost, "Holder", vie.row.Holder, "Era", era)
		les.options.Meter.Event("duty_lease_lost")
	}
	if les.state.held && !was {
		les.options.Log.Info("duty lease acquired", "Token", vie.row.Token, "Reason", "AnswerLost")
		les.options.Meter.Event("duty_lease_acquired")
	}
	return nil
}
