package follow_test

import (
	"context"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
)

const testTimeout = 10 * time.Second

type fixture struct {
	*follow.Follower

	source  *fakes.RecordStore
	updates chan follow.Update
}

func startFollower(t *testing.T, src *fakes.RecordStore) fixture {
	t.Helper()
	fix := startFollowerOn(t, src)
	fix.source = src
	return fix
}

func startFollowerOn(t *testing.T, src router.RecordStore) fixture {
	t.Helper()
	upds := make(chan follow.Update, 64)
	fol := follow.New(follow.Options{
		Source: src,
		Kind:   router.Instances,
		Log:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply:  func(upd follow.Update) { upds <- upd },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		fol.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return fixture{Follower: fol, updates: upds}
}

func (fix fixture) nextUpdate(t *testing.T) follow.Update {
	t.Helper()
	select {
	case upd := <-fix.updates:
		return upd
	case <-time.After(testTimeout):
		t.Fatal("no update before the timeout")
		return follow.Update{}
	}
}

// hangingStore fails the first call of Watch and never responds to the second, which times out.
type hangingStore struct {
	*fakes.RecordStore

	calls atomic.Int32
}

func (han *hangingStore) Watch(ctx context.Context, cal router.WatchCall) (chs router.Changes, err error) {
	switch han.calls.Add(1) {
	case 1:
		return chs, router.ErrUnavailable
	case 2:
		ctx, cancel := context.WithTimeout(ctx, cal.Wait+cal.AnswerTimeout)
		defer cancel()
		<-ctx.Done()
		return chs, router.ErrUnavailable
	default:
		return han.RecordStore.Watch(ctx, cal)
	}
}

// TestCallWithoutResponseTimesOutDuringOutage guards against a Follower that misses the end of an
// outage, because it still waits for the response to a call that was sent during the outage.
func TestCallWithoutResponseTimesOutDuringOutage(t *testing.T) {
	han := &hangingStore{RecordStore: fakes.NewRecordStore()}
	han.Set(router.Instances, "a", []byte("1"))
	fix := startFollowerOn(t, han)
	fix.nextUpdate(t)
	han.Set(router.Instances, "b", []byte("2"))
	if upd := fix.nextUpdate(t); len(upd.Changed) != 1 || upd.Changed[0].Key != "b" || !upd.StoreRecovered {
		t.Errorf("after the outage: %+v", upd)
	}
}

// TestAppliesChangesOfTheStore guards against a Follower that misses the records of the first read or
// a later deletion.
func TestAppliesChangesOfTheStore(t *testing.T) {
	src := fakes.NewRecordStore()
	src.Set(router.Instances, "one", []byte("1"))
	fix := startFollower(t, src)
	if upd := fix.nextUpdate(t); len(upd.Changed) != 1 || upd.Changed[0].Key != "one" {
		t.Fatalf("first update: %+v", upd)
	}
	src.Set(router.Instances, "one", nil)
	if upd := fix.nextUpdate(t); len(upd.Changed) != 1 || !upd.Changed[0].Deleted {
		t.Fatalf("deletion: %+v", upd)
	}
}

// TestReloadsAfterHistoryIsDiscarded guards against a Follower that keeps a record which was deleted
// during an outage, when the store has discarded the history that contains the deletion.
func TestReloadsAfterHistoryIsDiscarded(t *testing.T) {
	src := fakes.NewRecordStore()
	src.Set(router.Instances, "one", []byte("1"))
	src.Set(router.Instances, "two", []byte("1"))
	fix := startFollower(t, src)
	fix.nextUpdate(t)
	src.SetError(router.ErrUnavailable)
	src.Set(router.Instances, "one", nil)
	src.Compact()
	src.SetError(nil)
	upd := fix.nextUpdate(t)
	for len(upd.Changed) == 0 {
		upd = fix.nextUpdate(t)
	}
	if rec := upd.Changed[0]; rec.Key != "one" || !rec.Deleted {
		t.Fatalf("deletion of the record that is missing from the snapshot: %+v", upd)
	}
}

// TestReportsRecoveryOfTheStore guards against an update after an outage without StoreRecovered: the
// owners of records that expired meanwhile would count as gone.
func TestReportsRecoveryOfTheStore(t *testing.T) {
	src := fakes.NewRecordStore()
	src.Set(router.Instances, "one", []byte("1"))
	fix := startFollower(t, src)
	fix.nextUpdate(t)
	src.SetError(router.ErrUnavailable)
	for end := time.Now().Add(testTimeout); fix.OutageDuration() == 0; {
		if time.Now().After(end) {
			t.Fatal("the outage was not detected")
		}
		runtime.Gosched()
	}
	src.SetError(nil)
	if upd := fix.nextUpdate(t); !upd.StoreRecovered {
		t.Fatalf("update after the outage: %+v", upd)
	}
}

// TestOlderPeerCopyIsIgnored guards against a peer's older snapshot that replaces or deletes newer
// records, and against a newer one that does not.
func TestOlderPeerCopyIsIgnored(t *testing.T) {
	cases := map[string]struct {
		peerCopy router.Changes
		want     string
		changed  int
	}{
		"newer copy": {
			router.Changes{Version: 9, Snapshot: true, Records: []router.Record{{Key: "one", Value: []byte("new"), Version: 8}}}, "new", 1,
		},
		"older copy": {
			router.Changes{Version: 3, Snapshot: true, Records: []router.Record{{Key: "one", Value: []byte("old"), Version: 2}}}, "now", 0,
		},
		"newer copy without the record": {router.Changes{Version: 9, Snapshot: true}, "", 1},
		"older copy without the record": {router.Changes{Version: 3, Snapshot: true}, "now", 0},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			var changed int
			fol := follow.New(follow.Options{
				Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
				Apply: func(upd follow.Update) { changed += len(upd.Changed) },
			})
			fol.MergePeer(router.Changes{Version: 5, Snapshot: true, Records: []router.Record{{Key: "one", Value: []byte("now"), Version: 5}}})
			changed = 0
			fol.MergePeer(cas.peerCopy)
			got := ""
			for _, rec := range fol.Snapshot().Records {
				got = string(rec.Value)
			}
			if got != cas.want || changed != cas.changed {
				t.Errorf("value %q, %d changes; want %q, %d", got, changed, cas.want, cas.changed)
			}
		})
	}
}

