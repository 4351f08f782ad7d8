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
	nds := 0
	for _, one := range vms {
		if one.Role == vmlist.RoleNode && !one.Leaving {
			nds++
		}
		lev[one.Address] = lev[one.Address] || one.Leaving
	}
	if nds > 0 {
		nod.setNodes(nds)
	}
	for _, pol := range nod.live.Get().Pools {
		for _, ups := range pol.Upstreams {
			nod.scheduler.Retire(pol.Name, ups.Name, lev[hostPort(ups.Address)])
		}
	}
}

// setNodes tells the parts how many live nodes share the limits.
func (nod *Node) setNodes(num int) {
	nod.alone.SetNodes(num)
	nod.gate.SetNodes(num)
}

func hostPort(address string) string {
	adr, err := url.Parse(address)
	if err != nil {
		return address
	}
	return adr.Host
}
