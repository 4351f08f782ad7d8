package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// strikesPerSchedule overlap at random.
	strikesPerSchedule = 3
	scheduleLength     = 3 * time.Second
	// repeats is how often an order is sent again at most, until its outcome is Ran.
	repeats = 3
)

// Orders runs seeded schedules of faults while callers send and repeat orders, and judges the whole.
func Orders(out io.Writer, flt *fleet.Fleet, schedules, perSchedule int) (ver Verdict, err error) {
	defer fault.Annotate(&err, "orders under faults")
	cls := NewCallers(flt)
	landed := make(map[string]int)
	for seed := range uint64(schedules) {
		if err := schedule(flt, cls, seed, perSchedule, landed); err != nil {
			return Verdict{}, err
		}
	}
	fmt.Fprintf(out, "  faults landed: %v\n", landed)
	exs, err := flt.Executions()
	if err != nil {
		return Verdict{}, err
	}
	return Judge(cls.Told(), exs), nil
}

// schedule strikes at random moments while callers send orders, and returns when both have ended.
func schedule(flt *fleet.Fleet, cls *Callers, seed uint64, orders int, landed map[string]int) (err error) {
	defer fault.Annotatef(&err, "seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	var mut sync.Mutex
	var grp sync.WaitGroup
	busy := make(map[int]bool)
	for range strikesPerSchedule {
		idx, pick := rnd.IntN(len(Strikes())), rnd.IntN(len(flt.Nodes))
		// One process is not struck in two ways at once; the same fault may strike different ones.
		if busy[idx*len(flt.Nodes)+pick] || idx <= 1 && (busy[pick] || busy[len(flt.Nodes)+pick]) {
			continue
		}
		busy[idx*len(flt.Nodes)+pick] = true
		stk := Strikes()[idx]
		at := time.Duration(rnd.Int64N(int64(scheduleLength / 2)))
		grp.Go(func() {
			time.Sleep(at)
			serr := stk.Do(flt, pick)
			mut.Lock()
			defer mut.Unlock()
			if serr != nil {
				err = serr
				return
			}
			landed[stk.Name]++
		})
	}
	for num := range orders {
		plan := newPlan(rnd, len(flt.Nodes), fmt.Sprintf("order-%d-%d", seed, num))
		grp.Go(func() { plan.run(cls) })
	}
	grp.Wait()
	return err
}

// plan is when and through which nodes one order is sent.
type plan struct {
	key   string
	at    time.Duration
	nodes [repeats + 1]int
	gaps  [repeats]time.Duration
	// rushed orders are repeated before the first sending has ended.
	rushed bool
}

func newPlan(rnd *rand.Rand, nodes int, key string) (pln plan) {
	pln.key = key
	pln.at = time.Duration(rnd.Int64N(int64(scheduleLength)))
	for idx := range pln.nodes {
		pln.nodes[idx] = rnd.IntN(nodes)
	}
	for idx := range pln.gaps {
		pln.gaps[idx] = time.Duration(rnd.Int64N(int64(400 * time.Millisecond)))
	}
	pln.rushed = rnd.IntN(3) == 0
	return pln
}

func (pln plan) run(cls *Callers) {
	time.Sleep(pln.at)
	ctx := context.Background()
	if pln.rushed {
		var grp sync.WaitGroup
		for _, nod := range pln.nodes[:2] {
			grp.Go(func() { cls.Order(ctx, nod, pln.key) })
		}
		grp.Wait()
	}
	for idx, nod := range pln.nodes {
		tld := cls.Order(ctx, nod, pln.key)
		if !tld.Cut && tld.Outcome == router.Ran || idx == repeats {
			return
		}
		time.Sleep(pln.gaps[idx])
	}
}
