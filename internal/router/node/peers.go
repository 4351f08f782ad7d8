package node

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/gossip"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/member"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/peer"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/slots"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// messageTimeout bounds the wait for a peer's reply to a message.
	messageTimeout = 400 * time.Millisecond
	// fetchTimeout bounds the wait for a peer to send a revision.
	fetchTimeout = 2 * time.Second
	// minFetchPeers is how many peers are queried for the newest revision, and more if none of them has one.
	minFetchPeers = 3
)

// peers implements what a node shares with its peers: membership, slot leases, revisions and crashes.
type peers struct {
	node      *Node
	endpoint  *peer.Endpoint
	members   *member.Table
	gossip    *gossip.Gossip
	allocator *slots.Allocator
	leased    *slots.LeasedLimiter

	mut sync.Mutex
	// homes caches each upstream's home. It is valid for one version of the membership table.
	homes   map[string]string
	version uint64
	// vmAddresses are the addresses of peers from the VM list.
	vmAddresses []string
}

// newPeers opens the peer endpoint. The node joins the cluster only in Run.
func newPeers(nod *Node, settings string) (prs *peers, err error) {
	defer errs.Annotate(&err, "prepare peers")
	set := nod.options.Settings
	crd, err := peer.LoadCredentials(relativeTo(settings, set.TLS))
	if err != nil {
		return nil, err
	}
	prs = &peers{node: nod}
	prs.endpoint, err = peer.Listen(peer.Options{Listen: set.Peer, Credentials: crd, Handler: prs.handle, Log: nod.options.Log})
	if err != nil {
		return nil, err
	}
	tms := nod.options.Timers
	prs.members = member.NewTable(&wire.Member{
		Name:          set.Name,
		Peer:          set.Peer,
		Admin:         set.Admin,
		FailureDomain: set.FailureDomain,
		Region:        set.Region,
	}, tms.Now())
	prs.allocator = slots.NewAllocator(tms, prs.pushLimits)
	prs.leased = slots.NewLeasedLimiter(tms, set.Name, nod.fair, prs)
	prs.gossip = gossip.New(gossip.Options{
		Timers:    tms,
		Members:   prs.members,
		Caller:    prs.endpoint,
		Log:       nod.options.Log,
		Seeds:     prs.seedAddresses,
		Seed:      uint64(uuid.New().ID()),
		OnChange:  prs.updateNodes,
		OnMessage: prs.checkRevision,
	})
	nod.closers = append(nod.closers, tms.Every(slots.LeaseDuration, prs.allocator.Expire), prs.close)
	return prs, nil
}

// relativeTo resolves the paths of TLS files against the directory of the settings file.
func relativeTo(settings string, tls conf.TLS) conf.TLS {
	dir := filepath.Dir(settings)
	for _, fil := range []*string{&tls.Certificate, &tls.Key, &tls.Authority} {
		if !filepath.IsAbs(*fil) {
			*fil = filepath.Join(dir, *fil)
		}
	}
	return tls
}

