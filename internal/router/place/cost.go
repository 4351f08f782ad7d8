package place

import (
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Constants that end in Cost are in expected SLO misses; see the package documentation.
const (
	// recomputeTokens is the number of recomputed prefix tokens that costs as much as one SLO miss, at the users' prices.
	recomputeTokens = 12000
	// minCopyTokens is the number of tokens from which copying KV cache between engines is worth a transfer.
	minCopyTokens = 1000
	// recomputeWindow is how long after the last use of a prefix, at any engine, recomputing it is charged.
	recomputeWindow = 10 * time.Second
	// positionCost is the cost per position of an engine in the list of candidates, which follows the ranking for the
	// prefix. It makes nodes agree on the engine that prefills a prefix first.
	positionCost = 0.35
	// maxPosition is the position from which positionCost does not increase any more.
	maxPosition = 8
	// runningCost is the cost of each call in flight at the engine.
	runningCost = 0.01
	// domainCost and regionCost are the costs of sending to another failure domain and to another region.
	domainCost = 0.02
	regionCost = 0.06
	// failureCost is the cost of sending to an engine with a failure rate of 1.
	failureCost = 3
	// waitCost is the cost of a wait as long as the target, besides the chance of missing it.
	waitCost = 0.4
	// missSteepness and missCentre shape the logistic function that maps the estimated time to the first event, relative
	// to the target, to the probability of missing it.
	missSteepness = 8
	missCentre    = 0.8
	// lateThreshold is the estimated time to the first event, relative to the target, above which a call is prefilled
	// after those of its tier that can still be in time.
	lateThreshold = 0.9
	// defaultTarget is the target where the route has none.
	defaultTarget = time.Second
	// gapMissCost is the cost of an engine that prefills all the time, for a call that is certain to miss its gap target
	// during prefill.
	gapMissCost = 1.6
	// interferenceCost is the share of the running calls' GapRisk that becomes misses when a prefill takes
	// interferenceTime or longer; shorter ones cost proportionally less.
	interferenceCost = 0.2
	interferenceTime = 100 * time.Millisecond
	// slowdownCost is the cost of an engine with a slowdown of 2, for a call that is certain to miss its gap target during
	// prefill.
	slowdownCost = 0.3
	// slowdownInterference is the relative increase of the interference cost at a slowdown of 2, because most of the gaps
	// that prefill stretches exceed their targets then.
	slowdownInterference = 2
	// slowRemaining is the expected remaining duration of a slow period; prefill that takes longer continues at the usual
	// speed.
	slowRemaining = 300 * time.Millisecond
	// classMismatchCost is the cost of a call at an engine of another class.
	classMismatchCost = 0.3
)

// Penalties at a plain service, as equivalent calls in flight.
const (
	// domainPenalty and regionPenalty apply to upstreams in another failure domain and in another region.
	domainPenalty = 1
	regionPenalty = 8
	// failurePenalty applies to an upstream with a failure rate of 1.
	failurePenalty = 10
)

// evaluate returns the option of sending a call to an engine.
func (bal *Balancer) evaluate(req Request, pst prefixState, can candidate, snp snapshot, now time.Time) (opt option) {
	cached := req.cachedTokens(pst.holders, can.load.id)
	opt = option{engine: can.engine, cached: cached, prefillTokens: max(0, req.PromptTokens-cached)}
	opt.cost = float64(max(0, pst.recentTokens-cached)) / recomputeTokens
	if req.memory != nil {
		opt.room = req.memory.room(req, can.engine, snp, cached, now)
		opt.cost += opt.room.evicted
	}
	own := opt.withPrefill(req, snp)
	if pst.copyTokens-cached >= minCopyTokens {
		opt = opt.copied(req, pst, snp, cached).withPrefill(req, snp)
	}
	if opt.source == nil || own.waiting <= opt.waiting {
		opt = own
	}
	opt.cost += positionCost * float64(min(can.position, maxPosition))
	opt.cost += runningCost*float64(snp.Running) + failureCost*snp.failureRate
	opt.cost += bal.distanceCost(can.Instance, domainCost, regionCost)
	opt.cost += req.gapRisk(req.prefillGap) * (gapMissCost*snp.prefillShare + slowdownCost*(snp.slowdown-1))
	opt.cost += mismatchCost(req.class, can.class)
	return opt
}

// withPrefill adds the costs that depend on how many tokens are prefilled: waiting, and the interference with other calls.
func (opt option) withPrefill(req Request, snp snapshot) option {
	cost, rnk, late := snp.waitingCost(req, opt)
	opt.rank, opt.late = rnk, late
	opt.waiting = cost + snp.interference(opt.prefillTokens)
	opt.cost += opt.waiting
	return opt
}

// gapRisk returns the probability that a call misses its gap target while its engine prefills another prompt, which
// usually causes gaps of prefillGap.
func (req Request) gapRisk(prefillGap time.Duration) float64 {
	if req.GapTarget <= 0 {
		return 0
	}
	return min(1, float64(prefillGap)/float64(req.GapTarget))
}

// interference returns the cost of prefilling a number of tokens to the calls that run at the engine.
func (snp snapshot) interference(prefillTokens int) float64 {
	took := float64(prefillTokens) / snp.prefillRate
	return interferenceCost * (1 + slowdownInterference*(snp.slowdown-1)) * snp.GapRisk * min(1, took/float64(interferenceTime.Milliseconds()))
}

// waitingCost returns the cost of the estimated time to the first event, the rank that the call gets, and whether it will be late.
func (snp snapshot) waitingCost(req Request, opt option) (cost float64, rank int, late bool) {
	rank = req.Ranks.InTime
	rel := snp.relativeWait(req, opt, rank)
	if late = rel > lateThreshold; late {
		rank = req.Ranks.Late
		rel = snp.relativeWait(req, opt, rank)
	}
	return waitCost*rel + 1/(1+math.Exp(-missSteepness*(rel-missCentre))), rank, late
}

// relativeWait returns the estimated time to the first event as a fraction of the target. A copy, which takes the time link,
// runs while the work ahead is prefilled.
func (snp snapshot) relativeWait(req Request, opt option, rank int) float64 {
	target := req.Target
	if target <= 0 {
		target = defaultTarget
	}
	ahead := snp.Pending.ahead(rank)
	wait := float64(ahead+opt.prefillTokens) / snp.prefillRate
	wait += min(wait*(snp.slowdown-1), float64(slowRemaining.Milliseconds())*(1-1/snp.slowdown))
	if opt.link > 0 {
		wait += max(0, opt.link.Seconds()*1000-float64(ahead)/snp.prefillRate)
	}
	wait += opt.room.wait().Seconds() * 1000
	return wait / float64(target.Milliseconds())
}

// distanceCost returns zero for an instance in this node's failure domain, region for one in another region, and domain
// for any other.
func (bal *Balancer) distanceCost(ins router.Instance, domain, region float64) float64 {
	switch {
	case ins.FailureDomain == bal.options.FailureDomain:
		return 0
	case bal.remote(ins):
		return region
	default:
		return domain
	}
}

// remote reports whether an instance is in another region than this node.
func (bal *Balancer) remote(ins router.Instance) bool {
	return bal.options.Regions[ins.FailureDomain] != bal.options.Regions[bal.options.FailureDomain]
}

// mismatchCost returns the cost of sending a call of one class to an engine of another.
func mismatchCost(own, oth class) float64 {
	if own == oth {
		return 0
	}
	return classMismatchCost
}
