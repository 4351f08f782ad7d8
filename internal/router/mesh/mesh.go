package mesh

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// minDigestInterval is the pause between digests with few peers. Placement decides on load data
	// of about this age.
	minDigestInterval = 100 * time.Millisecond
	// digestIntervalPerPeer limits a node to 200 datagrams a second however many peers it has.
	digestIntervalPerPeer = 5 * time.Millisecond
	// minPeerTimeout is the shortest time after its last digest in which a peer counts as live. In large fleets digests are
	// rarer, and a peer counts as live for missedDigests intervals.
	minPeerTimeout = 2 * time.Second
	missedDigests  = 4
	// timeoutDecay is the factor by which the timeout of peers may fall from one digest to the next.
	timeoutDecay = 0.97
	// mentionsPerDigest is how many live peers of its failure domain a node names in a digest. They show nodes of other
	// domains, which get few digests of each single peer, that these peers are live.
	mentionsPerDigest = 64
	// deadPeerEvery means that a lost peer gets only each tenth digest.
	deadPeerEvery = 10
	// readersPerDomain is how many nodes of a failure domain watch the store; the others get its
	// changes from them. A watch whose response is lost delivers nothing until its call times out,
	// so that one reader is not enough.
	readersPerDomain = 2
	// initialReadDelay is how long after its start a node leaves the initial read of the store to
	// the nodes that rank before it (see countPreceding), and initialReadStep is added for each of these, so that the
	// others do not all read at once.
	initialReadDelay = 2 * time.Second
	initialReadStep  = 100 * time.Millisecond
	// memberListTimeout is how long after its start a node defers its initial read while it has not
	// read the member list.
	memberListTimeout = 300 * time.Millisecond
	// minPeersToDefer is the number of peers below which every node does its initial read itself.
	minPeersToDefer = 128
	// watchDelay is how long after its start a node leaves watching the store to the nodes that rank before it, until
	// their digests show that they do so.
	watchDelay = 3 * time.Second
	// crossDomainEvery means that a peer in another failure domain of the region gets only each second digest.
	// crossRegionEvery means that one in another region gets only each tenth: traffic between regions is expensive.
	crossDomainEvery = 2
	crossRegionEvery = 10
	// maxDigestBytes bounds a digest, which is sent as one datagram.
	maxDigestBytes = 60 << 10
)

// LoadState provides the load that a digest carries: the calls in flight, the crashes and the prefix
// placements of this node. It also stores those that the digests of peers carry.
type LoadState interface {
	// AddLocal adds the state of this node to a digest.
	AddLocal(dig *wire.Digest)
	// SetPeer applies the digest of a peer. Its load replaces the one of the peer's last digest.
	SetPeer(dig *wire.Digest)
	// RemovePeer removes the load of a peer that is no longer live.
	RemovePeer(name string)
}

// Options configure a Mesh.
type Options struct {
	Self   router.Member
	Timers router.Timers
	Log    *slog.Logger
	Source router.RecordStore
	Codec  router.Codec
	Load   LoadState
	// Copies are this node's copies of the platform's records, which are compared with those of
	// peers.
	Copies map[router.RecordKind]*follow.Follower
	// Regions maps failure domains to their regions.
	Regions map[string]string
}

// Mesh exchanges digests with all peers and tracks which of them are live.
type Mesh struct {
	options Options
	// incarnation is the start time of this node in Unix nanoseconds. Peers ignore digests of an
	// older incarnation.
	incarnation int64
	started     time.Time
	copiers     []*copier

	mut   sync.Mutex
	peers map[string]*peer
	// sequence is the number of the last digest sent.
	sequence uint64
	stopping bool
	// membersRead is set once the member list was read.
	membersRead bool
	// recordVersion is the store's version of this node's member record; zero while it has none.
	recordVersion int64
	// recentPlacements holds the placements of the last digests. A peer that gets every second or
	// tenth digest gets the placements of two or ten digests together.
	recentPlacements [][]*wire.Placement
	// byMention holds the peers by mentionHash of their names, and mentioned when a digest from each other failure domain
	// last named peers there.
	byMention   map[uint32]*peer
	mentioned   map[string]time.Time
	transitions transitionLog
	// timeout is how long a peer counts as live without being heard.
	timeout time.Duration
}

// peer is another node that has a member record, sent a digest, or both.
type peer struct {
	member      router.Member
	address     *net.UDPAddr
	incarnation int64
	sequence    uint64
	lastDigest  time.Time
	// lastMention is when a digest of another node of the peer's failure domain named the peer as live.
	lastMention time.Time
	// lostAt is when the peer last stopped being live.
	lostAt time.Time
	live   bool
	// recordVersion is the store's version of the member record, zero without one; recordSeen is
	// when that version was first read.
	recordSeen    time.Time
	recordVersion int64
	// watchesStore is set while the peer watches the store itself and is not stopping.
	watchesStore bool
	// copyVersions holds the version of the newest change in each copy of the peer, by kind.
	copyVersions map[string]int64
}