// Home returns the name of the node that grants the leases on an upstream.
func (prs *peers) Home(ups router.Upstream) (node string) {
	prs.mut.Lock()
	defer prs.mut.Unlock()
	if ver := prs.members.Version(); ver != prs.version || prs.homes == nil {
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

// eligible returns the members that may be an upstream's home: the live ones of its region, or all
// serving members if there are none.
//
// Suspect members are excluded. While a home does not answer, its upstreams' slots are divided by fair
// shares, and it takes seconds until a suspect is declared dead.
func (prs *peers) eligible(ups router.Upstream) (nms []string) {
	reg := prs.node.live.Get().Region(ups.FailureDomain)
	for _, mem := range prs.members.Serving() {
		if mem.GetRegion() == reg && mem.GetState() == wire.MemberState_MEMBER_STATE_LIVE {
			nms = append(nms, mem.GetName())
		}
	}
	if len(nms) == 0 {
		return prs.servingNames()
	}
	return nms
}

// Report sends a slot report to the home with the given name and returns the limits that it grants.
func (prs *peers) Report(ctx context.Context, node string, rep *wire.SlotReport) (lms *wire.SlotLimits, err error) {
	if node == prs.node.options.Settings.Name {
		return prs.handleReport(rep), nil
	}
	mem := prs.members.Get(node)
	if mem == nil {
		return nil, errors.Errorf("home %q is not a member", node)
	}
	out, err := prs.endpoint.Call(ctx, mem.GetPeer(), &wire.Request{Body: &wire.Request_Slots{Slots: rep}})
	if err != nil {
		return nil, err
	}
	return out.GetLimits(), nil
}

// Newest queries seeds and peers for the highest revision above a number. answered is false if none
// replied.
func (prs *peers) Newest(ctx context.Context, above uint64) (rev *wire.Revision, answered bool) {
	adrs := prs.seedAddresses()
	for _, mem := range prs.members.Peers(member.Serving) {
		adrs = append(adrs, mem.GetPeer())
	}
	for num, adr := range adrs {
		if num >= minFetchPeers && rev != nil {
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

// Fetch returns the current revision of the peer at an address, or nil unless it is above the number.
func (prs *peers) Fetch(ctx context.Context, address string, above uint64) (rev *wire.Revision) {
	rev, err := prs.fetch(ctx, address, above)
	if err != nil {
		prs.node.options.Log.Debug("failed to fetch revision", "Error", err.Error())
	}
	return rev
}

// Announce sends the number of the installed revision to the peers, in the background.
func (prs *peers) Announce(num uint64) {
	prs.members.SetRevision(num)
	go prs.gossip.Announce(context.Background())
}

// Polls reports whether this node polls the table service. Only the bridges do, the few members of each
// failure domain that exchange gossip with other regions.
func (prs *peers) Polls() bool {
	slf := prs.members.Self()
	for _, mem := range member.Bridges(prs.members.Serving()) {
		if mem.GetName() == slf.GetName() {
			return true
		}
	}
	return false
}

// broadcastCrash sends a crash to every serving peer, in the background.
func (prs *peers) broadcastCrash(crs guard.Crash) {
	msg := &wire.Request{Body: &wire.Request_Strikes{Strikes: &wire.StrikeReport{Strikes: []*wire.Strike{{
		Digest:   crs.Digest,
		Upstream: crs.Upstream,
		AtUnixMs: crs.At.UnixMilli(),
	}}}}}
	for _, mem := range prs.members.Peers(member.Serving) {
		go prs.send(mem, msg)
	}
}

// leave announces to the peers that this node is stopping.
func (prs *peers) leave(ctx context.Context) {
	prs.leased.Leave()
	prs.members.MarkLeaving(prs.node.options.Timers.Now())
	prs.gossip.Announce(ctx)
}

// handle processes a peer's request. It returns nil if the request needs no reply.
func (prs *peers) handle(ctx context.Context, req *wire.Request) *wire.Reply {
	switch bdy := req.GetBody().(type) {
	case *wire.Request_Probe:
		return &wire.Reply{Body: &wire.Reply_Probe{Probe: prs.gossip.HandleProbe(ctx, bdy.Probe)}}
	case *wire.Request_Slots:
		return &wire.Reply{Body: &wire.Reply_Limits{Limits: prs.handleReport(bdy.Slots)}}
	case *wire.Request_Limits:
		prs.leased.Apply(bdy.Limits.GetLimits())
		// The home grants freed slots to other holders only after this holder has confirmed its new limit.
		prs.leased.ReportShortage()
	case *wire.Request_Strikes:
		for _, crs := range bdy.Strikes.GetStrikes() {
			prs.node.guard.Add(guard.Crash{Digest: crs.GetDigest(), Upstream: crs.GetUpstream(), At: time.UnixMilli(crs.GetAtUnixMs())})
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

// handleReport processes a holder's report as the home of the reported upstreams and returns the limits.
func (prs *peers) handleReport(rep *wire.SlotReport) *wire.SlotLimits {
	lms := &wire.SlotLimits{Home: prs.node.options.Settings.Name}
	cfg := prs.node.live.Get()
	for _, dmd := range rep.GetDemands() {
		ups, fnd := cfg.Upstream(dmd.GetUpstream())
		if !fnd {
			continue
		}
		alp := slots.AllocationPolicy{Upstream: ups, Minimums: cfg.Minimums(), FairShare: func(node string) int { return prs.fairShare(ups, node) }}
		lms.Limits = append(lms.Limits, prs.allocator.Report(rep.GetNode(), rep.GetLeaving(), dmd, alp))
	}
	return lms
}

func (prs *peers) fairShare(ups router.Upstream, node string) int {
	return slots.FairShare(ups, node, prs.servingNames())
}

// pushLimits sends changed limits to a holder, in the background.
func (prs *peers) pushLimits(node string, lms []*wire.SlotLimit) {
	if node == prs.node.options.Settings.Name {
		go prs.leased.Apply(lms)
		return
	}
	mem := prs.members.Get(node)
	if mem == nil {
		return
	}
	msg := &wire.SlotLimits{Home: prs.node.options.Settings.Name, Limits: lms}
	go prs.send(mem, &wire.Request{Body: &wire.Request_Limits{Limits: msg}})
}

// send sends a message without retries. The loss of a message is harmless, so it is only logged.
func (prs *peers) send(mem *wire.Member, req *wire.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
	defer cancel()
	if _, err := prs.endpoint.Call(ctx, mem.GetPeer(), req); err != nil {
		prs.node.options.Log.Debug("failed to send message", "Peer", mem.GetName(), "Error", err.Error())
	}
}

// fetch requests the revision above a number from the peer at an address. It returns nil if the peer has
// none, or if the address is the node's own.
func (prs *peers) fetch(ctx context.Context, address string, above uint64) (rev *wire.Revision, err error) {
	if address == prs.members.Self().GetPeer() {
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

// checkRevision fetches the revision of a peer, in the background, if it is higher than the installed one.
func (prs *peers) checkRevision(mem *wire.Member) {
	if mem.GetRevision() > prs.node.follower.Number() {
		go prs.node.follower.HandleAnnouncement(context.Background(), mem.GetRevision(), mem.GetPeer())
	}
}

// updateNodes passes the serving members to the parts that compute shares from them.
func (prs *peers) updateNodes() {
	prs.node.setNodes(prs.servingNames())
}

func (prs *peers) servingNames() (nms []string) {
	for _, mem := range prs.members.Serving() {
		nms = append(nms, mem.GetName())
	}
	return nms
}

// seedAddresses returns the peer addresses from the settings and from the VM list.
func (prs *peers) seedAddresses() (adrs []string) {
	prs.mut.Lock()
	defer prs.mut.Unlock()
	return append(append(adrs, prs.node.options.Settings.Seeds...), prs.vmAddresses...)
}

func (prs *peers) setVMAddresses(adrs []string) {
	prs.mut.Lock()
	defer prs.mut.Unlock()
	prs.vmAddresses = adrs
}

func (prs *peers) close() {
	if err := prs.endpoint.Close(); err != nil {
		prs.node.options.Log.Debug("failed to close the peer endpoint", "Error", err.Error())
	}
}
