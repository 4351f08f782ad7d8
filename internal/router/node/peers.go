package node

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/gossip"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/member"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/peer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/slots"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// messageTimeout is how long a peer has to answer a message.
	messageTimeout = 400 * time.Millisecond
	// fetchTimeout is how long a peer has to send a revision.
	fetchTimeout = 2 * time.Second
	// fetchPeers is how many peers are asked for their revision.
	fetchPeers = 3
)

// peers is everything that a node does together with others.
type peers struct {
	node      *Node
	endpoint  *peer.Endpoint
	view      *member.View
	gossip    *gossip.Gossip
	allocator *slots.Allocator
	leased    *slots.LeasedLimiter

	mut sync.Mutex
	// homes holds the homes computed for the view's version.
	homes   map[string]string
	version uint64
	// listed are the peer addresses from the VM list.
	listed []string
}

// newPeers opens the socket and joins nobody yet.
func newPeers(nod *Node, settings string) (prs *peers, err error) {
	defer fault.Annotate(&err, "prepare peers")
	set := nod.options.Settings
	kys, err := peer.LoadKeys(relativeTo(settings, set.TLS))
	if err != nil {
		return nil, err
	}
	prs = &peers{node: nod}
	prs.endpoint, err = peer.Listen(peer.Options{Listen: set.Peer, Keys: kys, Handler: prs.handle, Log: nod.options.Log})
	if err != nil {
		return nil, err
	}
	tms := nod.options.Timers
	prs.view = member.NewView(&wire.Member{
		Name:          set.Name,
		Peer:          set.Peer,
		Admin:         set.Admin,
		FailureDomain: set.FailureDomain,
		Region:        set.Region,
	}, tms.Now())
	prs.allocator = slots.NewAllocator(tms, prs.pushLimits)
	prs.leased = slots.NewLeasedLimiter(tms, set.Name, nod.fair, prs)
	prs.gossip = gossip.New(gossip.Options{
		Timers:  tms,
		View:    prs.view,
		Caller:  prs.endpoint,
		Log:     nod.options.Log,
		Seeds:   prs.seeds,
		Seed:    uint64(uuid.New().ID()),
		Changed: prs.changed,
		Heard:   prs.heard,
	})
	nod.closers = append(nod.closers, tms.Every(slots.LeaseDuration, prs.allocator.Expire), prs.close)
	return prs, nil
}

// relativeTo resolves the names of key files against the directory of the node's settings.
func relativeTo(settings string, tls conf.TLS) conf.TLS {
	dir := filepath.Dir(settings)
	for _, fil := range []*string{&tls.Certificate, &tls.Key, &tls.Authority} {
		if !filepath.IsAbs(*fil) {
			*fil = filepath.Join(dir, *fil)
		}
	}
	return tls
}

// Home returns the name of the node that is home of an upstream: one of its region if any serves there.
func (prs *peers) Home(ups router.Upstream) (node string) {
	prs.mut.Lock()
	defer prs.mut.Unlock()
	if ver := prs.view.Version(); ver != prs.version || prs.homes == nil {
		prs.homes = make(map[string]string)
		prs.version = ver
	}
	hom, fnd := prs.homes[ups.Name]
	if !fnd {
		hom = slots.RendezvousFirst(ups.Name, prs.eligible(ups))
		prs.homes[ups.Name] = hom
	}
	return hom
}

// eligible returns the members that may be an upstream's home: live ones of its region, or else any that serves.
//
// A suspect is no home any more: waiting for its death would leave its slots
// divided by fair shares for seconds.
func (prs *peers) eligible(ups router.Upstream) (nms []string) {
	reg := prs.node.live.Get().Region(ups.FailureDomain)
	for _, mem := range prs.view.Serving() {
		if mem.GetRegion() == reg && mem.GetState() == wire.MemberState_MEMBER_STATE_LIVE {
			nms = append(nms, mem.GetName())
		}
	}
	if len(nms) == 0 {
		return prs.names()
	}
	return nms
}

// Report sends a slot report to its home and returns the limits it grants.
func (prs *peers) Report(ctx context.Context, node string, rep *wire.SlotReport) (lms *wire.SlotLimits, err error) {
	if node == prs.node.options.Settings.Name {
		return prs.takeReport(rep), nil
	}
	mem := prs.view.Get(node)
	if mem == nil {
		return nil, errors.Errorf("home %s is not a member", node)
	}
	out, err := prs.endpoint.Call(ctx, mem.GetPeer(), &wire.Request{Body: &wire.Request_Slots{Slots: rep}})
	if err != nil {
		return nil, err
	}
	return out.GetLimits(), nil
}

// Newest returns the highest revision above a number that any peer asked has.
func (prs *peers) Newest(ctx context.Context, above uint64) (rev *wire.Revision, answered bool) {
	adrs := prs.seeds()
	for _, mem := range prs.view.Peers(member.Serving) {
		adrs = append(adrs, mem.GetPeer())
	}
	for num, adr := range adrs {
		if num >= fetchPeers && rev != nil {
			break
		}
		one, err := prs.fetch(ctx, adr, above)
		answered = answered || err == nil
		if one != nil {
			rev, above = one, one.GetNumber()
		}
	}
	return rev, answered
}

// Fetch returns the revision above a number that the peer at an address has, or nil.
func (prs *peers) Fetch(ctx context.Context, address string, above uint64) (rev *wire.Revision) {
	rev, err := prs.fetch(ctx, address, above)
	if err != nil {
		prs.node.options.Log.Debug("revision not fetched", "Error", err.Error())
	}
	return rev
}

// Announce tells peers that this node has a revision in force.
func (prs *peers) Announce(num uint64) {
	prs.view.SetRevision(num)
	go prs.gossip.Announce(context.Background())
}

