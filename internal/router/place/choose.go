package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// shortPrompt is the length from which a prompt delays the tokens of others noticeably, in tokens.
	shortPrompt = 4000
	// shortShare is the share of the engines that short prompts keep to themselves.
	shortShare = 0.25
	// rereadTokens is the number of shared tokens whose reading again costs as much as a late answer.
	rereadTokens = 20000
	// rereadWindow is how long after its last use elsewhere reading a prefix again counts as waste.
	rereadWindow = 10 * time.Second
	// rankCost is what a step down a prefix's ranking of engines costs, in late answers; it lets nodes agree on where a prefix is read first.
	rankCost = 0.12
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
	// defaultTarget is the target where the route has none.
	defaultTarget = time.Second
	// readingPause is about the time between two events of a stream while its engine reads a prompt.
	readingPause = 140 * time.Millisecond
	// pauseCost is what an engine that reads all the time costs a call that is certain to miss its pause then, in late answers.
	pauseCost = 1.6
	// harmCost is the share of the running calls that reading a prompt for harmReading or longer makes late.
	harmCost    = 0.2
	harmReading = 100 * time.Millisecond
	// longForeign is what an engine for short prompts costs a long one, and shortForeign the reverse, in late answers.
	longForeign  = 0.3
	shortForeign = 0.3
	// domainCalls and regionCalls are the calls in flight that distance stands for at a plain service.
	domainCalls = 1
	regionCalls = 8
	// failureCalls is the number of calls in flight that a certain failure stands for.
	failureCalls = 10
)

// Choose returns an instance for a call and its place there; ok is false when there is none.
func (brd *Board) Choose(wnt Want, cans []router.Instance, avoid func(ins router.Instance) bool) (ins router.Instance, tic *Ticket, ok bool) {
	cans = brd.usable(cans, avoid)
	if len(cans) == 0 {
		return router.Instance{}, nil, false
	}
	if wnt.Prompt == 0 {
		ins = brd.plain(cans)
		return ins, brd.load(ins).enter(0, wnt, brd.options.Timers.Now), true
	}
	ins, read := brd.engine(wnt, cans)
	lod := brd.load(ins)
	brd.caches.place(wnt.Chain, lod.id, brd.options.Timers.Now())
	return ins, lod.enter(read, wnt, brd.options.Timers.Now), true
}

// usable leaves out instances that are paused or to be avoided, unless nothing else is left.
func (brd *Board) usable(cans []router.Instance, avoid func(ins router.Instance) bool) (res []router.Instance) {
	now := brd.options.Timers.Now()
	var paused []router.Instance
	for _, can := range cans {
		switch {
		case avoid(can):
		case brd.load(can).view(now).paused:
			paused = append(paused, can)
		default:
			res = append(res, can)
		}
	}
	if len(res) == 0 {
		return paused
	}
	return res
}

func (brd *Board) plain(cans []router.Instance) (best router.Instance) {
	now := brd.options.Timers.Now()
	least := math.Inf(1)
	for _, can := range cans {
		vew := brd.load(can).view(now)
		cost := float64(vew.Running) + failureCalls*vew.failures
		cost += brd.distance(can, domainCalls, regionCalls)
		if cost < least {
			best, least = can, cost
		}
	}
	return best
}

// engine returns the instance at which the call costs least, and how many tokens it has to read there.
func (brd *Board) engine(wnt Want, cans []router.Instance) (best router.Instance, read int) {
	now := brd.options.Timers.Now()
	held := brd.caches.holders(wnt.Chain, now)
	home, warm := uint64(0), 0
	for num, pfx := range wnt.Chain {
		home = pfx.Hash
		for _, use := range held[num] {
			if now.Sub(use) < rereadWindow {
				warm = pfx.Tokens
			}
		}
	}
	foreign := longForeign
	if wnt.Prompt < shortPrompt {
		foreign = shortForeign
	}
	least := math.Inf(1)
	for rank, can := range brd.order(wnt, home, cans) {
		lod := brd.load(can.Instance)
		kept := 0
		for num, pfx := range wnt.Chain {
			if _, fnd := held[num][lod.id]; fnd {
				kept = pfx.Tokens
			}
		}
		vew := lod.view(now)
		cost := vew.late(wnt, wnt.Prompt-kept)
		cost += float64(max(0, warm-kept))/rereadTokens + rankCost*float64(min(rank, rankMost))
		cost += runningCost*float64(vew.Running) + failureCost*vew.failures
		cost += brd.distance(can.Instance, domainCost, regionCost)
		cost += pauseCost*wnt.fragility()*vew.reading + vew.harm(wnt.Prompt-kept)
		if can.foreign {
			cost += foreign
		}
		if cost < least {
			best, read, least = can.Instance, wnt.Prompt-kept, cost
		}
	}
	return best, max(0, read)
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
	return harmCost * vew.Fragile * min(1, took/float64(harmReading.Milliseconds()))
}

// late returns the cost of the estimated time to the first event, in late answers.
func (vew view) late(wnt Want, read int) float64 {
	target := wnt.Target
	if target <= 0 {
		target = defaultTarget
	}
	wait := float64(vew.Unread.ahead(wnt.Tier)+read) / vew.rate
	rel := wait / float64(target.Milliseconds())
	return waitSlope*rel + 1/(1+math.Exp(-lateSteepness*(rel-lateCentre)))
}

func (brd *Board) distance(ins router.Instance, domain, region float64) float64 {
	switch {
	case ins.FailureDomain == brd.options.FailureDomain:
		return 0
	case brd.options.Regions[ins.FailureDomain] == brd.options.Regions[brd.options.FailureDomain]:
		return domain
	default:
		return region
	}
}

// group returns the engines for short or for long prompts; all nodes that know the same engines agree.
func group(cans []router.Instance, short bool) []router.Instance {
	if len(cans) < 2 {
		return cans
	}
	ord := slices.Clone(cans)
	slices.SortFunc(ord, func(one, two router.Instance) int {
		return cmp.Compare(xxhash.Sum64String(one.ID), xxhash.Sum64String(two.ID))
	})
	num := max(1, int(math.Round(shortShare*float64(len(ord)))))
	if short {
		return ord[:num]
	}
	return ord[num:]
}

// candidate is an engine in the order in which a call considers it.
type candidate struct {
	router.Instance
	// foreign is set for engines that calls of another length keep to themselves.
	foreign bool
}

// order returns the engines for a call of its length by their rank for its prefix, and then the others.
func (brd *Board) order(wnt Want, home uint64, cans []router.Instance) (res []candidate) {
	short := wnt.Prompt < shortPrompt
	for _, can := range ranked(home, group(cans, short)) {
		res = append(res, candidate{Instance: can})
	}
	if len(cans) < 2 {
		return res
	}
	for _, can := range ranked(home, group(cans, !short)) {
		res = append(res, candidate{Instance: can, foreign: true})
	}
	return res
}

// ranked orders engines for a chain of parts by rendezvous hashing.
func ranked(home uint64, cans []router.Instance) []router.Instance {
	res := slices.Clone(cans)
	slices.SortFunc(res, func(one, two router.Instance) int {
		return cmp.Compare(mix(home^xxhash.Sum64String(one.ID)), mix(home^xxhash.Sum64String(two.ID)))
	})
	return res
}
