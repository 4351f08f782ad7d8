package place

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Key names an incarnation.
func Key(ins router.Instance) string {
	return ins.ID + "/" + strconv.FormatInt(ins.Born, 10)
}

// Options are what a Board is built from.
type Options struct {
	Timers router.Timers
	// FailureDomain is where this node stands.
	FailureDomain string
	// Regions maps failure domains to their regions.
	Regions map[string]string
}

// Board knows the load of the upstreams, as far as this node and its peers can see it.
type Board struct {
	options Options
	caches  *caches

	mut   sync.Mutex
	loads map[string]*load
	byID  map[uint64]*load
	// peers holds what each peer last said, so that it can be replaced.
	peers map[string]map[uint64]InFlight
	// fleets holds the division of each service's engines.
	fleets map[string]*fleet
}

// New returns a Board that knows of no load.
func New(opt Options) *Board {
	return &Board{
		options: opt,
		caches:  newCaches(),
		loads:   make(map[string]*load),
		byID:    make(map[uint64]*load),
		peers:   make(map[string]map[uint64]InFlight),
		fleets:  make(map[string]*fleet),
	}
}

// Forget drops what is known of an incarnation that ended.
func (brd *Board) Forget(ins router.Instance) {
	brd.mut.Lock()
	defer brd.mut.Unlock()
	key := Key(ins)
	delete(brd.loads, key)
	delete(brd.byID, xxhash.Sum64String(key))
}

// load returns the load of an incarnation.
func (brd *Board) load(ins router.Instance) *load {
	key := Key(ins)
	brd.mut.Lock()
	defer brd.mut.Unlock()
	lod := brd.loads[key]
	if lod == nil {
		lod = &load{id: xxhash.Sum64String(key)}
		brd.loads[key] = lod
		brd.byID[lod.id] = lod
	}
	return lod
}

// Pause gives an incarnation nothing for a moment, because it could not be reached.
func (brd *Board) Pause(ins router.Instance) {
	lod := brd.load(ins)
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.pause(brd.options.Timers.Now())
}

// Own returns what this node has in flight, by the hash of the incarnation's key.
func (brd *Board) Own() (infs map[uint64]InFlight) {
	brd.mut.Lock()
	defer brd.mut.Unlock()
	infs = make(map[uint64]InFlight)
	for id, lod := range brd.byID {
		lod.mut.Lock()
		if lod.own != (InFlight{}) {
			infs[id] = lod.own
		}
		lod.mut.Unlock()
	}
	return infs
}

// Slow returns how many times longer than usual an incarnation's steps took just now, named by the hash of its key; zero when this node has not seen any.
func (brd *Board) Slow(id uint64) (slow float64) {
	brd.mut.Lock()
	lod := brd.byID[id]
	brd.mut.Unlock()
	if lod == nil {
		return 0
	}
	lod.mut.Lock()
	defer lod.mut.Unlock()
	return lod.pace.fresh(brd.options.Timers.Now())
}

// PeerSlow takes what a peer saw of an incarnation's steps just now, unless this node sees them itself.
func (brd *Board) PeerSlow(id uint64, slow float64) {
	brd.mut.Lock()
	lod := brd.byID[id]
	brd.mut.Unlock()
	if lod == nil {
		return
	}
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.pace.learn(slow, brd.options.Timers.Now())
}

// Peer replaces what a peer has in flight; an empty map forgets the peer.
func (brd *Board) Peer(name string, infs map[uint64]InFlight) {
	brd.mut.Lock()
	defer brd.mut.Unlock()
	brd.addPeer(brd.peers[name], -1)
	kept := make(map[uint64]InFlight, len(infs))
	for id, inf := range infs {
		if brd.byID[id] != nil {
			kept[id] = inf
		}
	}
	brd.addPeer(kept, 1)
	brd.peers[name] = kept
	if len(kept) == 0 {
		delete(brd.peers, name)
	}
}

func (brd *Board) addPeer(infs map[uint64]InFlight, sign int) {
	for id, inf := range infs {
		lod := brd.byID[id]
		if lod == nil {
			continue
		}
		lod.mut.Lock()
		lod.peers.add(inf, sign)
		lod.mut.Unlock()
	}
}

// Placed returns the prefixes that this node placed since the last call.
func (brd *Board) Placed() []Placement {
	return brd.caches.drain()
}

// PeerPlaced notes prefixes that a peer placed.
func (brd *Board) PeerPlaced(pls []Placement) {
	now := brd.options.Timers.Now()
	for _, plc := range pls {
		brd.caches.note(plc, now)
	}
}

// Want is what placement needs to know of a call.
type Want struct {
	Service string
	// Chain identifies the shared beginnings of the prompt, the longest last.
	Chain []Prefix
	// Prompt is the length of the prompt in tokens; zero for plain calls.
	Prompt int
	// Output is the expected length of the answer in tokens.
	Output int
	Ranks  router.Ranks
	Target time.Duration
	// Gap is the longest pause between events that meets the objective; zero means that there is none.
	Gap time.Duration
	// Engine describes the engines; nil when nothing is known of them.
	Engine *router.EngineSpec
}

// Prefix is a beginning of a prompt.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// Shared returns the shared beginnings of a prompt, whose last part is its own.
func Shared(prs []router.Part) (chn []Prefix) {
	hash, sum := uint64(0), 0
	for _, prt := range prs[:max(0, len(prs)-1)] {
		hash = mix(hash ^ prt.ID)
		sum += prt.Tokens
		chn = append(chn, Prefix{Hash: hash, Tokens: sum})
	}
	return chn
}

// mix spreads the bits of a hash.
func mix(val uint64) uint64 {
	val ^= val >> 30
	val *= 0xbf58476d1ce4e5b9
	val ^= val >> 27
	val *= 0x94d049bb133111eb
	return val ^ val>>31
}
