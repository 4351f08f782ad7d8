package place

import (
	"sync"
	"time"
)

const (
	// cacheLife is how long a prefix counts as cached after its last use; engines drop the least recently used ones.
	cacheLife = 30 * time.Second
	// placedMost bounds the placements that wait to be told to peers.
	placedMost = 512
	// cacheSweep is the number of notes after which old ones are dropped.
	cacheSweep = 4096
)

// Placement says that an incarnation, named by the hash of its key, reads or has read a prefix.
type Placement struct {
	Prefix   uint64
	Instance uint64
}

// caches remembers which engines have read which prefixes.
type caches struct {
	mut    sync.Mutex
	used   map[uint64]map[uint64]time.Time
	placed []Placement
	notes  int
}

func newCaches() *caches {
	return &caches{used: make(map[uint64]map[uint64]time.Time)}
}

// note records a use of a prefix.
func (cas *caches) note(plc Placement, now time.Time) {
	cas.mut.Lock()
	defer cas.mut.Unlock()
	use := cas.used[plc.Prefix]
	if use == nil {
		use = make(map[uint64]time.Time)
		cas.used[plc.Prefix] = use
	}
	use[plc.Instance] = now
	cas.notes++
	if cas.notes >= cacheSweep {
		cas.notes = 0
		cas.sweep(now)
	}
}

// place records a use by this node, which peers are told.
func (cas *caches) place(chn []Prefix, instance uint64, now time.Time) {
	for _, pfx := range chn {
		plc := Placement{Prefix: pfx.Hash, Instance: instance}
		cas.note(plc, now)
		cas.mut.Lock()
		if len(cas.placed) < placedMost {
			cas.placed = append(cas.placed, plc)
		}
		cas.mut.Unlock()
	}
}

// holders returns for each prefix the engines that hold it with the time of the last use.
func (cas *caches) holders(chn []Prefix, now time.Time) (held []map[uint64]time.Time) {
	cas.mut.Lock()
	defer cas.mut.Unlock()
	held = make([]map[uint64]time.Time, len(chn))
	for num, pfx := range chn {
		held[num] = make(map[uint64]time.Time, len(cas.used[pfx.Hash]))
		for ins, use := range cas.used[pfx.Hash] {
			if now.Sub(use) < cacheLife {
				held[num][ins] = use
			}
		}
	}
	return held
}

func (cas *caches) drain() (pls []Placement) {
	cas.mut.Lock()
	defer cas.mut.Unlock()
	pls = cas.placed
	cas.placed = nil
	return pls
}

func (cas *caches) sweep(now time.Time) {
	for pfx, use := range cas.used {
		for ins, last := range use {
			if now.Sub(last) >= cacheLife {
				delete(use, ins)
			}
		}
		if len(use) == 0 {
			delete(cas.used, pfx)
		}
	}
}
