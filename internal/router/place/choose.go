package place

import (
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Choose selects an instance for a call that is sent to it at once, see Propose.
func (bal *Balancer) Choose(req Request, list []router.Instance, avoid func(ins router.Instance) bool) (ins router.Instance, rsv *Reservation, ok bool) {
	ins, rsv, ok = bal.Propose(req, list, avoid)
	if ok {
		rsv.Start()
	}
	return ins, rsv, ok
}

// Propose selects an instance for a call and reserves capacity for it there; ok is false if avoid excludes all instances. When
// the call is sent to it, the caller calls Start of the reservation before.
// The list holds all instances of the service and must not be modified afterwards: the list's identity is the key of a cached partition.
func (bal *Balancer) Propose(req Request, list []router.Instance, avoid func(ins router.Instance) bool) (ins router.Instance, rsv *Reservation, ok bool) {
	if len(list) == 0 {
		return router.Instance{}, nil, false
	}
	now := bal.options.Timers.Now
	if req.PromptTokens == 0 {
		cans := bal.available(list, avoid)
		if len(cans) == 0 {
			return router.Instance{}, nil, false
		}
		ins = bal.choosePlain(cans)
		return ins, bal.loadOf(ins).reserve(0, req.Ranks.InTime, req, now), true
	}
	svc, par := bal.serviceState(&req, list)
	opt, ok := bal.chooseEngine(req, par, avoid)
	if !ok {
		return router.Instance{}, nil, false
	}
	lod := opt.load
	rsv = lod.reserve(opt.prefillTokens, opt.rank, req, now)
	rsv.Late, rsv.remote = opt.late, opt.remote
	rsv.SavedTokens, rsv.Wait, rsv.Passed = max(0, req.PromptTokens-opt.prefillTokens), opt.room.wait(), opt.passedOver
	if opt.source != nil {
		rsv.Source = opt.source.Address
	}
	rsv.onStart = func() {
		svc.begin(req.class, req, opt.prefillTokens, now())
		bal.prefixes.recordLocal(req.Prefixes, lod.id, false, now())
		lod.placeParts(req.Prefixes, now())
		rsv.service, rsv.class = svc, req.class
		if opt.source != nil {
			startCopy(opt.source.load, lod, opt.link, now())
		}
	}
	rsv.onCached = func() { bal.prefixes.recordLocal(req.Prefixes, lod.id, true, now()) }
	return opt.Instance, rsv, true
}

// option is an engine that a call could be sent to, with the cost of doing so.
type option struct {
	*engine

	// cached is how many tokens of the prompt the engine has cached; prefillTokens how many it has to prefill, which is less
	// than the rest if it copies some.
	cached        int
	prefillTokens int
	// source is the engine to copy the KV cache of shared prefixes from; nil for none.
	source *engine
	// link is how long the copy takes, with those that are before it on the links.
	link time.Duration
	// rank is the call's rank in the engine's prefill queue.
	rank int
	// late is set if the call will miss its target by the estimate.
	late bool
	// passedOver is set in the chosen option if an engine with more of the prefix was not chosen.
	passedOver Passed
	// room is the state of the engine's cache memory.
	room room
	// cost is in expected SLO misses, and waiting the part of it that waiting and prefilling cause to callers. KV cache is copied if that lowers
	// waiting, whatever prefilling the same tokens again would cost besides.
	cost, waiting float64
}

// available returns the instances that are neither ejected nor to be avoided, or the ejected ones if there are no others.
func (bal *Balancer) available(list []router.Instance, avoid func(ins router.Instance) bool) (res []router.Instance) {
	now := bal.options.Timers.Now()
	var ejected []router.Instance
	for _, ins := range list {
		switch {
		case avoid(ins):
		case bal.loadOf(ins).snapshot(now).ejected:
			ejected = append(ejected, ins)
		default:
			res = append(res, ins)
		}
	}
	if len(res) == 0 {
		return ejected
	}
	return res
}

// choosePlain returns the instance with the fewest calls in flight after penalties.
func (bal *Balancer) choosePlain(cans []router.Instance) (best router.Instance) {
	now := bal.options.Timers.Now()
	minCost := math.Inf(1)
	for _, can := range cans {
		snp := bal.loadOf(can).snapshot(now)
		cost := float64(snp.Running) + failurePenalty*snp.failureRate
		cost += bal.distanceCost(can, domainPenalty, regionPenalty)
		if cost < minCost {
			best, minCost = can, cost
		}
	}
	return best
}

// prefixState is the state of a prompt's prefixes across all engines.
type prefixState struct {
	// longest is the hash of the longest shared prefix.
	longest uint64
	// holders maps, for each shared prefix, the engines that have it to their entries.
	holders []map[uint64]cacheEntry
	// recentTokens is the length of the longest prefix used within recomputeWindow; recomputing it elsewhere is a waste.
	recentTokens int
	// source is an engine from which the KV cache of the first copyTokens tokens can be copied; nil if there is none.
	source     *engine
	copyTokens int
	// linkWait is how long the source's link is still occupied.
	linkWait time.Duration
}

// chooseEngine returns the option of the lowest cost: among the candidates for the call, else among all engines, else
// among all engines with the ejected ones. ok is false if all engines are to be avoided.
func (bal *Balancer) chooseEngine(req Request, par *partition, avoid func(ins router.Instance) bool) (best option, ok bool) {
	pst := bal.prefixState(req, par)
	best, ok = bal.cheapest(req, pst, par.candidates(req.class, pst.longest, pst.holders), avoid, false)
	if !ok {
		best, ok = bal.cheapest(req, pst, par.all(), avoid, false)
	}
	if !ok {
		best, ok = bal.cheapest(req, pst, par.all(), avoid, true)
	}
	if best.passedOver == "" && par.heldBySlow(req, pst.holders, best.cached) {
		best.passedOver = PassedSlow
	}
	return best, ok
}

// cheapest returns the option of the lowest cost among candidates; it skips ejected ones unless ejected is set.
func (bal *Balancer) cheapest(req Request, pst prefixState, cans []candidate, avoid func(ins router.Instance) bool, ejected bool) (best option, ok bool) {
	now := bal.options.Timers.Now()
	var holder option
	var state snapshot
	for _, can := range cans {
		snp := can.load.snapshot(now)
		if snp.ejected && !ejected || avoid(can.Instance) {
			continue
		}
		opt := bal.evaluate(req, pst, can, snp, now)
		if opt.cached > 0 && (holder.engine == nil || opt.better(holder)) {
			holder, state = opt, snp
		}
		if !ok || opt.cost < best.cost {
			best, ok = opt, true
		}
	}
	if holder.cached > best.cached {
		best.passedOver = holder.passed(state)
	}
	return best, ok
}

// prefixState looks up the prefixes of a call's prompt.
func (bal *Balancer) prefixState(req Request, par *partition) (pst prefixState) {
	now := bal.options.Timers.Now()
	pst.holders = bal.prefixes.holders(req.Prefixes, now)
	if req.memory != nil {
		req.memory.dropEvicted(pst.holders, par, now)
	}
	for num, pfx := range req.Prefixes {
		pst.longest = pfx.Hash
		for id, ent := range pst.holders[num] {
			if now.Sub(ent.lastUse) < recomputeWindow {
				pst.recentTokens = pfx.Tokens
			}
			// Any engine with the prefix cached can be the source; the random order of map iteration spreads copies over them.
			if eng := par.byID[id]; eng != nil && ent.cached && req.canCopy() {
				pst.source, pst.copyTokens = eng, pfx.Tokens
			}
		}
	}
	if pst.source != nil {
		pst.linkWait = pst.source.load.linkWait(now)
	}
	return pst
}

// canCopy reports whether the engines can copy KV cache from each other.
func (req Request) canCopy() bool {
	return req.Engine != nil && req.Engine.CopySpeed > 0
}

// cachedTokens returns the length of the longest prefix that an engine has cached or will have prefilled before the call.
func (req Request) cachedTokens(holders []map[uint64]cacheEntry, id uint64) (tokens int) {
	for num, pfx := range req.Prefixes {
		if _, fnd := holders[num][id]; fnd {
			tokens = pfx.Tokens
		}
	}
	return tokens
}
