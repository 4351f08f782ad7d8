package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/member"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// Period is the time between two rounds of probes.
	Period = time.Second
	// probesPerRound is the number of peers that are probed in one round.
	probesPerRound = 2
	// indirectProbes is how many peers are requested to probe one that did not answer.
	indirectProbes = 2
	// probeTimeout limits a probe of a peer of the same region.
	probeTimeout = 400 * time.Millisecond
	// indirectTimeout limits an indirect probe, which contains a direct one.
	indirectTimeout = 2 * probeTimeout
	// remoteTimeout limits calls to peers of other regions, and calls whose peer may be in any region.
	remoteTimeout = time.Second
	// maxUpdates limits the piggybacked updates of one message.
	maxUpdates = 12
	// deadProbeRounds is the number of rounds between two probes of dead members.
	deadProbeRounds = 5
	// syncRounds is the number of rounds between two table comparisons.
	syncRounds = 15
	// forcedSyncRounds is the number of rounds between comparisons that take place even if the table is not stable.
	forcedSyncRounds = 20 * syncRounds
	// stableTime is how long the table must be unchanged before it is compared. Updates spread faster
	// than that, so a difference that remains is due to a lost update.
	stableTime = 12 * time.Second
)

// Caller sends requests to peers.
type Caller interface {
	// Call sends a request to the peer at an address and returns its reply, or an error if none arrives
	// before the context ends.
	Call(ctx context.Context, address string, req *wire.Request) (rep *wire.Reply, err error)
}

// Options configures a Gossip.
type Options struct {
	Timers  router.Timers
	Members *member.Table
	Caller  Caller
	Log     *slog.Logger
	// Seeds returns the addresses of the peers to join.
	Seeds func() []string
	// Seed initialises the random number generator.
	Seed uint64
	// OnChange is called after the membership table may have changed.
	OnChange func()
	// OnMessage is called with the sender of each probe and reply that arrives.
	OnMessage func(sender *wire.Member)
}

// Gossip probes peers, answers their probes and merges their updates into the membership table.
type Gossip struct {
	options Options
	mut     sync.Mutex
	rnd     *rand.Rand
	round   int
	// probes counts the goroutines of past rounds that still run.
	probes sync.WaitGroup
}

// New returns a Gossip that answers probes; Start makes it send its own.
func New(opt Options) *Gossip {
	return &Gossip{options: opt, rnd: rand.New(rand.NewPCG(opt.Seed, opt.Seed))}
}

// Start runs a round of probes every Period until stop is called.
func (gos *Gossip) Start() (stop func()) {
	return gos.options.Timers.Every(Period, gos.tick)
}

// Wait blocks until the probes of all past rounds have ended.
func (gos *Gossip) Wait() {
	gos.probes.Wait()
}

// Join requests the membership tables of all seeds, and reports whether any of them answered.
func (gos *Gossip) Join(ctx context.Context) (joined bool) {
	slf := gos.options.Members.Self().GetPeer()
	for _, adr := range gos.options.Seeds() {
		if adr == slf {
			continue
		}
		rep, err := gos.call(ctx, adr, remoteTimeout, &wire.Probe{Full: true})
		if err != nil {
			continue
		}
		gos.merge(rep)
		joined = true
	}
	return joined
}

// Announce sends pending updates, such as that this node is leaving, to all probe targets and, from a
// bridge, to other regions, without waiting for the next round. It returns when all have answered or
// timed out.
func (gos *Gossip) Announce(ctx context.Context) {
	var grp sync.WaitGroup
	for _, mem := range append(gos.probeTargets(), gos.remoteBridges()...) {
		grp.Go(func() { gos.probe(ctx, mem) })
	}
	grp.Wait()
}

// HandleProbe merges a peer's probe and returns the reply. A probe with a target is an indirect one. To
// a full probe whose digest differs, the reply holds the whole table.
func (gos *Gossip) HandleProbe(ctx context.Context, prb *wire.Probe) *wire.ProbeReply {
	tab := gos.options.Members
	gos.mergeUpdates(prb.GetChanges(), prb.GetSender())
	if prb.GetTarget() != "" {
		return gos.probeFor(ctx, prb.GetTarget())
	}
	if prb.GetFull() && prb.GetDigest() != tab.Digest() {
		return &wire.ProbeReply{Sender: tab.Self(), Changes: tab.All(), Full: true}
	}
	return &wire.ProbeReply{Sender: tab.Self(), Changes: tab.NextUpdates(maxUpdates)}
}

