package node

import (
	"context"
	"net/url"
	"time"

	"github.com/oklog/run"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/vmlist"
)

// addVMList adds the actor that polls the platform's VM list, if the settings name one.
func (nod *Node) addVMList(grp *run.Group) {
	set := nod.options.Settings.VMList
	if set.URL == "" {
		return
	}
	lst := vmlist.New(set.URL)
	ctx, cancel := context.WithCancel(context.Background())
	grp.Add(func() error {
		stop := nod.options.Timers.Every(set.Interval, func(time.Time) { nod.updateVMs(ctx, lst) })
		defer stop()
		nod.updateVMs(ctx, lst)
		<-ctx.Done()
		return nil
	}, func(error) {
		cancel()
	})
}

// updateVMs reads the VM list and drains the upstreams whose VMs are about to be shut down. The nodes in the
// list become addresses of peers or, without peers, the nodes that share the limits. If the list cannot be
// read, nothing changes.
func (nod *Node) updateVMs(ctx context.Context, lst router.VMLister) {
	vms, err := lst.List(ctx)
	if err != nil {
		nod.meter.Event("vm_list_failed")
		return
	}
	leaving := make(map[string]bool)
	var nms, adrs []string
	for _, one := range vms {
		leaving[one.Address] = leaving[one.Address] || one.Leaving
		if one.Role == vmlist.RoleNode && !one.Leaving {
			nms = append(nms, one.Name)
			adrs = append(adrs, one.Address)
		}
	}
	if nod.peers != nil {
		nod.peers.setVMAddresses(adrs)
	} else if len(nms) > 0 {
		nod.setNodes(nms)
	}
	for _, pol := range nod.live.Get().Pools {
		for _, ups := range pol.Upstreams {
			nod.scheduler.SetDraining(pol.Name, ups.Name, leaving[hostPort(ups.Address)])
		}
	}
}

// setNodes passes the names of the serving nodes to the parts that divide limits between them.
func (nod *Node) setNodes(nms []string) {
	nod.fair.SetNodes(nms)
	nod.limiter.SetNodes(len(nms))
}

// hostPort returns the host and port of a URL, or the address itself if it does not parse as a URL.
func hostPort(address string) string {
	adr, err := url.Parse(address)
	if err != nil {
		return address
	}
	return adr.Host
}
