package place

import "time"

// copyShare is the cost of moving a token of KV cache to another engine, as a share of the cost of prefilling it again. It
// doesn't depend on the size of a token: a price by bytes that suits tokens of 328 KB makes those of 18 KB 18 times too cheap.
const copyShare = 0.25

// linkTime returns how long the KV cache of a number of tokens is on the link between two engines.
func (req Request) linkTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * req.Engine.TokenBytes / req.Engine.CopySpeed * float64(time.Second))
}

// copied returns the option with the shared prefix copied instead of prefilled, before its waiting time is known. An engine
// has one copy after another on its link, at both ends.
func (opt option) copied(req Request, pst prefixState, snp snapshot, cached int) option {
	opt.prefillTokens, opt.source = max(0, req.PromptTokens-pst.copyTokens), pst.source
	opt.cost = opt.room.evicted + copyShare*float64(pst.copyTokens-cached)/recomputeTokens
	opt.link = max(0, pst.linkWait, snp.linkWait) + req.linkTime(pst.copyTokens-cached)
	return opt
}

// startCopy records a copy that occupies the links of its source and of its target for some time from now.
func startCopy(source, target *load, link time.Duration, now time.Time) {
	for _, lod := range []*load{source, target} {
		lod.mut.Lock()
		if end := now.Add(link); lod.linkUntil.Before(end) {
			lod.linkUntil = end
		}
		lod.mut.Unlock()
	}
}

// linkWait returns how long the link of the engine is still occupied by copies that this node started.
func (lod *load) linkWait(now time.Time) time.Duration {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	return lod.linkUntil.Sub(now)
}
