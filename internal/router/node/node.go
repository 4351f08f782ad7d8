package node

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
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

// Options configure a Node.
type Options struct {
	Settings conf.Node
	// File is the path of the settings file; the paths of TLS files are relative to its directory.
	File string
	// Document is the configuration to use while the table service has no revision; nil if there is none.
	Document *conf.Document
	Timers   router.Timers
	Log      *slog.Logger
	// Unprotected makes orders skip their claim in the table. Fault-injection tests set it to show that the
	// claim prevents double execution.
	Unprotected bool
}

// Node holds the parts of one router process.
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
	// peers is nil if the node runs without peers.
	peers *peers
	// closers are called in order when the node stops.
	closers []func()

	ready    atomic.Bool
	stopping atomic.Bool
	// drain is closed to begin a graceful stop.
	drain     chan struct{}
	drainOnce sync.Once
	// site is the installed configuration of this failure domain.
	site atomic.Pointer[conf.Site]
}

// New returns a node. It becomes ready after Run has installed a configuration.
func New(opt Options) (nod *Node, err error) {
	defer errs.Annotate(&err, "build node")
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
		// Some policies are read only once, while the parts are built. The pools are installed later, by Run.
		nod.live.Set(sit.Config)
	}
	tab := nod.newTable()
	nod.store = revise.NewStore(tab)
	if opt.Settings.Peer != "" {
		nod.peers, err = newPeers(nod, opt.File)
		if err != nil {
			return nil, err
		}
	}
	nod.buildParts(tab)
	return nod, nil
}

// buildParts creates the parts of the node, each after the parts that it uses.
func (nod *Node) buildParts(tab router.Table) {
	set := nod.options.Settings
	nod.scheduler = sched.New(sched.Options{
		Timers:      nod.options.Timers,
		Live:        nod.live,
		SlotLimiter: nod.slotLimiter(),
		Remote:      nod.isRemote,
		Seed:        uint64(uuid.New().ID()),
	})
	grd, stopGuard := guard.New(nod.options.Timers, guard.DefaultMaxCrashes)
	nod.guard = grd
	nod.relay = relay.New(nod.live.Get().Policy.ConnectTimeout)
	nod.ledger = order.NewLedger(order.Options{
		Timers:  nod.options.Timers,
		Table:   tab,
		Objects: nod.newObjects(),
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
		OnCrash:   nod.addCrash,
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
	stopGauges := nod.options.Timers.Every(gaugePeriod, nod.setGauges)
	nod.closers = append(nod.closers, stopGauges, stopGuard, nod.runner.Close, nod.scheduler.Close, nod.relay.Close)
}

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// setGauges updates the gauges of the upstreams' load and of the traffic between peers.
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

// Ready reports whether the node has a configuration and is not stopping.
func (nod *Node) Ready() bool {
	return nod.ready.Load() && !nod.stopping.Load()
}

// Drain begins a graceful stop and returns at once. Later calls have no effect.
func (nod *Node) Drain() {
	nod.drainOnce.Do(func() { close(nod.drain) })
}

// Status returns the node's state for the operators' API.
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

// members returns all nodes of the membership table, itself included, or nil without peers.
func (nod *Node) members() (mms []admin.Member) {
	if nod.peers == nil {
		return nil
	}
	for _, mem := range nod.peers.members.All() {
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

// stateName returns the name of a member's state in the operators' API.
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

// slotLimiter returns the limiter that the policy selects; a node without peers always uses fair shares.
func (nod *Node) slotLimiter() router.SlotLimiter {
	if nod.peers == nil || nod.live.Get().Policy.Slots == conf.Alone {
		return nod.fair
	}
	return nod.peers.leased
}

func (nod *Node) revisionPeers() revise.Peers {
	if nod.peers == nil {
		return noPeers{}
	}
	return nod.peers
}

func (nod *Node) observe(obs meter.Observation) {
	nod.meter.Observe(obs)
	nod.recorder.Observe(obs)
}

// isRemote reports whether a failure domain is in another region than the node.
func (nod *Node) isRemote(domain string) bool {
	cfg := nod.live.Get()
	return cfg.Region(domain) != cfg.Region(nod.options.Settings.FailureDomain)
}

// addCrash records a crash and sends it to the peers unless it was recorded before.
func (nod *Node) addCrash(crs guard.Crash) {
	if !nod.guard.Add(crs) {
		return
	}
	nod.meter.Event("strike")
	if nod.peers != nil {
		nod.peers.broadcastCrash(crs)
	}
}

func (nod *Node) newTable() router.Table {
	set := nod.options.Settings.Table
	if set.Kind == conf.Memory {
		return memtab.NewTable()
	}
	return plat.NewTable(plat.NewStore(set.Endpoint), set.Timeout)
}

func (nod *Node) newObjects() router.Objects {
	set := nod.options.Settings.Objects
	if set.Kind == conf.Memory {
		return memtab.NewObjects()
	}
	return plat.NewObjects(plat.NewStore(set.Endpoint), set.Timeout)
}