// probeFor probes a member on behalf of a peer.
func (gos *Gossip) probeFor(ctx context.Context, name string) *wire.ProbeReply {
	mem := gos.options.Members.Get(name)
	if mem == nil {
		return &wire.ProbeReply{Sender: gos.options.Members.Self()}
	}
	rep, err := gos.call(ctx, mem.GetPeer(), probeTimeout, &wire.Probe{})
	if err == nil {
		gos.merge(rep)
	}
	return &wire.ProbeReply{
		Sender:  gos.options.Members.Self(),
		Changes: gos.options.Members.NextUpdates(maxUpdates),
		Reached: err == nil,
	}
}

// tick runs one round. A node without peers in its region joins through the seeds again.
func (gos *Gossip) tick(now time.Time) {
	gos.options.Members.Expire(now)
	gos.mut.Lock()
	gos.round++
	rnd := gos.round
	gos.mut.Unlock()
	ctx := context.Background()
	tgs := gos.probeTargets()
	if len(tgs) == 0 {
		gos.probes.Go(func() { gos.Join(ctx) })
	}
	for idx := range min(probesPerRound, len(tgs)) {
		gos.probes.Go(func() { gos.checkPeer(ctx, tgs[(rnd*probesPerRound+idx)%len(tgs)]) })
	}
	if rms := gos.remoteBridges(); len(rms) > 0 {
		gos.probes.Go(func() { gos.probe(ctx, rms[rnd%len(rms)]) })
	}
	if rnd%deadProbeRounds == 0 {
		gos.probes.Go(func() { gos.probeDead(ctx) })
	}
	if rnd%syncRounds == 0 && gos.options.Members.StableFor(now, stableTime) || rnd%forcedSyncRounds == 0 {
		gos.probes.Go(func() { gos.syncTable(ctx) })
	}
	gos.options.OnChange()
}

// checkPeer probes a peer directly and then indirectly, and marks it suspect if neither reaches it.
func (gos *Gossip) checkPeer(ctx context.Context, mem *wire.Member) {
	if gos.probe(ctx, mem) || gos.probeIndirectly(ctx, mem) {
		return
	}
	gos.options.Log.Warn("peer suspected", "Peer", mem.GetName())
	gos.options.Members.MarkSuspect(mem.GetName(), gos.options.Timers.Now())
	gos.options.OnChange()
}

// probe sends a probe to a peer, merges the reply, and reports whether one arrived in time.
func (gos *Gossip) probe(ctx context.Context, mem *wire.Member) (answered bool) {
	timeout := probeTimeout
	if mem.GetRegion() != gos.options.Members.Self().GetRegion() {
		timeout = remoteTimeout
	}
	rep, err := gos.call(ctx, mem.GetPeer(), timeout, &wire.Probe{})
	if err != nil {
		return false
	}
	gos.merge(rep)
	return true
}

// probeIndirectly requests other peers of the same region to probe a peer.
func (gos *Gossip) probeIndirectly(ctx context.Context, mem *wire.Member) (reached bool) {
	oth := gos.options.Members.Peers(func(one *wire.Member) bool {
		return member.Serving(one) && one.GetRegion() == mem.GetRegion() && one.GetName() != mem.GetName()
	})
	res := make(chan bool, indirectProbes)
	hps := gos.sample(oth, indirectProbes)
	for _, hlp := range hps {
		go func() {
			rep, err := gos.call(ctx, hlp.GetPeer(), indirectTimeout, &wire.Probe{Target: mem.GetName()})
			if err == nil {
				gos.merge(rep)
			}
			res <- err == nil && rep.GetReached()
		}()
	}
	for range hps {
		reached = <-res || reached
	}
	return reached
}

