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

// lossyTable loses a share of answers, after or instead of the effect.
type lossyTable struct {
	*memtab.Table

	mut   sync.Mutex
	rnd   *rand.Rand
	share float64
}

func (tab *lossyTable) draw() (lose, effect bool) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return tab.rnd.Float64() < tab.share, tab.rnd.IntN(2) == 0
}

func (tab *lossyTable) Put(ctx context.Context, wrs ...router.Write) (err error) {
	lose, effect := tab.draw()
	if !lose {
		return tab.Table.Put(ctx, wrs...)
	}
	if effect {
		// The caller cannot know whether the write took effect.
		_ = tab.Table.Put(ctx, wrs...)
	}
	return router.ErrUnavailable
}

type input struct{ base uint64 }

// output is what the operator was told: a number, a conflict, or neither.
type output struct {
	number    uint64
	uncertain bool
}

// model is a counter that moves from base to base+1; an uncertain change may have moved it or not.
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

// TestRacingOperators lets operators race through a lossy table and checks the history for linearizability.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(20) {
		tab := &lossyTable{Table: memtab.NewTable(), rnd: rand.New(rand.NewPCG(seed, 0)), share: 0.3}
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
					beg := time.Now().UnixNano()
					got, err := sto.Accept(context.Background(), &wire.Revision{Change: chg}, base)
					end := time.Now().UnixNano()
					mut.Lock()
					ops = append(ops, porcupine.Operation{
						ClientId: opr, Input: input{base}, Call: beg, Return: end,
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

func TestRepeatedChangeIsTheSame(t *testing.T) {
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
		t.Fatalf("repeat became %d, %v", snd, err)
	}
	var cfl *revise.Conflict
	if _, err := sto.Accept(context.Background(), &wire.Revision{Change: "three"}, 1); !errors.As(err, &cfl) || cfl.Head != 2 {
		t.Fatalf("got %v, want a conflict with head 2", err)
	}
}
