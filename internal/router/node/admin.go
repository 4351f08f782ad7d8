package node

import (
	"context"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Configuration returns the revision in force, or nil when files are.
func (nod *Node) Configuration() *wire.Revision {
	return nod.follower.Current()
}

// History returns up to limit revisions, the newest first, or router.ErrUnavailable.
func (nod *Node) History(ctx context.Context, limit int) (rvs []*wire.Revision, err error) {
	num, err := nod.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	for ; num > 0 && len(rvs) < limit; num-- {
		rev, err := nod.store.Get(ctx, num)
		if err != nil {
			return nil, err
		}
		rvs = append(rvs, rev)
	}
	return rvs, nil
}

// Accept makes a change the next revision after base, puts it in force here and tells the peers.
func (nod *Node) Accept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	if _, err := document(rev).Evaluate(); err != nil {
		return 0, err
	}
	num, err = nod.store.Accept(ctx, rev, base)
	if err != nil {
		return 0, err
	}
	// The stored revision, not the request, is what counts: a repeated change finds its first form there.
	sto, err := nod.store.Get(ctx, num)
	if err != nil {
		// The change is accepted; the pollers bring it to every node.
		nod.options.Log.Warn("accepted revision not read back", "Revision", num, "Error", err.Error())
		return num, nil
	}
	nod.follower.Offer(sto)
	return num, nil
}

// Burn returns how this node's requests met their objectives.
func (nod *Node) Burn() burn.Report {
	return nod.recorder.Report(nod.options.Settings.Name)
}
