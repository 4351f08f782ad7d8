package follow_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
)

// recoveryLimit is how long after the end of an outage a node may act on an older configuration.
const recoveryLimit = 4 * time.Second

// silentStore is a store that never answers the calls that it receives during an outage.
type silentStore struct {
	*fakes.RecordStore

	mut    sync.Mutex
	silent bool
}

func (sil *silentStore) setSilent(silent bool) {
	sil.mut.Lock()
	defer sil.mut.Unlock()
	sil.silent = silent
}

func (sil *silentStore) Watch(ctx context.Context, cal router.WatchCall) (chs router.Changes, err error) {
	sil.mut.Lock()
	silent := sil.silent
	sil.mut.Unlock()
	if !silent {
		return sil.RecordStore.Watch(ctx, cal)
	}
	ctx, cancel := context.WithTimeout(ctx, cal.Wait+cal.AnswerTimeout)
	defer cancel()
	<-ctx.Done()
	return chs, router.ErrUnavailable
}

// TestWatchSwallowedByOutage guards against a configuration that is not in force in time, because the watch was sent into
// an outage of the store and is waited for long after the outage. The outage begins in the pause after a change, in which
// all nodes send their next call.
func TestWatchSwallowedByOutage(t *testing.T) {
	cases := map[string]struct{ begin, outage time.Duration }{
		"short, right after a change":    {10 * time.Millisecond, time.Second},
		"longer, right after a change":   {10 * time.Millisecond, 3 * time.Second},
		"begins while the call waits":    {2 * time.Second, 9 * time.Second},
		"a minute, right after a change": {10 * time.Millisecond, time.Minute},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			// The outage ends at different times after the last call.
			for step := range time.Duration(100) {
				synctest.Test(t, func(t *testing.T) {
					if late := playOutage(t, cas.begin, cas.outage+step*100*time.Millisecond); late > recoveryLimit {
						t.Errorf("a change made right after the outage is in force after %s, at most %s is allowed", late, recoveryLimit)
					}
				})
				if t.Failed() {
					return
				}
			}
		})
	}
}

// playOutage makes a change, lets the store be silent from the given time after it, makes another change when the outage ends
// and returns how long after it that change was applied.
func playOutage(t *testing.T, begin, outage time.Duration) (late time.Duration) {
	t.Helper()
	sil := &silentStore{RecordStore: fakes.NewRecordStore()}
	sil.Set(router.Manifests, "config", []byte("first"))
	applied := make(chan string, 16)
	fol := follow.New(follow.Options{
		Source: sil, Kind: router.Manifests, Log: slog.New(slog.DiscardHandler),
		Apply: func(upd follow.Update) {
			for _, rec := range upd.Changed {
				applied <- string(rec.Value)
			}
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go fol.Run(ctx)
	<-applied
	time.Sleep(time.Second)
	sil.Set(router.Manifests, "config", []byte("second"))
	<-applied
	time.Sleep(begin)
	sil.setSilent(true)
	time.Sleep(outage)
	sil.setSilent(false)
	end := time.Now()
	sil.Set(router.Manifests, "config", []byte("third"))
	<-applied
	return time.Since(end)
}
