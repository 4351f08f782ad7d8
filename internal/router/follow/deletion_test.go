package follow_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
)

// TestSnapshotHidesDeletions guards against a copy that keeps a deleted record for good: a peer read a snapshot after the
// deletion, so that its newest known change is older, and its copy seems to be no newer than that with the record.
func TestSnapshotHidesDeletions(t *testing.T) {
	record := func(key string, version int64) router.Record {
		return router.Record{Key: key, Value: []byte(key), Version: version}
	}
	newFollower := func() *follow.Follower {
		return follow.New(follow.Options{Log: slog.New(slog.DiscardHandler), Apply: func(follow.Update) {}})
	}
	// The record "gone" is written at version 4 and deleted at 6.
	held := router.Changes{Version: 5, Snapshot: true, Records: []router.Record{record("stays", 3), record("gone", 4)}}
	after := router.Changes{Version: 9, Snapshot: true, Records: []router.Record{record("stays", 3)}}
	cases := map[string]struct {
		era int64
		// received holds what the peer received, in order.
		received []router.Changes
		// passed is set if the peer got its copy from a further peer.
		passed bool
	}{
		"first snapshot, store without an era": {received: []router.Changes{after}},
		"first snapshot, store with an era":    {era: 2, received: []router.Changes{after}},
		"snapshot of a peer":                   {received: []router.Changes{after}, passed: true},
		"snapshot after discarded history": {received: []router.Changes{
			{Version: 3, Snapshot: true, Records: []router.Record{record("stays", 3)}}, after,
		}},
		"record written after the snapshot": {received: []router.Changes{
			after, {Version: 11, Records: []router.Record{record("new", 10)}},
		}},
		"snapshot of an empty store": {received: []router.Changes{{Version: 9, Snapshot: true}}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			receive := func(fol *follow.Follower, chs router.Changes) {
				chs.Era = cas.era
				fol.MergePeer(chs)
			}
			holder, peer := newFollower(), newFollower()
			receive(holder, held)
			for _, chs := range cas.received {
				receive(peer, chs)
			}
			if cas.passed {
				last := newFollower()
				last.MergePeer(peer.ChangesSince(0))
				peer = last
			}
			pos, _, _ := peer.Confirmed()
			holder.Confirm(pos, 1000, 0)
			if holder.IsCurrent(time.Hour) {
				t.Error("the copy with the deleted record is confirmed")
			}
			holder.MergePeer(peer.ChangesSince(holder.LastChange()))
			for _, rec := range holder.Snapshot().Records {
				if rec.Key == "gone" {
					t.Error("the deleted record is kept")
				}
			}
			holder.Confirm(pos, 1000, 0)
			if !holder.IsCurrent(time.Hour) {
				t.Error("the completed copy is not confirmed")
			}
		})
	}
}

// TestConfirmedCopyNeedsNoSnapshot guards against whole copies that are fetched whenever a peer read a snapshot, although others
// have confirmed meanwhile that nothing was deleted.
func TestConfirmedCopyNeedsNoSnapshot(t *testing.T) {
	fol := follow.New(follow.Options{Log: slog.New(slog.DiscardHandler), Apply: func(follow.Update) {}})
	fol.MergePeer(router.Changes{Version: 5, Snapshot: true, Records: []router.Record{{Key: "stays", Version: 3}}})
	restarted := follow.Position{LastChange: 3, DeletionsAfter: 9, Complete: 9}
	if !fol.Position().Lacks(restarted) {
		t.Error("a snapshot of version 9 hides nothing from a copy that is complete up to 5")
	}
	fol.Confirm(follow.Position{LastChange: 3, DeletionsAfter: 2, Complete: 10}, 1000, 0)
	if fol.Position().Lacks(restarted) {
		t.Error("a copy that is complete up to 10 lacks something of a snapshot of version 9")
	}
}
