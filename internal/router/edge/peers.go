package edge

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// crashReportTTL is how long each digest repeats a crash, so that a lost digest does not lose it.
// It is below the 1 s within which package guard counts repeated reports of a crash as one.
const crashReportTTL = 500 * time.Millisecond

// peerState exchanges load, crashes and prefix placements with the peers. It implements mesh.LoadState.
type peerState struct {
	balancer *place.Balancer
	guard    *guard.Guard
	timers   router.Timers

	mut     sync.Mutex
	crashes []guard.Crash
}

// recordCrash records a crash detected by this node and reports it to the peers, unless it is
// already recorded.
func (pes *peerState) recordCrash(crs guard.Crash) {
	if !pes.guard.Add(crs) {
		return
	}
	pes.mut.Lock()
	defer pes.mut.Unlock()
	pes.crashes = append(pes.crashes, crs)
}

// recentCrashes returns the crashes to report in the next digest, and drops expired ones.
func (pes *peerState) recentCrashes() []guard.Crash {
	pes.mut.Lock()
	defer pes.mut.Unlock()
	now := pes.timers.Now()
	pes.crashes = slices.DeleteFunc(pes.crashes, func(crs guard.Crash) bool { return now.Sub(crs.At) > crashReportTTL })
	return slices.Clone(pes.crashes)
}

// AddLocal adds this node's load, recent crashes and new prefix placements to a digest.
func (pes *peerState) AddLocal(dig *wire.Digest) {
	for id, inf := range pes.balancer.LocalLoads() {
		lod := &wire.InstanceLoad{
			Instance: id,
			Running:  uint32(max(0, inf.Running)),
			Fragile:  float32(inf.GapRisk),
			Slow:     float32(pes.balancer.LocalSlowdown(id)),
		}
		for _, num := range inf.Pending {
			lod.Unread = append(lod.Unread, uint32(max(0, num)))
		}
		dig.Loads = append(dig.Loads, lod)
	}
	for svc, dems := range pes.balancer.LocalDemand() {
		msg := &wire.ServiceDemand{Service: svc}
		for _, dem := range dems {
			msg.Calls = append(msg.Calls, float32(dem.Calls))
			msg.PrefillTokens = append(msg.PrefillTokens, float32(dem.PrefillTokens))
			msg.Running = append(msg.Running, float32(dem.Running))
		}
		dig.Demands = append(dig.Demands, msg)
	}
	for _, crs := range pes.recentCrashes() {
		dig.Strikes = append(dig.Strikes, &wire.CrashStrike{Request: crs.Digest, Instance: crs.Upstream})
	}
	for _, plc := range pes.balancer.DrainPlacements() {
		dig.Placements = append(dig.Placements, &wire.Placement{Prefix: plc.Prefix, Instance: plc.Instance, Read: plc.Cached})
	}
}

// SetPeer applies a digest received from a peer.
func (pes *peerState) SetPeer(dig *wire.Digest) {
	infs := make(map[uint64]place.InFlight, len(dig.GetLoads()))
	for _, lod := range dig.GetLoads() {
		if isNoDemand(lod.GetFragile()) || isNoDemand(lod.GetSlow()) {
			continue
		}
		inf := place.InFlight{Running: int(lod.GetRunning()), GapRisk: float64(lod.GetFragile())}
		for num, val := range lod.GetUnread() {
			if num < router.EngineRanks {
				inf.Pending[num] = int(val)
			}
		}
		infs[lod.GetInstance()] = inf
		if slo := lod.GetSlow(); slo > 0 {
			pes.balancer.SetPeerSlowdown(lod.GetInstance(), float64(slo))
		}
	}
	pes.balancer.SetPeerLoads(dig.GetNode(), infs)
	pes.balancer.SetPeerDemand(dig.GetNode(), decodeDemands(dig.GetDemands()))
	for _, crs := range dig.GetStrikes() {
		// The guard drops the repeats of a crash in later digests.
		pes.guard.Add(guard.Crash{Digest: crs.GetRequest(), Upstream: crs.GetInstance(), At: pes.timers.Now()})
	}
	pls := make([]place.Placement, 0, len(dig.GetPlacements()))
	for _, plc := range dig.GetPlacements() {
		pls = append(pls, place.Placement{Prefix: plc.GetPrefix(), Instance: plc.GetInstance(), Cached: plc.GetRead()})
	}
	pes.balancer.AddPeerPlacements(pls)
}

// RemovePeer removes the load of a peer that is no longer live.
func (pes *peerState) RemovePeer(name string) {
	pes.balancer.SetPeerLoads(name, nil)
	pes.balancer.SetPeerDemand(name, nil)
}

// decodeDemands converts the demand in a digest; a message with lists of different lengths or with values that are no
// demand is dropped.
func decodeDemands(msgs []*wire.ServiceDemand) (dems map[uint64][]place.Demand) {
	dems = make(map[uint64][]place.Demand, len(msgs))
	for _, msg := range msgs {
		cals, toks, rnn := msg.GetCalls(), msg.GetPrefillTokens(), msg.GetRunning()
		if len(toks) != len(cals) || len(rnn) != len(cals) || slices.ContainsFunc(slices.Concat(cals, toks, rnn), isNoDemand) {
			continue
		}
		for num := range cals {
			dems[msg.GetService()] = append(dems[msg.GetService()], place.Demand{
				Calls: float64(cals[num]), PrefillTokens: float64(toks[num]), Running: float64(rnn[num]),
			})
		}
	}
	return dems
}

// isNoDemand reports whether a value cannot be a demand or a load. Sums would keep a value that is not a number for ever.
func isNoDemand(val float32) bool {
	return math.IsNaN(float64(val)) || math.IsInf(float64(val), 0) || val < 0
}
