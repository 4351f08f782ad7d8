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

// Options are the dependencies of a Runner.
type Options struct {
	Timers    router.Timers
	Scheduler router.Scheduler
	Relay     *relay.Relay
	Guard     *guard.Guard
	Ledger    *order.Ledger
	Live      *conf.Live
	Log       *slog.Logger
	// Node is the name of this node, which claims orders under it.
	Node string
	// OnCrash is called for each request that was running on an upstream when it crashed.
	OnCrash func(crs guard.Crash)
}

// Runner runs chat requests and calls of plain services on the upstreams.
type Runner struct {
	options Options
	retries *budget.Registry
	hedges  *budget.Registry
	mut     sync.Mutex
	// attempts holds the chat attempts in flight; checkProgress checks them.
	attempts map[*attempt]struct{}
	stop     func()
}

// New returns a Runner that checks the progress of its attempts until Close is called.
func New(opt Options) *Runner {
	run := &Runner{
		options:  opt,
		retries:  budget.NewRegistry(budget.DefaultMaxTokens),
		hedges:   budget.NewRegistry(budget.DefaultMaxTokens),
		attempts: make(map[*attempt]struct{}),
	}
	run.stop = opt.Timers.Every(watchInterval, run.checkProgress)
	return run
}

// Close stops the progress checks.
func (run *Runner) Close() {
	run.stop()
}

func (run *Runner) now() time.Time {
	return run.options.Timers.Now()
}

// spendRetry takes a token from the retry budgets of workspace and pool, and reports whether both had one.
func (run *Runner) spendRetry(workspace, pool string) bool {
	return run.retries.Get("workspace/"+workspace).Spend() && run.retries.Get("pool/"+pool).Spend()
}

// creditBudgets adds the share of a first attempt to the retry and hedge budgets.
func (run *Runner) creditBudgets(workspace, pool string) {
	pcy := run.options.Live.Get().Policy
	run.retries.Get("workspace/" + workspace).Earn(pcy.RetryShare)
	run.retries.Get("pool/" + pool).Earn(pcy.RetryShare)
	run.hedges.Get(pool).Earn(pcy.HedgeShare)
}

// crashed reports whether an upstream fails a health check on a new connection.
func (run *Runner) crashed(ctx context.Context, ups router.Upstream) bool {
	return ctx.Err() == nil && run.options.Relay.Probe(ctx, ups) != nil
}
