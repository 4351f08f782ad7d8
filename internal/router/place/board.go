package place

import (
	"strconv"
	"sync"
	"time"

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

// Board knows the load of the upstreams, as far as this node can see it.
type Board struct {
	options Options
	mut     sync.Mutex
	loads   map[string]*load
}

// New returns a Board that knows of no load.
func New(opt Options) *Board {
	return &Board{options: opt, loads: make(map[string]*load)}
}

// Forget drops what is known of an incarnation that ended.
func (brd *Board) Forget(ins router.Instance) {
	brd.mut.Lock()
	defer brd.mut.Unlock()
	delete(brd.loads, Key(ins))
}

// load returns the load of an incarnation.
func (brd *Board) load(ins router.Instance) *load {
	key := Key(ins)
	brd.mut.Lock()
	defer brd.mut.Unlock()
	lod := brd.loads[key]
	if lod == nil {
		lod = &load{}
		brd.loads[key] = lod
	}
	return lod
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
	Tier   int
	Target time.Duration
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
