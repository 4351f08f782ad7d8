package audit

import (
	"maps"
	"slices"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// checkServices checks all services.
func (chk *checker) checkServices() {
	used := make(map[string]bool)
	for _, rou := range chk.man.Routes {
		for _, bak := range rou.Backends {
			used[bak.Service] = true
		}
	}
	for _, nam := range slices.Sorted(maps.Keys(chk.man.Services)) {
		spc := chk.man.Services[nam]
		if !used[nam] {
			chk.warn(Entry{Section: Services, Service: nam}, "no route leads to the service")
		}
		if spc.Connections < 0 {
			chk.fail(Entry{Section: Services, Service: nam, Field: Connections}, "%d is negative", spc.Connections)
		}
		if eng := spc.Engine; eng != nil && eng.Slots <= 0 {
			chk.fail(Entry{Section: Services, Service: nam, Field: Engine}, "the engines have no slots")
		}
		if spc.Scaling != nil {
			chk.checkScaling(nam, *spc.Scaling)
		}
	}
}

// checkScaling checks the bounds of scaling of a service.
func (chk *checker) checkScaling(nam string, spc router.ScalingSpec) {
	ent := Entry{Section: Services, Service: nam, Field: Scaling}
	switch {
	case spc.Min < 0:
		chk.fail(ent, "the minimum %d is negative", spc.Min)
	case spc.Min > spc.Max:
		chk.fail(ent, "the minimum %d is above the maximum %d", spc.Min, spc.Max)
	case spc.Max == 0:
		chk.warn(ent, "the maximum is zero: no upstreams are ordered")
	}
	if spc.Boot <= 0 {
		chk.warn(ent, "without a boot time, crashed upstreams are replaced at once")
	}
	switch {
	case spc.SpotPrice < 0:
		chk.fail(ent, "the spot price %v is negative", spc.SpotPrice)
	case spc.SpotPrice >= 1:
		chk.warn(ent, "spot upstreams at %v of the price of regular ones replace none of them", spc.SpotPrice)
	}
	for _, dom := range slices.Sorted(maps.Keys(spc.Prices)) {
		ent := Entry{Section: Services, Service: nam, Field: Prices, Key: dom}
		if len(chk.FailureDomains) > 0 && !slices.Contains(chk.FailureDomains, dom) {
			chk.warn(ent, "the failure domain %q is not known", dom)
		}
		if spc.Prices[dom] <= 0 {
			chk.warn(ent, "the price of %q is %v", dom, spc.Prices[dom])
		}
	}
}

// checkAccounts checks the names and keys of the workspaces.
func (chk *checker) checkAccounts() {
	names, owners := make(map[string]bool), make(map[string]int)
	for num, acc := range chk.man.Accounts {
		ent := Entry{Section: Accounts, Index: num}
		switch {
		case acc.Name == "":
			chk.fail(ent, "the workspace has no name")
		case names[acc.Name]:
			ent.Field = Name
			chk.fail(ent, "another workspace has the name %q", acc.Name)
		}
		names[acc.Name] = true
		if len(acc.Keys) == 0 {
			chk.warn(Entry{Section: Accounts, Index: num}, "the workspace has no key, and none of its calls is accepted")
		}
		for itm, key := range acc.Keys {
			ent := Entry{Section: Accounts, Index: num, Field: Keys, Item: itm}
			// Keys are secrets and are not printed.
			switch own, fnd := owners[key]; {
			case key == "":
				chk.fail(ent, "the key is empty and never matches")
			case fnd && own != num:
				chk.fail(ent, "workspace %q has the same key; its calls count as those of %q", chk.man.Accounts[own].Name, acc.Name)
			case fnd:
				chk.warn(ent, "the key is listed twice")
			}
			owners[key] = num
		}
	}
}
