package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// maxOwnClass and maxOtherClass are how many engines of a call's own class and of each other class are candidates for
	// it. More would cost every call time and let nodes with the same load data choose the same engine.
	maxOwnClass   = 16
	maxOtherClass = 8
	// minNearEngines is the number of engines from which short prompts stay in the region; fewer do not even out its load.
	minNearEngines = 4
)

// class is the index of a class of calls, in ascending order of the gap target.
type class int

// engine is an instance of a service whose calls have prompts.
type engine struct {
	router.Instance

	load *load
	// service is the service of the engine.
	service *service
	// hash is the hash of the instance's ID.
	hash  uint64
	class class
	// slow is set for slow engines, and speedStep is the rate of these; see moveSlow.
	slow      bool
	speedStep int
	// remote is set for engines in another region than this node.
	remote bool
}

// partition assigns the engines of a service to the classes of calls. Nodes with the same list of engines compute the
// same partition.
type partition struct {
	// list is the instances from which the partition was built.
	list    []router.Instance
	classes [][]*engine
	// usual is the engines of the last class that are not slow; calls of other classes may use these only.
	usual []*engine
	byID  map[uint64]*engine
}

// newPartition assigns each instance to a class. The engines of a class are those between its boundary and the one before,
// and at least one as long as there are enough.
func (bal *Balancer) newPartition(list []router.Instance, bounds []float64, svc *service) (par *partition) {
	par = &partition{list: list, classes: make([][]*engine, len(bounds)), byID: make(map[uint64]*engine, len(list))}
	ord := make([]*engine, 0, len(list))
	for _, ins := range list {
		eng := &engine{Instance: ins, load: bal.loadOf(ins), service: svc, hash: xxhash.Sum64String(ins.ID), remote: bal.remote(ins)}
		par.byID[eng.load.id] = eng
		ord = append(ord, eng)
	}
	interleaveDomains(ord)
	ends := classEnds(len(ord), bounds)
	if last := len(bounds) - 1; last > 0 && svc.separatesSlow() {
		moveSlow(ord, ends[last-1])
	}
	start := 0
	for cls, end := range ends {
		par.classes[cls] = ord[start:end]
		for _, eng := range ord[start:end] {
			eng.class = class(cls)
		}
		start = end
	}
	for _, eng := range par.classes[len(bounds)-1] {
		if !eng.slow {
			par.usual = append(par.usual, eng)
		}
	}
	return par
}

// classEnds returns the position behind the last engine of each class. A class has at least one engine as long as there are
// enough.
func classEnds(engines int, bounds []float64) (ends []int) {
	start := 0
	for cls, bnd := range bounds {
		later := len(bounds) - 1 - cls
		end := min(int(math.Round(bnd*float64(engines))), engines-later)
		start = min(max(end, start+1), engines)
		ends = append(ends, start)
	}
	return ends
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
	res = make([]candidate, 0, 2*maxOwnClass+2*maxOtherClass)
	for num := range par.classes {
		cls, limit := class((int(own)+num)%len(par.classes)), maxOtherClass
		if cls == own {
			limit = maxOwnClass
		}
		engs := par.classes[cls]
		if int(cls) == len(par.classes)-1 && own != cls {
			engs = par.usual
		}
		for _, eng := range topRanked(prefix, engs, limit, own == 0 && par.nearEngines(cls) >= minNearEngines) {
			seen[eng.load.id] = true
			res = append(res, candidate{engine: eng, position: len(res)})
		}
	}
	for _, ents := range holders {
		for id := range ents {
			if eng := par.byID[id]; eng != nil && !seen[id] && !par.tooSlow(eng, own) {
				seen[id] = true
				res = append(res, candidate{engine: eng, position: len(res)})
			}
		}
	}
	return res
}

// tooSlow reports whether an engine was moved to the last class because it is slow, and a call is of another class.
func (par *partition) tooSlow(eng *engine, own class) bool {
	last := class(len(par.classes) - 1)
	return eng.slow && eng.class == last && own != last
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
	// Scores hold no pointers: moving these is slow while the garbage collector runs.
	type score struct {
		num int32
		val uint64
	}
	best := make([]score, 0, limit+1)
	for num, eng := range engs {
		val := mix(prefix^eng.hash) >> 1
		if nearFirst && eng.remote {
			val |= remoteBit
		}
		if len(best) == limit && val >= best[limit-1].val {
			continue
		}
		pos, _ := slices.BinarySearchFunc(best, val, func(scr score, val uint64) int { return cmp.Compare(scr.val, val) })
		best = slices.Insert(best, pos, score{num: int32(num), val: val})
		best = best[:min(len(best), limit)]
	}
	res = make([]*engine, 0, len(best))
	for _, scr := range best {
		res = append(res, engs[scr.num])
	}
	return res
}
