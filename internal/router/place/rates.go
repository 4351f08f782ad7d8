package place

import (
	"math/bits"
	"time"
)

const (
	// rateAge is how long an observed prefill rate counts as recent. Nodes report recent ones to their peers.
	rateAge = 3 * time.Second
	// fleetWeight is the lowest weight of the newest observation in the rate of the fleet. Single observations vary by
	// 30%, because urgent calls overtake; at 0.05 the average varies by about 5%.
	fleetWeight = 0.05
	// minSpeedTokens is the minimum number of tokens prefilled until the first event from which the rate of the fleet is
	// observed. It is below minRateTokens, or engines that serve short prompts only would have no rate.
	minSpeedTokens = 500
	// maxSpeedSlowdown is the slowdown above which the fleet's rate is not observed; slow periods pass within a second.
	maxSpeedSlowdown = 1.5
	// workBuckets is the number of ranges of work in which rates are compared, by powers of two from workUnit tokens.
	workBuckets = 6
	workUnit    = 750
	// referenceBucket is the range of 6,000 to 12,000 tokens, to which rates from other ranges are converted.
	referenceBucket = 4
	// minBucketCount is the number of observations from which the mean of a range is used.
	minBucketCount = 8
)

// average is a mean that becomes a moving average once its newest value has a lower weight than a given one.
type average struct {
	value float64
	count int
}

func (avg *average) add(val, minWeight float64) {
	avg.count++
	avg.value += max(minWeight, 1/float64(avg.count)) * (val - avg.value)
}

// engineRate is the prefill rate of one engine as the nodes of the fleet learned it, in tokens per millisecond of long
// prompts.
type engineRate struct {
	// own is the mean of this node's observations; it starts anew after rateAge without any.
	own   average
	ownAt time.Time
	// fleet averages this node's observations and the reports of peers.
	fleet average
	// reports counts the reports of peers.
	reports int
}

// observe adds an observation of this node.
func (rat *engineRate) observe(rate float64, now time.Time) {
	if now.Sub(rat.ownAt) > rateAge {
		rat.own = average{}
	}
	rat.own.add(rate, rateWeight)
	rat.ownAt = now
	rat.fleet.add(rate, fleetWeight)
}

// recent returns the mean of this node's recent observations, or zero if there is none.
func (rat *engineRate) recent(now time.Time) (rate float64) {
	if rat.own.count == 0 || now.Sub(rat.ownAt) > rateAge {
		return 0
	}
	return rat.own.value
}

// addReport adds a changed report of a peer.
func (rat *engineRate) addReport(rate float64) {
	rat.reports++
	rat.fleet.add(min(max(rate, minRate), maxRate), fleetWeight)
}

// longRate converts a rate observed with an amount of work into that of a long prompt. Steps, and the way to the engine,
// make the rate seem lower for little work, and engines that serve short prompts would seem slow. The means of the ranges
// are those at an engine of the usual speed: known is the rate of this one, zero if unknown.
func (spd *speed) longRate(rate float64, work int, known float64) float64 {
	spd.mut.Lock()
	defer spd.mut.Unlock()
	bkt := &spd.byWork[min(bits.Len(uint(work/workUnit)), workBuckets-1)]
	if known > 0 && spd.median > 0 {
		bkt.add(rate*spd.median/known, serviceWeight)
	} else {
		bkt.add(rate, serviceWeight)
	}
	ref := spd.byWork[referenceBucket]
	if bkt.count < minBucketCount || ref.count < minBucketCount {
		return rate
	}
	return min(max(rate*ref.value/bkt.value, minRate), maxRate)
}

// setMedian sets the median of the fleet's rates of the engines.
func (spd *speed) setMedian(rate float64) {
	spd.mut.Lock()
	defer spd.mut.Unlock()
	spd.median = rate
}

// rateAt returns the prefill rate of the engine: what this node observed, else what the fleet learned, else a default. Own observations
// include the work of other nodes that this one does not know of. The caller holds the lock.
func (lod *load) rateAt() (rate float64) {
	switch {
	case lod.rate.reports > 0 && lod.prefillRate == 0:
		return lod.rate.fleet.value
	case lod.prefillRate == 0:
		return defaultRate
	default:
		return lod.prefillRate
	}
}

// observeRate adds the time of a reservation from sending to the first event to the rates. The caller holds the lock.
func (lod *load) observeRate(rsv *Reservation, now time.Time) {
	took := float64(now.Sub(rsv.sentAt).Microseconds()) / 1000
	if took <= 0 {
		return
	}
	rate := min(max(float64(rsv.firstEventWork)/took, minRate), maxRate)
	if rsv.comparable() && lod.gaps.slowdownAt(now) < maxSpeedSlowdown {
		known := 0.0
		if lod.rated() {
			known = lod.rate.fleet.value
		}
		lod.rate.observe(rsv.service.speed.longRate(rate, rsv.firstEventWork, known), now)
	}
	if rsv.firstEventWork < minRateTokens {
		return
	}
	lod.prefillRate = lod.rateAt()
	lod.prefillRate += rateWeight * (rate - lod.prefillRate)
	if rsv.service != nil {
		rsv.service.speed.observeRate(rate)
	}
}

// comparable reports whether the time to the first event depends on the engine alone: not on a long way to it, a copy, calls
// that overtake this one, or mostly on work of others, of which this node has outdated data.
func (rsv *Reservation) comparable() bool {
	return rsv.service != nil && rsv.AheadTokens <= rsv.PrefillTokens/2 && !rsv.remote && rsv.Source == "" && !rsv.Late && rsv.firstEventWork >= minSpeedTokens
}

// LocalRate returns the prefill rate of an incarnation in tokens per millisecond, as this node observed it in the last
// seconds; zero if it observed none. The id is the hash of the incarnation's key.
func (bal *Balancer) LocalRate(id uint64) (rate float64) {
	lod := bal.loadByID(id)
	if lod == nil {
		return 0
	}
	lod.mut.Lock()
	defer lod.mut.Unlock()
	return lod.rate.recent(bal.options.Timers.Now())
}

// SetPeerRates records the prefill rates that a peer observed lately, in tokens per millisecond, by the hash of the
// incarnation's key; nil removes the peer. A rate that the peer repeats is counted once.
func (bal *Balancer) SetPeerRates(name string, rates map[uint64]float64) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	old := bal.peerRates[name]
	for id, rate := range rates {
		lod := bal.byID[id]
		if lod == nil || rate <= 0 || old[id] == rate {
			continue
		}
		lod.mut.Lock()
		lod.rate.addReport(rate)
		lod.mut.Unlock()
	}
	bal.peerRates[name] = rates
	if len(rates) == 0 {
		delete(bal.peerRates, name)
	}
}
