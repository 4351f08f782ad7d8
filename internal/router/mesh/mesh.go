package mesh

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// digestLeast is the pause between digests with few peers; placement decides on views of about this age.
	digestLeast = 100 * time.Millisecond
	// digestPerPeer bounds a node's digests to 200 a second however many peers it has.
	digestPerPeer = 5 * time.Millisecond
	// heardWithin is how long after its last digest a peer counts as live.
	heardWithin = 2 * time.Second
	// silentEvery is how often a peer that is not heard is tried, in digests.
	silentEvery = 10
	// readersPerDomain is how many nodes of a failure domain follow the store; the others get its changes from them. A feed whose answer was lost brings nothing until its call ends, so one is too few.
	readersPerDomain = 2
	// startLimit is how long after its start a node leaves the first reading of the store to the nodes that are listed before it, and startStep what each of these adds, so that the rest do not read all at once.
	startLimit = 2 * time.Second
	startStep  = 100 * time.Millisecond
	// listLimit is how long after its start a node waits for the list of nodes.
	listLimit = 300 * time.Millisecond
	// directNodes is the number of peers up to which all nodes read the store for themselves at the start.
	directNodes = 128
	// domainEvery and regionEvery are how many digests go to the own failure domain for each one to another domain and to another region.
	domainEvery = 2
	regionEvery = 4
	// datagramBytes bounds a digest.
	datagramBytes = 60 << 10
)

// Load is what a Mesh tells and learns of placement.
type Load interface {
	// Describe adds this node's load to a digest.
	Describe(dig *wire.Digest)
	// Learn takes a peer's load.
	Learn(dig *wire.Digest)
	// Lose forgets the load of a peer that is not heard any more.
	Lose(name string)
}

// Options are what a Mesh is built from.
type Options struct {
	Self   router.Member
	Timers router.Timers
	Log    *slog.Logger
	Source router.RecordStore
	Codec  router.Codec
	Load   Load
	// Copies are the copies of the platform's records that peers may have newer.
	Copies map[router.RecordKind]*follow.Follower
	// Regions maps failure domains to their regions.
	Regions map[string]string
}

// Mesh is this node's view of its peers.
type Mesh struct {
	options     Options
	incarnation int64
	started     time.Time
	copiers     []*copier

	mut      sync.Mutex
	peers    map[string]*peer
	sequence uint64
	stopping bool
	// listed is set once the list of nodes was read.
	listed bool
	// version is the store's version of this node's own record; zero while it is not listed.
	version int64
	// told holds the placements of the last digests, which those who get fewer digests are told together.
	told [][]*wire.Placement
}

// peer is another node.
type peer struct {
	member      router.Member
	address     *net.UDPAddr
	incarnation int64
	sequence    uint64
	heard       time.Time
	live        bool
	// listed is when the record was first seen, and version the store's version of it; zero for peers that are not listed.
	listed  time.Time
	version int64
	// reads is set while the peer follows the store itself.
	reads    bool
	versions map[string]int64
}

// New returns a Mesh that knows no peers.
func New(opt Options) *Mesh {
	now := opt.Timers.Now()
	msh := &Mesh{options: opt, started: now, incarnation: now.UnixNano(), peers: make(map[string]*peer)}
	for knd, fol := range opt.Copies {
		msh.copiers = append(msh.copiers, &copier{kind: knd, follower: fol})
	}
	return msh
}

// Live returns the number of live nodes, this one included.
func (msh *Mesh) Live() (num int) {
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

// Stop tells peers from now on that this node is stopping.
func (msh *Mesh) Stop() {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	msh.stopping = true
}

// Run exchanges digests until the context ends.
func (msh *Mesh) Run(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "run mesh")
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
	go msh.listMembers(ctx)
	go msh.receive(ctx, soc)
	for ctx.Err() == nil {
		msh.send(soc)
		timer.Sleep(ctx, msh.pause())
	}
	return nil
}

// pause returns the time to the next digest, which grows with the number of peers.
func (msh *Mesh) pause() time.Duration {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return max(digestLeast, time.Duration(len(msh.peers))*digestPerPeer)
}

// send tells all peers what this node does.
func (msh *Mesh) send(soc *net.UDPConn) {
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
		dig.Versions[string(knd)] = fol.Newest()
		dig.Reads = dig.Reads && fol.Failing() == 0 && !fol.Relays()
	}
	msh.options.Load.Describe(dig)
	for evr, adrs := range msh.targets(dig) {
		dig.Placements = msh.placements(evr)
		txt, err := proto.Marshal(dig)
		if err != nil || len(txt) > datagramBytes {
			msh.options.Log.Warn("digest not sent", "Bytes", len(txt), "Error", err)
			return
		}
		for _, adr := range adrs {
			// A lost datagram is replaced by the next one.
			_, _ = soc.WriteToUDP(txt, adr)
		}
	}
}

