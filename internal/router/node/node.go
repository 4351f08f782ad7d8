package node

import (
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/bucket"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/dynamo"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/limit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/memtab"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/order"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/runner"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/sched"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/slots"
)

// Options are what a Node is built from.
type Options struct {
	Settings conf.Node
	// Document is the configuration to begin with; it may be empty when the table service has one.
	Document conf.Document
	Timers   router.Timers
	Log      *slog.Logger
	// Credentials are the key and the secret for the platform's stores.
	Credentials Credentials
}

// Credentials are a key and a secret for the platform's stores.
type Credentials struct {
	Key    string
	Secret string
}

// Node is one process's parts.
type Node struct {
	options   Options
	live      *conf.Live
	meter     *meter.Meter
	gate      *limit.Gate
	alone     *slots.Alone
	scheduler *sched.Scheduler
	relay     *relay.Relay
	guard     *guard.Guard
	ledger    *order.Ledger
	runner    *runner.Runner
	entry     *entry.Entry
	admin     *admin.API
	closers   []func()

	ready    atomic.Bool
	stopping atomic.Bool
	drain    chan struct{}
	drainOne sync.Once
	// site is the evaluated configuration in force.
	site atomic.Pointer[conf.Site]
}

// New builds a node and puts its first configuration in force.
func New(opt Options) (nod *Node, err error) {
	defer fault.Annotate(&err, "build node")
	nod = &Node{
		options: opt,
		live:    conf.NewLive(conf.DefaultConfig()),
		meter:   meter.New(opt.Settings.Name),
		gate:    limit.NewGate(),
		alone:   slots.NewAlone(),
		drain:   make(chan struct{}),
	}
	sit, err := nod.evaluate(opt.Document)
	if err != nil {
		return nil, err
	}
	nod.live.Set(sit.Config)
	nod.build()
	nod.install(sit)
	nod.ready.Store(true)
	return nod, nil
}

// build makes the parts, innermost first.
func (nod *Node) build() {
	set := nod.options.Settings
	nod.scheduler = sched.New(sched.Options{
		Timers: nod.options.Timers,
		Live:   nod.live,
		Limits: nod.alone,
		Remote: nod.remote,
		Seed:   uint64(uuid.New().ID()),
	})
	grd, stop := guard.New(nod.options.Timers)
	nod.guard = grd
	nod.relay = relay.New(nod.live.Get().Policy.ConnectTimeout)
	nod.ledger = order.NewLedger(order.Options{
		Timers:  nod.options.Timers,
		Table:   nod.table(),
		Objects: nod.objects(),
		Log:     nod.options.Log,
		Live:    nod.live,
	})
	nod.runner = runner.New(runner.Options{
		Timers:    nod.options.Timers,
		Scheduler: nod.scheduler,
		Relay:     nod.relay,
		Guard:     nod.guard,
		Ledger:    nod.ledger,
		Live:      nod.live,
		Log:       nod.options.Log,
		Node:      set.Name,
		Strike:    nod.strike,
	})
	nod.entry = entry.New(entry.Options{
		Timers:  nod.options.Timers,
		Gate:    nod.gate,
		Runner:  nod.runner,
		Log:     nod.options.Log,
		Node:    set.Name,
		Observe: nod.meter.Observe,
		Ready:   nod.Ready,
	})
	nod.admin = admin.New(admin.Options{
		Live:    nod.live,
		Node:    nod,
		Metrics: nod.meter.Handler(),
		Log:     nod.options.Log,
		Ready:   nod.Ready,
	})
	nod.closers = append(nod.closers, stop, nod.runner.Close, nod.scheduler.Close, nod.relay.Close)
}

// Ready reports whether the node takes traffic.
func (nod *Node) Ready() bool {
	return nod.ready.Load() && !nod.stopping.Load()
}

// Drain begins a graceful stop.
func (nod *Node) Drain() {
	nod.drainOne.Do(func() { close(nod.drain) })
}

// Status describes the node.
func (nod *Node) Status() admin.Status {
	set := nod.options.Settings
	return admin.Status{
		Node:          set.Name,
		FailureDomain: set.FailureDomain,
		Region:        nod.live.Get().Region(set.FailureDomain),
		Ready:         nod.Ready(),
		Stopping:      nod.stopping.Load(),
		Active:        nod.entry.Active(),
		Upstreams:     nod.scheduler.Status(),
	}
}

func (nod *Node) remote(domain string) bool {
	cfg := nod.live.Get()
	return cfg.Region(domain) != cfg.Region(nod.options.Settings.FailureDomain)
}

func (nod *Node) strike(stk guard.Strike) {
	if nod.guard.Add(stk) {
		nod.meter.Event("strike")
	}
}

func (nod *Node) table() router.Table {
	set := nod.options.Settings.Table
	if set.Kind == conf.Memory {
		return memtab.NewTable()
	}
	return dynamo.New(set, nod.credentials())
}

func (nod *Node) objects() router.Objects {
	set := nod.options.Settings.Objects
	if set.Kind == conf.Memory {
		return memtab.NewObjects()
	}
	return bucket.New(set, nod.credentials())
}

func (nod *Node) credentials() credentials.StaticCredentialsProvider {
	crd := nod.options.Credentials
	return credentials.NewStaticCredentialsProvider(crd.Key, crd.Secret, "")
}