// TestSwitchToPeersEndsOutage guards against a node that counts as stale for good: its own watch
// fails, and then its changes come from peers.
func TestSwitchToPeersEndsOutage(t *testing.T) {
	src := fakes.NewRecordStore()
	src.Set(router.Instances, "one", []byte("1"))
	src.SetError(router.ErrUnavailable)
	var usePeers atomic.Bool
	fol := follow.New(follow.Options{
		Source:   src,
		Kind:     router.Instances,
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply:    func(follow.Update) {},
		UsePeers: usePeers.Load,
	})
	fol.MergePeer(router.Changes{Version: 1, Snapshot: true, Records: []router.Record{{Key: "one", Version: 1}}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go fol.Run(ctx)
	await := func(what string, met func() bool) {
		for end := time.Now().Add(testTimeout); !met(); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	await("the outage was not detected", func() bool { return fol.OutageDuration() > 0 })
	usePeers.Store(true)
	await("the outage did not end", func() bool { return fol.OutageDuration() == 0 })
}

// TestPeerCopyReportsRecoveryOfTheStore guards against a node that misses the end of an outage because
// it gets its changes from a peer, and then drops upstreams whose records expired during the outage.
func TestPeerCopyReportsRecoveryOfTheStore(t *testing.T) {
	var recovered []bool
	fol := follow.New(follow.Options{
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply: func(upd follow.Update) { recovered = append(recovered, upd.StoreRecovered) },
	})
	fol.MergePeer(router.Changes{Version: 1, Snapshot: true, Records: []router.Record{{Key: "one", Version: 1}}})
	fol.MergePeer(router.Changes{Version: 2, Snapshot: true, AfterOutage: true})
	if !slices.Equal(recovered, []bool{false, true}) {
		t.Errorf("updates after an outage: %v", recovered)
	}
}

// TestChangesSince guards against copies that differ after one Follower merged another's changes,
// with changed and deleted records and a snapshot.
func TestChangesSince(t *testing.T) {
	newFollower := func() *follow.Follower {
		return follow.New(follow.Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Apply: func(follow.Update) {}})
	}
	one, two := newFollower(), newFollower()
	sync := func() {
		two.MergePeer(one.ChangesSince(two.LastChange()))
		keys := func(fol *follow.Follower) (res []string) {
			for _, rec := range fol.Snapshot().Records {
				res = append(res, rec.Key+string(rec.Value))
			}
			slices.Sort(res)
			return res
		}
		if !slices.Equal(keys(one), keys(two)) {
			t.Errorf("the copies differ: %v, %v", keys(one), keys(two))
		}
	}
	one.MergePeer(router.Changes{Version: 3, Snapshot: true, Records: []router.Record{{Key: "a", Version: 1}, {Key: "b", Version: 3}}})
	sync()
	one.MergePeer(router.Changes{Version: 5, Records: []router.Record{{Key: "a", Version: 4, Deleted: true}, {Key: "c", Version: 5}}})
	if chs := one.ChangesSince(3); chs.Snapshot || len(chs.Records) != 2 {
		t.Errorf("changes after 3: %+v", chs)
	}
	sync()
	one.MergePeer(router.Changes{Version: 9, Snapshot: true, Records: []router.Record{{Key: "c", Value: []byte("new"), Version: 8}}})
	sync()
}

// TestKnownDeletionIsNotFetchedAgain has one node read a snapshot after a deletion of which the other received the record.
// The nodes give the deletion different versions. It guards against a node that fetches the changes of the other for ever.
func TestKnownDeletionIsNotFetchedAgain(t *testing.T) {
	newFollower := func() *follow.Follower {
		return follow.New(follow.Options{Log: slog.New(slog.DiscardHandler), Apply: func(follow.Update) {}})
	}
	one, two := newFollower(), newFollower()
	first := router.Changes{Version: 3, Snapshot: true, Records: []router.Record{{Key: "a", Version: 1}, {Key: "b", Version: 3}}}
	one.MergePeer(first)
	two.MergePeer(first)
	two.MergePeer(router.Changes{Version: 4, Records: []router.Record{{Key: "a", Version: 4, Deleted: true}}})
	one.MergePeer(router.Changes{Version: 9, Snapshot: true, Records: []router.Record{{Key: "b", Version: 3}}})
	for range 2 {
		two.MergePeer(one.ChangesSince(two.LastChange()))
		one.MergePeer(two.ChangesSince(one.LastChange()))
	}
	if one.LastChange() != two.LastChange() {
		t.Errorf("the newest changes are %d and %d", one.LastChange(), two.LastChange())
	}
}

// TestLateChangesDoNotRestoreDeletedRecord guards against an answer of a peer that arrives after a deletion and restores the
// record until the next snapshot.
func TestLateChangesDoNotRestoreDeletedRecord(t *testing.T) {
	cases := map[string]struct {
		late router.Changes
		want int
	}{
		"older than the deletion": {router.Changes{Version: 5, Records: []router.Record{{Key: "a", Version: 5}}}, 0},
		"written again since":     {router.Changes{Version: 8, Records: []router.Record{{Key: "a", Version: 8}}}, 1},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			fol := follow.New(follow.Options{Log: slog.New(slog.DiscardHandler), Apply: func(follow.Update) {}})
			fol.MergePeer(router.Changes{Version: 4, Snapshot: true, Records: []router.Record{{Key: "a", Version: 4}}})
			fol.MergePeer(router.Changes{Version: 7, Records: []router.Record{{Key: "a", Version: 7, Deleted: true}}})
			fol.MergePeer(cas.late)
			if got := len(fol.Snapshot().Records); got != cas.want {
				t.Errorf("%d records, want %d", got, cas.want)
			}
		})
	}
}

