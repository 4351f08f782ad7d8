package duty

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

// memoryRows is a RowStore in memory.
type memoryRows struct {
	era, version int64
	rows         map[string]router.StoredRow
	calls        int
	// down fails calls before they are applied, lose after that.
	down, lose bool
}

func (mem *memoryRows) List(_ context.Context, prefix string) (rws []router.StoredRow, era int64, err error) {
	mem.calls++
	if mem.down {
		return nil, 0, router.ErrUnavailable
	}
	for key, one := range mem.rows {
		if strings.HasPrefix(key, prefix) {
			rws = append(rws, one)
		}
	}
	return rws, mem.era, nil
}

func (mem *memoryRows) Transact(_ context.Context, era int64, wrs ...router.RowWrite) (version int64, err error) {
	mem.calls++
	if mem.down {
		return 0, router.ErrUnavailable
	}
	for _, one := range wrs {
		if mem.rows[one.Key].Version != one.IfVersion {
			return 0, router.ErrCondition
		}
	}
	mem.version++
	for _, one := range wrs {
		mem.rows[one.Key] = router.StoredRow{Key: one.Key, Value: one.Value, Version: mem.version}
	}
	if mem.lose || era != mem.era {
		return 0, router.ErrUnavailable
	}
	return mem.version, nil
}

// fixture is a lease of 3 s on manual timers.
type fixture struct {
	*Lease
	rows   *memoryRows
	timers *timer.Manual
	rank   int
}

func newFixture(t *testing.T, rws *memoryRows, tms *timer.Manual, holder string) *fixture {
	t.Helper()
	start := time.Unix(0, 0)
	met := meter.New(holder, slog.New(slog.DiscardHandler))
	t.Cleanup(func() { _ = met.Close() })
	fix := &fixture{rows: rws, timers: tms}
	fix.Lease = New(Options{
		Holder: holder, Length: modelLease, Timers: tms, Rows: rws, Rank: func() int { return fix.rank }, Meter: met,
		Log: slog.New(slog.DiscardHandler), Clock: func() time.Duration { return tms.Now().Sub(start) },
	})
	fix.Start()
	return fix
}

func newRows() (rws *memoryRows, tms *timer.Manual) {
	return &memoryRows{era: 1, rows: map[string]router.StoredRow{}}, timer.NewManual(time.Unix(100, 0))
}

// TestLease guards against a node that calls too early, too long or without the lease: each case changes what a holder of 8 s finds.
func TestLease(t *testing.T) {
	cases := map[string]struct {
		change func(fix *fixture)
		// after is how long after the change Fence is asked, and holds its answer.
		after time.Duration
		holds bool
	}{
		"renewed":             {func(*fixture) {}, 20 * time.Second, true},
		"store down, early":   {func(fix *fixture) { fix.rows.down = true }, 600 * time.Millisecond, true},
		"store down, expired": {func(fix *fixture) { fix.rows.down = true }, 2600 * time.Millisecond, false},
		"answers lost": {func(fix *fixture) {
			fix.rows.lose = true
			fix.timers.Advance(800 * time.Millisecond)
			fix.rows.lose = false
		}, 10 * time.Second, true},
		"era changed": {func(fix *fixture) { fix.rows.era++ }, time.Second, false},
		"row of another node": {func(fix *fixture) {
			fix.rows.rows[rowKey] = router.StoredRow{Key: rowKey, Value: []byte(`{"Holder":"b","Token":9,"Era":1}`), Version: 900}
		}, time.Second, false},
		"row that cannot be decoded": {func(fix *fixture) {
			fix.rows.rows[rowKey] = router.StoredRow{Key: rowKey, Value: []byte(`{`), Version: 900}
		}, 30 * time.Second, false},
		"ranked last": {func(fix *fixture) { fix.rank = 9 }, 10 * time.Second, true},
		"stopped":     {func(fix *fixture) { fix.Stop(t.Context()) }, 10 * time.Second, false},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			rws, tms := newRows()
			fix := newFixture(t, rws, tms, "a")
			tms.Advance(2 * time.Second)
			if _, ok := fix.Fence(0); ok {
				t.Fatal("calls before the delay that follows the acquisition of a missing row")
			}
			tms.Advance(6 * time.Second)
			if fen, ok := fix.Fence(CallTimeout); !ok || fen.Holder != "a" || fen.Number != 1<<eraShift+1 {
				t.Fatalf("fence %+v, %t", fen, ok)
			}
			if _, ok := fix.Fence(modelLease); ok {
				t.Fatal("valid for a call that ends after the lease")
			}
			cas.change(fix)
			tms.Advance(cas.after)
			if _, ok := fix.Fence(0); ok != cas.holds {
				t.Errorf("holds the duties: %t", ok)
			}
		})
	}
}

