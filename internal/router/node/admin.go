package node

import (
	"context"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Configuration returns the installed revision, or nil if the node runs from its configuration files.
func (nod *Node) Configuration() *wire.Revision {
	return nod.follower.Current()
}

// History returns up to limit revisions from the table service, newest first. The error is
// router.ErrUnavailable if the service does not answer.
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

// Accept validates a change, stores it as the revision that follows base, installs it on this node
// and announces it to the peers.
func (nod *Node) Accept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	if _, err := document(rev).Evaluate(); err != nil {
		return 0, err
	}
	num, err = nod.store.Accept(ctx, rev, base)
	if err != nil {
		return 0, err
	}
	// Install what is stored, not rev: if the change was sent before, the store keeps its first version.
	sto, err := nod.store.Get(ctx, num)
	if err != nil {
		// The change is stored; the nodes that poll the table service distribute it.
		nod.options.Log.Warn("failed to read back the accepted revision", "Revision", num, "Error", err.Error())
		return num, nil
	}
	nod.follower.Offer(sto)
	return num, nil
}

// Burn returns the error-budget report of this node's requests.
func (nod *Node) Burn() burn.Report {
	return nod.recorder.Report(nod.options.Settings.Name)
}
