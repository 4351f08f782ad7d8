package intake

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
)

const mib = 1 << 20

// party is a request or answer in a test of a Budget, whose bound is 16 MiB, of which 4 MiB are reserved.
type party struct {
	kind   Kind
	length int64
	// bytes are held from the start, idle is the age of the last byte, and complete is set for a complete request.
	bytes    int64
	idle     time.Duration
	complete bool
	// want is waited for; zero for parties that do not wait.
	want int64
	// err is the expected state at the end: why the party was aborted, or nil.
	err error
	// granted is whether want is granted in the end.
	granted bool
}

// TestBudget guards against memory without bound, against requests that wait for each other for good, and against refusing the
// wrong one. Each case is named by its load.
func TestBudget(t *testing.T) {
	large := party{length: 4 * mib, bytes: 3 * mib}
	with := func(pty party, idle time.Duration, err error) party {
		pty.idle, pty.err = idle, err
		return pty
	}
	waiting := func(pty party, want int64, err error, granted bool) party {
		pty.want, pty.err, pty.granted = want, err, granted
		return pty
	}
	cases := map[string]struct {
		parties []party
		// wait is the time that passes after all have begun to wait.
		wait time.Duration
	}{
		"one large body on an idle node": {parties: []party{{length: 4 * mib, want: 4 * mib, granted: true}}},
		"one body above the bound on an idle node": {
			parties: []party{{length: 64 * mib, want: 64 * mib, granted: true}},
		},
		"small requests pass while large ones wait": {parties: []party{
			large, large, large, waiting(large, 4*mib, nil, false), {length: 100 << 10, want: 100 << 10, granted: true},
		}},
		"an answer passes while large bodies wait": {parties: []party{
			large, large, large, waiting(large, 4*mib, nil, false), {kind: Answer, length: -1, want: mib, granted: true},
		}},
		"chunked bodies are small until they outgrow it": {parties: []party{
			large, large, large, large, {length: -1, want: 64 << 10, granted: true}, {length: -1, bytes: 100 << 10, want: 200 << 10},
		}},
		"stalled bodies are abandoned for one that waits": {wait: checkInterval, parties: []party{
			with(large, stallTime, ErrStalled), with(large, stallTime, ErrStalled), with(large, 0, nil), waiting(large, 3*mib, nil, true),
		}},
		"stalled bodies stay while none waits": {wait: 10 * time.Second, parties: []party{
			with(large, stallTime, nil), with(large, stallTime, nil),
		}},
		"a complete request is not refused": {wait: shedAfter, parties: []party{
			{length: 12 * mib, bytes: 12 * mib, complete: true, idle: time.Minute}, with(large, 100*time.Millisecond, ErrShed), waiting(large, mib, nil, false),
		}},
		"of all that wait for each other the oldest is refused": {wait: shedAfter, parties: []party{
			waiting(with(large, 30*time.Millisecond, nil), 3*mib, nil, true), waiting(with(large, 40*time.Millisecond, ErrShed), 4*mib, ErrShed, false),
			waiting(large, 4*mib, nil, false), waiting(large, 4*mib, nil, false),
		}},
		"among equals the largest is refused": {wait: shedAfter, parties: []party{
			waiting(large, 4*mib, nil, true), waiting(party{length: -1, bytes: 4 * mib}, 8*mib, ErrShed, false), waiting(large, 4*mib, nil, false),
		}},
		"an answer that is not read is cut for one that waits": {wait: stallTime, parties: []party{
			{kind: Answer, bytes: 15 * mib, err: ErrStalled}, {kind: Answer, want: 2 * mib, granted: true},
		}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			man := timer.NewManual(time.Unix(1000, 0))
			bud := New(Options{Timers: man, MemoryBytes: 48 * mib, OnRefuse: func(string) {}})
			start := man.Now()
			holds := make([]*Hold, len(cas.parties))
			var wgr sync.WaitGroup
			for idx, pty := range cas.parties {
				holds[idx] = bud.Open(pty.kind, pty.length, func() { holds[idx].Release() })
				holds[idx].Take(pty.bytes)
				holds[idx].Watch(!pty.complete)
				holds[idx].last = start.Add(-pty.idle)
			}
			queued := 0
			for idx, pty := range cas.parties {
				if pty.want == 0 {
					continue
				}
				res := make(chan error, 1)
				wgr.Go(func() { res <- holds[idx].Grow(t.Context(), pty.want) })
				if !isSettled(bud, res, queued+1) {
					queued++
				}
			}
			for range cas.wait / checkInterval {
				man.Advance(checkInterval)
			}
			for idx, pty := range cas.parties {
				pty.check(t, idx, holds[idx])
			}
			for _, hol := range holds {
				hol.Release()
			}
			wgr.Wait()
			if bud.Held() != 0 || bud.usedLarge != 0 || len(bud.queue) != 0 {
				t.Errorf("%d bytes held, %d large, %d waiting after all ended", bud.Held(), bud.usedLarge, len(bud.queue))
			}
		})
	}
}