// TestTakeover guards against two holders: the second node acts only after the first one's lease expired, or one lease after its
// release, with a larger token. It also guards against calls of a node that is no candidate.
func TestTakeover(t *testing.T) {
	for name, stop := range map[string]bool{"killed": false, "stopped": true} {
		t.Run(name, func(t *testing.T) {
			rws, tms := newRows()
			one, two := newFixture(t, rws, tms, "a"), newFixture(t, rws, tms, "b")
			two.rank = candidates
			tms.Advance(10 * time.Second)
			calls := rws.calls
			old, _ := one.Fence(0)
			if stop {
				one.Stop(t.Context())
			} else {
				one.mut.Lock()
				one.stopping = true
				one.mut.Unlock()
			}
			tms.Advance(10 * time.Second)
			if stop && rws.calls != calls+1 || !stop && rws.calls != calls {
				t.Fatalf("%d calls of a node that is no candidate", rws.calls-calls)
			}
			two.rank = 1
			tms.Advance(1100 * time.Millisecond)
			if _, ok := two.Fence(0); ok {
				t.Fatal("acts at the first sight of the row")
			}
			tms.Advance(8 * time.Second)
			if fen, ok := two.Fence(CallTimeout); !ok || fen.Number <= old.Number {
				t.Errorf("fence %+v, %t after %+v", fen, ok, old)
			}
		})
	}
}

// TestCommit guards against rows that a former holder writes, and against a commit that fails only because the answer to a renewal was lost.
func TestCommit(t *testing.T) {
	usage := router.RowWrite{Key: "usage/1", Value: []byte("1")}
	cases := map[string]struct {
		change func(fix *fixture)
		want   error
	}{
		"held": {func(*fixture) {}, nil},
		"renewal applied without an answer": {func(fix *fixture) {
			fix.rows.lose = true
			fen, _ := fix.Fence(0)
			_ = fix.Commit(t.Context(), fen)
			fix.rows.lose = false
		}, nil},
		"row exists": {func(fix *fixture) { fix.rows.rows[usage.Key] = router.StoredRow{Key: usage.Key, Version: 3} }, router.ErrCondition},
		"row of another node": {func(fix *fixture) {
			val, _ := json.Marshal(row{Holder: "b", Token: 9, Era: 1})
			fix.rows.rows[rowKey] = router.StoredRow{Key: rowKey, Value: val, Version: 900}
		}, router.ErrCondition},
		"held back until a later lease of this node": {func(fix *fixture) {
			fix.rows.era++
			fix.timers.Advance(20 * time.Second)
			if _, ok := fix.Fence(0); !ok {
				panic("no second lease")
			}
		}, router.ErrCondition},
		"store down": {func(fix *fixture) { fix.rows.down = true }, router.ErrUnavailable},
		"stopped":    {func(fix *fixture) { fix.Stop(t.Context()) }, router.ErrCondition},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			rws, tms := newRows()
			fix := newFixture(t, rws, tms, "a")
			tms.Advance(5 * time.Second)
			fen, _ := fix.Fence(0)
			cas.change(fix)
			err := fix.Commit(t.Context(), fen, usage)
			if !errors.Is(err, cas.want) || cas.want == nil && err != nil {
				t.Fatalf("%v, want %v", err, cas.want)
			}
			if got := string(rws.rows[usage.Key].Value); (got == "1") != (err == nil) {
				t.Errorf("row %q after %v", got, err)
			}
		})
	}
}
