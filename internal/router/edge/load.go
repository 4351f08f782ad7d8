package edge

import (
	"slices"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// strikeLife is how long a strike is told in every digest, so that lost ones do not matter; guard counts repeats within a second once.
const strikeLife = 500 * time.Millisecond

// loadView carries load and crashes to peers and back; it implements mesh.Load.
type loadView struct {
	balancer *place.Balancer
	guard    *guard.Guard
	timers   router.Timers

	mut     sync.Mutex
	strikes []guard.Crash
}

// strike records a crash and tells the peers.
func (lov *loadView) strike(stk guard.Crash) {
	if !lov.guard.Add(stk) {
		return
	}
	lov.mut.Lock()
	defer lov.mut.Unlock()
	lov.strikes = append(lov.strikes, stk)
}

// recent returns the strikes that peers are told.
func (lov *loadView) recent() []guard.Crash {
	lov.mut.Lock()
	defer lov.mut.Unlock()
	now := lov.timers.Now()
	lov.strikes = slices.DeleteFunc(lov.strikes, func(stk guard.Crash) bool { return now.Sub(stk.At) > strikeLife })
	return slices.Clone(lov.strikes)
}

// Describe adds this node's load to a digest.
func (lov *loadView) Describe(dig *wire.Digest) {
	for id, inf := range lov.balancer.LocalLoads() {
		lod := &wire.InstanceLoad{
			Instance: id,
			Running:  uint32(max(0, inf.Running)),
			Fragile:  float32(inf.GapRisk),
			Slow:     float32(lov.balancer.LocalSlowdown(id)),
		}
		for _, num := range inf.Pending {
			lod.Unread = append(lod.Unread, uint32(max(0, num)))
		}
		dig.Loads = append(dig.Loads, lod)
	}
	for _, stk := range lov.recent() {
		dig.Strikes = append(dig.Strikes, &wire.CrashStrike{Request: stk.Digest, Instance: stk.Upstream})
	}
	for _, plc := range lov.balancer.DrainPlacements() {
		dig.Placements = append(dig.Placements, &wire.Placement{Prefix: plc.Prefix, Instance: plc.Instance, Read: plc.Cached})
	}
}

// Learn takes a peer's load.
func (lov *loadView) Learn(dig *wire.Digest) {
	infs := make(map[uint64]place.InFlight, len(dig.GetLoads()))
	for _, lod := range dig.GetLoads() {
		inf := place.InFlight{Running: int(lod.GetRunning()), GapRisk: float64(lod.GetFragile())}
		for num, val := range lod.GetUnread() {
			if num < router.EngineRanks {
				inf.Pending[num] = int(val)
			}
		}
		infs[lod.GetInstance()] = inf
		if slo := lod.GetSlow(); slo > 0 {
			lov.balancer.SetPeerSlowdown(lod.GetInstance(), float64(slo))
		}
	}
	lov.balancer.SetPeerLoads(dig.GetNode(), infs)
	for _, stk := range dig.GetStrikes() {
		// Repeats of a strike within its life count once.
		lov.guard.Add(guard.Crash{Digest: stk.GetRequest(), Upstream: stk.GetInstance(), At: lov.timers.Now()})
	}
	pls := make([]place.Placement, 0, len(dig.GetPlacements()))
	for _, plc := range dig.GetPlacements() {
		pls = append(pls, place.Placement{Prefix: plc.GetPrefix(), Instance: plc.GetInstance(), Cached: plc.GetRead()})
	}
	lov.balancer.AddPeerPlacements(pls)
}

// Lose forgets the load of a peer that is not heard any more.
func (lov *loadView) Lose(name string) {
	lov.balancer.SetPeerLoads(name, nil)
}
