package usage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// callTimeout bounds a call to the platform. A lease that is renewed in time is valid for longer than that.
	callTimeout = time.Second
	// storeTimeout bounds a call to the store. It is shorter than a lease, so that a write which this node held back does not begin
	// in a later lease of its own.
	storeTimeout = time.Second
	// minRetryPause and maxRetryPause bound the pause after a call that failed, which is doubled each time.
	minRetryPause = 300 * time.Millisecond
	maxRetryPause = 2 * time.Second
	// relistInterval is how often the rows are read again, to find those that are to be removed.
	relistInterval = 30 * time.Second
)

// collector composes and sends the reports while this node holds the duties. All methods but deliver are called by one goroutine.
type collector struct {
	service *Service
	clock   clock

	// firstSeen holds the window in which this process saw an era of the store for the first time, and lastEra the latest era.
	firstSeen map[int64]int64
	lastEra   int64
	// sent holds the reports that this process has sent, by window.
	sent map[int64]*sentReport
	// session is the state for the time in which the fence does not change; nil while this node does not hold the duties.
	session *session

	mut sync.Mutex
	// collections holds the collections that have not ended, by window.
	collections map[int64]*collection
	lastID      uint64
}

// sentReport is a report that was sent at least once.
type sentReport struct {
	report   router.UsageReport
	accepted bool
}

// session is what the holder of the duties knows while its fence does not change.
type session struct {
	// number is the number of the fence.
	number int64
	// listed is when the rows were read; zero if they have to be read before anything else.
	listed time.Time
	// tryAt is when the rows may be read, after a failure, and pause the pause after the next failure.
	retry
	// first is the first window that may be composed in the era of the rows.
	first int64
	// old holds the rows that are no longer needed.
	old     []router.StoredRow
	windows map[int64]*windowState
}

// windowState is the state of the report on a window.
type windowState struct {
	report router.UsageReport
	// composed is set when the report exists, and final when it is stored, so that it may be sent.
	composed, final bool
	// own is set if the report was composed in this session; summary then describes its collection.
	own     bool
	summary summary
	// done is set when the report was accepted or is omitted.
	done  bool
	sends int
	retry
}

// retry spaces the attempts of a call that fails.
type retry struct {
	tryAt time.Time
	pause time.Duration
}

// failed sets the time of the next attempt.
func (ret *retry) failed(now time.Time) {
	ret.pause = min(maxRetryPause, max(minRetryPause, 2*ret.pause))
	ret.tryAt = now.Add(ret.pause)
}

func newCollector(svc *Service, clk clock) *collector {
	return &collector{
		service: svc, clock: clk,
		firstSeen: make(map[int64]int64), sent: make(map[int64]*sentReport), collections: make(map[int64]*collection),
		// Answers to a process of this node that ended must not be taken for answers to this one.
		lastID: uint64(clk.timers.Now().UnixNano()),
	}
}

// see records that this process sees an era of the store now.
func (clr *collector) see(era int64) {
	if _, fnd := clr.firstSeen[era]; !fnd {
		clr.firstSeen[era] = clr.clock.current()
	}
	clr.lastEra = max(clr.lastEra, era)
}

// holds reports whether this node holds the duties for a time, by the fence of a session.
func (clr *collector) holds(ses *session, limit time.Duration) (fen router.Fence, ok bool) {
	fen, ok = clr.service.options.Lease.Fence(limit)
	return fen, ok && fen.Number == ses.number
}

// step does what is due, and makes at most one call to the store or the platform after the rows are read.
func (clr *collector) step(ctx context.Context) {
	opt := clr.service.options
	if opt.Era != nil {
		if era := opt.Era(); era != 0 {
			clr.see(era)
		}
	}
	fen, ok := opt.Lease.Fence(callTimeout)
	if !ok {
		clr.endSession()
		return
	}
	if clr.session == nil || clr.session.number != fen.Number {
		clr.endSession()
		clr.session = &session{number: fen.Number, windows: make(map[int64]*windowState)}
	}
	ses, now := clr.session, opt.Timers.Now()
	if ses.listed.IsZero() || now.Sub(ses.listed) >= relistInterval {
		if now.Before(ses.tryAt) {
			return
		}
		if !clr.load(ctx, ses) {
			ses.listed = time.Time{}
			ses.failed(opt.Timers.Now())
			return
		}
		ses.retry = retry{}
	}
	clr.forget()
	if win, sta := clr.nextDue(ses); sta != nil {
		clr.advance(ctx, ses, win, sta)
	}
}

