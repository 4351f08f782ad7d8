package place

import (
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// sharedWindow is how often the shared prefixes of the calls that run at an engine are summed up.
	sharedWindow = 250 * time.Millisecond
	// placedHalfLife is the half-life of the moving averages from which the turnover of a cache follows. Bursts last for
	// 2 to 9 s.
	placedHalfLife = 3 * time.Second
	// defaultResidence is the assumed time that a call is in flight, before the first has ended.
	defaultResidence = 2 * time.Second
	// residenceWeight is the lowest weight of the newest call in the mean time that calls are in flight.
	residenceWeight = 0.05
	// minPrompts is the number of prompts from which their mean length counts.
	minPrompts = 20
)

// memoryState holds what a service's cache memory depends on, as this node sees it; nil in a view that needs no memory terms.
type memoryState struct {
	// prompt is the mean length of prompts in tokens.
	prompt average
	// residence is the mean time in ms that a call of each class is in flight.
	residence [maxClasses]average
}

// scarce reports whether the calls in all slots of an engine need more than its cache.
func (mem *memoryState) scarce(spec *router.EngineSpec) bool {
	if spec == nil || spec.CacheTokens <= 0 || mem.prompt.count < minPrompts {
		return false
	}
	return float64(spec.Slots)*mem.prompt.value >= float64(spec.CacheTokens)
}

// residenceOf returns the mean time that the calls at the engines of a class are in flight.
func (mem *memoryState) residenceOf(cls class) time.Duration {
	if res := mem.residence[cls]; res.count > 0 {
		return time.Duration(res.value * float64(time.Millisecond))
	}
	return defaultResidence
}

// sharedPart is a part of prompts that calls share, as it was placed at one engine.
type sharedPart struct {
	tokens int
	lastAt time.Time
}

// cacheUse tracks the use of an engine's KV cache by the calls of all nodes.
type cacheUse struct {
	// parts holds the shared parts placed at the engine; those used within the time that a call is in flight count as
	// occupied. Peers report placements, so that a part which several nodes use counts once.
	parts map[uint64]sharedPart
	// shared is the sum of the occupied ones as of sharedAt.
	shared int
	// active is set once the memory of the engine was found to be scarce; before, parts are not tracked.
	active bool
	// after is the turnover time that was computed last.
	after    time.Duration
	sharedAt time.Time
	// inFlight is the moving average of the tokens that calls occupy without shared parts, and added that of shared
	// tokens per second that were not cached before, both as of updated.
	inFlight, added float64
	updated         time.Time
}

// advance applies the time since the last update, in which calls occupied a number of tokens.
func (use *cacheUse) advance(tokens int, now time.Time) {
	if use.updated.IsZero() {
		use.updated = now
	}
	keep := math.Exp2(-now.Sub(use.updated).Seconds() / placedHalfLife.Seconds())
	use.updated = now
	use.inFlight = keep*use.inFlight + (1-keep)*float64(tokens)
	use.added *= keep
}

// place records a shared part that a call brings.
func (use *cacheUse) place(part uint64, tokens int, now time.Time) {
	if !use.active {
		return
	}
	if use.parts == nil {
		use.parts = make(map[uint64]sharedPart)
	}
	old, fnd := use.parts[part]
	fresh := !fnd || now.Sub(old.lastAt) > use.after
	use.parts[part] = sharedPart{tokens: tokens, lastAt: now}
	if fresh {
		use.added += math.Ln2 / placedHalfLife.Seconds() * float64(tokens)
	}
}

// occupied returns the tokens of the shared parts that were used within the time that a call is in flight.
func (use *cacheUse) occupied(residence time.Duration, now time.Time) int {
	if now.Sub(use.sharedAt) < sharedWindow {
		return use.shared
	}
	use.shared, use.sharedAt = 0, now
	for part, one := range use.parts {
		switch age := now.Sub(one.lastAt); {
		case age < residence:
			use.shared += one.tokens
		case age > cacheTTL:
			delete(use.parts, part)
		}
	}
	return use.shared
}

// turnover returns after how long a part that is not used is evicted, and the share of shared parts in what is evicted.
func (use *cacheUse) turnover(free int, residence time.Duration) (after time.Duration, share float64) {
	rate := use.inFlight/residence.Seconds() + use.added
	use.active, use.after = true, cacheTTL
	if rate <= 0 {
		return use.after, 0
	}
	use.after = time.Duration(min(cacheTTL.Seconds(), float64(max(0, free))/rate) * float64(time.Second))
	return use.after, use.added / rate
}

