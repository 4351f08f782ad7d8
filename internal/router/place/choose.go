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
	// briefShare and fragileShare are the shares of the engines that these kinds of calls keep to themselves.
	briefShare   = 0.25
	fragileShare = 0.25
	// rereadTokens is the number of shared tokens whose reading again costs as much as a late answer.
	rereadTokens = 12000
	// copyLeast is the number of tokens from which copying KV cache between engines is worth a transfer.
	copyLeast = 1000
	// copyBytes is how much copied KV cache costs as much as a late answer, in bytes.
	copyBytes = 14e9
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
	// sturdyPauses is how many usual pauses while an engine reads a call must accept to be sturdy; busy neighbours stretch pauses two to three times.
	sturdyPauses = 4
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
		return ins, brd.load(ins).enter(0, rank(wnt.Tier, false), wnt, brd.options.Timers.Now), true
	}
	off := brd.engine(wnt, cans)
	lod := brd.load(off.Instance)
	now := brd.options.Timers.Now
	brd.caches.place(wnt.Chain, lod.id, false, now())
	tic = lod.enter(off.read, rank(wnt.Tier, off.late), wnt, now)
	tic.Source = off.source
	tic.noteRead = func() { brd.caches.place(wnt.Chain, lod.id, true, now()) }
	return off.Instance, tic, true
}

// offer is what an engine can do for a call.
type offer struct {
	router.Instance

	// read is how many tokens the engine has to read.
	read int
	// source is the address of the engine from which it copies shared parts; empty for none.
	source string
	// late is set when the first event will miss its target.
	late bool
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

// engine returns the instance at which the call costs least.
func (brd *Board) engine(wnt Want, cans []router.Instance) (best offer) {
	now := brd.options.Timers.Now()
	held := brd.caches.holders(wnt.Chain, now)
	home, warm := uint64(0), 0
	for num, pfx := range wnt.Chain {
		home = pfx.Hash
		for _, one := range held[num] {
			if now.Sub(one.last) < rereadWindow {
				warm = pfx.Tokens
			}
		}
	}
	src, most := brd.source(wnt, held, cans)
	least := math.Inf(1)
	for step, can := range brd.order(wnt, home, cans) {
		lod := brd.load(can.Instance)
		kept := wnt.kept(held, lod.id)
		off := offer{Instance: can.Instance, read: wnt.Prompt - kept}
		cost := float64(max(0, warm-kept)) / rereadTokens
		if most-kept >= copyLeast {
			off.read, off.source = wnt.Prompt-most, src.Address
			cost = float64(most-kept) * wnt.Engine.TokenBytes / copyBytes
		}
		vew := lod.view(now)
		cost += vew.late(wnt, off.read) + rankCost*float64(min(step, rankMost))
		cost += runningCost*float64(vew.Running) + failureCost*vew.failures
		cost += brd.distance(can.Instance, domainCost, regionCost)
		cost += wnt.fragility()*(pauseCost*vew.reading+slowCost*(vew.slow-1)) + vew.harm(off.read)
		cost += can.foreign
		if cost < least {
			best, least = off, cost
			best.late = vew.wait(wnt, off.read) > lateFrom
		}
	}
	best.read = max(0, best.read)
	return best
}

// kept returns how many tokens of the shared parts an engine holds.
func (wnt Want) kept(held []map[uint64]use, id uint64) (tokens int) {
	for num, pfx := range wnt.Chain {
		if _, fnd := held[num][id]; fnd {
			tokens = pfx.Tokens
		}
	}
	return tokens
}

// source returns the engine from which most of a call's shared parts can be copied, and how many tokens those have.
func (brd *Board) source(wnt Want, held []map[uint64]use, cans []router.Instance) (src router.Instance, most int) {
	if wnt.Engine == nil || wnt.Engine.CopySpeed <= 0 {
		return src, 0
	}
	for num := len(held) - 1; num >= 0; num-- {
		for _, can := range cans {
			if held[num][brd.load(can).id].read {
				return can, wnt.Chain[num].Tokens
			}
		}
	}
	return src, 0
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

// late returns the cost of the estimated time to the first event, in late answers.
func (vew view) late(wnt Want, read int) float64 {
	rel := vew.wait(wnt, read)
	return waitSlope*rel + 1/(1+math.Exp(-lateSteepness*(rel-lateCentre)))
}

// wait returns the estimated time to the first event, relative to the target, of a call that is not read after others of its tier.
func (vew view) wait(wnt Want, read int) float64 {
	target := wnt.Target
	if target <= 0 {
		target = defaultTarget
	}
	wait := float64(vew.Unread.ahead(rank(wnt.Tier, false))+read) / vew.rate
	wait += min(wait*(vew.slow-1), float64(slowLeft.Milliseconds())*(1-1/vew.slow))
	return wait / float64(target.Milliseconds())
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

// kind is what a call does to an engine and what it suffers there.
type kind int

// The values of kind, in the order in which engines are divided among them.
const (
	// brief calls have short prompts.
	brief kind = iota
	// fragile calls have long prompts and miss their pauses while their engine reads other ones.
	fragile
	// sturdy calls have long prompts and accept long pauses.
	sturdy
)

// kind returns the kind of a call.
func (wnt Want) kind() kind {
	switch {
	case wnt.Prompt < shortPrompt:
		return brief
	case wnt.Gap > 0 && wnt.Gap < sturdyPauses*readingPause:
		return fragile
	default:
		return sturdy
	}
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

// divide returns the engines of each kind; all nodes that know the same engines agree.
func divide(cans []router.Instance) (kinds [sturdy + 1][]router.Instance) {
	ord := slices.Clone(cans)
	slices.SortFunc(ord, func(one, two router.Instance) int {
		return cmp.Compare(xxhash.Sum64String(one.ID), xxhash.Sum64String(two.ID))
	})
	fst := max(1, int(math.Round(briefShare*float64(len(ord)))))
	snd := max(fst, int(math.Round((briefShare+fragileShare)*float64(len(ord)))))
	kinds[brief], kinds[fragile], kinds[sturdy] = ord[:fst], ord[fst:snd], ord[snd:]
	return kinds
}

// candidate is an engine in the order in which a call considers it.
type candidate struct {
	router.Instance
	// foreign is what the engine costs the call for being another kind's, in late answers.
	foreign float64
}

// order returns the engines for a call, those of its kind first, by their rank for its prefix.
func (brd *Board) order(wnt Want, home uint64, cans []router.Instance) (res []candidate) {
	own, kinds := wnt.kind(), divide(cans)
	for step := range len(kinds) {
		knd := kind((int(own) + step) % len(kinds))
		for _, can := range ranked(home, kinds[knd]) {
			res = append(res, candidate{Instance: can, foreign: foreign(own, knd)})
		}
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
