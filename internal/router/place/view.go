package place

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// View returns the load of the instances that are neither ejected nor to be avoided. Instances that state no slots have defaultSlots.
func (bal *Balancer) View(list []router.Instance, defaultSlots int, avoid func(ins router.Instance) bool) (vie router.ServiceView) {
	now := bal.options.Timers.Now()
	for _, ins := range list {
		if avoid(ins) {
			continue
		}
		lod := bal.loadOf(ins)
		lod.mut.Lock()
		all, ejected := lod.local, now.Before(lod.ejectedUntil)
		all.add(lod.peers, 1)
		lod.mut.Unlock()
		if ejected {
			continue
		}
		slots := ins.Slots
		if slots == 0 {
			slots = defaultSlots
		}
		vie.Slots += slots
		vie.Running += max(0, all.Running)
		for num, val := range all.Pending {
			vie.PendingTokens[num] += max(0, val)
		}
	}
	return vie
}

// progress returns the expected time to the first event of a call for which a number of tokens is prefilled, and the expected time
// between its events after that; both are zero for plain calls. The caller holds the lock.
func (lod *load) progress(tokens int) (firstEvent, eventGap time.Duration) {
	if tokens <= 0 {
		return 0, 0
	}
	rate := lod.prefillRate
	if rate == 0 {
		rate = defaultRate
	}
	firstEvent = time.Duration(float64(tokens) / rate * float64(time.Millisecond))
	gaps := &lod.gaps
	return firstEvent, gaps.idleGap + time.Duration(lod.prefillShare*float64(max(0, gaps.prefillGap-gaps.idleGap)))
}
