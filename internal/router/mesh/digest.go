package mesh

import (
	"context"
	"math"
	"net"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

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
	msh.addCopies(dig)
	msh.options.Load.AddLocal(dig)
	recipients := msh.prepareDigest(dig)
	mentions := dig.LivePeers
	for evr, adrs := range recipients {
		if evr == notDue {
			msh.sendTo(soc, adrs, &wire.Digest{Strikes: msh.recentStrikes[len(msh.recentStrikes)-1]})
			continue
		}
		dig.LivePeers = nil
		if evr > 1 {
			dig.LivePeers = mentions
		}
		dig.Placements, dig.Strikes = msh.placementsOfLast(evr), msh.strikesOfLast(evr)
		msh.sendTo(soc, adrs, dig)
	}
}

// sendTo sends a digest to addresses. A lost datagram is superseded by the next one.
func (msh *Mesh) sendTo(soc *net.UDPConn, adrs []*net.UDPAddr, dig *wire.Digest) {
	txt, err := proto.Marshal(dig)
	if err != nil || len(txt) > maxDigestBytes {
		msh.options.Log.Warn("digest not sent", "Bytes", len(txt), "Error", err)
		return
	}
	for _, adr := range adrs {
		_, _ = soc.WriteToUDP(txt, adr)
	}
}

// addCopies adds the state of the copies to a digest: their positions, and what is known of all of them. Versions and times of
// the store's clock are comparable only within an era.
func (msh *Mesh) addCopies(dig *wire.Digest) {
	dig.Reads = true
	dig.Eras = make(map[string]int64, len(msh.options.Copies))
	first, mixed := true, false
	var era int64
	for knd, fol := range msh.options.Copies {
		pos, storeMs, age := fol.Confirmed()
		dig.Versions[string(knd)], dig.Eras[string(knd)] = pos.LastChange, pos.Era
		if pos.DeletionsAfter > pos.LastChange {
			if dig.DeletionsAfter == nil {
				dig.DeletionsAfter = make(map[string]int64, len(msh.options.Copies))
			}
			dig.DeletionsAfter[string(knd)] = pos.DeletionsAfter
		}
		dig.Reads = dig.Reads && fol.WatchesStore()
		mixed = mixed || !first && pos.Era != era
		if first || storeMs < dig.ConfirmedStoreMs {
			dig.ConfirmedStoreMs, dig.ConfirmedAgeMs = storeMs, uint32(min(age.Milliseconds(), math.MaxUint32))
		}
		if first || pos.Complete < dig.CompleteVersion {
			dig.CompleteVersion = pos.Complete
		}
		first, era = false, pos.Era
	}
	if mixed {
		dig.ConfirmedStoreMs, dig.ConfirmedAgeMs, dig.CompleteVersion = 0, 0, 0
	}
}

// copyPosition returns the position of a copy as its digest states it.
func copyPosition(dig *wire.Digest, knd router.RecordKind) follow.Position {
	return follow.Position{
		Era:            dig.GetEras()[string(knd)],
		LastChange:     dig.GetVersions()[string(knd)],
		DeletionsAfter: dig.GetDeletionsAfter()[string(knd)],
		Complete:       dig.GetCompleteVersion(),
	}
}

// placementsOfLast returns the placements of the given number of last digests, each prefix and upstream once. Other regions
// get only those of prefixes that are cached: placements are most of the traffic between regions, and a node there has
// little use for a prefill that is still queued.
func (msh *Mesh) placementsOfLast(digests int) (pls []*wire.Placement) {
	type key struct{ prefix, instance uint64 }
	positions := make(map[key]int)
	for _, one := range msh.recentPlacements[max(0, len(msh.recentPlacements)-digests):] {
		for _, plc := range one {
			pos, fnd := positions[key{plc.GetPrefix(), plc.GetInstance()}]
			switch {
			case digests == crossRegionEvery && !plc.GetRead():
			case !fnd:
				positions[key{plc.GetPrefix(), plc.GetInstance()}] = len(pls)
				pls = append(pls, plc)
			case plc.GetRead():
				pls[pos] = plc
			}
		}
	}
	return pls
}

// strikesOfLast returns the crashes of the given number of last digests, which a peer has not got yet, and for peers of the
// own region those of strikeRepeat before.
func (msh *Mesh) strikesOfLast(digests int) (sks []*wire.CrashStrike) {
	if digests < crossRegionEvery {
		digests += int(strikeRepeat / msh.digestInterval())
	}
	for _, one := range msh.recentStrikes[max(0, len(msh.recentStrikes)-digests):] {
		sks = append(sks, one...)
	}
	return sks
}

