package node

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/limit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/memtab"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/order"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/relay"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/revise"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/runner"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/sched"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/slots"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
	plat "github.com/hornbeamdyke/hornbeamdyke/platform"
)

// Options are what a Node is built from.
type Options struct {
	Settings conf.Node
	// File is the path of the settings; key files are named relative to it.
	File string
	// Document is the configuration in force while the table service has no revision; nil for none.
	Document *conf.Document
	Timers   router.Timers
	Log      *slog.Logger
	// Unprotected removes the claim of orders; failure runs use it to show what the claim prevents.
	Unprotected bool
}

// Node is one process's parts.
type Node struct {
	options   Options
	live      *conf.Live
	meter     *meter.Meter
	limiter   *limit.Limiter
	fair      *slots.FairLimiter
	scheduler *sched.Scheduler
	relay     *relay.Relay
	guard     *guard.Guard
	ledger    *order.Ledger
	runner    *runner.Runner
	entry     *entry.API
	admin     *admin.API
	recorder  *burn.Recorder
	store     *revise.Store
	follower  *revise.Follower
	// peers is nil when the node runs without others.
	peers   *peers
	closers []func()

	ready    atomic.Bool
	stopping atomic.Bool
	drain    chan struct{}
	drainOne sync.Once
	// site is the evaluated configuration in force.
	site atomic.Pointer[conf.Site]
}

// New builds a node; it becomes ready only when Run finds a configuration.
func New(opt Options) (nod *Node, err error) {
	defer fault.Annotate(&err, "build node")
	nod = &Node{
		options:  opt,
		live:     conf.NewLive(conf.DefaultConfig()),
		meter:    meter.New(opt.Settings.Name, opt.Log),
		limiter:  limit.NewLimiter(),
		fair:     slots.NewFairLimiter(opt.Settings.Name),
		recorder: burn.NewRecorder(opt.Timers, opt.Settings.FailureDomain),
		drain:    make(chan struct{}),
	}
	if opt.Document != nil {
		sit, err := nod.evaluate(*opt.Document)
		if err != nil {
			return nil, err
		}
		// Policies that are chosen once are taken from here; nothing is served by it yet.
		nod.live.Set(sit.Config)
	}
	tab := nod.table()
	nod.store = revise.NewStore(tab)
	if opt.Settings.Peer != "" {
		nod.peers, err = newPeers(nod, opt.File)
		if err != nil {
			return nil, err
		}
	}
	nod.build(tab)
	return nod, nil
}

