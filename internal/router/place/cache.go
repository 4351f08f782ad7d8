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
	// Read is set once the incarnation has read the prefix.
	Read bool
}

// use is what is known of a prefix at an engine.
type use struct {
	last time.Time
	// read is set once the engine has read the prefix.
	read bool
}

// caches remembers which engines have read which prefixes.
type caches struct {
	mut    sync.Mutex
	used   map[uint64]map[uint64]use
	placed []Placement
	notes  int
}

func newCaches() *caches {
	return &caches{used: make(map[uint64]map[uint64]use)}
}

// note records a use of a prefix.
func (cas *caches) note(plc Placement, now time.Time) {
	cas.mut.Lock()
	defer cas.mut.Unlock()
	uses := cas.used[plc.Prefix]
	if uses == nil {
		uses = make(map[uint64]use)
		cas.used[plc.Prefix] = uses
	}
	old := uses[plc.Instance]
	uses[plc.Instance] = use{last: now, read: plc.Read || old.read && now.Sub(old.last) < cacheLife}
	cas.notes++
	if cas.notes >= cacheSweep {
		cas.notes = 0
		cas.sweep(now)
	}
}

// place records a use by this node, which peers are told; read is set once the engine has read the prefixes.
func (cas *caches) place(chn []Prefix, instance uint64, read bool, now time.Time) {
	for _, pfx := range chn {
		plc := Placement{Prefix: pfx.Hash, Instance: instance, Read: read}
		cas.note(plc, now)
		cas.mut.Lock()
		if len(cas.placed) < placedMost {
			cas.placed = append(cas.placed, plc)
		}
		cas.mut.Unlock()
	}
}

// holders returns for each prefix the engines that hold it or will have read it before a call that comes now.
func (cas *caches) holders(chn []Prefix, now time.Time) (held []map[uint64]use) {
	cas.mut.Lock()
	defer cas.mut.Unlock()
	held = make([]map[uint64]use, len(chn))
	for num, pfx := range chn {
		held[num] = make(map[uint64]use, len(cas.used[pfx.Hash]))
		for ins, one := range cas.used[pfx.Hash] {
			if now.Sub(one.last) < cacheLife {
				held[num][ins] = one
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
	for pfx, uses := range cas.used {
		for ins, one := range uses {
			if now.Sub(one.last) >= cacheLife {
				delete(uses, ins)
			}
		}
		if len(uses) == 0 {
			delete(cas.used, pfx)
		}
	}
}