// notDue is the key of live peers that get no digest in this round, but its new crashes, in a datagram that has nothing else.
// In a large fleet the digests to other regions are too rare to stop requests that crash upstreams.
const notDue = 0

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
	dig.GrantsPermits = msh.options.Permits != nil
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
		} else if per.live && len(dig.GetStrikes()) > 0 {
			adrs[notDue] = append(adrs[notDue], per.address)
		}
	}
	msh.recentStrikes = append(msh.recentStrikes, dig.GetStrikes())
	msh.recentStrikes = msh.recentStrikes[max(0, len(msh.recentStrikes)-crossRegionEvery):]
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
		num, from, err := soc.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				msh.options.Log.Warn("datagram not received", "Error", err.Error())
				timer.Sleep(ctx, minDigestInterval)
			}
			continue
		}
		var dig wire.Digest
		err = proto.Unmarshal(buf[:num], &dig)
		if err == nil && dig.GetNode() == "" && msh.acceptMessage(soc, from, &dig) {
			continue
		}
		if err != nil || dig.GetNode() == "" {
			msh.options.Log.Info("datagram ignored", "Bytes", num)
			continue
		}
		if msh.acceptDigest(&dig) {
			msh.sendHistory(soc, &dig)
			msh.options.Load.SetPeer(&dig)
			msh.fetchNewerCopies(ctx, &dig)
		}
	}
}

// acceptMessage handles a datagram that is no digest of a node; ok is false if it holds no known message.
func (msh *Mesh) acceptMessage(soc *net.UDPConn, from *net.UDPAddr, dig *wire.Digest) (ok bool) {
	switch {
	case len(dig.GetStrikes()) > 0:
		msh.options.Load.AddStrikes(dig.GetStrikes())
	case dig.GetPermitRequest() != nil && msh.options.Permits != nil:
		ans := msh.options.Permits.Grant(dig.GetPermitRequest())
		msh.sendTo(soc, []*net.UDPAddr{from}, &wire.Digest{PermitAnswer: ans})
	case dig.GetPermitAnswer() != nil && msh.options.Permits != nil:
		msh.options.Permits.Deliver(dig.GetPermitAnswer())
	default:
		return msh.acceptUsage(soc, from, dig)
	}
	return true
}

// sendHistory sends the crashes of before to the sender of a digest if it has started a short time ago or was cut off, and this
// node is one of those that do so. Otherwise requests that crash upstreams would run again on each node that was restarted.
func (msh *Mesh) sendHistory(soc *net.UDPConn, dig *wire.Digest) {
	adr, due := msh.owesHistory(dig)
	if !due {
		return
	}
	for sks := range slices.Chunk(msh.options.Load.History(), strikesPerDatagram) {
		msh.sendTo(soc, []*net.UDPAddr{adr}, &wire.Digest{Strikes: sks})
	}
}

// owesHistory reports whether this node sends the crashes of before to the sender of a digest, and to which address: the digest is one of
// its first or the first after it was lost, and few live nodes rank before this one by the hash of both names.
func (msh *Mesh) owesHistory(dig *wire.Digest) (adr *net.UDPAddr, due bool) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	per := msh.peers[dig.GetNode()]
	if per == nil {
		return nil, false
	}
	started := per.historySent != dig.GetIncarnation() && dig.GetSequence() <= maxHistorySequence
	if !started && !per.returned {
		return nil, false
	}
	per.historySent, per.returned = dig.GetIncarnation(), false
	own := xxhash.Sum64String(msh.options.Self.Name + dig.GetNode())
	preceding := 0
	for nam, oth := range msh.peers {
		if oth != per && oth.live && xxhash.Sum64String(nam+dig.GetNode()) < own {
			preceding++
		}
	}
	return per.address, preceding < historySenders
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
	per.returned = per.returned || !per.live && !per.lostAt.IsZero()
	per.member = router.Member{Name: dig.GetNode(), Address: dig.GetAddress(), FailureDomain: dig.GetFailureDomain()}
	per.address, per.incarnation, per.sequence = adr, dig.GetIncarnation(), dig.GetSequence()
	per.lastDigest, per.live, per.copyVersions = msh.options.Timers.Now(), true, dig.GetVersions()
	per.watchesStore = dig.GetReads() && !dig.GetStopping()
	per.grantsPermits = dig.GetGrantsPermits() && !dig.GetStopping()
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
