package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
	"golang.org/x/time/rate"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/budget"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/follow"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/guard"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/link"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/mesh"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/place"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/roster"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/send"
)

const (
	// headerTimeout is how long a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be idle; manifests allow callers less.
	idleTimeout = 90 * time.Second
	// headerBytes bounds a request's headers; manifests allow callers less.
	headerBytes = 64 << 10
	// acceptAfterStop is how long a stopping node still serves, so that the balancer takes it out first: two probes a second apart, and some slack.
	acceptAfterStop = 2500 * time.Millisecond
	// stopMargin is how much of the grace period is kept for the end of the process.
	stopMargin = 600 * time.Millisecond
	// budgetSafety is the part of the common retry allowance that nodes use; their counts of each other lag.
	budgetSafety = 0.7
	// lonelyShare divides the common retry allowance while a node does not know how many others there are.
	lonelyShare = 8
	// budgetPeriod is how often the share of the retry allowance is computed again.
	budgetPeriod = time.Second
)

// Options are what a Node is built from.
type Options struct {
	Settings conf.Node
	Timers   router.Timers
	Log      *slog.Logger
	Source   router.RecordStore
	Codec    router.Codec
	Dialect  router.Dialect
	// Reload reads the settings again.
	Reload func() (set conf.Node, err error)
}

// Node is one process before the upstreams of a platform.
type Node struct {
	options   Options
	front     *Front
	roster    *roster.Roster
	manifests *follow.Follower
	instances *follow.Follower
	mesh      *mesh.Mesh
	budget    *budget.Registry
	meter     *meter.Meter
	stopping  atomic.Bool
	closers   []func()
	// settings are those that were read last; addresses and names count from the start only.
	settings atomic.Pointer[conf.Node]
}

// New builds a node.
func New(opt Options) *Node {
	nod := &Node{options: opt}
	nod.settings.Store(&opt.Settings)
	set := opt.Settings
	regions := make(map[string]string, len(set.Platform.FailureDomains))
	for _, dom := range set.Platform.FailureDomains {
		regions[dom.Name] = dom.Region
	}
	balancer := place.New(place.Options{Timers: opt.Timers, FailureDomain: set.FailureDomain, Regions: regions})
	links := link.NewPools()
	nod.roster = roster.New(roster.Options{
		Timers: opt.Timers,
		Codec:  opt.Codec,
		Log:    opt.Log,
		Gone: func(ins router.Instance) {
			balancer.Remove(ins)
			links.Remove(place.InstanceKey(ins))
		},
	})
	nod.manifests = follow.New(follow.Options{Source: opt.Source, Kind: router.Manifests, Log: opt.Log, Apply: nod.applyManifest, Relayed: nod.relayed})
	nod.instances = follow.New(follow.Options{Source: opt.Source, Kind: router.Instances, Log: opt.Log, Apply: nod.roster.Apply, Relayed: nod.relayedInstances})
	grd, stop := guard.New(opt.Timers, send.MaxCrashes)
	nod.closers = append(nod.closers, stop)
	lov := &loadView{balancer: balancer, guard: grd, timers: opt.Timers}
	nod.mesh = mesh.New(mesh.Options{
		Self:    router.Member{Name: set.Name, Address: set.Platform.Mesh, FailureDomain: set.FailureDomain},
		Timers:  opt.Timers,
		Log:     opt.Log,
		Source:  opt.Source,
		Codec:   opt.Codec,
		Load:    lov,
		Copies:  map[router.RecordKind]*follow.Follower{router.Manifests: nod.manifests, router.Instances: nod.instances},
		Regions: regions,
	})
	nod.budget = budget.NewRegistry(budgetSafety * set.Platform.RetryReserve / lonelyShare)
	met := meter.New(set.Name, opt.Log)
	nod.meter = met
	nod.front = &Front{
		meter:   met,
		routes:  meter.NewRoutes(met),
		calm:    rate.NewLimiter(calmLines, calmBurst),
		timers:  opt.Timers,
		dialect: opt.Dialect,
		log:     opt.Log,
		stale:   func() bool { return nod.manifests.Failing() > 0 },
		sender: send.New(send.Options{
			Timers:     opt.Timers,
			Dialect:    opt.Dialect,
			Roster:     nod.roster,
			Balancer:   balancer,
			Links:      links,
			Budget:     nod.budget,
			Guard:      grd,
			OnCrash:    lov.strike,
			Log:        opt.Log,
			RetryShare: budgetSafety * set.Platform.RetryShare,
		}),
	}
	return nod
}

// relayed reports whether peers bring the platform's records.
func (nod *Node) relayed() bool {
	return nod.mesh.Relayed()
}

// relayedInstances reports whether peers bring the upstreams' records; in a large fleet few nodes read them at the start.
func (nod *Node) relayedInstances() bool {
	return nod.mesh.Relayed() || nod.instances.Version() == 0 && nod.mesh.Starting()
}

