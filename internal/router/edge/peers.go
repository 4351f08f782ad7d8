package edge

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/terms"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// peerState exchanges load, crashes, prefix placements and the terms of upstreams with the peers. It implements mesh.LoadState.
type peerState struct {
	balancer *place.Balancer
	guard    *guard.Guard
	terms    *terms.Registry
	timers   router.Timers
	// admission is nil if calls are not delayed or refused for load.
	admission *admit.Controller

	mut     sync.Mutex
	crashes []guard.Crash
	// cleared holds the parts of prompts that this node cleared of crashes since the last digest.
	cleared []uint64
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

// recordAnswered clears parts of prompts with which an upstream began to answer a request, and reports those that were suspect
// to the peers.
func (pes *peerState) recordAnswered(parts []uint64, begun time.Time) {
	cleared := pes.guard.Answered(parts, begun)
	if len(cleared) == 0 {
		return
	}
	pes.mut.Lock()
	defer pes.mut.Unlock()
	pes.cleared = append(pes.cleared, cleared...)
}

// drainStrikes returns the crashes recorded and the parts cleared since the last digest. Package mesh sees to it that each
// peer gets them.
func (pes *peerState) drainStrikes() (sks []*wire.CrashStrike) {
	pes.mut.Lock()
	defer pes.mut.Unlock()
	for _, crs := range pes.crashes {
		sks = append(sks, &wire.CrashStrike{Request: crs.Digest, Instance: crs.Upstream, Parts: crs.Parts})
	}
	if len(pes.cleared) > 0 {
		sks = append(sks, &wire.CrashStrike{Answered: pes.cleared})
	}
	pes.crashes, pes.cleared = nil, nil
	return sks
}

// AddLocal adds this node's load, and its new crashes and prefix placements, to a digest.
func (pes *peerState) AddLocal(dig *wire.Digest) {
	for id, inf := range pes.balancer.LocalLoads() {
		lod := &wire.InstanceLoad{
			Instance: id,
			Running:  uint32(max(0, inf.Running)),
			Fragile:  float32(inf.GapRisk),
			Slow:     float32(pes.balancer.LocalSlowdown(id)),

			PrefillRate: float32(pes.balancer.LocalRate(id)),
			CacheTokens: uint64(max(0, inf.CacheTokens)),
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
	pes.addLocalWaiting(dig)
	for _, sta := range pes.terms.Recent() {
		dig.Terms = append(dig.Terms, &wire.StatedTerms{Instance: sta.Instance, RateLimit: sta.RateLimit, AgeMs: uint32(sta.Age.Milliseconds()), Leaving: sta.Leaving, Gone: sta.Gone, Refuses: sta.Refuses})
	}
	dig.Strikes = append(dig.Strikes, pes.drainStrikes()...)
	for _, plc := range pes.balancer.DrainPlacements() {
		dig.Placements = append(dig.Placements, &wire.Placement{Prefix: plc.Prefix, Instance: plc.Instance, Read: plc.Cached})
	}
}

// SetPeer applies a digest received from a peer.
func (pes *peerState) SetPeer(dig *wire.Digest) {
	infs := make(map[uint64]place.InFlight, len(dig.GetLoads()))
	rates := make(map[uint64]float64)
	for _, lod := range dig.GetLoads() {
		if isInvalidAmount(lod.GetFragile()) || isInvalidAmount(lod.GetSlow()) || isInvalidAmount(lod.GetPrefillRate()) {
			continue
		}
		inf := place.InFlight{Running: int(lod.GetRunning()), GapRisk: float64(lod.GetFragile()), CacheTokens: int(min(lod.GetCacheTokens(), math.MaxInt32))}
		for num, val := range lod.GetUnread() {
			if num < router.EngineRanks {
				inf.Pending[num] = int(val)
			}
		}
		infs[lod.GetInstance()] = inf
		if slo := lod.GetSlow(); slo > 0 {
			pes.balancer.SetPeerSlowdown(lod.GetInstance(), float64(slo))
		}
		if rat := lod.GetPrefillRate(); rat > 0 {
			rates[lod.GetInstance()] = float64(rat)
		}
	}
	pes.balancer.SetPeerLoads(dig.GetNode(), infs)
	pes.balancer.SetPeerRates(dig.GetNode(), rates)
	pes.balancer.SetPeerDemand(dig.GetNode(), decodeDemands(dig.GetDemands()))
	pes.setPeerWaiting(dig.GetNode(), dig.GetDemands())
	pes.addTerms(dig.GetTerms())
	pes.AddStrikes(dig.GetStrikes())
	pls := make([]place.Placement, 0, len(dig.GetPlacements()))
	for _, plc := range dig.GetPlacements() {
		pls = append(pls, place.Placement{Prefix: plc.GetPrefix(), Instance: plc.GetInstance(), Cached: plc.GetRead()})
	}
	pes.balancer.AddPeerPlacements(pls)
}

// addTerms records what upstreams stated to a peer.
func (pes *peerState) addTerms(msgs []*wire.StatedTerms) {
	sts := make([]terms.Stated, 0, len(msgs))
	for _, msg := range msgs {
		if lim := msg.GetRateLimit(); lim >= 0 && !math.IsInf(lim, 0) {
			sts = append(sts, terms.Stated{Instance: msg.GetInstance(), RateLimit: lim, Age: time.Duration(msg.GetAgeMs()) * time.Millisecond, Leaving: msg.GetLeaving(), Gone: msg.GetGone(), Refuses: msg.GetRefuses()})
		}
		if msg.GetRefuses() {
			pes.balancer.EjectByPeer(msg.GetInstance(), time.Duration(msg.GetAgeMs())*time.Millisecond)
		}
	}
	pes.terms.AddPeer(sts)
}

// History returns the crashes that a node which has started needs to know, those of parts of prompts and those of requests.
func (pes *peerState) History() (sks []*wire.CrashStrike) {
	now := pes.timers.Now()
	age := func(crs guard.Crash) uint32 {
		return uint32(max(0, min(now.Sub(crs.At).Milliseconds(), math.MaxUint32)))
	}
	for _, crs := range pes.guard.PartCrashes() {
		sks = append(sks, &wire.CrashStrike{Instance: crs.Upstream, Parts: crs.Parts, AgeMs: age(crs)})
	}
	for _, crs := range pes.guard.RequestCrashes() {
		sks = append(sks, &wire.CrashStrike{Request: crs.Digest, Instance: crs.Upstream, AgeMs: age(crs)})
	}
	return sks
}

// AddStrikes records crashes that a peer reports. A report is repeated, to peers of other regions seconds later; an incarnation of
// an upstream crashes once.
func (pes *peerState) AddStrikes(sks []*wire.CrashStrike) {
	now := pes.timers.Now()
	for _, crs := range sks {
		if len(crs.GetAnswered()) > 0 {
			pes.guard.Answered(crs.GetAnswered(), now)
			continue
		}
		at := now.Add(-time.Duration(crs.GetAgeMs()) * time.Millisecond)
		if crs.GetRequest() == "" {
			pes.guard.AddPartCrash(guard.Crash{Upstream: crs.GetInstance(), At: at, Parts: crs.GetParts()})
			continue
		}
		if pes.guard.HasCrash(crs.GetRequest(), crs.GetInstance()) {
			continue
		}
		pes.guard.Add(guard.Crash{Digest: crs.GetRequest(), Upstream: crs.GetInstance(), At: at, Parts: crs.GetParts()})
	}
}

// RemovePeer removes the load of a peer that is no longer live.
func (pes *peerState) RemovePeer(name string) {
	pes.balancer.SetPeerLoads(name, nil)
	pes.balancer.SetPeerRates(name, nil)
	pes.balancer.SetPeerDemand(name, nil)
	pes.setPeerWaiting(name, nil)
}

// decodeDemands converts the demand in a digest; a message with lists of different lengths or with values that are no
// demand is dropped.
func decodeDemands(msgs []*wire.ServiceDemand) (dems map[uint64][]place.Demand) {
	dems = make(map[uint64][]place.Demand, len(msgs))
	for _, msg := range msgs {
		cals, toks, rnn := msg.GetCalls(), msg.GetPrefillTokens(), msg.GetRunning()
		if len(toks) != len(cals) || len(rnn) != len(cals) || slices.ContainsFunc(slices.Concat(cals, toks, rnn), isInvalidAmount) {
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

// isInvalidAmount reports whether a value can be neither a demand nor a load. Sums would keep a value that is not a number
// for ever.
func isInvalidAmount(val float32) bool {
	return math.IsNaN(float64(val)) || math.IsInf(float64(val), 0) || val < 0
}
