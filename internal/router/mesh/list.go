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
	// membersEvery is how often the list of nodes is read again, with as much jitter; newcomers announce themselves.
	membersEvery = time.Minute
	// joinRetry is the pause after a failure to write or read the list of nodes.
	joinRetry = time.Second
	// leaveLimit bounds the removal of this node's record when it stops; the store answers within milliseconds or is away.
	leaveLimit = time.Second
	// lostStay is how long a record stays whose node is not heard; a node that was only cut off writes its own again when it sees that it is gone.
	lostStay = 10 * time.Minute
)

// listMembers writes this node into the list of nodes and reads who else is there.
func (msh *Mesh) listMembers(ctx context.Context) {
	for ctx.Err() == nil && !msh.isStopping() {
		err := msh.options.Source.Register(ctx, msh.options.Self)
		if err == nil {
			err = msh.readMembers(ctx)
		}
		if err != nil {
			msh.options.Log.Info("node not listed", "Error", err.Error())
			timer.Sleep(ctx, joinRetry+rand.N(joinRetry))
			continue
		}
		for ctx.Err() == nil && msh.joined() {
			timer.Sleep(ctx, membersEvery+rand.N(membersEvery))
			if err := msh.readMembers(ctx); err != nil {
				msh.options.Log.Info("list of nodes not read", "Error", err.Error())
				continue
			}
			msh.removeLost(ctx)
		}
	}
}

func (msh *Mesh) isStopping() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return msh.stopping
}

// joined reports whether this node was listed when the list was last read.
func (msh *Mesh) joined() bool {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return msh.version > 0
}

func (msh *Mesh) readMembers(ctx context.Context) (err error) {
	chs, err := msh.options.Source.Read(ctx, router.Members)
	if err == nil {
		msh.merge(chs)
	}
	return err
}

// Leave removes this node's record, so that nobody waits for it.
func (msh *Mesh) Leave(ctx context.Context) {
	msh.mut.Lock()
	version := msh.version
	msh.mut.Unlock()
	if version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveLimit)
	defer cancel()
	if err := msh.options.Source.Deregister(ctx, msh.options.Self.Name, version); err != nil {
		msh.options.Log.Info("node record not removed", "Peer", msh.options.Self.Name, "Version", version, "Error", err.Error())
	}
}

// removeLost removes the records of nodes that have not been heard for long; one live node does so for all.
func (msh *Mesh) removeLost(ctx context.Context) {
	for name, version := range msh.lost() {
		err := msh.options.Source.Deregister(ctx, name, version)
		if err != nil {
			msh.options.Log.Info("node record not removed", "Peer", name, "Version", version, "Error", err.Error())
			continue
		}
		msh.options.Log.Info("node record removed", "Peer", name, "Version", version, "Silence", lostStay.String())
	}
}

// lost returns the versions of the records to be removed, by name; it is empty for all live nodes but the first by hash.
func (msh *Mesh) lost() (versions map[string]int64) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	now := msh.options.Timers.Now()
	own := xxhash.Sum64String(msh.options.Self.Name)
	versions = make(map[string]int64)
	for name, per := range msh.peers {
		if per.live && xxhash.Sum64String(name) < own {
			return nil
		}
		last := slices.MaxFunc([]time.Time{per.listed, per.heard}, time.Time.Compare)
		if !per.live && per.version > 0 && now.Sub(last) > lostStay {
			versions[name] = per.version
		}
	}
	return versions
}

// merge takes the list of nodes; those that are not in it and not heard are forgotten.
func (msh *Mesh) merge(chs router.Changes) {
	own := int64(0)
	listed := make(map[string]bool)
	for _, rec := range chs.Records {
		mem, err := msh.options.Codec.Member(rec)
		if err == nil && mem.Name == msh.options.Self.Name {
			own = rec.Version
			continue
		}
		if err == nil {
			err = msh.add(mem, rec.Version)
		}
		if err != nil {
			msh.options.Log.Warn("node record ignored", "Record", rec.Key, "Error", err.Error())
			continue
		}
		listed[mem.Name] = true
	}
	msh.mut.Lock()
	defer msh.mut.Unlock()
	msh.listed = true
	msh.version = own
	for nam, per := range msh.peers {
		if !listed[nam] && !per.live {
			delete(msh.peers, nam)
		}
	}
}

// add notes a listed node; one that was heard says itself where it is.
func (msh *Mesh) add(mem router.Member, version int64) (err error) {
	if mem.Name == "" {
		return errors.New("no name")
	}
	adr, err := net.ResolveUDPAddr("udp4", mem.Address)
	if err != nil {
		return err
	}
	msh.mut.Lock()
	defer msh.mut.Unlock()
	per := msh.peers[mem.Name]
	if per == nil {
		per = &peer{}
		msh.peers[mem.Name] = per
	}
	if per.version != version {
		per.listed, per.version = msh.options.Timers.Now(), version
	}
	if !per.live {
		per.member, per.address = mem, adr
	}
	return nil
}
