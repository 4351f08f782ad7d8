package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"golang.org/x/time/rate"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/budget"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/conns"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/intake"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/mesh"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/permit"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/terms"
)

const (
	// readHeaderTimeout is how long a caller may take to send its request headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle keep-alive connection of a caller or another client is kept.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits request headers. The manifest's CallerLimits.HeaderBytes is not enforced. net/http reads up to 4 KiB
	// more, and answers above that; the limit of package intake, above which it is not answered, is the sum.
	maxHeaderBytes = intake.MaxHeaderBytes - 4<<10
	// balancerDrainTime is how long a stopping node keeps serving while the platform's load
	// balancer takes it out: two failed probes 1 s apart, and 0.5 s of slack.
	balancerDrainTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace period kept for the exit of the process.
	exitMargin = 600 * time.Millisecond
	// answerMargin is the part of the grace period before exitMargin in which the answers to calls that did not end are
	// delivered.
	answerMargin = 250 * time.Millisecond
	// retryBudgetFactor scales RetryShare and RetryReserve, the retries that the settings allow all
	// nodes together. Each node gets RetryReserve divided by the number of nodes (at least two);
	// while the nodes' counts of these lag, the parts could otherwise add up to more than the whole.
	retryBudgetFactor = 0.7
	// assumedNodes divides RetryReserve while the number of nodes is unknown. It is above the size of the largest fleet, so
	// that nodes which know little spend little.
	assumedNodes = 1000
	// maxStaleAge is how long ago a manifest by which requests are refused for good may last have been current. A change must be
	// in force 3 s after it was made.
	maxStaleAge = 2500 * time.Millisecond
	// retryBudgetInterval is how often the node's part of RetryReserve is updated.
	retryBudgetInterval = time.Second
)

// Options are the settings and dependencies of a Node.
type Options struct {
	Settings conf.Node
	Timers   router.Timers
	Log      *slog.Logger
	Source   router.RecordStore
	Codec    router.Codec
	Dialect  router.Dialect
	// Rows and Duties are for the platform's duty calls; they are used if Settings.Platform.Duties names an address.
	Rows   router.RowStore
	Duties router.DutyCaller
	// DutyKinds tells which calls there are.
	DutyKinds DutyKinds
	// Reload reads the settings again, on SIGHUP.
	Reload func() (set conf.Node, err error)
}

// Node is one router process.
type Node struct {
	options   Options
	handler   *Handler
	roster    *roster.Roster
	balancer  *place.Balancer
	manifests *follow.Follower
	instances *follow.Follower
	mesh      *mesh.Mesh
	budget    *budget.Registry
	meter     *meter.Meter
	memory    *intake.Budget
	reporter  *intake.Reporter
	stopping  atomic.Bool
	closers   []func()
	// duties is nil if the node makes no duty calls.
	duties *dutyParts
	// settings are the newest settings. Of a reload, only Platform.RetryReserve and Platform.Grace
	// take effect; all other changes need a restart of the process.
	settings atomic.Pointer[conf.Node]
}

