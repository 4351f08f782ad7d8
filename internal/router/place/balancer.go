package place

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Options configure a Balancer.
type Options struct {
	Timers router.Timers
	// FailureDomain is the failure domain of this node.
	FailureDomain string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// OnSpeed is called when an engine is found to be slow, or no longer; nil for none. It must not call the Balancer.
	OnSpeed func(chg SpeedChange)
}

// Balancer tracks the load of upstreams as reported by this node and its peers, and chooses upstreams for calls.
// It is safe for concurrent use.
type Balancer struct {
	options  Options
	prefixes *prefixIndex

	mut sync.Mutex
	// loads holds the loads by the incarnation's key, byID by the hash of that key.
	loads map[string]*load
	byID  map[uint64]*load
	// peers holds the latest report of each peer, which is subtracted when the next one arrives.
	peers map[string]map[uint64]InFlight
	// peerRates holds the prefill rates that each peer reported last.
	peerRates map[string]map[uint64]float64
	// services holds the classes of calls and the partition of the engines of each service with prompts.
	services map[string]*service
}

// New returns a Balancer without any load.
func New(opt Options) *Balancer {
	return &Balancer{
		options:  opt,
		prefixes: newPrefixIndex(),
		loads:    make(map[string]*load),
		byID:     make(map[uint64]*load),
		peers:    make(map[string]map[uint64]InFlight),
		services: make(map[string]*service),

		peerRates: make(map[string]map[uint64]float64),
	}
}

// Remove deletes the load of an incarnation that ended.
func (bal *Balancer) Remove(ins router.Instance) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	key := ins.Key()
	id := xxhash.Sum64String(key)
	delete(bal.loads, key)
	delete(bal.byID, id)
	// A load that is created again starts without what peers reported before.
	for _, infs := range bal.peers {
		delete(infs, id)
	}
}

// loadOf returns the load of an incarnation and creates it if necessary.
func (bal *Balancer) loadOf(ins router.Instance) *load {
	key := ins.Key()
	bal.mut.Lock()
	defer bal.mut.Unlock()
	lod := bal.loads[key]
	if lod == nil {
		lod = &load{id: xxhash.Sum64String(key)}
		bal.loads[key] = lod
		bal.byID[lod.id] = lod
	}
	return lod
}

// loadByID returns the load of an incarnation by the hash of its key, or nil.
func (bal *Balancer) loadByID(id uint64) *load {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	return bal.byID[id]
}

// Eject stops sending calls to an unreachable incarnation for a backoff period.
func (bal *Balancer) Eject(ins router.Instance) {
	lod := bal.loadOf(ins)
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.eject(bal.options.Timers.Now())
}

// EjectByPeer stops sending calls to an incarnation at whose address a peer found no listener, for peerEjection from then on. After that
// one call probes it. The id is the hash of the incarnation's key.
func (bal *Balancer) EjectByPeer(id uint64, age time.Duration) {
	lod := bal.loadByID(id)
	if lod == nil {
		return
	}
	lod.mut.Lock()
	defer lod.mut.Unlock()
	if until := bal.options.Timers.Now().Add(peerEjection - age); until.After(lod.ejectedUntil) && age < peerEjection {
		lod.ejectedUntil, lod.failureStreak = until, max(1, lod.failureStreak)
	}
}

// LocalLoads returns what this node has in flight, by the hash of the incarnation's key. Incarnations without a call are left out, although
// their prefill rate may have been observed lately: digests grow with each entry, and a rate is observed while its call still runs.
func (bal *Balancer) LocalLoads() (infs map[uint64]InFlight) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	infs = make(map[uint64]InFlight)
	for id, lod := range bal.byID {
		lod.mut.Lock()
		if lod.local != (InFlight{}) {
			infs[id] = lod.local
		}
		lod.mut.Unlock()
	}
	return infs
}

