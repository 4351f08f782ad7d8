package order_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/memtab"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/order"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes the generated histories reproducible.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// faultyTable injects the fault that plan returns into each call: a lost reply to a write that took effect,
// or an outage.
type faultyTable struct {
	*memtab.Table

	mut  sync.Mutex
	plan func() fault
}

type fault int

const (
	none fault = iota
	lostReply
	outage
)

func (tab *faultyTable) nextFault() fault {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return tab.plan()
}

func (tab *faultyTable) Get(ctx context.Context, key string) (row router.Row, err error) {
	if tab.nextFault() != none {
		return router.Row{}, router.ErrUnavailable
	}
	return tab.Table.Get(ctx, key)
}

func (tab *faultyTable) Put(ctx context.Context, wrs ...router.Write) (err error) {
	switch tab.nextFault() {
	case outage:
		return router.ErrUnavailable
	case lostReply:
		// The caller cannot determine whether the write took effect.
		_ = tab.Table.Put(ctx, wrs...)
		return router.ErrUnavailable
	default:
		return tab.Table.Put(ctx, wrs...)
	}
}

func newLedger(tab router.Table) *order.Ledger {
	return order.NewLedger(order.Options{
		Timers:  timer.Real{},
		Table:   tab,
		Objects: memtab.NewObjects(),
		Log:     slog.New(slog.DiscardHandler),
		Live:    conf.NewLive(noOrderWait()),
	})
}

// noOrderWait returns a configuration with which repeated orders do not wait for another attempt's answer.
func noOrderWait() conf.Config {
	cfg := conf.DefaultConfig()
	cfg.Limits.OrderWait = 0
	return cfg
}

func attempt(num int, digest string) order.Attempt {
	return order.Attempt{
		Order:    router.Order{Workspace: "w", Key: "k", Digest: digest},
		Nonce:    fmt.Sprint("nonce-", num),
		Node:     "n",
		Deadline: time.Now().Add(time.Hour),
	}
}

func outcome(err error) router.Outcome {
	var ref *router.Refusal
	if errors.As(err, &ref) {
		return ref.Outcome
	}
	return router.Ran
}

// TestOrderRunsAtMostOnce guards against running an order twice, or reporting an order that ran as
// NotRun, when table writes lose their replies and upstreams fail.
func TestOrderRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		faultRate := rapid.Float64Range(0, 0.6).Draw(rt, "faults")
		tab := &faultyTable{Table: memtab.NewTable(), plan: func() fault {
			if rnd.Float64() >= faultRate {
				return none
			}
			return lostReply + fault(rnd.IntN(2))
		}}
		led := newLedger(tab)
		executed := 0
		for num := range rapid.IntRange(1, 12).Draw(rt, "attempts") {
			mode := rapid.IntRange(0, 3).Draw(rt, "service")
			ran := false
			_, err := led.Run(context.Background(), attempt(num, "d"), func() order.SendResult {
				switch mode {
				case 0:
					return order.SendResult{Unsent: true, Err: errors.New("refused")}
				case 1:
					executed++
					ran = true
					return order.SendResult{Err: errors.New("cut")}
				default:
					executed++
					ran = true
					return order.SendResult{Answer: &router.Answer{Status: http.StatusOK, Body: []byte("done")}}
				}
			})
			if ran && outcome(err) == router.NotRun {
				rt.Fatalf("attempt %d ran and was reported as NotRun", num)
			}
			if executed > 1 {
				rt.Fatalf("executed %d times", executed)
			}
		}
		tab.mut.Lock()
		faultRate = 0
		tab.mut.Unlock()
		led.Close()
	})
}

// TestRepeatedOrder guards against sending an order again whose first attempt may have run, and against
// refusing one whose first attempt proved that it was not sent.
func TestRepeatedOrder(t *testing.T) {
	done := order.SendResult{Answer: &router.Answer{Status: http.StatusOK, Body: []byte("done")}}
	for name, tst := range map[string]struct {
		first  order.SendResult
		digest string
		want   router.Outcome
		runs   int
	}{
		"answered order is replayed":                      {first: done, digest: "d", want: router.Ran, runs: 1},
		"unsent order may run again":                      {first: order.SendResult{Unsent: true, Err: errors.New("x")}, digest: "d", want: router.Ran, runs: 2},
		"order with a lost answer stays unknown":          {first: order.SendResult{Err: errors.New("x")}, digest: "d", want: router.Unknown, runs: 1},
		"different request under the same key is refused": {first: done, digest: "other", want: router.NotRun, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			led := newLedger(memtab.NewTable())
			runs := 0
			_, _ = led.Run(context.Background(), attempt(1, "d"), func() order.SendResult {
				runs++
				return tst.first
			})
			ans, err := led.Run(context.Background(), attempt(2, tst.digest), func() order.SendResult {
				runs++
				return done
			})
			if got := outcome(err); got != tst.want || runs != tst.runs {
				t.Fatalf("outcome %s after %d runs, want %s after %d", got, runs, tst.want, tst.runs)
			}
			if err == nil && string(ans.Body) != "done" {
				t.Fatalf("answer %q", ans.Body)
			}
		})
	}
}

