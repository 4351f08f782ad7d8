package intake

import "time"

// check aborts requests while others wait for memory.
func (bud *Budget) check(now time.Time) {
	var aborts []func()
	var reasons []string
	bud.mut.Lock()
	if len(bud.queue) > 0 {
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
