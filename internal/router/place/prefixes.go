package place

import (
	"sync"
	"time"
)

const (
	// cacheTTL is how long a prefix counts as cached after its last use; engines evict the least recently used ones.
	cacheTTL = 30 * time.Second
	// maxUnreported bounds the placements that wait to be reported to peers; further ones are not reported.
	maxUnreported = 512
	// sweepInterval is the number of records after which expired entries are deleted.
	sweepInterval = 4096
)

// Placement records that a call with a prefix was sent to an incarnation.
type Placement struct {
	Prefix uint64
	// Instance is the hash of the incarnation's key.
	Instance uint64
	// Cached is set once the incarnation has prefilled the prefix; before that, the prefill may still be queued.
	Cached bool
}

// cacheEntry is the state of a prefix at an engine.
type cacheEntry struct {
	lastUse time.Time
	// cached is set once the engine has prefilled the prefix.
	cached bool
}

// prefixIndex tracks which engines have cached, or will have cached, which prefixes.
type prefixIndex struct {
	mut sync.Mutex
	// entries maps the hash of a prefix and the id of an engine's load to the state there.
	entries map[uint64]map[uint64]cacheEntry
	// unreported holds the placements by this node that peers have not been sent yet.
	unreported []Placement
	// tokens holds the length of the last part of each prefix, where this node has seen a call with it, and mean the mean
	// of these.
	tokens map[uint64]int
	mean   average
	// records counts calls of record since the last sweep.
	records int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{entries: make(map[uint64]map[uint64]cacheEntry), tokens: make(map[uint64]int)}
}

// record updates the entry of a placement's prefix.
func (pix *prefixIndex) record(plc Placement, now time.Time) {
	pix.mut.Lock()
	defer pix.mut.Unlock()
	ents := pix.entries[plc.Prefix]
	if ents == nil {
		ents = make(map[uint64]cacheEntry)
		pix.entries[plc.Prefix] = ents
	}
	old := ents[plc.Instance]
	ents[plc.Instance] = cacheEntry{lastUse: now, cached: plc.Cached || old.cached && now.Sub(old.lastUse) < cacheTTL}
	pix.records++
	if pix.records >= sweepInterval {
		pix.records = 0
		pix.sweep(now)
	}
}

// recordLocal records a placement of each prefix by this node and queues them to be reported to peers.
func (pix *prefixIndex) recordLocal(pfs []Prefix, instance uint64, cached bool, now time.Time) {
	before := 0
	for _, pfx := range pfs {
		plc := Placement{Prefix: pfx.Hash, Instance: instance, Cached: cached}
		pix.record(plc, now)
		pix.mut.Lock()
		pix.tokens[pfx.Hash] = pfx.Tokens - before
		pix.mean.add(float64(pfx.Tokens-before), serviceWeight)
		before = pfx.Tokens
		if len(pix.unreported) < maxUnreported {
			pix.unreported = append(pix.unreported, plc)
		}
		pix.mut.Unlock()
	}
}

// holders returns for each prefix the engines that have it cached or will have prefilled it before a call that is sent now.
func (pix *prefixIndex) holders(pfs []Prefix, now time.Time) (hds []map[uint64]cacheEntry) {
	pix.mut.Lock()
	defer pix.mut.Unlock()
	hds = make([]map[uint64]cacheEntry, len(pfs))
	for num, pfx := range pfs {
		hds[num] = make(map[uint64]cacheEntry, len(pix.entries[pfx.Hash]))
		for id, ent := range pix.entries[pfx.Hash] {
			if now.Sub(ent.lastUse) < cacheTTL {
				hds[num][id] = ent
			}
		}
	}
	return hds
}

// partTokens returns the length of the last part of a prefix, or an estimate if this node has seen no call with it.
func (pix *prefixIndex) partTokens(prefix uint64) int {
	pix.mut.Lock()
	defer pix.mut.Unlock()
	if num, fnd := pix.tokens[prefix]; fnd {
		return num
	}
	return int(pix.mean.value)
}

func (pix *prefixIndex) drain() (pls []Placement) {
	pix.mut.Lock()
	defer pix.mut.Unlock()
	pls = pix.unreported
	pix.unreported = nil
	return pls
}

// sweep deletes expired entries; the caller holds the lock.
func (pix *prefixIndex) sweep(now time.Time) {
	for pfx, ents := range pix.entries {
		for id, ent := range ents {
			if now.Sub(ent.lastUse) >= cacheTTL {
				delete(ents, id)
			}
		}
		if len(ents) == 0 {
			delete(pix.entries, pfx)
			delete(pix.tokens, pfx)
		}
	}
}