// room is the state of an engine's cache memory for one call. Its zero value stands for an engine without scarce memory.
type room struct {
	// memory and slots are the estimated times until there are memory and a slot for the call.
	memory, slots time.Duration
	// evicted is the cost of prefilling again what the engine evicts for the shared parts that the call brings.
	evicted float64
}

// wait returns the time until there are memory and a slot.
func (roo room) wait() time.Duration {
	return max(roo.memory, roo.slots)
}

// memoryView is the view of cache memory for one call; nil where memory is not scarce.
type memoryView struct {
	spec  *router.EngineSpec
	state memoryState
}

// turnover returns after how long the engine evicts a part that is not used.
func (vie *memoryView) turnover(eng *engine, now time.Time) time.Duration {
	lod, res := eng.load, vie.state.residenceOf(eng.class)
	lod.mut.Lock()
	defer lod.mut.Unlock()
	tokens := lod.local.CacheTokens + lod.peers.CacheTokens
	lod.use.advance(tokens, now)
	after, _ := lod.use.turnover(vie.spec.CacheTokens-tokens-lod.use.occupied(res, now), res)
	return after
}

// dropEvicted removes the engines that have evicted a prefix since its last use from its holders.
func (vie *memoryView) dropEvicted(holders []map[uint64]cacheEntry, par *partition, now time.Time) {
	for _, ents := range holders {
		for id, ent := range ents {
			if eng := par.byID[id]; eng != nil && now.Sub(ent.lastUse) > vie.turnover(eng, now)+vie.state.residenceOf(eng.class) {
				delete(ents, id)
			}
		}
	}
}

// room returns the state of an engine for a call that has a number of tokens of its prompt cached there.
//
// Calls end at the rate of calls in flight by the mean time that one is in flight, and memory is freed at the rate of tokens
// in flight by that time.
func (vie *memoryView) room(req Request, eng *engine, snp snapshot, cached int, now time.Time) (roo room) {
	res := vie.state.residenceOf(eng.class)
	lod := eng.load
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.use.advance(snp.CacheTokens, now)
	used := snp.CacheTokens + lod.use.occupied(res, now)
	need, brought := req.ownTokens(), 0
	before := 0
	for _, pfx := range req.Prefixes {
		if prt, fnd := lod.use.parts[pfx.Hash]; !fnd || now.Sub(prt.lastAt) >= res {
			need += pfx.Tokens - before
		}
		if pfx.Tokens > cached {
			brought += pfx.Tokens - max(before, cached)
		}
		before = pfx.Tokens
	}
	if over := used + need - vie.spec.CacheTokens; over > 0 && used > 0 {
		roo.memory = min(cacheTTL, time.Duration(float64(res)*float64(over)/float64(used)))
	}
	if over := snp.Running + 1 - vie.spec.Slots; over > 0 {
		roo.slots = time.Duration(float64(res) * float64(over) / float64(snp.Running))
	}
	after, share := lod.use.turnover(vie.spec.CacheTokens-used, res)
	reuse := share * recomputeWindow.Seconds() / (recomputeWindow + after).Seconds()
	if after < cacheTTL {
		roo.evicted = reuse * float64(brought) / recomputeTokens
	}
	return roo
}

// ownTokens returns the tokens of KV cache that the call occupies besides shared prefixes.
func (req Request) ownTokens() (tokens int) {
	tokens = req.PromptTokens + req.OutputTokens
	if num := len(req.Prefixes); num > 0 {
		tokens -= req.Prefixes[num-1].Tokens
	}
	return max(0, tokens)
}

// observeResidence adds the time that a call of a class was in flight.
func (svc *service) observeResidence(cls class, took time.Duration) {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	svc.memory.residence[cls].add(took.Seconds()*1000, residenceWeight)
}

// placeParts records the shared parts of a call that is sent to the engine.
func (lod *load) placeParts(pfs []Prefix, now time.Time) {
	lod.mut.Lock()
	defer lod.mut.Unlock()
	before := 0
	for _, pfx := range pfs {
		lod.use.place(pfx.Hash, pfx.Tokens-before, now)
		before = pfx.Tokens
	}
}

// placePeerParts records the shared parts of calls that a peer sent.
func (bal *Balancer) placePeerParts(pls []Placement, now time.Time) {
	for _, plc := range pls {
		bal.mut.Lock()
		lod := bal.byID[plc.Instance]
		bal.mut.Unlock()
		// The report that a part has been prefilled follows the one that it was placed.
		if lod == nil || plc.Cached {
			continue
		}
		tokens := bal.prefixes.partTokens(plc.Prefix)
		lod.mut.Lock()
		lod.use.place(plc.Prefix, tokens, now)
		lod.mut.Unlock()
	}
}
