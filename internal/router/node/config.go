package node

import (
	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
)

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

// install puts a configuration in force in all parts.
func (nod *Node) install(sit conf.Site) {
	nod.site.Store(&sit)
	nod.live.Set(sit.Config)
	nod.gate.Configure(sit.Config.Workspaces)
	nod.scheduler.Configure(sit.Config.Pools, sit.Config.Classes)
	nod.entry.Configure(sit.Config)
}
