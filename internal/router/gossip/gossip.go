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
	// probesPerRound is how many fingers are probed in one round.
	probesPerRound = 2
	// helpers is how many peers are asked to probe one that did not answer.
	helpers = 2
	// probeTimeout is how long a peer of the same region has to answer.
	probeTimeout = 400 * time.Millisecond
	// helpTimeout covers a probe by a helper.
	helpTimeout = 2 * probeTimeout
	// remoteTimeout is how long a peer of another region has to answer.
	remoteTimeout = time.Second
	// maxChanges is how many changes one message carries.
	maxChanges = 12
	// reviveRounds is how many rounds lie between two probes of dead members.
	reviveRounds = 5
	// fullRounds is how many rounds lie between two comparisons of whole views.
	fullRounds = 15
	// forcedRounds is how many rounds pass at most without such a comparison while changes go on.
	forcedRounds = 20 * fullRounds
	// quietTime is how long a view has been unchanged when it is compared; news travels faster by itself.
	quietTime = 12 * time.Second
)

// Caller sends a request to the peer at an address.
type Caller interface {
	// Call returns the peer's reply, or an error when none comes before the context ends.
	Call(ctx context.Context, address string, req *wire.Request) (rep *wire.Reply, err error)
}

// Options are what a Gossip is built from.
type Options struct {
	Timers router.Timers
	View   *member.View
	Caller Caller
	Log    *slog.Logger
	// Seeds returns peer addresses to join by.
	Seeds func() []string
	Seed  uint64
	// Changed is called after a view may have changed.
	Changed func()
	// Heard is called with each peer that spoke for itself.
	Heard func(mem *wire.Member)
}

// Gossip probes peers and merges what they say.
type Gossip struct {
	options Options
	mut     sync.Mutex
	rnd     *rand.Rand
	round   int
	// probes are those under way.
	probes sync.WaitGroup
}

// New returns a Gossip that answers but does not probe yet.
func New(opt Options) *Gossip {
	return &Gossip{options: opt, rnd: rand.New(rand.NewPCG(opt.Seed, opt.Seed))}
}

// Start begins to probe; stop ends it.
func (gos *Gossip) Start() (stop func()) {
	return gos.options.Timers.Every(Period, gos.tick)
}

// Wait returns when no probe of a past round is under way.
func (gos *Gossip) Wait() {
	gos.probes.Wait()
}

