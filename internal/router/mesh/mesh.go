package mesh

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// changes from them, and watch it themselves when their copies are not confirmed in time.
	readersPerDomain = 1
	// maxCopyAge is how long ago a copy that comes from peers may last have been current. Readers confirm their copies at least
	// every 1.3 s, and a change must be in force 3 s after it was made.
	maxCopyAge = 2 * time.Second
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
	// strikeRepeat is how long the digests to nodes of the own region repeat a crash, so that a lost digest does not lose
	// it. It is below the time in which package guard counts repeated reports of a crash as one.
	strikeRepeat = 400 * time.Millisecond
	// historySenders is how many nodes send a node that has started the crashes of before.
	historySenders = 6
	// strikesPerDatagram bounds the crashes in one datagram to such a node.
	strikesPerDatagram = 100
	// maxHistorySequence is the number of the last digest of a node by which others find that it has started. A digest to other
	// regions is one of ten, and some are lost.
	maxHistorySequence = 3 * crossRegionEvery
	// assumedNodes is the assumed size of the fleet while the member list is unknown. It is above the size of the largest
	// fleet, so that nodes which know little use little of a limit.
	assumedNodes = 1000
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
	// AddStrikes applies crashes that a peer reports outside of its digests.
	AddStrikes(sks []*wire.CrashStrike)
	// History returns the crashes that a node which has started needs to know.
	History() (sks []*wire.CrashStrike)
	// RemovePeer removes the load of a peer that is no longer live.
	RemovePeer(name string)
}

// Permits answers requests for permits to send to upstreams with a rate limit; see package permit.
type Permits interface {
	// Grant answers the request of a peer.
	Grant(req *wire.PermitRequest) (ans *wire.PermitAnswer)
	// Deliver passes on the answer to a request of this node.
	Deliver(ans *wire.PermitAnswer)
}

// Options configure a Mesh.
type Options struct {
	Self   router.Member
	Timers router.Timers
	Log    *slog.Logger
	Source router.RecordStore
	Codec  router.Codec
	Load   LoadState
	// Permits answers requests for permits; nil means that this node grants none.
	Permits Permits
	// Usage keeps and answers usage counts; nil means that this node counts none.
	Usage Usage
	// Copies are this node's copies of the platform's records, which are compared with those of
	// peers.
	Copies map[router.RecordKind]*follow.Follower
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Transport carries the calls to peers; nil means TCP.
	Transport http.RoundTripper
}

// Mesh exchanges digests with all peers and tracks which of them are live.
type Mesh struct {
	options Options
	// incarnation is the start time of this node in Unix nanoseconds. Peers ignore digests of an
	// older incarnation.
	incarnation int64
	started     time.Time
	copiers     []*copier

	// socket receives and sends datagrams; nil before Run.
	socket atomic.Pointer[net.UDPConn]

	mut   sync.Mutex
	peers map[string]*peer
	// sequence is the number of the last digest sent.
	sequence uint64
	stopping bool
	// membersRead is set once the member list was read.
	membersRead bool
	// membersEra is the era of the versions of member records.
	membersEra int64
	// recordVersion is the store's version of this node's member record; zero while it has none.
	recordVersion int64
	// recentPlacements holds the placements of the last digests. A peer that gets every second or
	// tenth digest gets the placements of two or ten digests together.
	recentPlacements [][]*wire.Placement
	// recentStrikes holds the crashes of the last digests in the same way.
	recentStrikes [][]*wire.CrashStrike
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
	// grantsPermits is set while the peer answers requests for permits.
	grantsPermits bool
	// nameHash is the hash of the peer's name.
	nameHash uint64
	// historySent is the incarnation of the peer for which this node has decided whether to send the crashes of before.
	historySent int64
	// returned is set when the peer is heard again after it was lost, until this node has decided the same.
	returned bool
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
	tra := opt.Transport
	if tra == nil {
		tra = peerTransport
	}
	for knd, fol := range opt.Copies {
		msh.copiers = append(msh.copiers, &copier{kind: knd, follower: fol, transport: tra})
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
	msh.socket.Store(soc)
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

// addPeer adds a peer without any state; the caller holds the lock.
func (msh *Mesh) addPeer(name string) (per *peer) {
	per = &peer{nameHash: xxhash.Sum64String(name)}
	msh.peers[name] = per
	msh.byMention[mentionHash(name)] = per
	return per
}

// removePeer deletes a peer; the caller holds the lock.
func (msh *Mesh) removePeer(name string) {
	delete(msh.peers, name)
	delete(msh.byMention, mentionHash(name))
}

// HasStoreReaders reports whether at least readersPerDomain nodes of the failure domain that rank
// before this one watch the store, so that this node can get its changes from peers.
func (msh *Mesh) HasStoreReaders() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	_, live := msh.countPreceding()
	return live >= readersPerDomain
}

// KeepsCurrent reports whether this node gets the changes to a copy from peers: others watch the store or are about to, and the
// copy was current a short time ago. A copy that peers do not confirm may be old, because they do not notice that the store no
// longer answers them, or because they are gone.
func (msh *Mesh) KeepsCurrent(fol *follow.Follower) bool {
	return (msh.HasStoreReaders() || msh.DeferWatch()) && fol.IsCurrent(maxCopyAge)
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
