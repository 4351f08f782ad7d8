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

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const patience = 10 * time.Second

type started struct {
	*follow.Follower

	source  *stand.Source
	updates chan follow.Update
}

func start(t *testing.T, src *stand.Source) started {
	t.Helper()
	sta := startFrom(t, src)
	sta.source = src
	return sta
}

func startFrom(t *testing.T, src router.RecordStore) started {
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
	return started{Follower: fol, updates: upds}
}

func (sta started) next(t *testing.T) follow.Update {
	t.Helper()
	select {
	case upd := <-sta.updates:
		return upd
	case <-time.After(patience):
		t.Fatal("no update")
		return follow.Update{}
	}
}

// hanging is a store that fails one call and never answers the next.
type hanging struct {
	*stand.Source

	calls atomic.Int32
}

func (han *hanging) Watch(ctx context.Context, knd router.RecordKind, after int64, wait time.Duration) (chs router.Changes, err error) {
	switch han.calls.Add(1) {
	case 1:
		return chs, router.ErrUnavailable
	case 2:
		<-ctx.Done()
		return chs, router.ErrUnavailable
	default:
		return han.Source.Watch(ctx, knd, after, wait)
	}
}

// TestCallSentIntoAnOutageIsGivenUp has the store return while a call that it will never answer is under way.
func TestCallSentIntoAnOutageIsGivenUp(t *testing.T) {
	han := &hanging{Source: stand.NewSource()}
	han.Set(router.Instances, "a", []byte("1"))
	sta := startFrom(t, han)
	sta.next(t)
	han.Set(router.Instances, "b", []byte("2"))
	if upd := sta.next(t); len(upd.Changed) != 1 || upd.Changed[0].Key != "b" || !upd.Regained {
		t.Errorf("after the outage: %+v", upd)
	}
}

func TestFollowsChanges(t *testing.T) {
	src := stand.NewSource()
	src.Set(router.Instances, "one", []byte("1"))
	sta := start(t, src)
	if upd := sta.next(t); len(upd.Changed) != 1 || upd.Changed[0].Key != "one" {
		t.Fatalf("first update: %+v", upd)
	}
	src.Set(router.Instances, "one", nil)
	if upd := sta.next(t); len(upd.Changed) != 1 || !upd.Changed[0].Deleted {
		t.Fatalf("deletion: %+v", upd)
	}
}

func TestReadsAllAfterHistoryIsDiscarded(t *testing.T) {
	src := stand.NewSource()
	src.Set(router.Instances, "one", []byte("1"))
	src.Set(router.Instances, "two", []byte("1"))
	sta := start(t, src)
	sta.next(t)
	src.Fail(router.ErrUnavailable)
	src.Set(router.Instances, "one", nil)
	src.Compact()
	src.Fail(nil)
	upd := sta.next(t)
	for len(upd.Changed) == 0 {
		upd = sta.next(t)
	}
	if rec := upd.Changed[0]; rec.Key != "one" || !rec.Deleted {
		t.Fatalf("the record that is missing in the whole copy: %+v", upd)
	}
}

func TestTellsThatTheStoreIsBack(t *testing.T) {
	src := stand.NewSource()
	src.Set(router.Instances, "one", []byte("1"))
	sta := start(t, src)
	sta.next(t)
	src.Fail(router.ErrUnavailable)
	for end := time.Now().Add(patience); sta.Failing() == 0; {
		if time.Now().After(end) {
			t.Fatal("the failure is not noticed")
		}
		runtime.Gosched()
	}
	src.Fail(nil)
	if upd := sta.next(t); !upd.Regained {
		t.Fatalf("update after the outage: %+v", upd)
	}
}

func TestPeersCopyNeverGoesBack(t *testing.T) {
	cases := map[string]struct {
		offer   router.Changes
		want    string
		changed int
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
			fol.Offer(router.Changes{Version: 5, Snapshot: true, Records: []router.Record{{Key: "one", Value: []byte("now"), Version: 5}}})
			changed = 0
			fol.Offer(cas.offer)
			got := ""
			for _, rec := range fol.Copy().Records {
				got = string(rec.Value)
			}
			if got != cas.want || changed != cas.changed {
				t.Errorf("value %q, %d changes; want %q, %d", got, changed, cas.want, cas.changed)
			}
		})
	}
}

// TestLeavingTheStoreToPeersEndsItsFailure has the own feed fail, and then peers bring the changes.
func TestLeavingTheStoreToPeersEndsItsFailure(t *testing.T) {
	src := stand.NewSource()
	src.Set(router.Instances, "one", []byte("1"))
	src.Fail(router.ErrUnavailable)
	var relayed atomic.Bool
	fol := follow.New(follow.Options{
		Source:  src,
		Kind:    router.Instances,
		Log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply:   func(follow.Update) {},
		Relayed: relayed.Load,
	})
	fol.Offer(router.Changes{Version: 1, Snapshot: true, Records: []router.Record{{Key: "one", Version: 1}}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go fol.Run(ctx)
	await := func(what string, met func() bool) {
		for end := time.Now().Add(patience); !met(); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatal(what)
			}
		}
	}
	await("the failure is not noticed", func() bool { return fol.Failing() > 0 })
	relayed.Store(true)
	await("the failure does not end", func() bool { return fol.Failing() == 0 })
}

func TestCopiesTellOfAnOutage(t *testing.T) {
	var regained []bool
	fol := follow.New(follow.Options{
		Log:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		Apply: func(upd follow.Update) { regained = append(regained, upd.Regained) },
	})
	fol.Offer(router.Changes{Version: 1, Snapshot: true, Records: []router.Record{{Key: "one", Version: 1}}})
	fol.Offer(router.Changes{Version: 2, Snapshot: true, AfterOutage: true})
	if !slices.Equal(regained, []bool{false, true}) {
		t.Errorf("updates after an outage: %v", regained)
	}
}

// TestSince has a peer ask for what changed after a version.
func TestSince(t *testing.T) {
	newFollower := func() *follow.Follower {
		return follow.New(follow.Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Apply: func(follow.Update) {}})
	}
	one, two := newFollower(), newFollower()
	sync := func() {
		two.Offer(one.Since(two.Newest()))
		keys := func(fol *follow.Follower) (res []string) {
			for _, rec := range fol.Copy().Records {
				res = append(res, rec.Key+string(rec.Value))
			}
			slices.Sort(res)
			return res
		}
		if !slices.Equal(keys(one), keys(two)) {
			t.Errorf("the copies differ: %v, %v", keys(one), keys(two))
		}
	}
	one.Offer(router.Changes{Version: 3, Snapshot: true, Records: []router.Record{{Key: "a", Version: 1}, {Key: "b", Version: 3}}})
	sync()
	one.Offer(router.Changes{Version: 5, Records: []router.Record{{Key: "a", Version: 4, Deleted: true}, {Key: "c", Version: 5}}})
	if chs := one.Since(3); chs.Snapshot || len(chs.Records) != 2 {
		t.Errorf("changes after 3: %+v", chs)
	}
	sync()
	one.Offer(router.Changes{Version: 9, Snapshot: true, Records: []router.Record{{Key: "c", Value: []byte("new"), Version: 8}}})
	sync()
}