// New builds a node and its parts. The node opens no connections before Run.
func New(opt Options) *Node {
	nod := &Node{options: opt}
	nod.settings.Store(&opt.Settings)
	set := opt.Settings
	regions := make(map[string]string, len(set.Platform.FailureDomains))
	for _, dom := range set.Platform.FailureDomains {
		regions[dom.Name] = dom.Region
	}
	balancer := place.New(place.Options{Timers: opt.Timers, FailureDomain: set.FailureDomain, Regions: regions, OnSpeed: nod.recordSpeed})
	nod.balancer = balancer
	pools := conns.NewPools()
	trs := terms.New(opt.Timers, opt.Log)
	pms := permit.New(opt.Timers, opt.Log)
	nod.roster = roster.New(roster.Options{
		Timers: opt.Timers,
		Codec:  opt.Codec,
		Log:    opt.Log,
		OnRemove: func(ins router.Instance) {
			balancer.Remove(ins)
			pools.Remove(ins.Key())
			trs.Remove(ins)
			pms.Remove(ins)
		},
	})
	nod.manifests = follow.New(follow.Options{Source: opt.Source, Kind: router.Manifests, Log: opt.Log, Apply: nod.applyManifest, UsePeers: nod.manifestsFromPeers})
	nod.instances = follow.New(follow.Options{Source: opt.Source, Kind: router.Instances, Log: opt.Log, Apply: nod.roster.Apply, UsePeers: nod.instancesFromPeers})
	grd, stopGuard := guard.New(opt.Timers, send.MaxCrashes)
	nod.closers = append(nod.closers, stopGuard)
	pes := &peerState{balancer: balancer, guard: grd, terms: trs, timers: opt.Timers}
	met := meter.New(set.Name, opt.Log)
	nod.meter = met
	nod.duties = nod.newDuties()
	nod.mesh = mesh.New(mesh.Options{
		Self:    router.Member{Name: set.Name, Address: set.Platform.Mesh, FailureDomain: set.FailureDomain},
		Timers:  opt.Timers,
		Log:     opt.Log,
		Source:  opt.Source,
		Codec:   opt.Codec,
		Load:    pes,
		Permits: pms,
		Usage:   nod.duties.meshUsage(),
		Copies:  map[router.RecordKind]*follow.Follower{router.Manifests: nod.manifests, router.Instances: nod.instances},
		Regions: regions,
	})
	pms.Join(nod.mesh)
	nod.duties.join(nod)
	nod.budget = budget.NewRegistry(retryBudgetFactor * set.Platform.RetryReserve / assumedNodes)
	nod.reporter = intake.NewReporter(opt.Timers, opt.Log, met)
	nod.memory = newMemory(opt, nod.reporter)
	pes.admission = admit.New(admit.Options{Timers: opt.Timers, Log: opt.Log, View: nod.serviceView(trs), OnEvent: met.Event})
	nod.handler = &Handler{
		meter:      met,
		memory:     nod.memory,
		routes:     meter.NewRoutes(met),
		successLog: rate.NewLimiter(successLogRate, successLogBurst),
		timers:     opt.Timers,
		dialect:    opt.Dialect,
		log:        opt.Log,
		stale:      func() bool { return !nod.manifests.IsCurrent(maxStaleAge) },
		silence:    nod.manifests.Silence,
		sender: send.New(send.Options{
			Timers:     opt.Timers,
			Dialect:    opt.Dialect,
			Roster:     nod.roster,
			Balancer:   balancer,
			Pools:      pools,
			Budget:     nod.budget,
			Guard:      grd,
			Terms:      trs,
			Permits:    pms,
			OnCrash:    pes.recordCrash,
			OnAnswer:   pes.recordAnswered,
			OnRun:      nod.duties.onRun(),
			Log:        opt.Log,
			Memory:     nod.memory,
			Admission:  pes.admission,
			RetryShare: retryBudgetFactor * set.Platform.RetryShare,
		}),
	}
	return nod
}

// manifestsFromPeers reports whether peers pass on the manifests, so that this node need not watch the store.
func (nod *Node) manifestsFromPeers() bool {
	if nod.manifests.Version() == 0 {
		return nod.mesh.HasStoreReaders()
	}
	return nod.mesh.KeepsCurrent(nod.manifests)
}

// instancesFromPeers reports the same for the instance records. In a large fleet few nodes read
// these from the store at the start, and the others get their first copy from peers.
func (nod *Node) instancesFromPeers() bool {
	if nod.instances.Version() == 0 {
		return nod.mesh.HasStoreReaders() || nod.mesh.DeferInitialRead()
	}
	return nod.mesh.KeepsCurrent(nod.instances)
}

// applyManifest puts a changed manifest in force unless its version is not newer. A deleted record
// leaves the last manifest in force.
func (nod *Node) applyManifest(upd follow.Update) {
	for _, rec := range upd.Changed {
		if rec.Deleted {
			continue
		}
		man, other, err := nod.options.Codec.Manifest(rec)
		switch {
		case other:
		case err != nil:
			nod.options.Log.Warn("manifest ignored", "Record", rec.Version, "Manifest", nod.handler.ManifestVersion(), "Error", err.Error())
		case man.Version <= nod.handler.ManifestVersion():
			nod.options.Log.Info("manifest not newer", "Record", rec.Version, "Version", man.Version, "Manifest", nod.handler.ManifestVersion())
		default:
			nod.setGapTargets(man)
			nod.handler.SetManifest(man)
			nod.options.Log.Info("manifest applied", "Version", man.Version, "Record", rec.Version,
				"Routes", len(man.Routes), "Workspaces", len(man.Accounts))
		}
	}
}