// probeDead probes one dead member, which may be reachable again after a partition.
func (gos *Gossip) probeDead(ctx context.Context) {
	dead := gos.options.Members.Peers(func(mem *wire.Member) bool {
		return mem.GetState() == wire.MemberState_MEMBER_STATE_DEAD
	})
	for _, mem := range gos.sample(dead, 1) {
		// The member receives the update that declares it dead, and refutes it in the reply.
		rep, err := gos.call(ctx, mem.GetPeer(), remoteTimeout, &wire.Probe{Full: true, Changes: []*wire.Member{mem}})
		if err == nil {
			gos.merge(rep)
		}
	}
}

// syncTable sends the digest of the table to one peer. If the peer's differs, it merges the peer's whole
// table.
func (gos *Gossip) syncTable(ctx context.Context) {
	oth := gos.options.Members.Peers(member.Serving)
	for _, mem := range gos.sample(oth, 1) {
		rep, err := gos.call(ctx, mem.GetPeer(), remoteTimeout, &wire.Probe{Full: true})
		if err == nil {
			gos.merge(rep)
		}
	}
}

// call sends a probe with this node's own record and pending updates.
func (gos *Gossip) call(ctx context.Context, address string, timeout time.Duration, prb *wire.Probe) (rep *wire.ProbeReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tab := gos.options.Members
	prb.Sender = tab.Self()
	prb.Changes = append(prb.Changes, tab.NextUpdates(maxUpdates)...)
	if prb.GetFull() {
		prb.Digest = tab.Digest()
	}
	out, err := gos.options.Caller.Call(ctx, address, &wire.Request{Body: &wire.Request_Probe{Probe: prb}})
	if err != nil {
		return nil, err
	}
	return out.GetProbe(), nil
}

// merge applies the reply to a probe.
func (gos *Gossip) merge(rep *wire.ProbeReply) {
	if rep.GetFull() {
		gos.options.Members.MergeSnapshot(rep.GetChanges(), gos.options.Timers.Now())
	}
	gos.mergeUpdates(rep.GetChanges(), rep.GetSender())
}

// mergeUpdates applies the updates of a probe or reply and the record of its sender.
func (gos *Gossip) mergeUpdates(chg []*wire.Member, snd *wire.Member) {
	gos.options.Members.Merge(append(chg, snd), gos.options.Timers.Now())
	gos.options.OnChange()
	gos.options.OnMessage(snd)
}

// probeTargets returns the peers of its own region that this node probes.
func (gos *Gossip) probeTargets() (mms []*wire.Member) {
	slf := gos.options.Members.Self()
	return member.ProbeTargets(slf.GetName(), gos.servingIn(slf.GetRegion()))
}

// remoteBridges returns a random bridge of each other region, or nothing if this node is no bridge.
func (gos *Gossip) remoteBridges() (mms []*wire.Member) {
	slf := gos.options.Members.Self()
	if !contains(member.Bridges(gos.servingIn(slf.GetRegion())), slf.GetName()) {
		return nil
	}
	rgs := make(map[string][]*wire.Member)
	for _, mem := range gos.options.Members.Serving() {
		if mem.GetRegion() != slf.GetRegion() {
			rgs[mem.GetRegion()] = append(rgs[mem.GetRegion()], mem)
		}
	}
	for _, reg := range rgs {
		brs := member.Bridges(reg)
		mms = append(mms, brs[gos.randomIndex(len(brs))])
	}
	return mms
}

// servingIn returns the serving members of a region.
func (gos *Gossip) servingIn(name string) (mms []*wire.Member) {
	for _, mem := range gos.options.Members.Serving() {
		if mem.GetRegion() == name {
			mms = append(mms, mem)
		}
	}
	return mms
}

// sample returns up to num random members.
func (gos *Gossip) sample(mms []*wire.Member, num int) (res []*wire.Member) {
	gos.mut.Lock()
	defer gos.mut.Unlock()
	for _, idx := range gos.rnd.Perm(len(mms))[:min(num, len(mms))] {
		res = append(res, mms[idx])
	}
	return res
}

// randomIndex returns a random number below num.
func (gos *Gossip) randomIndex(num int) int {
	gos.mut.Lock()
	defer gos.mut.Unlock()
	return gos.rnd.IntN(num)
}

func contains(mms []*wire.Member, name string) bool {
	for _, mem := range mms {
		if mem.GetName() == name {
			return true
		}
	}
	return false
}