// TestListingOfSeveralPagesIsCompleted guards against a copy that lacks a change for good: the change was made in the range of
// the first page of a listing while the second page was read, which has a newer change. Peers are asked for changes after the
// newest one that the copy claims to be complete to.
func TestListingOfSeveralPagesIsCompleted(t *testing.T) {
	newFollower := func() *follow.Follower {
		return follow.New(follow.Options{Log: slog.New(slog.DiscardHandler), Apply: func(follow.Update) {}})
	}
	listing := router.Changes{Version: 3, Snapshot: true, Records: []router.Record{{Key: "a", Version: 1}, {Key: "z", Version: 5}}}
	whole := router.Changes{Version: 5, Snapshot: true, Records: []router.Record{
		{Key: "a", Version: 1}, {Key: "b", Version: 4}, {Key: "z", Version: 5},
	}}
	cases := map[string]func(incomplete *follow.Follower) *follow.Follower{
		"the node that read the listing": func(inc *follow.Follower) *follow.Follower { return inc },
		"a node that copied it": func(inc *follow.Follower) *follow.Follower {
			fol := newFollower()
			fol.MergePeer(inc.ChangesSince(0))
			return fol
		},
	}
	for name, pick := range cases {
		t.Run(name, func(t *testing.T) {
			incomplete, complete := newFollower(), newFollower()
			incomplete.MergePeer(listing)
			complete.MergePeer(whole)
			fol := pick(incomplete)
			fol.MergePeer(complete.ChangesSince(fol.LastChange()))
			if got := len(fol.Snapshot().Records); got != 3 {
				t.Errorf("%d records, want 3", got)
			}
		})
	}
}