// setGapTargets tells the load balancer the gap targets of the streaming routes to each service with engines.
func (nod *Node) setGapTargets(man *router.Manifest) {
	durs := make(map[string][]time.Duration)
	for _, rou := range man.Routes {
		for _, bak := range rou.Backends {
			if rou.Stream && man.Services[bak.Service].Engine != nil {
				durs[bak.Service] = append(durs[bak.Service], rou.GapTarget)
			}
		}
	}
	for svc, one := range durs {
		nod.balancer.SetGapTargets(svc, one)
	}
}

// Ready reports whether the node accepts traffic.
func (nod *Node) Ready() bool {
	return !nod.stopping.Load() && nod.handler.ManifestVersion() > 0 && nod.instances.Version() > 0
}

// Run serves until SIGTERM or SIGINT. It returns nil after a graceful stop.
func (nod *Node) Run() (err error) {
	defer errs.Annotate(&err, "run node")
	var grp run.Group
	set := nod.settings.Load()
	srv, err := nod.listenCallers(&grp, set.Listen)
	if err != nil {
		return err
	}
	if err := nod.listen(&grp, set.Admin, nod.adminHandler()); err != nil {
		return err
	}
	if set.Platform.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", nod.meter.Handler())
		if err := nod.listen(&grp, set.Platform.Metrics, mux); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, fol := range []*follow.Follower{nod.manifests, nod.instances} {
		grp.Add(func() error {
			fol.Run(ctx)
			return nil
		}, func(error) { cancel() })
	}
	if err := nod.listen(&grp, set.Platform.Mesh, nod.mesh.Handler()); err != nil {
		return err
	}
	grp.Add(func() error { return nod.mesh.Run(ctx) }, func(error) { cancel() })
	defer nod.options.Timers.Every(retryBudgetInterval, func(time.Time) {
		nod.budget.SetMaxTokens(retryBudgetFactor * nod.settings.Load().Platform.RetryReserve / float64(divisor(nod.mesh.FleetSize())))
	})()
	nod.duties.start()
	defer nod.duties.finish()
	defer nod.duties.stop()
	nod.addSignalHandler(&grp, srv)
	nod.options.Log.Info("node started", "Listen", set.Listen, "FailureDomain", set.FailureDomain, "Region", set.Region)
	err = grp.Run()
	for _, clo := range nod.closers {
		clo()
	}
	if cerr := nod.meter.Close(); cerr != nil {
		nod.options.Log.Warn("failed to close the metrics", "Error", cerr.Error())
	}
	if errors.Is(err, errStopped) {
		nod.options.Log.Info("node stopped")
		return nil
	}
	return err
}

// divisor returns the number by which a limit of the whole fleet is divided, given the number of nodes or zero if that is
// unknown.
func divisor(nodes int) int {
	if nodes == 0 {
		return assumedNodes
	}
	return max(nodes, 2)
}

// errStopped ends the run group after a graceful stop.
var errStopped = errors.New("graceful stop")

func (nod *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(wri http.ResponseWriter, _ *http.Request) {
		if !nod.Ready() {
			wri.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if nod.settings.Load().Platform.Metrics == "" {
		mux.Handle("GET /metrics", nod.meter.Handler())
	}
	return mux
}

// listen adds an HTTP server on the address to the run group.
func (nod *Node) listen(grp *run.Group, address string, han http.Handler) (err error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	nod.serve(grp, lis, han)
	return nil
}

// shutDown stops the node gracefully: it becomes unready, serves until the load balancer has
// taken it out, refuses new requests, and returns when no request is in flight or the grace period
// is over. Requests that are in flight at its end are answered first.
func (nod *Node) shutDown(srv *http.Server) {
	nod.stopping.Store(true)
	nod.mesh.SetStopping()
	go nod.mesh.Deregister(context.Background())
	go nod.duties.stop()
	nod.handler.closeConns.Store(true)
	nod.options.Log.Info("node stopping", "Active", nod.handler.active.Load())
	grace := nod.settings.Load().Platform.Grace
	ctx, cancel := context.WithTimeout(context.Background(), grace-exitMargin)
	defer cancel()
	end := nod.options.Timers.Now().Add(grace - exitMargin - answerMargin)
	pause := min(balancerDrainTime, grace/3)
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	nod.handler.refusing.Store(true)
	nod.handler.sender.BeginStop(end)
	if err := srv.Shutdown(ctx); err != nil {
		nod.options.Log.Warn("requests cut at the end of the grace period", "Active", nod.handler.active.Load(), "Error", err.Error())
	}
	nod.duties.finish()
}
