package follow_test

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
)

// heldStore is a store whose answers arrive only after the end of a cut.
type heldStore struct {
	*fakes.RecordStore

	mut sync.Mutex
	// healed is closed when the cut ends; nil without a cut.
	healed chan struct{}
}

func (hel *heldStore) Watch(ctx context.Context, cal router.WatchCall) (chs router.Changes, err error) {
	chs, err = hel.RecordStore.Watch(ctx, cal)
	hel.mut.Lock()
	healed := hel.healed
	hel.mut.Unlock()
	if healed != nil {
		<-healed
	}
	return chs, err
}

// cut begins a cut and returns the function that ends it.
func (hel *heldStore) cut() (heal func()) {
	hel.mut.Lock()
	defer hel.mut.Unlock()
	healed := make(chan struct{})
	hel.healed = healed
	return func() {
		hel.mut.Lock()
		defer hel.mut.Unlock()
		close(healed)
		hel.healed = nil
	}
}

// TestLateAnswerOfStore guards against an upstream that is used again after it has left: an answer of the store with its record
// is held up by a cut, and the deletion comes from a peer meanwhile. The next watch begins after the deletion, so that the
// record would stay for good.
func TestLateAnswerOfStore(t *testing.T) {
	cases := map[string]struct {
		// during is what happens while the answer is held up, after a change of the record that the answer has.
		during func(sto *fakes.RecordStore)
		want   map[string]string
	}{
		"deleted": {
			during: func(sto *fakes.RecordStore) { sto.Set(router.Instances, "a", nil) },
			want:   map[string]string{"b": "first"},
		},
		"deleted and written again": {
			during: func(sto *fakes.RecordStore) {
				sto.Set(router.Instances, "a", nil)
				sto.Set(router.Instances, "a", []byte("again"))
			},
			want: map[string]string{"a": "again", "b": "first"},
		},
		"written again, deleted": {
			during: func(sto *fakes.RecordStore) {
				sto.Set(router.Instances, "a", []byte("again"))
				sto.Set(router.Instances, "a", nil)
			},
			want: map[string]string{"b": "first"},
		},
		"written again": {
			during: func(sto *fakes.RecordStore) { sto.Set(router.Instances, "a", []byte("again")) },
			want:   map[string]string{"a": "again", "b": "first"},
		},
		"another record deleted": {
			during: func(sto *fakes.RecordStore) { sto.Set(router.Instances, "b", nil) },
			want:   map[string]string{"a": "changed"},
		},
	}
	for name, cas := range cases {
		for _, era := range []string{"store without an era", "store with an era"} {
			t.Run(name+", "+era, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					hel, mir := &heldStore{RecordStore: fakes.NewRecordStore()}, &mirror{values: make(map[string]string)}
					hel.Set(router.Instances, "a", []byte("first"))
					hel.Set(router.Instances, "b", []byte("first"))
					if era == "store with an era" {
						hel.Restore(hel.Backup())
					}
					peer := follow.New(follow.Options{Source: hel.RecordStore, Kind: router.Instances, Log: slog.New(slog.DiscardHandler), Apply: func(follow.Update) {}})
					fol := follow.New(follow.Options{Source: hel, Kind: router.Instances, Log: slog.New(slog.DiscardHandler), Apply: mir.apply})
					go peer.Run(ctx)
					go fol.Run(ctx)
					time.Sleep(2 * time.Second)
					// The cut begins while a watch of the node waits.
					heal := hel.cut()
					hel.Set(router.Instances, "a", []byte("changed"))
					time.Sleep(200 * time.Millisecond)
					cas.during(hel.RecordStore)
					time.Sleep(time.Second)
					fol.MergePeer(peer.ChangesFor(fol.Position()))
					pos, storeMs, age := peer.Confirmed()
					fol.Confirm(pos, storeMs, age)
					_, before, _ := fol.Confirmed()
					heal()
					synctest.Wait()
					if _, after, _ := fol.Confirmed(); after < before {
						t.Errorf("confirmed up to %d ms, before the late answer up to %d ms", after, before)
					}
					time.Sleep(5 * time.Second)
					if !maps.Equal(mir.values, cas.want) {
						t.Errorf("values %v, want %v", mir.values, cas.want)
					}
				})
			})
		}
	}
}
