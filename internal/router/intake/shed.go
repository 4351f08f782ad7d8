package intake

import "time"

// check aborts requests while others wait for memory.
func (bud *Budget) check(now time.Time) {
	var aborts []func()
	var reasons []string
	bud.mut.Lock()
	if len(bud.queue) > 0 {
		bud.skipPause(now)
		for hol := range bud.holds {
			if hol.watched && hol.err == nil && hol.answer == nil && now.Sub(hol.last) >= stallTime {
				aborts, reasons = append(aborts, bud.end(hol, ErrStalled)), append(reasons, ReasonStalled)
			}
		}
		if len(aborts) == 0 && now.Sub(bud.granted) >= shedAfter {
			if hol := bud.leastProgress(); hol != nil {
				aborts, reasons = append(aborts, bud.end(hol, ErrShed)), append(reasons, ReasonShed)
			}
		}
	}
	bud.mut.Unlock()
	for idx, abort := range aborts {
		abort()
		bud.options.OnRefuse(reasons[idx])
	}
}

// skipPause leaves the time out by which a check is late: the process did not run, so no caller could make progress. What has
// arrived meanwhile is read after the check.
func (bud *Budget) skipPause(now time.Time) {
	pause := now.Sub(bud.checked) - checkInterval
	bud.checked = now
	if pause <= 0 {
		return
	}
	for hol := range bud.holds {
		hol.last = hol.last.Add(min(pause, max(0, now.Sub(hol.last))))
	}
	bud.granted = bud.granted.Add(min(pause, max(0, now.Sub(bud.granted))))
}

// leastProgress returns the incomplete request whose last byte is the oldest, among equals the largest; nil if there is none.
func (bud *Budget) leastProgress() (res *Hold) {
	for hol := range bud.holds {
		if hol.kind != Request || !hol.watched || hol.err != nil {
			continue
		}
		if res == nil || hol.last.Before(res.last) || hol.last.Equal(res.last) && hol.bytes > res.bytes {
			res = hol
		}
	}
	return res
}

// end notes why a hold is aborted and wakes it if it waits. It returns what interrupts its caller. Its bytes are released by
// its owner.
func (bud *Budget) end(hol *Hold, err error) (abort func()) {
	hol.err = err
	if hol.answer != nil {
		hol.answer <- err
		bud.leave(hol)
	}
	return hol.abort
}
