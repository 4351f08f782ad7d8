package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/slots"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// loadRetryPeriod is the time between two tries to load the initial configuration.
const loadRetryPeriod = 500 * time.Millisecond

// addConfig adds the actor that loads the initial configuration, marks the node ready and follows later
// revisions.
func (nod *Node) addConfig(grp *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error {
		if err := nod.loadInitial(ctx); err != nil {
			return err
		}
		nod.follower.Start()
		defer nod.follower.Close()
		nod.ready.Store(true)
		nod.options.Log.Info("node ready", "Revision", nod.follower.Number())
		if nod.peers != nil {
			nod.peers.leased.Run(ctx)
		}
		<-ctx.Done()
		return nil
	}, func(error) {
		cancel()
	})
}

// loadInitial retries until it has installed a configuration: a revision from the table service or a peer,
// or the node's own files. It returns nil if the context ends first.
//
// The files are used only after the table service has replied that it has no revision. Otherwise a node
// could start with a configuration that was replaced long ago.
func (nod *Node) loadInitial(ctx context.Context) error {
	for ctx.Err() == nil {
		if nod.peers != nil {
			nod.peers.gossip.Join(ctx)
		}
		fnd, err := nod.follower.LoadInitial(ctx)
		switch {
		case err != nil:
			nod.options.Log.Warn("no configuration yet", "Error", err.Error())
		case fnd && nod.follower.Number() > 0:
			return nil
		case !fnd && nod.options.Document != nil:
			return nod.installDocument(*nod.options.Document)
		default:
			nod.options.Log.Warn("no configuration yet", "Error", "the table service has no revision and no files were given")
		}
		nod.sleep(ctx, loadRetryPeriod)
	}
	return nil
}

// evaluate validates a document and returns the configuration of this node's failure domain.
func (nod *Node) evaluate(doc conf.Document) (sit conf.Site, err error) {
	sts, err := doc.Evaluate()
	if err != nil {
		return conf.Site{}, err
	}
	dom := nod.options.Settings.FailureDomain
	sit, fnd := sts[dom]
	if !fnd {
		return conf.Site{}, errors.Errorf("failure domain %q of the node is not in the configuration", dom)
	}
	return sit, nil
}

func (nod *Node) installRevision(rev *wire.Revision) error {
	return nod.installDocument(document(rev))
}

// installDocument applies a configuration to all parts of the node. Requests in flight are not interrupted.
func (nod *Node) installDocument(doc conf.Document) error {
	sit, err := nod.evaluate(doc)
	if err != nil {
		return err
	}
	cfg := sit.Config
	nod.site.Store(&sit)
	nod.live.Set(cfg)
	pls := make([]router.Pool, 0, len(cfg.Pools))
	for _, pol := range cfg.Pools {
		pol.Upstreams = slots.Subset(nod.options.Settings.Name, pol.Upstreams, nod.isRemote, cfg.Policy.Subset)
		pls = append(pls, pol)
	}
	if nod.peers != nil {
		nod.peers.leased.Configure(pls, nod.scheduler)
	}
	nod.limiter.Configure(cfg.Workspaces)
	nod.scheduler.Configure(pls, cfg.Classes)
	nod.entry.Configure(cfg)
	return nil
}

// document returns the configuration files that a revision contains.
func document(rev *wire.Revision) (doc conf.Document) {
	doc.Base = conf.Source{File: rev.GetBase().GetFile(), Text: rev.GetBase().GetText()}
	for _, src := range rev.GetOverlays() {
		doc.Overlays = append(doc.Overlays, conf.Source{File: src.GetFile(), Text: src.GetText()})
	}
	return doc
}

// noPeers is the revise.Peers of a node that runs without peers.
type noPeers struct{}

// Newest returns nil and false, because no peer can answer.
func (noPeers) Newest(context.Context, uint64) (rev *wire.Revision, answered bool) {
	return nil, false
}

// Fetch returns nil.
func (noPeers) Fetch(context.Context, string, uint64) (rev *wire.Revision) { return nil }

// Announce does nothing.
func (noPeers) Announce(uint64) {}

// Polls returns true: the table service is the only source of revisions.
func (noPeers) Polls() bool { return true }