// endSession drops what holds only for the current fence.
func (clr *collector) endSession() {
	clr.session = nil
	clr.mut.Lock()
	defer clr.mut.Unlock()
	clear(clr.collections)
}

// sendUntil returns the time until which the report on a window may be sent.
func (clr *collector) sendUntil(window int64) time.Time {
	return clr.clock.end(window).Add(2 * clr.service.options.ReportWithin)
}

// forget drops reports that may no longer be sent.
func (clr *collector) forget() {
	now := clr.clock.timers.Now()
	for win, sta := range clr.session.windows {
		if now.Before(clr.sendUntil(win)) {
			continue
		}
		clr.omit(win, sta, "time over")
		delete(clr.session.windows, win)
		clr.mut.Lock()
		delete(clr.collections, win)
		clr.mut.Unlock()
	}
	for win := range clr.sent {
		if now.After(clr.keepUntil(win)) {
			delete(clr.sent, win)
		}
	}
}

// nextDue asks for the counts of the windows that have ended and returns the window whose report has to be stored or sent first.
func (clr *collector) nextDue(ses *session) (window int64, sta *windowState) {
	now, cur := clr.clock.timers.Now(), clr.clock.current()
	for win := cur - int64(2*clr.service.options.ReportWithin/clr.clock.window) - 1; win < cur; win++ {
		if now.Sub(clr.clock.end(win)) < collectAfter || !now.Before(clr.sendUntil(win)) {
			continue
		}
		one := clr.state(ses, win)
		if !one.composed && !one.done {
			clr.ask(win, now)
			clr.compose(win, one, now)
		}
		if one.composed && !one.done && !now.Before(one.tryAt) && (sta == nil || one.tryAt.Before(sta.tryAt)) {
			window, sta = win, one
		}
	}
	return window, sta
}

// state returns the state of a window, which is added if there is none. A window that may not be composed is omitted.
func (clr *collector) state(ses *session, window int64) (sta *windowState) {
	sta = ses.windows[window]
	if sta == nil {
		sta = &windowState{}
		ses.windows[window] = sta
		if snt := clr.sent[window]; snt != nil {
			// The row was lost in a restore; the report that was sent may be repeated.
			sta.report, sta.composed, sta.final, sta.done = snt.report, true, true, snt.accepted
		}
	}
	switch {
	case sta.done:
	case window < ses.first && clr.sent[window] == nil:
		// A row does not prove that its report is the one that was sent: a write that was held back may have been applied to the
		// restored store, because the lease row had the same version in the copy.
		clr.omit(window, sta, "ended before the era of the store was seen")
	case sta.final:
	case !sta.composed && !clr.clock.isKept(window):
		clr.omit(window, sta, "counts no longer kept")
	}
	return sta
}

// compose composes the report on a window once its counts are collected.
func (clr *collector) compose(window int64, sta *windowState, now time.Time) {
	rcs, sum, ok := clr.collected(window, now)
	if !ok {
		return
	}
	if len(rcs) == 0 {
		clr.omit(window, sta, "no process of that time is known")
		return
	}
	sta.report = router.UsageReport{Window: window, Counts: rcs.totals()}
	sta.composed, sta.own, sta.summary = true, true, sum
}

// advance stores the report on a window if it is not final, and sends it.
func (clr *collector) advance(ctx context.Context, ses *session, window int64, sta *windowState) {
	if !sta.final {
		err := clr.store(ctx, ses, sta.report)
		if err != nil {
			clr.service.options.Log.Info("usage report not stored", "Window", window, "Error", err.Error())
			sta.failed(clr.clock.timers.Now())
			if errors.Is(err, router.ErrCondition) {
				ses.listed = time.Time{}
			}
			return
		}
		sta.final = true
	}
	clr.send(ctx, ses, window, sta)
}