// New returns a Mesh without peers.
func New(opt Options) *Mesh {
	now := opt.Timers.Now()
	msh := &Mesh{
		options: opt, started: now, incarnation: now.UnixNano(),
		peers: make(map[string]*peer), byMention: make(map[uint32]*peer), mentioned: make(map[string]time.Time),
	}
	msh.transitions, msh.timeout = transitionLog{log: opt.Log}, minPeerTimeout
	for knd, fol := range opt.Copies {
		msh.copiers = append(msh.copiers, &copier{kind: knd, follower: fol})
	}
	return msh
}

// FleetSize returns the number of nodes that share the fleet's limits, this one included: those that are listed in the
// store or were heard, live or not, because a silent node may still serve. It returns zero as long as the member list was
// not read.
func (msh *Mesh) FleetSize() (num int) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	if !msh.membersRead {
		return 0
	}
	return len(msh.peers) + 1
}

// LiveNodes returns the number of live nodes, including this one.
func (msh *Mesh) LiveNodes() (num int) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	num = 1
	for _, per := range msh.peers {
		if per.live {
			num++
		}
	}
	return num
}

// SetStopping marks this node as stopping in all further digests.
func (msh *Mesh) SetStopping() {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	msh.stopping = true
}

// Run registers the node and exchanges digests until the context ends.
func (msh *Mesh) Run(ctx context.Context) (err error) {
	defer errs.Annotate(&err, "run mesh")
	adr, err := net.ResolveUDPAddr("udp4", msh.options.Self.Address)
	if err != nil {
		return err
	}
	soc, err := net.ListenUDP("udp4", adr)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = soc.Close() })
	defer stop()
	go msh.maintainMembership(ctx)
	go msh.receiveDigests(ctx, soc)
	for ctx.Err() == nil {
		msh.sendDigest(soc)
		timer.Sleep(ctx, msh.digestInterval())
	}
	return nil
}

// digestInterval returns the pause until the next digest, which grows with the number of peers that get it.
func (msh *Mesh) digestInterval() time.Duration {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return msh.interval()
}

// interval returns the pause between digests; the caller holds the lock.
func (msh *Mesh) interval() time.Duration {
	recipients := 0.0
	for _, per := range msh.peers {
		evr := msh.digestEvery(per.member.FailureDomain)
		if !per.live && !per.lostAt.IsZero() {
			evr = deadPeerEvery
		}
		recipients += 1 / float64(evr)
	}
	return max(minDigestInterval, time.Duration(recipients*float64(digestIntervalPerPeer)))
}

// updateTimeout updates how long a peer counts as live without being heard; the caller holds the lock. Other nodes are
// assumed to send digests as often as this one. When many nodes die at once this one may notice earlier than others, which
// still send as rarely as before; so the timeout falls slowly.
func (msh *Mesh) updateTimeout() {
	msh.timeout = max(minPeerTimeout, missedDigests*msh.interval(), time.Duration(timeoutDecay*float64(msh.timeout)))
}

// isSilent reports whether a peer has been silent for the timeout; the caller holds the lock. Peers of another failure domain also count as heard when a digest from that domain
// names them, so that their timeout need not grow with the pause between their own digests.
func (msh *Mesh) isSilent(per *peer, now time.Time) bool {
	limit := msh.timeout
	if now.Sub(per.lastDigest) <= limit || now.Sub(per.lastMention) <= limit {
		return false
	}
	domain := per.member.FailureDomain
	if domain == msh.options.Self.FailureDomain || now.Sub(msh.mentioned[domain]) <= limit/2 {
		return true
	}
	return now.Sub(per.lastDigest) > time.Duration(msh.digestEvery(domain))*limit
}

// addMentions adds the hashes of live peers of the own failure domain to a digest, other ones each time; the caller holds
// the lock.
func (msh *Mesh) addMentions(dig *wire.Digest, now time.Time) {
	var live []uint32
	for nam, per := range msh.peers {
		if per.live && per.member.FailureDomain == msh.options.Self.FailureDomain && now.Sub(per.lastDigest) <= minPeerTimeout {
			live = append(live, mentionHash(nam))
		}
	}
	slices.Sort(live)
	// Nodes that send at the same time should name different peers.
	start := xxhash.Sum64String(msh.options.Self.Name + strconv.FormatUint(msh.sequence, 10))
	for num := range min(len(live), mentionsPerDigest) {
		dig.LivePeers = append(dig.LivePeers, live[(start+uint64(num))%uint64(len(live))])
	}
}

