package place

import (
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// rereadTokens is the number of shared tokens whose reading again costs as much as a late answer, at the users' prices.
	rereadTokens = 12000
	// copyLeast is the number of tokens from which copying KV cache between engines is worth a transfer.
	copyLeast = 1000
	// copyBytes is how much copied KV cache costs as much as a late answer, in bytes, at the users' prices.
	copyBytes = 14e9
	// rereadWindow is how long after its last use elsewhere reading a prefix again counts as waste.
	rereadWindow = 10 * time.Second
	// rankCost is what a step down a prefix's ranking of engines costs, in late answers; it lets nodes agree on where a prefix is read first.
	rankCost = 0.35
	// rankMost is the rank from which further steps down cost nothing more.
	rankMost = 8
	// runningCost is what a call in flight costs a new one, in late answers.
	runningCost = 0.01
	// domainCost and regionCost are what distance costs, in late answers.
	domainCost = 0.02
	regionCost = 0.06
	// failureCost is what a certain failure costs, in late answers.
	failureCost = 3
	// waitSlope is what a wait as long as the target costs while the answer is still in time, in late answers.
	waitSlope = 0.4
	// lateSteepness and lateCentre shape the chance of being late by the estimated time to the first event, relative to the target.
	lateSteepness = 8
	lateCentre    = 0.8
	// lateFrom is the estimated time to the first event, relative to the target, from which a call is read after those of its tier that can still be in time.
	lateFrom = 0.9
	// defaultTarget is the target where the route has none.
	defaultTarget = time.Second
	// pauseCost is what an engine that reads all the time costs a call that is certain to miss its pause then, in late answers.
	pauseCost = 1.6
	// harmCost is the share of the running calls that reading a prompt for harmReading or longer makes late.
	harmCost    = 0.2
	harmReading = 100 * time.Millisecond
	// slowCost is what an engine that takes twice its usual time costs a call that misses its pause while prompts are read there, in late answers.
	slowCost = 0.3
	// slowHarm is by how much such an engine multiplies what reading does to the running calls, less 1: pauses that reading stretches miss most targets then.
	slowHarm = 2
	// slowLeft is the expected rest of a slow spell; reading that takes longer goes on at the usual speed.
	slowLeft = 300 * time.Millisecond
	// briefForeign is what an engine for short prompts costs a long one, and the reverse, in late answers; longForeign is the same between the kinds of long ones.
	briefForeign = 0.3
	longForeign  = 0.3
	// domainCalls and regionCalls are the calls in flight that distance stands for at a plain service.
	domainCalls = 1
	regionCalls = 8
	// failureCalls is the number of calls in flight that a certain failure stands for.
	failureCalls = 10
)

// offer returns what a call costs at an engine.
func (brd *Board) offer(wnt Want, prm prompt, can candidate, vew view) (off offer) {
	kept := wnt.kept(prm.held, can.load.id)
	off = offer{engine: can.engine, read: max(0, wnt.Prompt-kept)}
	off.cost = float64(max(0, prm.warm-kept)) / rereadTokens
	if prm.copied-kept >= copyLeast {
		off.read, off.source = max(0, wnt.Prompt-prm.copied), prm.source.Address
		off.cost = float64(prm.copied-kept) * wnt.Engine.TokenBytes / copyBytes
	}
	cost, rnk := vew.late(wnt, off.read)
	off.rank = rnk
	off.cost += cost + rankCost*float64(min(can.step, rankMost))
	off.cost += runningCost*float64(vew.Running) + failureCost*vew.failures
	off.cost += brd.distance(can.Instance, domainCost, regionCost)
	off.cost += wnt.fragility()*(pauseCost*vew.reading+slowCost*(vew.slow-1)) + vew.harm(off.read)
	off.cost += foreign(wnt.kind(), can.kind)
	return off
}

// fragility returns the chance that a call misses its pause while its engine reads a prompt.
func (wnt Want) fragility() float64 {
	if wnt.Gap <= 0 {
		return 0
	}
	return min(1, float64(readingPause)/float64(wnt.Gap))
}

// harm returns what reading a prompt costs the calls that run at the engine, in late answers.
func (vew view) harm(read int) float64 {
	took := float64(read) / vew.rate
	return harmCost * (1 + slowHarm*(vew.slow-1)) * vew.Fragile * min(1, took/float64(harmReading.Milliseconds()))
}

// late returns the cost of the estimated time to the first event, in late answers, and the call's rank.
func (vew view) late(wnt Want, read int) (cost float64, rank int) {
	rank = wnt.Ranks.InTime
	rel := vew.wait(wnt, read, rank)
	if rel > lateFrom {
		rank = wnt.Ranks.Late
		rel = vew.wait(wnt, read, rank)
	}
	return waitSlope*rel + 1/(1+math.Exp(-lateSteepness*(rel-lateCentre))), rank
}

// wait returns the estimated time to the first event, relative to the target.
func (vew view) wait(wnt Want, read, rank int) float64 {
	target := wnt.Target
	if target <= 0 {
		target = defaultTarget
	}
	wait := float64(vew.Unread.ahead(rank)+read) / vew.rate
	wait += min(wait*(vew.slow-1), float64(slowLeft.Milliseconds())*(1-1/vew.slow))
	return wait / float64(target.Milliseconds())
}

func (brd *Board) distance(ins router.Instance, domain, region float64) float64 {
	switch {
	case ins.FailureDomain == brd.options.FailureDomain:
		return 0
	case brd.far(ins):
		return region
	default:
		return domain
	}
}

// far reports whether an instance is in another region.
func (brd *Board) far(ins router.Instance) bool {
	return brd.options.Regions[ins.FailureDomain] != brd.options.Regions[brd.options.FailureDomain]
}

// foreign returns what an engine that another kind keeps to itself costs a call, in late answers.
func foreign(own, oth kind) float64 {
	switch {
	case own == oth:
		return 0
	case own == brief || oth == brief:
		return briefForeign
	default:
		return longForeign
	}
}
