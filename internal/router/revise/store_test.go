package revise_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/memtab"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/revise"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// lossyTable reports a fraction of its writes as unanswered, with or without applying them.
type lossyTable struct {
	*memtab.Table

	mut      sync.Mutex
	rnd      *rand.Rand
	lossRate float64
}

func (tab *lossyTable) nextFault() (lost, applied bool) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return tab.rnd.Float64() < tab.lossRate, tab.rnd.IntN(2) == 0
}

func (tab *lossyTable) Put(ctx context.Context, wrs ...router.Write) (err error) {
	lost, applied := tab.nextFault()
	if !lost {
		return tab.Table.Put(ctx, wrs...)
	}
	if applied {
		// The caller cannot determine whether the write took effect.
		_ = tab.Table.Put(ctx, wrs...)
	}
	return router.ErrUnavailable
}

// input is the base of an operator's change.
type input struct{ base uint64 }

// output is the reply to the operator: a revision number, uncertain, or 0 for a conflict.
type output struct {
	number    uint64
	uncertain bool
}

// model is a register of the head's number, which an accepted change increments if it equals the base.
// An uncertain change may have been accepted or not.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, in, out any) []any {
		head, inp, res := state.(uint64), in.(input), out.(output)
		switch {
		case res.uncertain && head == inp.base:
			return []any{head, head + 1}
		case res.uncertain:
			return []any{head}
		case res.number > 0 && head == inp.base && res.number == head+1:
			return []any{head + 1}
		case res.number == 0 && head != inp.base:
			return []any{head}
		default:
			return nil
		}
	},
}

// TestConcurrentChangesAreLinearizable guards against accepting two changes as one revision, or losing an
// accepted one, when operators send changes concurrently and the table's replies are lost.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		tab := &lossyTable{Table: memtab.NewTable(), rnd: rand.New(rand.NewPCG(seed, 0)), lossRate: 0.3}
		sto := revise.NewStore(tab)
		var mut sync.Mutex
		var ops []porcupine.Operation
		accepted := make(map[uint64]string)
		var grp sync.WaitGroup
		for opr := range 3 {
			grp.Go(func() {
				for num := range 6 {
					base, err := sto.Head(context.Background())
					if err != nil {
						t.Error(err)
						return
					}
					chg := fmt.Sprintf("change-%d-%d", opr, num)
					start := time.Now().UnixNano()
					got, err := sto.Accept(context.Background(), &wire.Revision{Change: chg}, base)
					end := time.Now().UnixNano()
					mut.Lock()
					ops = append(ops, porcupine.Operation{
						ClientId: opr, Input: input{base}, Call: start, Return: end,
						Output: output{number: got, uncertain: errors.Is(err, revise.ErrUncertain)},
					})
					if err == nil {
						accepted[got] = chg
					}
					mut.Unlock()
				}
			})
		}
		grp.Wait()
		if !porcupine.CheckOperations(model.ToModel(), ops) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, ops)
		}
		for num, chg := range accepted {
			rev, err := sto.Get(context.Background(), num)
			if err != nil || rev.GetChange() != chg {
				t.Fatalf("seed %d: accepted revision %d is %v, %v; want %s", seed, num, rev, err, chg)
			}
		}
	}
}

// TestRepeatedChangeGetsSameRevision guards against accepting a change twice, or refusing it as a conflict
// with itself, when a client sends it again after a lost reply.
func TestRepeatedChangeGetsSameRevision(t *testing.T) {
	sto := revise.NewStore(memtab.NewTable())
	fst, err := sto.Accept(context.Background(), &wire.Revision{Change: "one"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sto.Accept(context.Background(), &wire.Revision{Change: "two"}, 1); err != nil {
		t.Fatal(err)
	}
	snd, err := sto.Accept(context.Background(), &wire.Revision{Change: "one"}, 0)
	if err != nil || snd != fst {
		t.Fatalf("the repeated change became revision %d, %v", snd, err)
	}
	var cfl *revise.Conflict
	if _, err := sto.Accept(context.Background(), &wire.Revision{Change: "three"}, 1); !errors.As(err, &cfl) || cfl.Head != 2 {
		t.Fatalf("got %v, want a conflict with head 2", err)
	}
}