// placements returns what was placed in a number of digests.
func (msh *Mesh) placements(digests int) (pls []*wire.Placement) {
	for _, one := range msh.told[max(0, len(msh.told)-digests):] {
		pls = append(pls, one...)
	}
	return pls
}

// every returns for how many digests a peer in a failure domain gets one.
func (msh *Mesh) every(domain string) int {
	own := msh.options.Self.FailureDomain
	switch {
	case domain == own:
		return 1
	case msh.options.Regions[domain] == msh.options.Regions[own]:
		return domainEvery
	default:
		return regionEvery
	}
}

// Relayed reports whether other nodes of the failure domain follow the store for this one.
func (msh *Mesh) Relayed() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	_, live := msh.before()
	return live >= readersPerDomain
}

// Starting reports whether the node leaves the first reading of the store to others that start with it.
func (msh *Mesh) Starting() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	age := msh.options.Timers.Now().Sub(msh.started)
	if !msh.listed {
		return age < listLimit
	}
	listed, _ := msh.before()
	return listed >= readersPerDomain && len(msh.peers) >= directNodes && age < startLimit+time.Duration(listed)*startStep
}

// before returns how many nodes of the failure domain read the store before this one: those listed, and of them those that do so now.
func (msh *Mesh) before() (listed, reading int) {
	own := msh.options.Self
	rank := xxhash.Sum64String(own.Name)
	for _, per := range msh.peers {
		if per.member.FailureDomain != own.FailureDomain || xxhash.Sum64String(per.member.Name) >= rank {
			continue
		}
		listed++
		if per.live && per.reads {
			reading++
		}
	}
	return listed, reading
}

// targets numbers a digest and returns whom to send it to, by how many digests they get one for; peers that went silent are noted.
func (msh *Mesh) targets(dig *wire.Digest) (adrs map[int][]*net.UDPAddr) {
	adrs = make(map[int][]*net.UDPAddr)
	now := msh.options.Timers.Now()
	var lost []string
	msh.mut.Lock()
	msh.sequence++
	dig.Sequence = msh.sequence
	dig.Stopping = msh.stopping
	for nam, per := range msh.peers {
		if per.live && now.Sub(per.heard) > heardWithin {
			per.live = false
			lost = append(lost, nam)
		}
		evr := msh.every(per.member.FailureDomain)
		if per.live && msh.sequence%uint64(evr) == 0 || !per.live && msh.sequence%silentEvery == 0 {
			adrs[evr] = append(adrs[evr], per.address)
		}
	}
	msh.told = append(msh.told, dig.Placements)
	msh.told = msh.told[max(0, len(msh.told)-regionEvery):]
	msh.mut.Unlock()
	for _, nam := range lost {
		msh.options.Load.Lose(nam)
		msh.options.Log.Info("node lost", "Peer", nam, "Silence", heardWithin.String())
	}
	return adrs
}

func (msh *Mesh) receive(ctx context.Context, soc *net.UDPConn) {
	buf := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		num, _, err := soc.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				msh.options.Log.Warn("datagram not received", "Error", err.Error())
				timer.Sleep(ctx, digestLeast)
			}
			continue
		}
		var dig wire.Digest
		if err := proto.Unmarshal(buf[:num], &dig); err != nil || dig.GetNode() == "" {
			msh.options.Log.Info("datagram ignored", "Bytes", num)
			continue
		}
		if msh.accept(&dig) {
			msh.options.Load.Learn(&dig)
			msh.catchUp(ctx, &dig)
		}
	}
}

// accept notes that a peer was heard, and reports whether its digest is newer than the one before.
func (msh *Mesh) accept(dig *wire.Digest) bool {
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
		per = &peer{}
		msh.peers[dig.GetNode()] = per
	}
	if dig.GetIncarnation() < per.incarnation || dig.GetIncarnation() == per.incarnation && dig.GetSequence() <= per.sequence {
		msh.mut.Unlock()
		return false
	}
	fresh := !per.live || per.incarnation != dig.GetIncarnation()
	per.member = router.Member{Name: dig.GetNode(), Address: dig.GetAddress(), FailureDomain: dig.GetFailureDomain()}
	per.address, per.incarnation, per.sequence = adr, dig.GetIncarnation(), dig.GetSequence()
	per.heard, per.live, per.versions = msh.options.Timers.Now(), true, dig.GetVersions()
	per.reads = dig.GetReads() && !dig.GetStopping()
	msh.mut.Unlock()
	if fresh {
		msh.options.Log.Info("node heard", "Peer", dig.GetNode(), "Address", dig.GetAddress(), "Incarnation", dig.GetIncarnation())
	}
	return true
}