// LocalSlowdown returns the slowdown of an incarnation that this node's own streams show at present; zero means that no
// stream had a recent event. The id is the hash of the incarnation's key.
func (bal *Balancer) LocalSlowdown(id uint64) (slowdown float64) {
	lod := bal.loadByID(id)
	if lod == nil {
		return 0
	}
	lod.mut.Lock()
	defer lod.mut.Unlock()
	return lod.gaps.local(bal.options.Timers.Now())
}

// SetPeerSlowdown records the slowdown that a peer reported, unless this node's own streams show a recent one.
func (bal *Balancer) SetPeerSlowdown(id uint64, slowdown float64) {
	lod := bal.loadByID(id)
	if lod == nil {
		return
	}
	lod.mut.Lock()
	defer lod.mut.Unlock()
	lod.gaps.setPeer(slowdown, bal.options.Timers.Now())
}

// SetPeerLoads replaces what a peer has in flight, by the hash of the incarnation's key; an empty map removes the peer.
// Incarnations that this node has no load of are ignored.
func (bal *Balancer) SetPeerLoads(name string, infs map[uint64]InFlight) {
	bal.mut.Lock()
	defer bal.mut.Unlock()
	bal.addPeerLoads(bal.peers[name], -1)
	known := make(map[uint64]InFlight, len(infs))
	for id, inf := range infs {
		if bal.byID[id] != nil {
			known[id] = inf
		}
	}
	bal.addPeerLoads(known, 1)
	bal.peers[name] = known
	if len(known) == 0 {
		delete(bal.peers, name)
	}
}

func (bal *Balancer) addPeerLoads(infs map[uint64]InFlight, sign int) {
	for id, inf := range infs {
		lod := bal.byID[id]
		if lod == nil {
			continue
		}
		lod.mut.Lock()
		lod.peers.add(inf, sign)
		lod.mut.Unlock()
	}
}

// DrainPlacements returns the placements by this node since the previous call of DrainPlacements.
func (bal *Balancer) DrainPlacements() []Placement {
	return bal.prefixes.drain()
}

// AddPeerPlacements records placements by a peer.
func (bal *Balancer) AddPeerPlacements(pls []Placement) {
	now := bal.options.Timers.Now()
	for _, plc := range pls {
		bal.prefixes.record(plc, now)
	}
	bal.placePeerParts(pls, now)
}

// Request holds the properties of a call that its placement depends on.
type Request struct {
	Service string
	// Prefixes are the prefixes of the prompt that other calls may share, in ascending length.
	Prefixes []Prefix
	// PromptTokens is the length of the prompt in tokens; zero for plain calls.
	PromptTokens int
	// OutputTokens is the expected length of the output in tokens.
	OutputTokens int
	Ranks        router.Ranks
	// Target is the SLO for the time to the first event; zero selects a default.
	Target time.Duration
	// GapTarget is the SLO for the longest gap between two events; zero means none.
	GapTarget time.Duration
	// Engine describes the engines of the service; nil if the service has no description of them.
	Engine *router.EngineSpec

	// class, prefillGap and memory are set by Choose: the class of the call, the usual gap between events during prefill at
	// the engines of the service, and the view of their cache memory, nil if it is not scarce.
	class      class
	prefillGap time.Duration
	memory     *memoryView
}

// Prefix is a prefix of a prompt.
type Prefix struct {
	// Hash identifies the prefix; it covers all of its parts.
	Hash uint64
	// Tokens is the length of the prefix.
	Tokens int
}

// SharedPrefixes returns the prefixes of a prompt that other calls may share: all but the whole prompt, whose last part is
// specific to the call.
func SharedPrefixes(prs []router.PromptPart) (pfs []Prefix) {
	hash, sum := uint64(0), 0
	for _, prt := range prs[:max(0, len(prs)-1)] {
		hash = mix(hash ^ prt.ID)
		sum += prt.Tokens
		pfs = append(pfs, Prefix{Hash: hash, Tokens: sum})
	}
	return pfs
}

// mix spreads the bits of a hash; it is the finalizer of splitmix64.
func mix(val uint64) uint64 {
	val ^= val >> 30
	val *= 0xbf58476d1ce4e5b9
	val ^= val >> 27
	val *= 0x94d049bb133111eb
	return val ^ val>>31
}
