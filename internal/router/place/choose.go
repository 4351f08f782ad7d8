package place

import (
	"math"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Choose returns an instance for a call and its place there; ok is false when there is none. The list is the service's and must not be changed afterwards.
func (brd *Board) Choose(wnt Want, list []router.Instance, avoid func(ins router.Instance) bool) (ins router.Instance, tic *Ticket, ok bool) {
	if len(list) == 0 {
		return router.Instance{}, nil, false
	}
	now := brd.options.Timers.Now
	if wnt.Prompt == 0 {
		cans := brd.usable(list, avoid)
		if len(cans) == 0 {
			return router.Instance{}, nil, false
		}
		ins = brd.plain(cans)
		return ins, brd.load(ins).enter(0, wnt.Ranks.InTime, wnt, now), true
	}
	off, ok := brd.engine(wnt, brd.fleet(wnt.Service, list), avoid)
	if !ok {
		return router.Instance{}, nil, false
	}
	lod := off.load
	brd.caches.place(wnt.Chain, lod.id, false, now())
	tic = lod.enter(off.read, off.rank, wnt, now)
	tic.Source = off.source
	tic.noteRead = func() { brd.caches.place(wnt.Chain, lod.id, true, now()) }
	return off.Instance, tic, true
}

// offer is what an engine can do for a call.
type offer struct {
	*engine

	// read is how many tokens the engine has to read.
	read int
	// source is the address of the engine from which it copies shared parts; empty for none.
	source string
	// rank is the call's place in the order in which the engine reads prompts.
	rank int
	// cost is what the call costs there, in late answers.
	cost float64
}

// usable leaves out instances that are paused or to be avoided, unless nothing else is left.
func (brd *Board) usable(list []router.Instance, avoid func(ins router.Instance) bool) (res []router.Instance) {
	now := brd.options.Timers.Now()
	var paused []router.Instance
	for _, ins := range list {
		switch {
		case avoid(ins):
		case brd.load(ins).view(now).paused:
			paused = append(paused, ins)
		default:
			res = append(res, ins)
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

// prompt is what is known of a call's prompt across all engines.
type prompt struct {
	// home identifies the longest shared beginning.
	home uint64
	// held holds for each shared beginning the engines that have it.
	held []map[uint64]use
	// warm is the length of what was used so lately that reading it again elsewhere is a waste, in tokens.
	warm int
	// source is an engine from which copied tokens can be copied; nil when there is none.
	source *engine
	copied int
}

// engine returns the offer that costs least; ok is false when all engines are to be avoided.
func (brd *Board) engine(wnt Want, fle *fleet, avoid func(ins router.Instance) bool) (best offer, ok bool) {
	prm := brd.prompt(wnt, fle)
	best, ok = brd.cheapest(wnt, prm, fle.candidates(wnt.kind(), prm.home, prm.held), avoid, false)
	if !ok {
		best, ok = brd.cheapest(wnt, prm, fle.all(), avoid, false)
	}
	if !ok {
		best, ok = brd.cheapest(wnt, prm, fle.all(), avoid, true)
	}
	return best, ok
}

// cheapest returns the best offer among candidates; paused ones count only where paused is set.
func (brd *Board) cheapest(wnt Want, prm prompt, cans []candidate, avoid func(ins router.Instance) bool, paused bool) (best offer, ok bool) {
	now := brd.options.Timers.Now()
	for _, can := range cans {
		vew := can.load.view(now)
		if vew.paused && !paused || avoid(can.Instance) {
			continue
		}
		if off := brd.offer(wnt, prm, can, vew); !ok || off.cost < best.cost {
			best, ok = off, true
		}
	}
	return best, ok
}

// prompt gathers what is known of a call's prompt.
func (brd *Board) prompt(wnt Want, fle *fleet) (prm prompt) {
	now := brd.options.Timers.Now()
	prm.held = brd.caches.holders(wnt.Chain, now)
	for num, pfx := range wnt.Chain {
		prm.home = pfx.Hash
		for id, one := range prm.held[num] {
			if now.Sub(one.last) < rereadWindow {
				prm.warm = pfx.Tokens
			}
			// Any engine that has read the prefix will do; the order of a map spreads the copies over them.
			if eng := fle.byID[id]; eng != nil && one.read && wnt.copies() {
				prm.source, prm.copied = eng, pfx.Tokens
			}
		}
	}
	return prm
}

// copies reports whether the engines copy KV cache from each other.
func (wnt Want) copies() bool {
	return wnt.Engine != nil && wnt.Engine.CopySpeed > 0
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
