package duty

import (
	"time"
)

const (
	// expirySlack is how much longer than the lease a candidate waits, and validityMargin is how much earlier than the lease its
	// validity ends. Between them lie calls that arrive late and clocks of different rates.
	expirySlack    = 300 * time.Millisecond
	validityMargin = 500 * time.Millisecond
	// candidates is the number of nodes that read the lease row, and readInterval the interval of the first one; the second one
	// reads every second interval and so on.
	candidates   = 4
	readInterval = time.Second
	// renewalsPerLease is the number of renewals within a lease, so that one or two may be lost.
	renewalsPerLease = 4
	// eraShift places the era of the store above the version of the replaced row in a fencing token.
	eraShift = 32
)

// row is the lease row.
type row struct {
	Holder string
	// Process is the start of the holder's process in Unix nanoseconds.
	Process int64
	Token   int64
	// Renewal numbers the writes of a process.
	Renewal int64
	// Era is the newest era of the store that the writer knew.
	Era      int64
	Released bool
}

// safeguards are the waits and checks that keep the duties safe; the model removes one at a time.
type safeguards struct {
	// expiry is how long a candidate must have seen the same version.
	expiry time.Duration
	// delay is how long a holder that did not see the lease expire makes no call.
	delay time.Duration
	// margin ends the validity of a lease before the lease.
	margin time.Duration
	// eraInToken keeps tokens increasing when the row was lost in a restore.
	eraInToken bool
	// versionInToken keeps tokens increasing when a late write of an earlier era replaced the row.
	versionInToken bool
	// check is set if the validity is checked before each call.
	check bool
}

// defaultSafeguards returns those of a lease of some length.
func defaultSafeguards(lease time.Duration) safeguards {
	return safeguards{expiry: lease + expirySlack, delay: lease, margin: validityMargin, eraInToken: true, versionInToken: true, check: true}
}

// view is the lease row as it was read; a version of zero means that it does not exist.
type view struct {
	era, version int64
	row          row
	// broken is set if the row could not be decoded.
	broken bool
}

// attempt is a write of the lease row, on the condition of a version.
type attempt struct {
	row       row
	ifVersion int64
	// acquire is set unless the writer held the row already; delayed is set if it makes no call for some time after that.
	acquire, delayed bool
	sentAt           time.Duration
}

// action is the next call to the store.
type action int

const (
	actIdle action = iota
	actRead
	actWrite
)

// state decides about the lease for one process. Its methods get the time of the machine's boot-time clock.
type state struct {
	holder  string
	process int64
	lease   time.Duration
	guards  safeguards

	// seen is the row that was read or written last, since seenAt; known is false before the first read.
	known  bool
	seen   view
	seenAt time.Duration
	// resync is set if the row must be read before the next write; paced is set if the read must wait, because the store did
	// not answer.
	resync, paced bool
	// held is set while the row seen is of this process and not released.
	held       bool
	actsFrom   time.Duration
	validUntil time.Duration
	// renewal is the number of the last write. sent holds the writes since the last one whose outcome is known, by number.
	renewal int64
	sent    map[int64]attempt
	// lastCall and lastRead are when the last call to the store and the last read began.
	called             bool
	lastCall, lastRead time.Duration
}

func newState(holder string, process int64, lease time.Duration, grs safeguards) *state {
	return &state{holder: holder, process: process, lease: lease, guards: grs, sent: make(map[int64]attempt)}
}

// next returns the next call to the store for a node of some rank, or actIdle and the time until the next decision.
func (sta *state) next(now time.Duration, rank int) (act action, wait time.Duration) {
	if sta.held || sta.resync {
		return sta.nextOwn(now, rank)
	}
	if rank >= candidates {
		return actIdle, readInterval
	}
	if _, _, fnd := sta.mayAcquire(now); fnd {
		return actWrite, 0
	}
	readEvery := time.Duration(rank+1) * readInterval
	if !sta.known {
		readEvery = sta.lease / renewalsPerLease
	}
	wait = readEvery - (now - sta.lastRead)
	if !sta.called || wait <= 0 {
		return actRead, 0
	}
	if sta.known && !sta.seen.broken {
		wait = min(wait, sta.seenAt+sta.guards.expiry-now)
	}
	return actIdle, wait
}

// nextOwn is next for a node that holds the lease, or does not know whether a write of its own was applied.
func (sta *state) nextOwn(now time.Duration, rank int) (act action, wait time.Duration) {
	renewEvery := sta.lease / renewalsPerLease
	switch {
	case !sta.held && rank >= candidates:
		return actIdle, readInterval
	case sta.resync && !sta.paced:
		return actRead, 0
	case now-sta.lastCall < renewEvery:
		return actIdle, renewEvery - (now - sta.lastCall)
	case sta.resync:
		return actRead, 0
	default:
		return actWrite, 0
	}
}

// beginRead records that a read begins.
func (sta *state) beginRead(now time.Duration) {
	sta.called, sta.lastCall, sta.lastRead = true, now, now
}

