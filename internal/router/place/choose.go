package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// shortPrompt is the length from which a prompt delays the tokens of others noticeably, in tokens.
	shortPrompt = 4000
	// shortShare is the share of the engines that short prompts keep to themselves.
	shortShare = 0.25
	// runningTokens is the work that a running call stands for, in prompt tokens.
	runningTokens = 100
	// domainTokens and regionTokens are the work that distance stands for, in prompt tokens.
	domainTokens = 150
	regionTokens = 1000
	// failureTokens is the work that a certain failure stands for, in prompt tokens.
	failureTokens = 20000
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
	if wnt.Prompt > 0 {
		ins = brd.engine(wnt, cans)
	} else {
		ins = brd.plain(cans)
	}
	return ins, brd.load(ins).enter(wnt.Prompt, brd.options.Timers.Now), true
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
		cost := float64(vew.running) + failureCalls*vew.failures
		cost += brd.distance(can, domainCalls, regionCalls)
		if cost < least {
			best, least = can, cost
		}
	}
	return best
}

// engine returns the instance at which the call costs the least work, in prompt tokens.
func (brd *Board) engine(wnt Want, cans []router.Instance) (best router.Instance) {
	now := brd.options.Timers.Now()
	shared, home := 0, uint64(0)
	if num := len(wnt.Chain); num > 0 {
		shared, home = wnt.Chain[num-1].Tokens, wnt.Chain[num-1].Hash
	}
	least := math.Inf(1)
	for rank, can := range ranked(home, group(cans, wnt.Prompt < shortPrompt)) {
		vew := brd.load(can).view(now)
		cost := float64(vew.unread+runningTokens*vew.running) + failureTokens*vew.failures
		cost += float64(rank*shared) + brd.distance(can, domainTokens, regionTokens)
		if cost < least {
			best, least = can, cost
		}
	}
	return best
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

// ranked orders engines for a chain of parts by rendezvous hashing.
func ranked(home uint64, cans []router.Instance) []router.Instance {
	res := slices.Clone(cans)
	slices.SortFunc(res, func(one, two router.Instance) int {
		return cmp.Compare(mix(home^xxhash.Sum64String(one.ID)), mix(home^xxhash.Sum64String(two.ID)))
	})
	return res
}
