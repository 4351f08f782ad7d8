package scale

import (
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// peakWindow is the time over which the peak of the demand counts.
	peakWindow = time.Minute
	// meanWindow is the time over which calls in flight are averaged.
	meanWindow = 10 * time.Second
	// burstWindow is the time over which the highest burst counts.
	burstWindow = 10 * time.Minute
	// maxSampleGap is the longest pause between two observations after which those before it still count.
	maxSampleGap = 4 * time.Second
	// minBurst and maxBurst bound the burst that is planned for.
	minBurst, maxBurst = 1.5, 3
	// minBurstCalls is the mean number of calls in flight from which a burst is measured; below, the ratio is chance.
	minBurstCalls = 8
	// refusedPause is how long an order without capacity is not repeated.
	refusedPause = 5 * time.Second
	// minRetry and maxRetry bound the backoff of an order without an answer.
	minRetry, maxRetry = time.Second, 4 * time.Second
	// bootFactor is the multiple of the boot time after which an ordered upstream is given up.
	bootFactor = 2
	// keepFactor is the multiple of the boot time after which a lost upstream is forgotten.
	keepFactor = 10
)

// sample is one observation of the demand.
type sample struct {
	at    time.Time
	calls int
	// mean is the demand of the last 10 s.
	mean load
	// burst is the present number of calls in flight relative to the mean; zero if it is not known.
	burst    float64
	complete bool
	// low is set if clearly fewer upstreams were needed than counted.
	low bool
	// counted is the number of upstreams by region.
	counted map[string]int
}

// ordered is an order that the platform accepted or may have accepted.
type ordered struct {
	count int
	at    time.Time
	// raised is set if the order was for more upstreams.
	raised bool
	// confirmed is set if the platform accepted it; otherwise it is sent again at retryAt.
	confirmed bool
	retryAt   time.Time
	pause     time.Duration
}

// sighting is the last observation of an upstream.
type sighting struct {
	group    Group
	draining bool
	// awaySince is when the upstream was first seen missing or draining; zero while it serves.
	awaySince time.Time
	// servingSince is when it was first seen serving.
	servingSince time.Time
}

// tally counts the upstreams of a group.
type tally struct {
	serving, away, lost int
	// newest is when the latest of those that serve was first seen serving.
	newest time.Time
}

// Memory is what was observed of a service and ordered for it. It is not safe for concurrent use.
type Memory struct {
	samples []sample
	seen    map[string]sighting
	tallies map[Group]tally
	// domains are the failure domains in which there were upstreams, and slots is the number of slots of one; zero if unknown.
	domains map[string]bool
	slots   int
	orders  map[Group]ordered
	// refused is until when no order for a group is sent.
	refused map[Group]time.Time
	// faultAt is when the last fault of an upstream or queue was seen.
	faultAt time.Time
	// cutAt is when upstreams were last cut.
	cutAt time.Time
	// targets is the intended number of upstreams by region; nil before the first plan of a holder.
	targets  map[string]int
	exchange *exchange
}

// exchange is the replacement of a regular upstream by a spot one in the same failure domain.
type exchange struct {
	domain string
	// count is the number of spot upstreams with the new one.
	count int
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	mem := &Memory{seen: make(map[string]sighting), tallies: make(map[Group]tally), domains: make(map[string]bool)}
	mem.ForgetOrders()
	return mem
}

// ForgetOrders drops what was ordered, after a change of the holder.
func (mem *Memory) ForgetOrders() {
	mem.orders = make(map[Group]ordered)
	mem.refused = make(map[Group]time.Time)
	mem.cutAt = time.Time{}
	mem.targets, mem.exchange = nil, nil
}