// TestLookupRefusesDuringTableOutage guards against a caller that waits, or receives the outcome Unknown,
// when the table service does not answer before anything was sent.
func TestLookupRefusesDuringTableOutage(t *testing.T) {
	led := newLedger(&faultyTable{Table: memtab.NewTable(), plan: func() fault { return outage }})
	_, err := led.Lookup(context.Background(), attempt(1, "d"))
	if outcome(err) != router.NotRun {
		t.Fatalf("got %v, want NotRun", err)
	}
}

// TestDelayedClaimIsRejected guards against a claim that is written after its attempt gave up: the row
// would stay claimed, and no later attempt could run the order.
func TestDelayedClaimIsRejected(t *testing.T) {
	mem := memtab.NewTable()
	var delayed []router.Write
	plan := []fault{none, outage, outage}
	tab := &delayedTable{Table: mem, delayed: &delayed, plan: func() fault {
		if len(plan) == 0 {
			return none
		}
		next := plan[0]
		plan = plan[1:]
		return next
	}}
	led := newLedger(tab)
	if _, err := led.Run(context.Background(), attempt(1, "d"), nil); outcome(err) != router.NotRun {
		t.Fatalf("got %v, want NotRun", err)
	}
	led.Close()
	if err := mem.Put(context.Background(), delayed...); !errors.Is(err, router.ErrCondition) {
		t.Fatalf("the delayed claim was not rejected: %v", err)
	}
	_, err := led.Run(context.Background(), attempt(2, "d"), func() order.SendResult {
		return order.SendResult{Answer: &router.Answer{Status: http.StatusOK}}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// delayedTable keeps the writes of the last Put that failed, so that a test can deliver them late.
type delayedTable struct {
	*memtab.Table

	delayed *[]router.Write
	plan    func() fault
}

func (tab *delayedTable) Get(ctx context.Context, key string) (row router.Row, err error) {
	if tab.plan() != none {
		return router.Row{}, router.ErrUnavailable
	}
	return tab.Table.Get(ctx, key)
}

func (tab *delayedTable) Put(ctx context.Context, wrs ...router.Write) (err error) {
	if tab.plan() != none {
		*tab.delayed = wrs
		return router.ErrUnavailable
	}
	return tab.Table.Put(ctx, wrs...)
}

// TestLargeAnswerIsStoredAsObject guards against losing the body of an answer that is too large for a row.
func TestLargeAnswerIsStoredAsObject(t *testing.T) {
	led := newLedger(memtab.NewTable())
	big := make([]byte, 1<<20)
	_, err := led.Run(context.Background(), attempt(1, "d"), func() order.SendResult {
		return order.SendResult{Answer: &router.Answer{Status: http.StatusOK, Body: big}}
	})
	if err != nil {
		t.Fatal(err)
	}
	ans, err := led.Lookup(context.Background(), attempt(2, "d"))
	if err != nil || len(ans.Body) != len(big) {
		t.Fatalf("replayed %v, %v", ans, err)
	}
}

// TestClaimPermitsSendingUntilDeadline guards against an attempt that sends after its deadline because it
// learned late that its claim was written.
func TestClaimPermitsSendingUntilDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	att := attempt(1, "d")
	att.Deadline = now
	rec := &wire.OrderRecord{State: wire.OrderState_ORDER_STATE_CLAIMED, Digest: "d", Attempt: att.Nonce}
	if got := order.NextStep(att, rec, now.Add(time.Second), time.Minute); got != order.GiveUp {
		t.Fatalf("got step %d, want GiveUp", got)
	}
	if got := order.NextStep(att, rec, now, time.Minute); got != order.Send {
		t.Fatalf("got step %d, want Send", got)
	}
}

// TestClaimAfterDeadlineIsWithdrawn guards against an order that stays claimed although its caller heard that it was not run:
// the write of the claim is confirmed after the deadline.
func TestClaimAfterDeadlineIsWithdrawn(t *testing.T) {
	tms := timer.NewManual(time.Unix(1000, 0))
	slow := true
	tab := &faultyTable{Table: memtab.NewTable(), plan: func() fault {
		if slow {
			tms.Advance(time.Second)
		}
		return none
	}}
	led := order.NewLedger(order.Options{
		Timers: tms, Table: tab, Objects: memtab.NewObjects(), Log: slog.New(slog.DiscardHandler), Live: conf.NewLive(noOrderWait()),
	})
	sent := 0
	send := func() order.SendResult {
		sent++
		return order.SendResult{Answer: &router.Answer{Status: http.StatusOK}}
	}
	first := attempt(1, "digest")
	first.Deadline = tms.Now().Add(1500 * time.Millisecond)
	if _, err := led.Run(t.Context(), first, send); outcome(err) != router.NotRun || sent != 0 {
		t.Fatalf("outcome %s, sent %d times", outcome(err), sent)
	}
	slow = false
	if _, err := led.Run(t.Context(), attempt(2, "digest"), send); err != nil || sent != 1 {
		t.Errorf("the next attempt: %v, sent %d times", err, sent)
	}
}