// Join asks the seeds for their views, and reports whether any answered.
func (gos *Gossip) Join(ctx context.Context) (joined bool) {
	slf := gos.options.View.Self().GetPeer()
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

// Announce tells the fingers and bridges of a change at once, such as leaving.
func (gos *Gossip) Announce(ctx context.Context) {
	var grp sync.WaitGroup
	for _, mem := range append(gos.fingers(), gos.remote()...) {
		grp.Go(func() { gos.probe(ctx, mem) })
	}
	grp.Wait()
}

// Answer replies to a peer's probe.
func (gos *Gossip) Answer(ctx context.Context, prb *wire.Probe) *wire.ProbeReply {
	vie := gos.options.View
	gos.learn(prb.GetChanges(), prb.GetSender())
	if prb.GetTarget() != "" {
		return gos.help(ctx, prb.GetTarget())
	}
	if prb.GetFull() && prb.GetDigest() != vie.Digest() {
		return &wire.ProbeReply{Sender: vie.Self(), Changes: vie.All(), Full: true}
	}
	return &wire.ProbeReply{Sender: vie.Self(), Changes: vie.Changes(maxChanges)}
}

func (gos *Gossip) help(ctx context.Context, name string) *wire.ProbeReply {
	mem := gos.options.View.Get(name)
	if mem == nil {
		return &wire.ProbeReply{Sender: gos.options.View.Self()}
	}
	rep, err := gos.call(ctx, mem.GetPeer(), probeTimeout, &wire.Probe{})
	if err == nil {
		gos.merge(rep)
	}
	return &wire.ProbeReply{
		Sender:  gos.options.View.Self(),
		Changes: gos.options.View.Changes(maxChanges),
		Reached: err == nil,
	}
}

// tick runs one round.
func (gos *Gossip) tick(now time.Time) {
	gos.options.View.Expire(now)
	gos.mut.Lock()
	gos.round++
	rnd := gos.round
	gos.mut.Unlock()
	ctx := context.Background()
	fgs := gos.fingers()
	if len(fgs) == 0 {
		gos.probes.Go(func() { gos.Join(ctx) })
	}
	for idx := range min(probesPerRound, len(fgs)) {
		gos.probes.Go(func() { gos.judge(ctx, fgs[(rnd*probesPerRound+idx)%len(fgs)]) })
	}
	if rms := gos.remote(); len(rms) > 0 {
		gos.probes.Go(func() { gos.probe(ctx, rms[rnd%len(rms)]) })
	}
	if rnd%reviveRounds == 0 {
		gos.probes.Go(func() { gos.revive(ctx) })
	}
	if rnd%fullRounds == 0 && gos.options.View.Quiet(now, quietTime) || rnd%forcedRounds == 0 {
		gos.probes.Go(func() { gos.compare(ctx) })
	}
	gos.options.Changed()
}

// judge probes a peer, directly and then through helpers, and suspects it if nobody reaches it.
func (gos *Gossip) judge(ctx context.Context, mem *wire.Member) {
	if gos.probe(ctx, mem) || gos.probeThroughOthers(ctx, mem) {
		return
	}
	gos.options.Log.Warn("peer suspected", "Peer", mem.GetName())
	gos.options.View.Suspect(mem.GetName(), gos.options.Timers.Now())
	gos.options.Changed()
}

func (gos *Gossip) probe(ctx context.Context, mem *wire.Member) (answered bool) {
	lim := probeTimeout
	if mem.GetRegion() != gos.options.View.Self().GetRegion() {
		lim = remoteTimeout
	}
	rep, err := gos.call(ctx, mem.GetPeer(), lim, &wire.Probe{})
	if err != nil {
		return false
	}
	gos.merge(rep)
	return true
}

func (gos *Gossip) probeThroughOthers(ctx context.Context, mem *wire.Member) (reached bool) {
	oth := gos.options.View.Peers(func(one *wire.Member) bool {
		return member.Serving(one) && one.GetRegion() == mem.GetRegion() && one.GetName() != mem.GetName()
	})
	res := make(chan bool, helpers)
	hps := gos.sample(oth, helpers)
	for _, hlp := range hps {
		go func() {
			rep, err := gos.call(ctx, hlp.GetPeer(), helpTimeout, &wire.Probe{Target: mem.GetName()})
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

// revive probes one dead member, which may have come back after a cut.
func (gos *Gossip) revive(ctx context.Context) {
	ded := gos.options.View.Peers(func(mem *wire.Member) bool {
		return mem.GetState() == wire.MemberState_MEMBER_STATE_DEAD
	})
	for _, mem := range gos.sample(ded, 1) {
		// The dead member hears of its own death and refutes it in the reply.
		rep, err := gos.call(ctx, mem.GetPeer(), remoteTimeout, &wire.Probe{Full: true, Changes: []*wire.Member{mem}})
		if err == nil {
			gos.merge(rep)
		}
	}
}

// compare asks one peer for its whole view if it differs.
func (gos *Gossip) compare(ctx context.Context) {
	oth := gos.options.View.Peers(member.Serving)
	for _, mem := range gos.sample(oth, 1) {
		rep, err := gos.call(ctx, mem.GetPeer(), remoteTimeout, &wire.Probe{Full: true})
		if err == nil {
			gos.merge(rep)
		}
	}
}

// call sends a probe with this node's entry and recent changes.
func (gos *Gossip) call(ctx context.Context, adr string, lim time.Duration, prb *wire.Probe) (rep *wire.ProbeReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, lim)
	defer cancel()
	vie := gos.options.View
	prb.Sender = vie.Self()
	prb.Changes = append(prb.Changes, vie.Changes(maxChanges)...)
	if prb.GetFull() {
		prb.Digest = vie.Digest()
	}
	out, err := gos.options.Caller.Call(ctx, adr, &wire.Request{Body: &wire.Request_Probe{Probe: prb}})
	if err != nil {
		return nil, err
	}
	return out.GetProbe(), nil
}

func (gos *Gossip) merge(rep *wire.ProbeReply) {
	if rep.GetFull() {
		gos.options.View.Adopt(rep.GetChanges(), gos.options.Timers.Now())
	}
	gos.learn(rep.GetChanges(), rep.GetSender())
}

func (gos *Gossip) learn(chg []*wire.Member, snd *wire.Member) {
	gos.options.View.Merge(append(chg, snd), gos.options.Timers.Now())
	gos.options.Changed()
	gos.options.Heard(snd)
}

// fingers returns the peers of this region that this node probes.
func (gos *Gossip) fingers() (mms []*wire.Member) {
	slf := gos.options.View.Self()
	return member.Fingers(slf.GetName(), gos.region(slf.GetRegion()))
}

// remote returns, if this node is a bridge, the bridge of each other region that it speaks to.
func (gos *Gossip) remote() (mms []*wire.Member) {
	slf := gos.options.View.Self()
	if !contains(member.Bridges(gos.region(slf.GetRegion())), slf.GetName()) {
		return nil
	}
	rgs := make(map[string][]*wire.Member)
	for _, mem := range gos.options.View.Serving() {
		if mem.GetRegion() != slf.GetRegion() {
			rgs[mem.GetRegion()] = append(rgs[mem.GetRegion()], mem)
		}
	}
	for _, reg := range rgs {
		brs := member.Bridges(reg)
		mms = append(mms, brs[gos.pick(len(brs))])
	}
	return mms
}

// region returns the serving members of a region.
func (gos *Gossip) region(name string) (mms []*wire.Member) {
	for _, mem := range gos.options.View.Serving() {
		if mem.GetRegion() == name {
			mms = append(mms, mem)
		}
	}
	return mms
}

func (gos *Gossip) sample(mms []*wire.Member, num int) (res []*wire.Member) {
	gos.mut.Lock()
	defer gos.mut.Unlock()
	for _, idx := range gos.rnd.Perm(len(mms))[:min(num, len(mms))] {
		res = append(res, mms[idx])
	}
	return res
}

func (gos *Gossip) pick(num int) int {
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
