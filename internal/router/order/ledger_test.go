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
	// The same histories every time.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// faultyTable loses answers after writes took effect, or does not answer at all, as a plan says.
type faultyTable struct {
	*memtab.Table

	mut  sync.Mutex
	plan func() fault
}

type fault int

const (
	none fault = iota
	lostAnswer
	outage
)

func (tab *faultyTable) next() fault {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return tab.plan()
}

func (tab *faultyTable) Get(ctx context.Context, key string) (row router.Row, err error) {
	if tab.next() != none {
		return router.Row{}, router.ErrUnavailable
	}
	return tab.Table.Get(ctx, key)
}

func (tab *faultyTable) Put(ctx context.Context, wrs ...router.Write) (err error) {
	switch tab.next() {
	case outage:
		return router.ErrUnavailable
	case lostAnswer:
		// Whether the write took effect is what the caller cannot know.
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
		Live:    conf.NewLive(instant()),
	})
}

// instant makes repeats not wait for a claim's answer.
func instant() conf.Config {
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

// TestRandomHistories sends one order many times through failing stores and services.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		share := rapid.Float64Range(0, 0.6).Draw(rt, "faults")
		tab := &faultyTable{Table: memtab.NewTable(), plan: func() fault {
			if rnd.Float64() >= share {
				return none
			}
			return lostAnswer + fault(rnd.IntN(2))
		}}
		led := newLedger(tab)
		executed := 0
		for num := range rapid.IntRange(1, 12).Draw(rt, "attempts") {
			mode := rapid.IntRange(0, 3).Draw(rt, "service")
			ran := false
			_, err := led.Run(context.Background(), attempt(num, "d"), func() order.Sent {
				switch mode {
				case 0:
					return order.Sent{Unsent: true, Err: errors.New("refused")}
				case 1:
					executed++
					ran = true
					return order.Sent{Err: errors.New("cut")}
				default:
					executed++
					ran = true
					return order.Sent{Answer: &router.Answer{Status: http.StatusOK, Body: []byte("done")}}
				}
			})
			if ran && outcome(err) == router.NotRun {
				rt.Fatalf("attempt %d ran and was told NotRun", num)
			}
			if executed > 1 {
				rt.Fatalf("executed %d times", executed)
			}
		}
		tab.mut.Lock()
		share = 0
		tab.mut.Unlock()
		led.Close()
	})
}

func TestRepeats(t *testing.T) {
	done := order.Sent{Answer: &router.Answer{Status: http.StatusOK, Body: []byte("done")}}
	for name, tst := range map[string]struct {
		first  order.Sent
		digest string
		want   router.Outcome
		runs   int
	}{
		"answered orders are replayed":      {first: done, digest: "d", want: router.Ran, runs: 1},
		"unsent orders may run again":       {first: order.Sent{Unsent: true, Err: errors.New("x")}, digest: "d", want: router.Ran, runs: 2},
		"lost orders stay unknown":          {first: order.Sent{Err: errors.New("x")}, digest: "d", want: router.Unknown, runs: 1},
		"another body under the key is not": {first: done, digest: "other", want: router.NotRun, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			led := newLedger(memtab.NewTable())
			runs := 0
			_, _ = led.Run(context.Background(), attempt(1, "d"), func() order.Sent {
				runs++
				return tst.first
			})
			ans, err := led.Run(context.Background(), attempt(2, tst.digest), func() order.Sent {
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

func TestOutageIsToldAtOnce(t *testing.T) {
	led := newLedger(&faultyTable{Table: memtab.NewTable(), plan: func() fault { return outage }})
	_, err := led.Look(context.Background(), attempt(1, "d"))
	if outcome(err) != router.NotRun {
		t.Fatalf("got %v, want NotRun", err)
	}
}

// TestLateClaim delivers a claim after its attempt gave up: it must not block the order.
func TestLateClaim(t *testing.T) {
	mem := memtab.NewTable()
	var late []router.Write
	plan := []fault{none, outage, outage}
	tab := &lateTable{Table: mem, late: &late, plan: func() fault {
		if len(plan) == 0 {
			return none
		}
		nxt := plan[0]
		plan = plan[1:]
		return nxt
	}}
	led := newLedger(tab)
	if _, err := led.Run(context.Background(), attempt(1, "d"), nil); outcome(err) != router.NotRun {
		t.Fatalf("got %v, want NotRun", err)
	}
	led.Close()
	if err := mem.Put(context.Background(), late...); !errors.Is(err, router.ErrCondition) {
		t.Fatalf("the late claim was taken: %v", err)
	}
	_, err := led.Run(context.Background(), attempt(2, "d"), func() order.Sent {
		return order.Sent{Answer: &router.Answer{Status: http.StatusOK}}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// lateTable keeps the writes that an outage swallowed.
type lateTable struct {
	*memtab.Table

	late *[]router.Write
	plan func() fault
}

func (tab *lateTable) Get(ctx context.Context, key string) (row router.Row, err error) {
	if tab.plan() != none {
		return router.Row{}, router.ErrUnavailable
	}
	return tab.Table.Get(ctx, key)
}

func (tab *lateTable) Put(ctx context.Context, wrs ...router.Write) (err error) {
	if tab.plan() != none {
		*tab.late = wrs
		return router.ErrUnavailable
	}
	return tab.Table.Put(ctx, wrs...)
}

func TestLargeAnswerGoesToObjects(t *testing.T) {
	led := newLedger(memtab.NewTable())
	big := make([]byte, 1<<20)
	_, err := led.Run(context.Background(), attempt(1, "d"), func() order.Sent {
		return order.Sent{Answer: &router.Answer{Status: http.StatusOK, Body: big}}
	})
	if err != nil {
		t.Fatal(err)
	}
	ans, err := led.Look(context.Background(), attempt(2, "d"))
	if err != nil || len(ans.Body) != len(big) {
		t.Fatalf("replayed %v, %v", ans, err)
	}
}

func TestGateClosesAtDeadline(t *testing.T) {
	now := time.Unix(1000, 0)
	att := attempt(1, "d")
	att.Deadline = now
	rec := &wire.OrderRecord{State: wire.OrderState_ORDER_STATE_CLAIMED, Digest: "d", Attempt: att.Nonce}
	if got := order.Next(att, rec, now.Add(time.Second), time.Minute); got != order.GiveUp {
		t.Fatalf("got step %d, want GiveUp", got)
	}
	if got := order.Next(att, rec, now, time.Minute); got != order.Send {
		t.Fatalf("got step %d, want Send", got)
	}
}
