package fleet

import (
	"encoding/json"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/vmlist"
)

// planStandIns adds the stand-ins to the fleet without starting them, and writes the VM list that one of them
// publishes.
func (flt *Fleet) planStandIns() error {
	opt := flt.Options
	for _, pol := range flt.Config.Pools {
		for _, ups := range pol.Upstreams {
			ars := []string{
				"engine", "--slots", strconv.Itoa(ups.Slots), "--gap", opt.TokenGap.String(),
				"--prefill", opt.Prefill.String(), "--crash-on", opt.CrashOn,
			}
			if pol.Kind == router.Service {
				ars = []string{"service", "--name", ups.Name, "--work", opt.ServiceTime.String(), "--journal", flt.journalPath(ups.Name)}
			}
			flt.Upstreams[ups.Name] = flt.newStandIn(ups.Name, ups.Address, ars...)
		}
	}
	set := flt.Settings[0]
	vms := filepath.Join(opt.WorkDir, "vms.json")
	raw, err := json.Marshal(flt.vmGroups())
	if err != nil {
		return err
	}
	if err := os.WriteFile(vms, raw, 0o600); err != nil {
		return err
	}
	flt.Store = flt.newStandIn("store", "http://"+set.Table.Endpoint, "store")
	lst, err := url.Parse(set.VMList.URL)
	if err != nil {
		return err
	}
	flt.VMList = flt.newStandIn("vms", "http://"+lst.Host, "vms", "--file", vms)
	return nil
}

// vmGroups returns the VM list, with the named VMs in state leaving.
func (flt *Fleet) vmGroups(leaving ...string) (gps []vmlist.Group) {
	sta := make(map[string]string)
	for _, nam := range leaving {
		sta[nam] = vmlist.StateLeaving
	}
	add := func(rol, nam, adr string) {
		lab := map[string]string{vmlist.LabelRole: rol, vmlist.LabelName: nam, vmlist.LabelState: vmlist.StateLive}
		if val, fnd := sta[nam]; fnd {
			lab[vmlist.LabelState] = val
		}
		gps = append(gps, vmlist.Group{Targets: []string{adr}, Labels: lab})
	}
	for _, nod := range flt.Settings {
		add(vmlist.RoleNode, nod.Name, nod.Peer)
	}
	for _, pol := range flt.Config.Pools {
		for _, ups := range pol.Upstreams {
			add(vmlist.RoleUpstream, ups.Name, hostOf(ups.Address))
		}
	}
	return gps
}

// hostOf returns the host and port of a URL.
func hostOf(address string) string {
	adr, err := url.Parse(address)
	if err != nil {
		return address
	}
	return adr.Host
}

func (flt *Fleet) journalPath(name string) string {
	return filepath.Join(flt.Options.WorkDir, name+".journal")
}

func (flt *Fleet) newStandIn(name, address string, args ...string) *Process {
	return &Process{
		Name:   name,
		URL:    address,
		health: address + fakes.HealthPath,
		binary: filepath.Join(flt.Options.Binaries, "hbstand"),
		args:   append(args, "--listen", hostOf(address)),
		dir:    flt.Options.WorkDir,
	}
}

func (flt *Fleet) newNode(nod conf.Node, file string) *Process {
	ovls := flt.overlayPaths()
	ars := make([]string, 0, 5+2*len(ovls))
	ars = append(ars, "serve", "--node", file, "--base", flt.basePath())
	for _, ovl := range ovls {
		ars = append(ars, "--overlay", ovl)
	}
	return &Process{
		Name:   nod.Name,
		URL:    "http://" + nod.Listen,
		health: "http://" + nod.Listen + "/readyz",
		binary: filepath.Join(flt.Options.Binaries, "hornbeamdyke"),
		args:   ars,
		dir:    flt.Options.WorkDir,
		env:    flt.Options.NodeEnv,
	}
}

func (flt *Fleet) standIns() (prs []*Process) {
	for _, prc := range flt.Upstreams {
		prs = append(prs, prc)
	}
	for _, prc := range []*Process{flt.Store, flt.VMList} {
		if prc != nil {
			prs = append(prs, prc)
		}
	}
	return prs
}
