package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// faultsPerSchedule is how many faults a schedule draws. They may overlap in time.
	faultsPerSchedule = 3
	scheduleDuration  = 3 * time.Second
	// maxRepeats is how often an order is repeated at most until its outcome is Ran.
	maxRepeats = 3
)

// RunOrders runs fault schedules, with the seeds 0 to schedules-1, while clients send and repeat perSchedule
// orders in each, and checks all responses at the end.
func RunOrders(out io.Writer, flt *fleet.Fleet, schedules, perSchedule int) (rsl OrderResult, err error) {
	defer errs.Annotate(&err, "orders under faults")
	cli := NewClient(flt)
	injected := make(map[string]int)
	for seed := range uint64(schedules) {
		if err := runSchedule(flt, cli, seed, perSchedule, injected); err != nil {
			return OrderResult{}, err
		}
	}
	fmt.Fprintf(out, "  faults landed: %v\n", injected)
	exs, err := flt.Executions()
	if err != nil {
		return OrderResult{}, err
	}
	return CheckOrders(cli.Responses(), exs), nil
}

// runSchedule injects faults at random times while clients send orders, and returns when all have ended. It
// counts the injected faults by name.
func runSchedule(flt *fleet.Fleet, cli *Client, seed uint64, orders int, injected map[string]int) (err error) {
	defer errs.Annotatef(&err, "seed %d", seed)
	rnd := rand.New(rand.NewPCG(seed, 0))
	var mut sync.Mutex
	var grp sync.WaitGroup
	busy := make(map[int]bool)
	for range faultsPerSchedule {
		idx, target := rnd.IntN(len(Faults())), rnd.IntN(len(flt.Nodes))
		// A node gets only one of the two node faults (indexes 0 and 1), and a fault and target are
		// not drawn twice. The same fault may hit several processes.
		if busy[idx*len(flt.Nodes)+target] || idx <= 1 && (busy[target] || busy[len(flt.Nodes)+target]) {
			continue
		}
		busy[idx*len(flt.Nodes)+target] = true
		fau := Faults()[idx]
		delay := time.Duration(rnd.Int64N(int64(scheduleDuration / 2)))
		grp.Go(func() {
			time.Sleep(delay)
			ferr := fau.Inject(flt, target)
			mut.Lock()
			defer mut.Unlock()
			if ferr != nil {
				err = ferr
				return
			}
			injected[fau.Name]++
		})
	}
	for num := range orders {
		pln := newOrderPlan(rnd, len(flt.Nodes), fmt.Sprintf("order-%d-%d", seed, num))
		grp.Go(func() { pln.send(cli) })
	}
	grp.Wait()
	return err
}

// orderPlan defines when and through which nodes an order is sent.
type orderPlan struct {
	key         string
	start       time.Duration // since the start of the schedule
	nodes       [maxRepeats + 1]int
	retryDelays [maxRepeats]time.Duration
	// concurrent orders are first sent through two nodes at once.
	concurrent bool
}

func newOrderPlan(rnd *rand.Rand, nodes int, key string) (pln orderPlan) {
	pln.key = key
	pln.start = time.Duration(rnd.Int64N(int64(scheduleDuration)))
	for idx := range pln.nodes {
		pln.nodes[idx] = rnd.IntN(nodes)
	}
	for idx := range pln.retryDelays {
		pln.retryDelays[idx] = time.Duration(rnd.Int64N(int64(400 * time.Millisecond)))
	}
	pln.concurrent = rnd.IntN(3) == 0
	return pln
}

// send sends the order and repeats it until its outcome is Ran.
func (pln orderPlan) send(cli *Client) {
	time.Sleep(pln.start)
	ctx := context.Background()
	if pln.concurrent {
		var grp sync.WaitGroup
		for _, nod := range pln.nodes[:2] {
			grp.Go(func() { cli.SendOrder(ctx, nod, pln.key) })
		}
		grp.Wait()
	}
	for idx, nod := range pln.nodes {
		rsp := cli.SendOrder(ctx, nod, pln.key)
		if !rsp.NoAnswer && rsp.Outcome == router.Ran || idx == maxRepeats {
			return
		}
		time.Sleep(pln.retryDelays[idx])
	}
}