// Polls reports whether this node is a bridge of its region; those poll the table service.
func (prs *peers) Polls() bool {
	slf := prs.view.Self()
	for _, mem := range member.Bridges(prs.view.Serving()) {
		if mem.GetName() == slf.GetName() {
			return true
		}
	}
	return false
}

// strike passes a strike on to every node.
func (prs *peers) strike(stk guard.Crash) {
	msg := &wire.Request{Body: &wire.Request_Strikes{Strikes: &wire.StrikeReport{Strikes: []*wire.Strike{{
		Digest:   stk.Digest,
		Upstream: stk.Upstream,
		AtUnixMs: stk.At.UnixMilli(),
	}}}}}
	for _, mem := range prs.view.Peers(member.Serving) {
		go prs.send(mem, msg)
	}
}

// leave tells the peers that this node is stopping.
func (prs *peers) leave(ctx context.Context) {
	prs.leased.Leave()
	prs.view.Leave(prs.node.options.Timers.Now())
	prs.gossip.Announce(ctx)
}

// handle answers a peer's request.
func (prs *peers) handle(ctx context.Context, req *wire.Request) *wire.Reply {
	switch bdy := req.GetBody().(type) {
	case *wire.Request_Probe:
		return &wire.Reply{Body: &wire.Reply_Probe{Probe: prs.gossip.Answer(ctx, bdy.Probe)}}
	case *wire.Request_Slots:
		return &wire.Reply{Body: &wire.Reply_Limits{Limits: prs.takeReport(bdy.Slots)}}
	case *wire.Request_Limits:
		prs.leased.Apply(bdy.Limits.GetLimits())
		// The home may give the slots on once it knows that the limits are obeyed.
		prs.leased.ReportShortage()
	case *wire.Request_Strikes:
		for _, stk := range bdy.Strikes.GetStrikes() {
			prs.node.guard.Add(guard.Crash{Digest: stk.GetDigest(), Upstream: stk.GetUpstream(), At: time.UnixMilli(stk.GetAtUnixMs())})
		}
	case *wire.Request_Fetch:
		rep := &wire.RevisionReply{}
		if cur := prs.node.follower.Current(); cur.GetNumber() > bdy.Fetch.GetAbove() {
			rep.Revision = cur
		}
		return &wire.Reply{Body: &wire.Reply_Revision{Revision: rep}}
	}
	return nil
}

// takeReport answers a holder's report as the home of its upstreams.
func (prs *peers) takeReport(rep *wire.SlotReport) *wire.SlotLimits {
	lms := &wire.SlotLimits{Home: prs.node.options.Settings.Name}
	cfg := prs.node.live.Get()
	for _, dmd := range rep.GetDemands() {
		ups, fnd := cfg.Upstream(dmd.GetUpstream())
		if !fnd {
			continue
		}
		alp := slots.AllocationPolicy{Upstream: ups, Minimums: cfg.Minimums(), FairShare: func(node string) int { return prs.fair(ups, node) }}
		lms.Limits = append(lms.Limits, prs.allocator.Report(rep.GetNode(), rep.GetLeaving(), dmd, alp))
	}
	return lms
}

func (prs *peers) fair(ups router.Upstream, node string) int {
	return slots.FairShare(ups, node, prs.names())
}

// pushLimits sends changed limits to a holder.
func (prs *peers) pushLimits(node string, lms []*wire.SlotLimit) {
	if node == prs.node.options.Settings.Name {
		go prs.leased.Apply(lms)
		return
	}
	mem := prs.view.Get(node)
	if mem == nil {
		return
	}
	msg := &wire.SlotLimits{Home: prs.node.options.Settings.Name, Limits: lms}
	go prs.send(mem, &wire.Request{Body: &wire.Request_Limits{Limits: msg}})
}

// send sends a message whose loss does no harm.
func (prs *peers) send(mem *wire.Member, req *wire.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	if _, err := prs.endpoint.Call(ctx, mem.GetPeer(), req); err != nil {
		prs.node.options.Log.Debug("message lost", "Peer", mem.GetName(), "Error", err.Error())
	}
}

func (prs *peers) fetch(ctx context.Context, address string, above uint64) (rev *wire.Revision, err error) {
	if address == prs.view.Self().GetPeer() {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := &wire.Request{Body: &wire.Request_Fetch{Fetch: &wire.RevisionFetch{Above: above}}}
	rep, err := prs.endpoint.Call(ctx, address, req)
	if err != nil {
		return nil, err
	}
	return rep.GetRevision().GetRevision(), nil
}

// heard follows a peer that has a higher revision.
func (prs *peers) heard(mem *wire.Member) {
	if mem.GetRevision() > prs.node.follower.Number() {
		go prs.node.follower.HandleAnnouncement(context.Background(), mem.GetRevision(), mem.GetPeer())
	}
}

// changed tells the parts which nodes share the limits.
func (prs *peers) changed() {
	prs.node.setNodes(prs.names())
}

func (prs *peers) names() (nms []string) {
	for _, mem := range prs.view.Serving() {
		nms = append(nms, mem.GetName())
	}
	return nms
}

func (prs *peers) seeds() (adrs []string) {
	prs.mut.Lock()
	defer prs.mut.Unlock()
	return append(append(adrs, prs.node.options.Settings.Seeds...), prs.listed...)
}

func (prs *peers) setListed(adrs []string) {
	prs.mut.Lock()
	defer prs.mut.Unlock()
	prs.listed = adrs
}

func (prs *peers) close() {
	if err := prs.endpoint.Close(); err != nil {
		prs.node.options.Log.Debug("peer endpoint not closed", "Error", err.Error())
	}
}
