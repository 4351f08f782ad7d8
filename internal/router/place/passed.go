package place

// Passed is the reason why an engine that holds more of a prompt's shared prefix than the chosen one was passed over.
type Passed string

// The values of Passed; it is empty if no such engine was passed over.
const (
	// PassedMemory and PassedSlots mean that the call would have waited for cache memory, and for a slot, longer than for
	// the prompts queued at the engine.
	PassedMemory Passed = "Memory"
	PassedSlots  Passed = "Slots"
	// PassedQueue means that the calls at the engine, queued or running, cost more than the prefix saves.
	PassedQueue Passed = "Queue"
	// PassedSlow means that the engine is slow, or was at the time.
	PassedSlow Passed = "Slow"
)

// better reports whether an option is preferred as the engine that holds the prefix: the longest part, then the lowest cost.
func (opt option) better(than option) bool {
	return opt.cached > than.cached || opt.cached == than.cached && opt.cost < than.cost
}

// passed returns why the engine of the option was passed over though it has the prefix.
func (opt option) passed(snp snapshot) Passed {
	ahead := float64(snp.Pending.ahead(opt.rank)) / snp.prefillRate
	switch {
	case opt.room.wait().Seconds()*1000 > ahead && opt.room.memory >= opt.room.slots:
		return PassedMemory
	case opt.room.wait().Seconds()*1000 > ahead:
		return PassedSlots
	case opt.slow || snp.slowdown > maxSpeedSlowdown:
		return PassedSlow
	default:
		return PassedQueue
	}
}

// heldBySlow reports whether an engine that is too slow for the call has more of its prefix than a number of tokens.
func (par *partition) heldBySlow(req Request, holders []map[uint64]cacheEntry, tokens int) bool {
	if len(par.usual) == len(par.classes[len(par.classes)-1]) {
		return false
	}
	for num, pfx := range req.Prefixes {
		for id := range holders[num] {
			if eng := par.byID[id]; pfx.Tokens > tokens && eng != nil && par.tooSlow(eng, req.class) {
				return true
			}
		}
	}
	return false
}