// acceptMentions updates the peers that a digest names as live and returns those that were not; the caller holds the lock.
// A peer that was lost a short time ago is not live again, because the digest may have been sent before others lost it.
func (msh *Mesh) acceptMentions(dig *wire.Digest, now time.Time) (found []string) {
	domain := dig.GetFailureDomain()
	if len(dig.GetLivePeers()) == 0 || domain == msh.options.Self.FailureDomain {
		return nil
	}
	msh.mentioned[domain] = now
	for _, hash := range dig.GetLivePeers() {
		per := msh.byMention[hash]
		if per == nil || per.member.FailureDomain != domain || !per.live && now.Sub(per.lostAt) < msh.timeout {
			continue
		}
		per.lastMention = now
		if !per.live {
			per.live = true
			found = append(found, per.member.Name)
		}
	}
	return found
}

// mentionHash returns the hash by which digests name a peer.
func mentionHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// addPeer adds a peer without any state; the caller holds the lock.
func (msh *Mesh) addPeer(name string) (per *peer) {
	per = &peer{}
	msh.peers[name] = per
	msh.byMention[mentionHash(name)] = per
	return per
}

// removePeer deletes a peer; the caller holds the lock.
func (msh *Mesh) removePeer(name string) {
	delete(msh.peers, name)
	delete(msh.byMention, mentionHash(name))
}

// sendDigest sends the state of this node to the peers that are due for it.
func (msh *Mesh) sendDigest(soc *net.UDPConn) {
	self := msh.options.Self
	dig := &wire.Digest{
		Node:          self.Name,
		FailureDomain: self.FailureDomain,
		Incarnation:   msh.incarnation,
		Address:       self.Address,
		Versions:      make(map[string]int64, len(msh.options.Copies)),
	}
	dig.Reads = true
	for knd, fol := range msh.options.Copies {
		dig.Versions[string(knd)] = fol.LastChange()
		dig.Reads = dig.Reads && fol.OutageDuration() == 0 && !fol.UsesPeers()
	}
	msh.options.Load.AddLocal(dig)
	recipients := msh.prepareDigest(dig)
	mentions := dig.LivePeers
	for evr, adrs := range recipients {
		dig.LivePeers = nil
		if evr > 1 {
			dig.LivePeers = mentions
		}
		dig.Placements = msh.placementsOfLast(evr)
		txt, err := proto.Marshal(dig)
		if err != nil || len(txt) > maxDigestBytes {
			msh.options.Log.Warn("digest not sent", "Bytes", len(txt), "Error", err)
			continue
		}
		for _, adr := range adrs {
			// A lost datagram is superseded by the next one.
			_, _ = soc.WriteToUDP(txt, adr)
		}
	}
}

// placementsOfLast returns the placements of the given number of last digests.
func (msh *Mesh) placementsOfLast(digests int) (pls []*wire.Placement) {
	for _, one := range msh.recentPlacements[max(0, len(msh.recentPlacements)-digests):] {
		pls = append(pls, one...)
	}
	return pls
}

// digestEvery returns the interval, in digests, at which a peer in a failure domain gets one.
func (msh *Mesh) digestEvery(domain string) int {
	own := msh.options.Self.FailureDomain
	switch {
	case domain == own:
		return 1
	case msh.options.Regions[domain] == msh.options.Regions[own]:
		return crossDomainEvery
	default:
		return crossRegionEvery
	}
}

// HasStoreReaders reports whether at least readersPerDomain nodes of the failure domain that rank
// before this one watch the store, so that this node can get its changes from peers.
func (msh *Mesh) HasStoreReaders() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	_, live := msh.countPreceding()
	return live >= readersPerDomain
}

// DeferInitialRead reports whether this node leaves the initial read of the store to other nodes
// that start at the same time.
func (msh *Mesh) DeferInitialRead() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	age := msh.options.Timers.Now().Sub(msh.started)
	if !msh.membersRead {
		return age < memberListTimeout
	}
	listed, _ := msh.countPreceding()
	return listed >= readersPerDomain && len(msh.peers) >= minPeersToDefer && age < initialReadDelay+time.Duration(listed)*initialReadStep
}

// DeferWatch reports whether this node, which started a short time ago and has read the store, leaves watching it to nodes
// that rank before it and may not have been heard yet.
func (msh *Mesh) DeferWatch() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	age := msh.options.Timers.Now().Sub(msh.started)
	if !msh.membersRead {
		return age < memberListTimeout
	}
	listed, _ := msh.countPreceding()
	return listed >= readersPerDomain && age < watchDelay
}

