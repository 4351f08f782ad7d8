package node

import (
	"context"
	"net/url"
	"time"

	"github.com/oklog/run"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/vmlist"
)

// addVMList adds the reader of the platform's VM list to the group, if there is one.
func (nod *Node) addVMList(grp *run.Group) {
	set := nod.options.Settings.VMList
	if set.URL == "" {
		return
	}
	lst := vmlist.New(set.URL)
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error {
		stop := nod.options.Timers.Every(set.Interval, func(time.Time) { nod.readVMs(ctx, lst) })
		defer stop()
		nod.readVMs(ctx, lst)
		<-ctx.Done()
		return nil
	}, func(error) {
		cancel()
	})
}

// readVMs takes leaving upstreams out of use; when the list does not answer, nothing changes.
func (nod *Node) readVMs(ctx context.Context, lst router.VMLister) {
	vms, err := lst.List(ctx)
	if err != nil {
		nod.meter.Event("vm_list_failed")
		return
	}
	lev := make(map[string]bool)
	var nms, adrs []string
	for _, one := range vms {
		lev[one.Address] = lev[one.Address] || one.Leaving
		if one.Role == vmlist.RoleNode && !one.Leaving {
			nms = append(nms, one.Name)
			adrs = append(adrs, one.Address)
		}
	}
	if nod.peers != nil {
		nod.peers.setListed(adrs)
	} else if len(nms) > 0 {
		nod.setNodes(nms)
	}
	for _, pol := range nod.live.Get().Pools {
		for _, ups := range pol.Upstreams {
			nod.scheduler.SetDraining(pol.Name, ups.Name, lev[hostPort(ups.Address)])
		}
	}
}

// setNodes tells the parts which live nodes share the limits.
func (nod *Node) setNodes(nms []string) {
	nod.fair.SetNodes(nms)
	nod.limiter.SetNodes(len(nms))
}

func hostPort(address string) string {
	adr, err := url.Parse(address)
	if err != nil {
		return address
	}
	return adr.Host
}
