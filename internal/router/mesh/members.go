package mesh

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

const (
	// memberReadInterval is how often the member list is read again, with as much jitter again. New
	// nodes need not wait for it, because they send digests to all listed nodes.
	memberReadInterval = time.Minute
	// eraCheckInterval is how often a node checks whether the store was restored, and restoredReadSpread bounds the random time
	// after which it reads the member list again then.
	eraCheckInterval   = 500 * time.Millisecond
	restoredReadSpread = 2 * time.Second
	// memberRetryPause is the pause after a failure to register or to read the member list.
	memberRetryPause = time.Second
	// deregisterTimeout bounds the removal of this node's record when it stops. The store responds
	// within milliseconds or is unreachable.
	deregisterTimeout = time.Second
	// deadRecordTTL is how long the record of a node that sends no digests is kept. A node that was
	// only partitioned registers again when it finds its record removed.
	deadRecordTTL = 10 * time.Minute
)

// maintainMembership registers this node in the store and keeps reading the member list. It
// registers again when its record is gone.
func (msh *Mesh) maintainMembership(ctx context.Context) {
	for ctx.Err() == nil && !msh.isStopping() {
		err := msh.options.Source.Register(ctx, msh.options.Self)
		if err == nil {
			err = msh.readMembers(ctx)
		}
		if err != nil {
			msh.options.Log.Info("node not listed", "Error", err.Error())
			timer.Sleep(ctx, memberRetryPause+rand.N(memberRetryPause))
			continue
		}
		for ctx.Err() == nil && msh.isRegistered() {
			msh.awaitMemberRead(ctx)
			if err := msh.readMembers(ctx); err != nil {
				msh.options.Log.Info("list of nodes not read", "Error", err.Error())
				continue
			}
			msh.removeDeadRecords(ctx)
		}
	}
}

// awaitMemberRead waits until the member list is to be read again: after its usual time, or a short time after the store was
// restored from a copy, which may lack the records of nodes.
func (msh *Mesh) awaitMemberRead(ctx context.Context) {
	for left := memberReadInterval + rand.N(memberReadInterval); left > 0 && ctx.Err() == nil; left -= eraCheckInterval {
		timer.Sleep(ctx, min(left, eraCheckInterval))
		if msh.isRestored() {
			timer.Sleep(ctx, rand.N(restoredReadSpread))
			return
		}
	}
}

// isRestored reports whether a copy is of a later era than the member list.
func (msh *Mesh) isRestored() bool {
	era := int64(0)
	for _, cop := range msh.copiers {
		era = max(era, cop.follower.Position().Era)
	}
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return msh.membersRead && era > msh.membersEra
}

func (msh *Mesh) isStopping() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return msh.stopping
}

// isRegistered reports whether the member list had a record of this node when it was last read.
func (msh *Mesh) isRegistered() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return msh.recordVersion > 0
}

func (msh *Mesh) readMembers(ctx context.Context) (err error) {
	chs, err := msh.options.Source.Read(ctx, router.Members)
	if err == nil {
		msh.mergeMembers(chs)
	}
	return err
}

// Deregister removes this node's member record, so that other nodes do not treat it as a silent
// member.
func (msh *Mesh) Deregister(ctx context.Context) {
	msh.mut.Lock()
	era, version := msh.membersEra, msh.recordVersion
	msh.mut.Unlock()
	if version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := msh.options.Source.Deregister(ctx, msh.options.Self.Name, era, version); err != nil {
		msh.options.Log.Info("node record not removed", "Peer", msh.options.Self.Name, "Version", version, "Error", err.Error())
	}
}

// removeDeadRecords removes the records of nodes that have been silent for deadRecordTTL. Only one
// live node does so.
func (msh *Mesh) removeDeadRecords(ctx context.Context) {
	for name, ver := range msh.deadRecords() {
		err := msh.options.Source.Deregister(ctx, name, ver.era, ver.version)
		if err != nil {
			msh.options.Log.Info("node record not removed", "Peer", name, "Version", ver.version, "Error", err.Error())
			continue
		}
		msh.options.Log.Info("node record removed", "Peer", name, "Version", ver.version, "Silence", deadRecordTTL.String())
	}
}

// recordVersion is the store's version of a record.
type recordVersion struct{ era, version int64 }

// deadRecords returns the versions of the records to remove, by node name. It is empty on all live
// nodes but the first one by the hash of the name.
func (msh *Mesh) deadRecords() (versions map[string]recordVersion) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	now := msh.options.Timers.Now()
	own := xxhash.Sum64String(msh.options.Self.Name)
	versions = make(map[string]recordVersion)
	for name, per := range msh.peers {
		if per.live && xxhash.Sum64String(name) < own {
			return nil
		}
		last := slices.MaxFunc([]time.Time{per.recordSeen, per.lastDigest}, time.Time.Compare)
		if !per.live && per.recordVersion > 0 && now.Sub(last) > deadRecordTTL {
			versions[name] = recordVersion{era: msh.membersEra, version: per.recordVersion}
		}
	}
	return versions
}

// mergeMembers updates the peers from the member list. Peers that are neither listed nor live are
// removed. A list of an earlier era is ignored.
func (msh *Mesh) mergeMembers(chs router.Changes) {
	if !msh.enterMembersEra(chs.Era) {
		return
	}
	own := int64(0)
	listed := make(map[string]bool)
	for _, rec := range chs.Records {
		mem, err := msh.options.Codec.Member(rec)
		if err == nil && mem.Name == msh.options.Self.Name {
			// A restored record may be that of an earlier node of the same name.
			if mem == msh.options.Self {
				own = rec.Version
			}
			continue
		}
		if err == nil {
			err = msh.addMember(mem, rec.Version)
		}
		if err != nil {
			msh.options.Log.Warn("node record ignored", "Record", rec.Key, "Error", err.Error())
			continue
		}
		listed[mem.Name] = true
	}
	msh.mut.Lock()
	defer msh.mut.Unlock()
	msh.membersRead = true
	msh.recordVersion = own
	for nam, per := range msh.peers {
		if !listed[nam] && !per.live {
			msh.removePeer(nam)
		}
	}
}

// enterMembersEra forgets the versions of member records when an era begins; ok is false for an era before.
func (msh *Mesh) enterMembersEra(era int64) (ok bool) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	if era > msh.membersEra {
		msh.membersEra, msh.recordVersion = era, 0
		for _, per := range msh.peers {
			per.recordVersion = 0
		}
	}
	return era == msh.membersEra
}

// addMember adds a listed node or updates its record. The address of a live node is kept, because
// it comes from its digests.
func (msh *Mesh) addMember(mem router.Member, version int64) (err error) {
	if mem.Name == "" {
		return errors.New("member record without a name")
	}
	adr, err := net.ResolveUDPAddr("udp4", mem.Address)
	if err != nil {
		return err
	}
	msh.mut.Lock()
	defer msh.mut.Unlock()
	per := msh.peers[mem.Name]
	if per == nil {
		per = msh.addPeer(mem.Name)
	}
	if per.recordVersion != version {
		per.recordSeen, per.recordVersion = msh.options.Timers.Now(), version
	}
	if !per.live {
		per.member, per.address = mem, adr
	}
	return nil
}
