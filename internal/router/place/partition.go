package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// shortShare and strictShare are the shares of the engines in the classes shortPrompts and strictGaps; the rest is in
	// tolerantGaps.
	shortShare  = 0.25
	strictShare = 0.25
	// maxOwnClass and maxOtherClass are how many engines of a call's own class and of each other class are candidates for
	// it. More would cost every call time and let nodes with the same load data choose the same engine.
	maxOwnClass   = 16
	maxOtherClass = 8
	// longPromptTokens is the length from which a prompt noticeably delays the events of other calls.
	longPromptTokens = 4000
	// tolerantFactor is the minimum ratio of a call's gap target to defaultPrefillGap in the class tolerantGaps; slow
	// periods stretch gaps two to three times.
	tolerantFactor = 4
	// minNearEngines is the number of engines from which short prompts stay in the region; fewer do not even out its load.
	minNearEngines = 4
)

// class groups calls by their effect on other calls at an engine and by how the other calls affect them.
type class int

// The values of class, in the order in which engines are assigned to them.
const (
	// shortPrompts is for calls with short prompts.
	shortPrompts class = iota
	// strictGaps is for calls with long prompts that miss their gap target while their engine prefills other prompts.
	strictGaps
	// tolerantGaps is for calls with long prompts that accept long gaps.
	tolerantGaps
)

// class returns the class of a call.
func (req Request) class() class {
	switch {
	case req.PromptTokens < longPromptTokens:
		return shortPrompts
	case req.GapTarget > 0 && req.GapTarget < tolerantFactor*defaultPrefillGap:
		return strictGaps
	default:
		return tolerantGaps
	}
}

// engine is an instance of a service whose calls have prompts.
type engine struct {
	router.Instance

	load *load
	// hash is the hash of the instance's ID.
	hash  uint64
	class class
	// remote is set for engines in another region than this node.
	remote bool
}

// partition assigns the engines of a service to the classes of calls. Nodes with the same list of engines compute the
// same partition.
type partition struct {
	// list is the instances from which the partition was built.
	list    []router.Instance
	classes [tolerantGaps + 1][]*engine
	byID    map[uint64]*engine
}

// partition returns the partition of a list of instances, which is cached until the service has another list.
func (bal *Balancer) partition(service string, list []router.Instance) (par *partition) {
	bal.mut.Lock()
	par = bal.partitions[service]
	bal.mut.Unlock()
	if par != nil && len(par.list) == len(list) && &par.list[0] == &list[0] {
		return par
	}
	par = bal.newPartition(list)
	bal.mut.Lock()
	defer bal.mut.Unlock()
	bal.partitions[service] = par
	return par
}

// newPartition assigns each instance to a class.
func (bal *Balancer) newPartition(list []router.Instance) (par *partition) {
	par = &partition{list: list, byID: make(map[uint64]*engine, len(list))}
	ord := make([]*engine, 0, len(list))
	for _, ins := range list {
		eng := &engine{Instance: ins, load: bal.loadOf(ins), hash: xxhash.Sum64String(ins.ID), remote: bal.remote(ins)}
		par.byID[eng.load.id] = eng
		ord = append(ord, eng)
	}
	interleaveDomains(ord)
	fst := max(1, int(math.Round(shortShare*float64(len(ord)))))
	snd := max(fst, int(math.Round((shortShare+strictShare)*float64(len(ord)))))
	par.classes[shortPrompts], par.classes[strictGaps], par.classes[tolerantGaps] = ord[:fst], ord[fst:snd], ord[snd:]
	for cls, engs := range par.classes {
		for _, eng := range engs {
			eng.class = class(cls)
		}
	}
	return par
}

// interleaveDomains sorts engines by hash, but with those of each failure domain spread evenly over the order.
func interleaveDomains(engs []*engine) {
	slices.SortFunc(engs, func(one, two *engine) int { return cmp.Compare(one.hash, two.hash) })
	all, seen := make(map[string]int), make(map[string]int)
	for _, eng := range engs {
		all[eng.FailureDomain]++
	}
	position := make(map[*engine]float64, len(engs))
	for _, eng := range engs {
		position[eng] = (float64(seen[eng.FailureDomain]) + 0.5) / float64(all[eng.FailureDomain])
		seen[eng.FailureDomain]++
	}
	slices.SortStableFunc(engs, func(one, two *engine) int { return cmp.Compare(position[one], position[two]) })
}

// candidate is an engine that is considered for a call.
type candidate struct {
	*engine

	// position is the engine's position in the list of candidates; 0 is the first.
	position int
}

// candidates returns the engines considered for a call: the first in the ranking for its longest shared prefix, those of
// its own class before others, then all others that hold a prefix of its prompt.
func (par *partition) candidates(own class, prefix uint64, holders []map[uint64]cacheEntry) (res []candidate) {
	seen := make(map[uint64]bool, maxOwnClass+2*maxOtherClass)
	for num := range par.classes {
		cls, limit := class((int(own)+num)%len(par.classes)), maxOtherClass
		if cls == own {
			limit = maxOwnClass
		}
		for _, eng := range topRanked(prefix, par.classes[cls], limit, own == shortPrompts && par.nearEngines(cls) >= minNearEngines) {
			seen[eng.load.id] = true
			res = append(res, candidate{engine: eng, position: len(res)})
		}
	}
	for _, ents := range holders {
		for id := range ents {
			if eng := par.byID[id]; eng != nil && !seen[id] {
				seen[id] = true
				res = append(res, candidate{engine: eng, position: len(res)})
			}
		}
	}
	return res
}

// nearEngines returns how many engines of a class are in this node's region.
func (par *partition) nearEngines(cls class) (num int) {
	for _, eng := range par.classes[cls] {
		if !eng.remote {
			num++
		}
	}
	return num
}

// all returns every engine as a candidate, in the order of the partition.
func (par *partition) all() (res []candidate) {
	for _, engs := range par.classes {
		for _, eng := range engs {
			res = append(res, candidate{engine: eng, position: len(res)})
		}
	}
	return res
}

// remoteBit is set in the scores of engines in other regions, which sorts them behind all near ones.
const remoteBit = 1 << 63

// topRanked returns the first engines of the ranking for a prefix by rendezvous hashing; nearFirst ranks those in this
// node's region before all others.
func topRanked(prefix uint64, engs []*engine, limit int, nearFirst bool) (res []*engine) {
	type score struct {
		eng *engine
		val uint64
	}
	best := make([]score, 0, limit+1)
	for _, eng := range engs {
		val := mix(prefix^eng.hash) >> 1
		if nearFirst && eng.remote {
			val |= remoteBit
		}
		if len(best) == limit && val >= best[limit-1].val {
			continue
		}
		pos, _ := slices.BinarySearchFunc(best, val, func(scr score, val uint64) int { return cmp.Compare(scr.val, val) })
		best = slices.Insert(best, pos, score{eng: eng, val: val})
		best = best[:min(len(best), limit)]
	}
	for _, scr := range best {
		res = append(res, scr.eng)
	}
	return res
}
