package runner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/budget"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/order"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
)

// Options are what a Runner is built from.
type Options struct {
	Timers    router.Timers
	Scheduler router.Scheduler
	Relay     *relay.Relay
	Guard     *guard.Guard
	Ledger    *order.Ledger
	Live      *conf.Live
	Log       *slog.Logger
	Node      string
	// Strike is told of a request that was running on an upstream when it crashed.
	Strike func(stk guard.Crash)
}

// Runner carries requests to their answers.
type Runner struct {
	options Options
	retries *budget.Registry
	hedges  *budget.Registry
	mut     sync.Mutex
	// attempts are the attempts whose progress is watched.
	attempts map[*attempt]struct{}
	stop     func()
}

// New returns a Runner; Close ends its subscription to time.
func New(opt Options) *Runner {
	run := &Runner{
		options:  opt,
		retries:  budget.NewRegistry(budget.DefaultMaxTokens),
		hedges:   budget.NewRegistry(budget.DefaultMaxTokens),
		attempts: make(map[*attempt]struct{}),
	}
	run.stop = opt.Timers.Every(watchPeriod, run.watch)
	return run
}

// Close ends the subscription to time.
func (run *Runner) Close() {
	run.stop()
}

func (run *Runner) now() time.Time {
	return run.options.Timers.Now()
}

// retry reports whether the budgets of workspace and pool allow one more attempt.
func (run *Runner) retry(workspace, pool string) bool {
	return run.retries.Get("workspace/"+workspace).Spend() && run.retries.Get("pool/"+pool).Spend()
}

func (run *Runner) earn(workspace, pool string) {
	pcy := run.options.Live.Get().Policy
	run.retries.Get("workspace/" + workspace).Earn(pcy.RetryShare)
	run.retries.Get("pool/" + pool).Earn(pcy.RetryShare)
	run.hedges.Get(pool).Earn(pcy.HedgeShare)
}

// crashed reports whether an upstream no longer accepts connections.
func (run *Runner) crashed(ctx context.Context, ups router.Upstream) bool {
	return ctx.Err() == nil && run.options.Relay.Probe(ctx, ups) != nil
}
