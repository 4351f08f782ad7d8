package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// briefShare and fragileShare are the shares of the engines that these kinds of calls keep to themselves.
	briefShare   = 0.25
	fragileShare = 0.25
	// ownMost and otherMost are how many engines of a call's own kind and of each other kind are considered for it; more would cost every call time and let nodes with the same view choose the same engine.
	ownMost   = 16
	otherMost = 8
	// shortPrompt is the length from which a prompt delays the tokens of others noticeably, in tokens.
	shortPrompt = 4000
	// sturdyPauses is how many usual pauses while an engine reads a call must accept to be sturdy; slow spells stretch pauses two to three times.
	sturdyPauses = 4
	// nearLeast is the number of engines from which short prompts stay in the region; fewer do not even out its load.
	nearLeast = 4
)

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

// engine is an instance with what placement keeps of it.
type engine struct {
	router.Instance

	load *load
	hash uint64
	kind kind
	// far is set for engines in another region than this node.
	far bool
}

// fleet is the engines of a service, divided among the kinds of calls; nodes that know the same engines agree on it.
type fleet struct {
	// list is the instances from which the fleet was built.
	list  []router.Instance
	kinds [sturdy + 1][]*engine
	byID  map[uint64]*engine
}

// fleet returns the division of a list of instances, which it keeps until the service has another list.
func (brd *Board) fleet(service string, list []router.Instance) (fle *fleet) {
	brd.mut.Lock()
	fle = brd.fleets[service]
	brd.mut.Unlock()
	if fle != nil && len(fle.list) == len(list) && &fle.list[0] == &list[0] {
		return fle
	}
	fle = brd.divide(list)
	brd.mut.Lock()
	defer brd.mut.Unlock()
	brd.fleets[service] = fle
	return fle
}

// divide shares engines out among the kinds of calls.
func (brd *Board) divide(list []router.Instance) (fle *fleet) {
	fle = &fleet{list: list, byID: make(map[uint64]*engine, len(list))}
	ord := make([]*engine, 0, len(list))
	for _, ins := range list {
		eng := &engine{Instance: ins, load: brd.load(ins), hash: xxhash.Sum64String(ins.ID), far: brd.far(ins)}
		fle.byID[eng.load.id] = eng
		ord = append(ord, eng)
	}
	spread(ord)
	fst := max(1, int(math.Round(briefShare*float64(len(ord)))))
	snd := max(fst, int(math.Round((briefShare+fragileShare)*float64(len(ord)))))
	fle.kinds[brief], fle.kinds[fragile], fle.kinds[sturdy] = ord[:fst], ord[fst:snd], ord[snd:]
	for knd, engs := range fle.kinds {
		for _, eng := range engs {
			eng.kind = kind(knd)
		}
	}
	return fle
}

// spread orders engines by hash, with those of each failure domain evenly over the order.
func spread(engs []*engine) {
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

// candidate is an engine in the order in which a call considers it.
type candidate struct {
	*engine

	// step is how far down the ranking for the call's prefix the engine stands.
	step int
}

// candidates returns the engines considered for a call: the first in the ranking for its prefix, those of its own kind before others, and all that hold a beginning of its prompt.
func (fle *fleet) candidates(own kind, home uint64, held []map[uint64]use) (res []candidate) {
	seen := make(map[uint64]bool, ownMost+2*otherMost)
	for num := range fle.kinds {
		knd, most := kind((int(own)+num)%len(fle.kinds)), otherMost
		if knd == own {
			most = ownMost
		}
		for _, eng := range ranked(home, fle.kinds[knd], most, own == brief && fle.near(knd) >= nearLeast) {
			seen[eng.load.id] = true
			res = append(res, candidate{engine: eng, step: len(res)})
		}
	}
	for _, uses := range held {
		for id := range uses {
			if eng := fle.byID[id]; eng != nil && !seen[id] {
				seen[id] = true
				res = append(res, candidate{engine: eng, step: len(res)})
			}
		}
	}
	return res
}

// near returns how many engines of a kind are in the own region.
func (fle *fleet) near(knd kind) (num int) {
	for _, eng := range fle.kinds[knd] {
		if !eng.far {
			num++
		}
	}
	return num
}

// all returns every engine as a candidate.
func (fle *fleet) all() (res []candidate) {
	for _, engs := range fle.kinds {
		for _, eng := range engs {
			res = append(res, candidate{engine: eng, step: len(res)})
		}
	}
	return res
}

// farScore is what puts an engine of another region behind all near ones.
const farScore = 1 << 63

// ranked returns the first engines for a chain of parts by rendezvous hashing, on demand those of the own region first.
func ranked(home uint64, engs []*engine, most int, nearFirst bool) (res []*engine) {
	type score struct {
		eng *engine
		val uint64
	}
	best := make([]score, 0, most+1)
	for _, eng := range engs {
		val := mix(home^eng.hash) >> 1
		if nearFirst && eng.far {
			val |= farScore
		}
		if len(best) == most && val >= best[most-1].val {
			continue
		}
		pos, _ := slices.BinarySearchFunc(best, val, func(scr score, val uint64) int { return cmp.Compare(scr.val, val) })
		best = slices.Insert(best, pos, score{eng: eng, val: val})
		best = best[:min(len(best), most)]
	}
	for _, scr := range best {
		res = append(res, scr.eng)
	}
	return res
}