// countPreceding counts the nodes of the failure domain that rank before this one by the hash of
// their names: all of them, and the live ones that watch the store.
func (msh *Mesh) countPreceding() (listed, watching int) {
	own := msh.options.Self
	rank := xxhash.Sum64String(own.Name)
	for _, per := range msh.peers {
		if per.member.FailureDomain != own.FailureDomain || xxhash.Sum64String(per.member.Name) >= rank {
			continue
		}
		listed++
		if per.live && per.watchesStore {
			watching++
		}
	}
	return listed, watching
}

// prepareDigest sets the sequence number of the next digest and returns the addresses to send it
// to, by the number of digests since the last one that they got. It also expires silent peers.
func (msh *Mesh) prepareDigest(dig *wire.Digest) (adrs map[int][]*net.UDPAddr) {
	adrs = make(map[int][]*net.UDPAddr)
	now := msh.options.Timers.Now()
	own := xxhash.Sum64String(msh.options.Self.Name)
	var expired []string
	msh.mut.Lock()
	msh.sequence++
	dig.Sequence = msh.sequence
	dig.Stopping = msh.stopping
	msh.addMentions(dig, now)
	msh.updateTimeout()
	for nam, per := range msh.peers {
		if per.live && msh.isSilent(per, now) {
			per.live, per.lostAt = false, now
			expired = append(expired, nam)
		}
		evr := msh.digestEvery(per.member.FailureDomain)
		if !per.live && !per.lostAt.IsZero() {
			evr = deadPeerEvery
		}
		// Nodes that start together send at the same time; a peer should not get their digests all at once.
		if (msh.sequence+xxhash.Sum64String(nam)+own)%uint64(evr) == 0 {
			adrs[min(evr, crossRegionEvery)] = append(adrs[min(evr, crossRegionEvery)], per.address)
		}
	}
	msh.recentPlacements = append(msh.recentPlacements, dig.Placements)
	msh.recentPlacements = msh.recentPlacements[max(0, len(msh.recentPlacements)-crossRegionEvery):]
	msh.mut.Unlock()
	for _, nam := range expired {
		msh.options.Load.RemovePeer(nam)
		msh.transitions.add("node lost", nam, now)
	}
	msh.transitions.flush(now)
	return adrs
}

func (msh *Mesh) receiveDigests(ctx context.Context, soc *net.UDPConn) {
	buf := make([]byte, maxDigestBytes)
	for ctx.Err() == nil {
		num, _, err := soc.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				msh.options.Log.Warn("datagram not received", "Error", err.Error())
				timer.Sleep(ctx, minDigestInterval)
			}
			continue
		}
		var dig wire.Digest
		if err := proto.Unmarshal(buf[:num], &dig); err != nil || dig.GetNode() == "" {
			msh.options.Log.Info("datagram ignored", "Bytes", num)
			continue
		}
		if msh.acceptDigest(&dig) {
			msh.options.Load.SetPeer(&dig)
			msh.fetchNewerCopies(ctx, &dig)
		}
	}
}

// acceptDigest updates the sender of a digest and reports whether the digest is newer than the last
// one of that node.
func (msh *Mesh) acceptDigest(dig *wire.Digest) bool {
	if dig.GetNode() == msh.options.Self.Name {
		return false
	}
	adr, err := net.ResolveUDPAddr("udp4", dig.GetAddress())
	if err != nil {
		return false
	}
	msh.mut.Lock()
	per := msh.peers[dig.GetNode()]
	if per == nil {
		per = msh.addPeer(dig.GetNode())
	}
	// After a restart the time of day may be earlier than at the start before, so that the incarnation of a silent peer may
	// decrease.
	older := dig.GetIncarnation() < per.incarnation && msh.options.Timers.Now().Sub(per.lastDigest) <= msh.timeout
	if older || dig.GetIncarnation() == per.incarnation && dig.GetSequence() <= per.sequence {
		msh.mut.Unlock()
		return false
	}
	isNew := !per.live || per.incarnation != dig.GetIncarnation()
	per.member = router.Member{Name: dig.GetNode(), Address: dig.GetAddress(), FailureDomain: dig.GetFailureDomain()}
	per.address, per.incarnation, per.sequence = adr, dig.GetIncarnation(), dig.GetSequence()
	per.lastDigest, per.live, per.copyVersions = msh.options.Timers.Now(), true, dig.GetVersions()
	per.watchesStore = dig.GetReads() && !dig.GetStopping()
	now := per.lastDigest
	found := msh.acceptMentions(dig, now)
	msh.mut.Unlock()
	if isNew {
		found = append(found, dig.GetNode())
	}
	for _, nam := range found {
		msh.transitions.add("node heard", nam, now)
	}
	return true
}