// applyManifest puts a new manifest in force; older versions never replace newer ones.
func (nod *Node) applyManifest(upd follow.Update) {
	for _, rec := range upd.Changed {
		if rec.Deleted {
			continue
		}
		man, other, err := nod.options.Codec.Manifest(rec)
		switch {
		case other:
		case err != nil:
			nod.options.Log.Warn("manifest ignored", "Record", rec.Version, "Manifest", nod.front.Version(), "Error", err.Error())
		case man.Version <= nod.front.Version():
			nod.options.Log.Info("manifest not newer", "Record", rec.Version, "Version", man.Version, "Manifest", nod.front.Version())
		default:
			nod.front.Use(man)
			nod.options.Log.Info("manifest applied", "Version", man.Version, "Record", rec.Version,
				"Routes", len(man.Routes), "Workspaces", len(man.Accounts))
		}
	}
}

// Ready reports whether the node takes traffic.
func (nod *Node) Ready() bool {
	return !nod.stopping.Load() && nod.front.Version() > 0 && nod.instances.Version() > 0
}

// Run serves until a signal; it returns nil after a planned stop.
func (nod *Node) Run() (err error) {
	defer fault.Annotate(&err, "run node")
	var grp run.Group
	set := nod.settings.Load()
	srv, err := nod.listen(&grp, set.Listen, nod.front)
	if err != nil {
		return err
	}
	if _, err := nod.listen(&grp, set.Admin, nod.adminHandler()); err != nil {
		return err
	}
	if set.Platform.Metrics != "" {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", nod.meter.Handler())
		if _, err := nod.listen(&grp, set.Platform.Metrics, mux); err != nil {
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
	if _, err := nod.listen(&grp, set.Platform.Mesh, nod.mesh.Handler()); err != nil {
		return err
	}
	grp.Add(func() error { return nod.mesh.Run(ctx) }, func(error) { cancel() })
	defer nod.options.Timers.Every(budgetPeriod, func(time.Time) {
		nod.budget.SetMaxTokens(budgetSafety * nod.settings.Load().Platform.RetryReserve / float64(max(nod.mesh.Live(), 2)))
	})()
	nod.addStop(&grp, srv)
	nod.options.Log.Info("node started", "Listen", set.Listen, "FailureDomain", set.FailureDomain, "Region", set.Region)
	err = grp.Run()
	for _, clo := range nod.closers {
		clo()
	}
	if cerr := nod.meter.Close(); cerr != nil {
		nod.options.Log.Warn("metrics not closed", "Error", cerr.Error())
	}
	if errors.Is(err, errStopped) {
		nod.options.Log.Info("node stopped")
		return nil
	}
	return err
}

// errStopped ends the group after a planned stop.
var errStopped = errors.New("planned stop")

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

// listen adds an HTTP server to the group.
func (nod *Node) listen(grp *run.Group, address string, han http.Handler) (srv *http.Server, err error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	srv = &http.Server{
		Handler:           han,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ErrorLog:          slog.NewLogLogger(nod.options.Log.Handler(), slog.LevelDebug),
	}
	end := make(chan struct{})
	grp.Add(func() error {
		err := srv.Serve(lis)
		if errors.Is(err, http.ErrServerClosed) {
			// A planned stop closed the listener; the stop actor ends the group.
			<-end
		}
		return err
	}, func(error) {
		close(end)
		_ = srv.Close()
	})
	return srv, nil
}

// addStop turns SIGTERM and SIGINT into a planned stop, and SIGHUP into a reading of the settings.
func (nod *Node) addStop(grp *run.Group, srv *http.Server) {
	sgs := make(chan os.Signal, 2)
	signal.Notify(sgs, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	end := make(chan struct{})
	grp.Add(func() error {
		for {
			select {
			case sig := <-sgs:
				if sig == syscall.SIGHUP {
					nod.reload()
					continue
				}
				nod.stop(srv)
				return errStopped
			case <-end:
				return nil
			}
		}
	}, func(error) {
		signal.Stop(sgs)
		close(end)
	})
}

// reload reads the settings again; ones that cannot be read change nothing.
func (nod *Node) reload() {
	set, err := nod.options.Reload()
	if err != nil {
		nod.options.Log.Error("settings not reloaded", "Error", err.Error())
		return
	}
	nod.settings.Store(&set)
	nod.options.Log.Info("settings reloaded")
}

// stop ends the node: unready at once, serving while the balancer takes it out, then no new requests, and an end when nothing is under way.
func (nod *Node) stop(srv *http.Server) {
	nod.stopping.Store(true)
	nod.mesh.Stop()
	go nod.mesh.Leave(context.Background())
	nod.front.closing.Store(true)
	nod.options.Log.Info("node stopping", "Active", nod.front.active.Load())
	grace := nod.settings.Load().Platform.Grace
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	pause := min(acceptAfterStop, grace/3)
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
	nod.front.refusing.Store(true)
	if err := srv.Shutdown(ctx); err != nil {
		nod.options.Log.Warn("requests cut at the end of the grace period", "Active", nod.front.active.Load(), "Error", err.Error())
	}
}