// Observe adds a view; call it once a second.
func (mem *Memory) Observe(vew View) {
	boot := vew.Service.Scaling.Boot
	old := mem.tallies
	mem.slots = vew.slots()
	drained := mem.observeInstances(vew)
	mem.tallies = mem.count(vew.Now, boot)
	for grp, tly := range mem.tallies {
		ord, known := mem.orders[grp]
		if known && ord.raised && tly.serving > ord.count {
			// More came than were ordered, for example those that another holder ordered. A repetition, or
			// an order that builds on this count, would cut them.
			delete(mem.orders, grp)
			known = false
		}
		reclaimed := drained[grp] > 0 && (!known || tly.serving < ord.count)
		if reclaimed {
			// None are available there for some seconds, and those that were still booting are reclaimed as well.
			delete(mem.orders, grp)
			mem.refused[grp] = vew.Now.Add(refusedPause)
		}
		if known && !vew.Now.Before(ord.at.Add(bootFactor*boot)) && ord.count > tly.serving+tly.away+tly.lost {
			delete(mem.orders, grp)
			mem.refused[grp] = vew.Now.Add(refusedPause)
		}
		if reclaimed || tly.away > old[grp].away {
			mem.faultAt = vew.Now
		}
	}
	if vew.Demand.Ejected > 0 || vew.overloaded(mem.serving()) {
		mem.faultAt = vew.Now
	}
	mem.observeDemand(vew)
}

// observeInstances updates the sightings and returns how many spot upstreams began to drain, by group.
func (mem *Memory) observeInstances(vew View) (drained map[Group]int) {
	drained = make(map[Group]int)
	present := make(map[string]bool, len(vew.Instances))
	for _, ins := range vew.Instances {
		present[ins.ID], mem.domains[ins.FailureDomain] = true, true
		old := mem.seen[ins.ID]
		sig := sighting{group: Group{FailureDomain: ins.FailureDomain, Spot: ins.Spot}, draining: ins.Draining, servingSince: old.servingSince}
		if sig.servingSince.IsZero() || !old.awaySince.IsZero() {
			sig.servingSince = vew.Now
		}
		if ins.Draining {
			sig.awaySince = old.awaySince
			if sig.awaySince.IsZero() {
				sig.awaySince = vew.Now
			}
			if ins.Spot && !old.draining {
				drained[sig.group]++
			}
		}
		mem.seen[ins.ID] = sig
	}
	for key, sig := range mem.seen {
		if present[key] {
			continue
		}
		if sig.awaySince.IsZero() {
			sig.awaySince = vew.Now
			mem.seen[key] = sig
		}
		if sig.group.Spot && sig.draining || vew.Now.Sub(sig.awaySince) > keepFactor*vew.Service.Scaling.Boot {
			delete(mem.seen, key)
		}
	}
	return drained
}

// count returns the upstreams by group. A draining spot upstream does not count: it was reclaimed.
func (mem *Memory) count(now time.Time, boot time.Duration) (tls map[Group]tally) {
	tls = make(map[Group]tally)
	for _, sig := range mem.seen {
		tly := tls[sig.group]
		switch {
		case sig.awaySince.IsZero():
			tly.serving++
			if sig.servingSince.After(tly.newest) {
				tly.newest = sig.servingSince
			}
		case sig.draining && sig.group.Spot:
		case now.Sub(sig.awaySince) < boot:
			tly.away++
		default:
			tly.lost++
		}
		tls[sig.group] = tly
	}
	for grp, tly := range tls {
		if ord, fnd := mem.orders[grp]; fnd {
			// What exceeds the ordered count was cut, and does not return.
			tly.away = min(tly.away, max(0, ord.count-tly.serving))
			tly.lost = min(tly.lost, max(0, ord.count-tly.serving-tly.away))
			tls[grp] = tly
		}
	}
	return tls
}

func (mem *Memory) serving() (num int) {
	for _, tly := range mem.tallies {
		num += tly.serving
	}
	return num
}

// counted returns the upstreams of a group that serve, boot or are away.
func (mem *Memory) counted(grp Group, now time.Time, boot time.Duration) (num int) {
	tly := mem.tallies[grp]
	num = tly.serving + tly.away
	switch ord, fnd := mem.orders[grp]; {
	case !fnd:
		return num
	case num > ord.count:
		return ord.count
	case now.Before(ord.at.Add(bootFactor * boot)):
		// The platform's count includes upstreams that crashed and did not return.
		return ord.count - tly.lost
	default:
		return num
	}
}

// base returns the count of a group that the platform is assumed to have.
func (mem *Memory) base(grp Group) int {
	if ord, fnd := mem.orders[grp]; fnd {
		return ord.count
	}
	tly := mem.tallies[grp]
	return tly.serving + tly.away + tly.lost
}

// groups returns the groups with upstreams or orders.
func (mem *Memory) groups() (grs map[Group]bool) {
	grs = make(map[Group]bool)
	for grp := range mem.tallies {
		grs[grp] = true
	}
	for grp := range mem.orders {
		grs[grp] = true
	}
	return grs
}

