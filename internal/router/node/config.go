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

// beginPause is the time between two tries to find a first configuration.
const beginPause = 500 * time.Millisecond

// addConfig finds the node's first configuration, makes it ready, and follows later revisions.
func (nod *Node) addConfig(grp *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error {
		if err := nod.begin(ctx); err != nil {
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

// begin waits until the table service or a peer tells which configuration is in force.
//
// The settings' own files count only when the table service answers that it
// has no revision; otherwise a node could start by a configuration that was
// replaced long ago.
func (nod *Node) begin(ctx context.Context) error {
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
			nod.options.Log.Warn("no configuration yet", "Error", "the table service has none and no files were given")
		}
		nod.pause(ctx, beginPause)
	}
	return nil
}

// evaluate returns the configuration of this node's site.
func (nod *Node) evaluate(doc conf.Document) (sit conf.Site, err error) {
	sts, err := doc.Evaluate()
	if err != nil {
		return conf.Site{}, err
	}
	dom := nod.options.Settings.FailureDomain
	sit, fnd := sts[dom]
	if !fnd {
		return conf.Site{}, errors.Errorf("failure domain %s of the node is not in the configuration", dom)
	}
	return sit, nil
}

func (nod *Node) installRevision(rev *wire.Revision) error {
	return nod.installDocument(document(rev))
}

// installDocument puts a configuration in force in all parts; requests in progress go on.
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
		pol.Upstreams = slots.Subset(nod.options.Settings.Name, pol.Upstreams, nod.remote, cfg.Policy.Subset)
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

// document returns a revision's settings files.
func document(rev *wire.Revision) (doc conf.Document) {
	doc.Base = conf.Source{File: rev.GetBase().GetFile(), Text: rev.GetBase().GetText()}
	for _, src := range rev.GetOverlays() {
		doc.Overlays = append(doc.Overlays, conf.Source{File: src.GetFile(), Text: src.GetText()})
	}
	return doc
}

// solitary is the revise.Peers of a node without others.
type solitary struct{}

// Newest returns nothing.
func (solitary) Newest(context.Context, uint64) (rev *wire.Revision, answered bool) {
	return nil, false
}

// Fetch returns nothing.
func (solitary) Fetch(context.Context, string, uint64) (rev *wire.Revision) { return nil }

// Announce does nothing.
func (solitary) Announce(uint64) {}

// Polls is always true.
func (solitary) Polls() bool { return true }