// check compares the state of the party's hold with the expected one.
func (pty party) check(t *testing.T, idx int, hol *Hold) {
	t.Helper()
	if got := hol.Err(); !errors.Is(got, pty.err) {
		t.Errorf("party %d: aborted with %v, want %v", idx, got, pty.err)
	}
	hol.budget.mut.Lock()
	defer hol.budget.mut.Unlock()
	if granted := pty.want > 0 && hol.answer == nil && hol.err == nil; granted != pty.granted {
		t.Errorf("party %d: granted %t, want %t", idx, granted, pty.granted)
	}
}

// isSettled waits until a Grow has ended, or has become the one of a number in the queue; it reports the former.
func isSettled(bud *Budget, res chan error, number int) bool {
	for {
		bud.mut.Lock()
		queued := len(bud.queue) == number
		bud.mut.Unlock()
		if queued || len(res) > 0 {
			return !queued
		}
		time.Sleep(time.Millisecond)
	}
}

// TestCheckAfterPause guards against abandoning all requests at once when a process goes on that did not run for longer than
// stallTime: it could read nothing meanwhile.
func TestCheckAfterPause(t *testing.T) {
	man := timer.NewManual(time.Unix(1000, 0))
	bud := New(Options{Timers: man, MemoryBytes: 48 * mib, OnRefuse: func(string) {}})
	hol := bud.Open(Request, 12*mib, func() {})
	hol.Take(12 * mib)
	other := bud.Open(Request, 4*mib, func() {})
	res := make(chan error, 1)
	go func() { res <- other.Grow(t.Context(), 4*mib) }()
	isSettled(bud, res, 1)
	now := man.Now().Add(time.Minute)
	bud.check(now)
	if err := hol.Err(); err != nil {
		t.Errorf("%s in the first check after the pause", err)
	}
	hol.Release()
	if err := <-res; err != nil {
		t.Error(err)
	}
}

// TestRead guards against a buffer that is larger than what is counted, or grows with the announced length rather than with the
// bytes that arrive, and against a body without progress that is held when its time is over.
func TestRead(t *testing.T) {
	errSource := errors.New("source")
	cases := map[string]struct {
		body   string
		length int64
		end    error
		held   int64
		err    error
	}{
		"empty":                      {length: -1, held: firstBuffer},
		"small":                      {body: "body", length: 4, held: 5},
		"less than announced so far": {body: "body", length: 4 * mib, end: errSource, held: firstBuffer, err: errSource},
		"large":                      {body: strings.Repeat("x", mib), length: mib, held: mib + 1},
		"chunked":                    {body: strings.Repeat("x", mib), length: -1, held: 2 * mib},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			bud := New(Options{Timers: timer.NewManual(time.Unix(1000, 0)), MemoryBytes: 48 * mib, OnRefuse: func(string) {}})
			hol := bud.Open(Request, cas.length, func() {})
			var src io.Reader = strings.NewReader(cas.body)
			if cas.end != nil {
				src = io.MultiReader(src, failing{cas.end})
			}
			txt, err := hol.Read(context.Background(), src, cas.length)
			if !errors.Is(err, cas.err) || err == nil && string(txt) != cas.body || bud.Held() != cas.held {
				t.Errorf("%d bytes read, %d held, error %v; want %d, %d, %v", len(txt), bud.Held(), err, len(cas.body), cas.held, cas.err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			defer cancel()
			bud.Open(Request, -1, func() {}).Take(20 * mib)
			if err := hol.Grow(ctx, 8*mib); !errors.Is(err, context.DeadlineExceeded) || len(bud.queue) != 0 {
				t.Errorf("a wait for memory beyond its time ended with %v, %d in the queue", err, len(bud.queue))
			}
		})
	}
}

type failing struct{ err error }

func (fai failing) Read([]byte) (int, error) { return 0, fai.err }