// build makes the parts, innermost first.
func (nod *Node) build(tab router.Table) {
	set := nod.options.Settings
	nod.scheduler = sched.New(sched.Options{
		Timers: nod.options.Timers,
		Live:   nod.live,
		Limits: nod.limits(),
		Remote: nod.remote,
		Seed:   uint64(uuid.New().ID()),
	})
	grd, stop := guard.New(nod.options.Timers, guard.DefaultMaxCrashes)
	nod.guard = grd
	nod.relay = relay.New(nod.live.Get().Policy.ConnectTimeout)
	nod.ledger = order.NewLedger(order.Options{
		Timers:  nod.options.Timers,
		Table:   tab,
		Objects: nod.objects(),
		Log:     nod.options.Log,
		Live:    nod.live,

		Unprotected: nod.options.Unprotected,
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
	nod.follower = revise.NewFollower(revise.FollowOptions{
		Timers:  nod.options.Timers,
		Store:   nod.store,
		Peers:   nod.revisionPeers(),
		Log:     nod.options.Log,
		Install: nod.installRevision,
	})
	nod.entry = entry.New(entry.Options{
		Timers:      nod.options.Timers,
		Limiter:     nod.limiter,
		Runner:      nod.runner,
		Log:         nod.options.Log,
		Node:        set.Name,
		Observe:     nod.observe,
		Ready:       nod.Ready,
		AwaitConfig: nod.follower.AwaitCatchUp,
	})
	nod.admin = admin.New(admin.Options{
		Live:    nod.live,
		Node:    nod,
		Metrics: nod.meter.Handler(),
		Log:     nod.options.Log,
		Ready:   nod.Ready,
	})
	gau := nod.options.Timers.Every(gaugePeriod, nod.setGauges)
	nod.closers = append(nod.closers, gau, stop, nod.runner.Close, nod.scheduler.Close, nod.relay.Close)
}

// gaugePeriod is how often the gauges are set.
const gaugePeriod = time.Second

// setGauges shows what the node knows of its upstreams, and what it sent to and got from its peers.
func (nod *Node) setGauges(time.Time) {
	for _, ups := range nod.scheduler.Status() {
		nod.meter.Gauge("in_flight", ups.Pool, ups.Upstream, float64(ups.InFlight))
		nod.meter.Gauge("slot_limit", ups.Pool, ups.Upstream, float64(ups.Limit))
		nod.meter.Gauge("waiting", ups.Pool, ups.Upstream, float64(ups.Waiting))
		nod.meter.Gauge("slowdown", ups.Pool, ups.Upstream, ups.Slowdown)
	}
	if nod.peers != nil {
		trf := nod.peers.endpoint.Traffic()
		nod.meter.Gauge("peer_sent_bytes", "", "", float64(trf.SentBytes))
		nod.meter.Gauge("peer_received_bytes", "", "", float64(trf.ReceivedBytes))
	}
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
		Region:        set.Region,
		Ready:         nod.Ready(),
		Stopping:      nod.stopping.Load(),
		Revision:      nod.follower.Number(),
		Active:        nod.entry.Active(),
		Members:       nod.members(),
		Upstreams:     nod.scheduler.Status(),
	}
}

// members returns the nodes that this one knows, itself included.
func (nod *Node) members() (mms []admin.Member) {
	if nod.peers == nil {
		return nil
	}
	for _, mem := range nod.peers.view.All() {
		mms = append(mms, admin.Member{
			Name:          mem.GetName(),
			FailureDomain: mem.GetFailureDomain(),
			State:         stateName(mem.GetState()),
			Incarnation:   mem.GetIncarnation(),
			Revision:      mem.GetRevision(),
			Admin:         mem.GetAdmin(),
		})
	}
	return mms
}

// stateName returns a member's state in the project's Pascal case.
func stateName(sta wire.MemberState) string {
	switch sta {
	case wire.MemberState_MEMBER_STATE_LIVE:
		return "Live"
	case wire.MemberState_MEMBER_STATE_SUSPECT:
		return "Suspect"
	case wire.MemberState_MEMBER_STATE_LEAVING:
		return "Leaving"
	default:
		return "Dead"
	}
}

// limits returns how slots are divided; a node without peers has them all.
func (nod *Node) limits() router.SlotLimiter {
	if nod.peers == nil || nod.live.Get().Policy.Slots == conf.Alone {
		return nod.fair
	}
	return nod.peers.leased
}

func (nod *Node) revisionPeers() revise.Peers {
	if nod.peers == nil {
		return solitary{}
	}
	return nod.peers
}

func (nod *Node) observe(obs meter.Observation) {
	nod.meter.Observe(obs)
	nod.recorder.Observe(obs)
}

func (nod *Node) remote(domain string) bool {
	cfg := nod.live.Get()
	return cfg.Region(domain) != cfg.Region(nod.options.Settings.FailureDomain)
}

func (nod *Node) strike(stk guard.Crash) {
	if !nod.guard.Add(stk) {
		return
	}
	nod.meter.Event("strike")
	if nod.peers != nil {
		nod.peers.strike(stk)
	}
}

func (nod *Node) table() router.Table {
	set := nod.options.Settings.Table
	if set.Kind == conf.Memory {
		return memtab.NewTable()
	}
	return plat.NewTable(plat.NewStore(set.Endpoint), set.Timeout)
}

func (nod *Node) objects() router.Objects {
	set := nod.options.Settings.Objects
	if set.Kind == conf.Memory {
		return memtab.NewObjects()
	}
	return plat.NewObjects(plat.NewStore(set.Endpoint), set.Timeout)
}