// observeDemand adds a sample, and drops old ones and those before a pause.
func (mem *Memory) observeDemand(vew View) {
	if num := len(mem.samples); num > 0 && vew.Now.Sub(mem.samples[num-1].at) > maxSampleGap {
		mem.samples = nil
	}
	smp := sample{at: vew.Now, calls: vew.calls(), complete: vew.Complete, counted: make(map[string]int)}
	sum, num := smp.calls, 1
	for _, one := range mem.last(vew.Now, meanWindow) {
		sum += one.calls
		num++
	}
	mean := float64(sum) / float64(num)
	smp.mean = vew.load(mean)
	if mem.known(vew.Now) >= meanWindow && mean >= minBurstCalls {
		smp.burst = float64(smp.calls) / mean
	}
	for grp := range mem.groups() {
		smp.counted[vew.Regions[grp.FailureDomain]] += mem.counted(grp, vew.Now, vew.Service.Scaling.Boot)
	}
	mem.samples = append(mem.samples, smp)
	mem.samples = slices.DeleteFunc(mem.samples, func(one sample) bool { return vew.Now.Sub(one.at) > burstWindow })
	all := 0
	for _, one := range smp.counted {
		all += one
	}
	mem.samples[len(mem.samples)-1].low = float64(mem.needed(vew)) < lowShare*float64(all)
}

// last returns the samples of the last period.
func (mem *Memory) last(now time.Time, period time.Duration) []sample {
	for num, one := range mem.samples {
		if now.Sub(one.at) < period {
			return mem.samples[num:]
		}
	}
	return nil
}

// known returns for how long the demand has been observed without a pause.
func (mem *Memory) known(now time.Time) time.Duration {
	if len(mem.samples) == 0 {
		return 0
	}
	return now.Sub(mem.samples[0].at)
}

// needed returns the number of upstreams for the peak with the highest burst, and for the present calls.
func (mem *Memory) needed(vew View) (num int) {
	if vew.slots() == 0 {
		return 0
	}
	burst := minBurst
	for _, one := range mem.samples {
		burst = max(burst, min(one.burst, maxBurst))
	}
	for _, one := range mem.last(vew.Now, peakWindow) {
		lod := load{running: burst * one.mean.running, prefill: burst * one.mean.prefill, cache: burst * one.mean.cache}
		num = max(num, vew.upstreams(lod, plannedUtilization))
	}
	return max(num, vew.upstreams(vew.present(), presentUtilization))
}

// initialTargets returns the highest number of upstreams by region in the last 10 s, so that a reclaim while there was no holder is
// replaced as well.
func (mem *Memory) initialTargets(now time.Time) (tgs map[string]int) {
	tgs = make(map[string]int)
	for _, one := range mem.last(now, meanWindow) {
		for reg, num := range one.counted {
			tgs[reg] = max(tgs[reg], num)
		}
	}
	return tgs
}

// Adopt keeps what a plan intends beyond its orders.
func (mem *Memory) Adopt(pla Plan, now time.Time) {
	if pla.targets == nil {
		return
	}
	mem.targets, mem.exchange = maps.Clone(pla.targets), pla.exchange
	if pla.cut {
		mem.cutAt = now
	}
}

// Record keeps the result of sending an order.
func (mem *Memory) Record(ord Order, now time.Time, res error) {
	grp := ord.Group()
	switch old := mem.orders[grp]; {
	case res == nil:
		mem.orders[grp] = ordered{count: ord.Count, at: now, raised: ord.Count > ord.Before, confirmed: true}
	case errors.Is(res, router.ErrNoCapacity):
		mem.refused[grp] = now.Add(refusedPause)
		mem.exchange = nil
		if !old.confirmed {
			// The first transmission of the same order was not accepted either.
			delete(mem.orders, grp)
		}
	default:
		cur := ordered{count: ord.Count, at: now, raised: ord.Count > ord.Before, pause: minRetry}
		if !old.at.IsZero() && !old.confirmed && old.count == ord.Count {
			cur.at, cur.raised, cur.pause = old.at, old.raised, min(maxRetry, 2*old.pause)
		}
		cur.retryAt = now.Add(cur.pause)
		mem.orders[grp] = cur
	}
}