// mayAcquire reports whether the row may be replaced, with the reason, and whether calls must wait after that.
func (sta *state) mayAcquire(now time.Duration) (reason string, delayed, allowed bool) {
	switch {
	case !sta.known || sta.seen.broken:
		return "", false, false
	case sta.seen.version == 0:
		return "Missing", true, true
	case sta.seen.row.Released:
		return "Released", true, true
	case now-sta.seenAt < sta.guards.expiry:
		return "", false, false
	case sta.seen.row.Era != sta.seen.era:
		return "ExpiredInOtherEra", true, true
	default:
		return "Expired", false, true
	}
}

// beginWrite returns the write that renews the lease, or acquires it if it is not held and may be acquired.
func (sta *state) beginWrite(now time.Duration) (att attempt, ok bool) {
	att = attempt{ifVersion: sta.seen.version, sentAt: now}
	att.row = row{Holder: sta.holder, Process: sta.process, Token: sta.seen.row.Token, Era: sta.seen.era}
	if !sta.held {
		_, delayed, allowed := sta.mayAcquire(now)
		if !allowed {
			return attempt{}, false
		}
		att.acquire, att.delayed = true, delayed
		att.row.Token++
		if sta.guards.eraInToken {
			att.row.Token = max(att.row.Token, sta.seen.era<<eraShift+1)
		}
		if sta.guards.versionInToken && sta.seen.version < 1<<eraShift-1 {
			// A late write of a holder of an earlier era may replace the row and its token, if the versions happen to be the same. The
			// versions of the store keep increasing. One that does not fit is left out, so as not to enter the next era.
			att.row.Token = max(att.row.Token, sta.seen.era<<eraShift+sta.seen.version+1)
		}
	}
	sta.renewal++
	att.row.Renewal = sta.renewal
	sta.sent[sta.renewal] = att
	sta.called, sta.lastCall = true, now
	return att, true
}

// applied records that the store applied a write.
func (sta *state) applied(now time.Duration, att attempt, version int64) {
	sta.hold(now, att, view{era: att.row.Era, version: version, row: att.row})
}

// failed records that a write was not applied, or perhaps applied.
func (sta *state) failed(condition bool) {
	// A renewal without an answer is repeated on the same version, which fails on its condition if the first one was applied.
	if condition || !sta.held {
		sta.resync, sta.paced = true, !condition
	}
}

// readFailed records that the store did not answer a read.
func (sta *state) readFailed() {
	sta.paced = true
}

// observe records the row that a read returned, and reports whether the lease was lost, with the reason.
func (sta *state) observe(now time.Duration, vie view) (lost string) {
	sta.resync = false
	if att, fnd := sta.sent[vie.row.Renewal]; fnd && vie.isOf(att) {
		sta.hold(now, att, vie)
		return ""
	}
	if sta.known && vie.era == sta.seen.era && vie.version == sta.seen.version {
		return ""
	}
	switch {
	case !sta.held:
	case vie.era != sta.seen.era:
		lost = "EraChanged"
	case vie.version == 0:
		lost = "RowMissing"
	default:
		lost = "OtherHolder"
	}
	// A write on a version that is gone cannot be applied any more in this era, and one applied in another era states an
	// era that is not the one of the answer.
	clear(sta.sent)
	sta.held, sta.known, sta.seen, sta.seenAt = false, true, vie, now
	return lost
}

// isOf reports whether the row is the one that a write wrote in this era, and not released.
func (vie view) isOf(att attempt) bool {
	return vie.version != 0 && !vie.broken && vie.row == att.row && vie.row.Era == vie.era && !vie.row.Released
}

// hold makes this process the holder by a write that was applied, or keeps it so.
func (sta *state) hold(now time.Duration, att attempt, vie view) {
	if !sta.held {
		sta.actsFrom, sta.validUntil = now, 0
		if acq, fnd := sta.sent[vie.row.Renewal]; fnd && acq.delayed {
			sta.actsFrom = now + sta.guards.delay
		}
	}
	sta.held, sta.known, sta.resync = true, true, false
	if vie.era != sta.seen.era || vie.version != sta.seen.version {
		sta.seen, sta.seenAt = vie, now
	}
	sta.validUntil = max(sta.validUntil, att.sentAt+sta.lease-sta.guards.margin)
	for num := range sta.sent {
		// The last write stays, because a read may return it.
		if num < att.row.Renewal {
			delete(sta.sent, num)
		}
	}
}

// valid reports whether the lease is valid for longer than a limit.
func (sta *state) valid(now, limit time.Duration) bool {
	return sta.held && now+limit < sta.validUntil
}

// mayCall reports whether a call that ends within a limit may be sent.
func (sta *state) mayCall(now, limit time.Duration) bool {
	if !sta.held || now < sta.actsFrom {
		return false
	}
	return !sta.guards.check || sta.valid(now, limit)
}

// beginRelease returns the write that releases the lease, or false if it is not held.
func (sta *state) beginRelease(now time.Duration) (att attempt, ok bool) {
	if !sta.held {
		return attempt{}, false
	}
	att, ok = sta.beginWrite(now)
	att.row.Released = true
	sta.sent[att.row.Renewal] = att
	return att, ok
}
