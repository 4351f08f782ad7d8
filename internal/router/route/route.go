package route

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Index is a read-only view of a manifest with its routes, keys and ranks indexed for lookup.
type Index struct {
	Manifest *router.Manifest
	// hosts maps a host name to its routes, the longest prefix first.
	hosts    map[string][]*router.Route
	accounts map[string]*router.Account
	ranks    map[priority]router.Ranks
}

// New indexes a manifest. The manifest must not be modified afterwards.
func New(man *router.Manifest) *Index {
	idx := &Index{
		Manifest: man,
		hosts:    make(map[string][]*router.Route),
		accounts: make(map[string]*router.Account),
		ranks:    assignRanks(priorities(man)),
	}
	for num := range man.Routes {
		rou := &man.Routes[num]
		idx.hosts[rou.Host] = append(idx.hosts[rou.Host], rou)
	}
	for _, rous := range idx.hosts {
		slices.SortStableFunc(rous, func(one, two *router.Route) int { return len(two.Prefix) - len(one.Prefix) })
	}
	for num := range man.Accounts {
		acc := &man.Accounts[num]
		for _, key := range acc.Keys {
			idx.accounts[key] = acc
		}
	}
	return idx
}

// Find returns the route of the host with the longest prefix that matches the path, or nil. A port
// in the host is ignored.
func (idx *Index) Find(host, path string) *router.Route {
	if nam, _, err := net.SplitHostPort(host); err == nil {
		host = nam
	}
	for _, rou := range idx.hosts[host] {
		if strings.HasPrefix(path, rou.Prefix) {
			return rou
		}
	}
	return nil
}

// Account returns the account (the workspace) that a key authenticates, or nil.
func (idx *Index) Account(key string) *router.Account {
	if key == "" {
		return nil
	}
	return idx.accounts[key]
}

// RequiresKeys reports whether callers must send a key: a manifest without accounts is open to all.
func (idx *Index) RequiresKeys() bool {
	return len(idx.Manifest.Accounts) > 0
}

// ChooseService picks a backend service of a route by weight. The choice is a hash of the call ID,
// so calls with the same ID use the same service. It returns an empty name if no backend has a
// positive weight.
func ChooseService(rou *router.Route, call string) (name string) {
	sum := 0
	for _, bak := range rou.Backends {
		sum += max(0, bak.Weight)
	}
	if sum == 0 {
		return ""
	}
	pos := int(xxhash.Sum64String(call) % uint64(sum))
	for _, bak := range rou.Backends {
		pos -= max(0, bak.Weight)
		if pos < 0 {
			return bak.Service
		}
	}
	return ""
}

// Tier returns the priority tier of a call. The tier of a ranked account overrides that of the
// route; acc may be nil.
func Tier(rou *router.Route, acc *router.Account) int {
	if acc != nil && acc.Ranked {
		return acc.Tier
	}
	return rou.Tier
}

// priority orders calls by their effective tier, and then by the tier of their route, which differs
// from it if a ranked account overrides it. Lower values come first.
type priority struct {
	tier, routeTier int
}

// priorities returns the distinct priorities that calls can have under a manifest, the highest
// first.
func priorities(man *router.Manifest) (pris []priority) {
	accountTiers := make(map[int]bool)
	for _, acc := range man.Accounts {
		if acc.Ranked {
			accountTiers[acc.Tier] = true
		}
	}
	seen := make(map[priority]bool)
	for _, rou := range man.Routes {
		own := priority{tier: rou.Tier, routeTier: rou.Tier}
		if seen[own] {
			continue
		}
		seen[own] = true
		for tier := range accountTiers {
			seen[priority{tier: tier, routeTier: rou.Tier}] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(one, two priority) int {
		return cmp.Or(cmp.Compare(one.tier, two.tier), cmp.Compare(one.routeTier, two.routeTier))
	})
}

// assignRanks maps each priority to ranks in an engine's prefill queue, of which there are
// router.EngineRanks. Each priority gets one rank for calls that can still meet their target, and
// the lowest priorities get a second one, behind the first, for calls that will miss it anyway, as
// far as the ranks suffice. If there are more priorities than ranks, neighbouring priorities share
// one.
func assignRanks(pris []priority) (res map[priority]router.Ranks) {
	res = make(map[priority]router.Ranks, len(pris))
	singles := max(0, 2*len(pris)-router.EngineRanks)
	next := 0
	for num, pri := range pris {
		switch {
		case len(pris) > router.EngineRanks:
			rnk := num * router.EngineRanks / len(pris)
			res[pri] = router.Ranks{InTime: rnk, Late: rnk}
		case num < singles:
			res[pri] = router.Ranks{InTime: next, Late: next}
			next++
		default:
			res[pri] = router.Ranks{InTime: next, Late: next + 1}
			next += 2
		}
	}
	return res
}

// Ranks returns the ranks of a call in an engine's prefill queue.
func (idx *Index) Ranks(rou *router.Route, acc *router.Account) router.Ranks {
	return idx.ranks[priority{tier: Tier(rou, acc), routeTier: rou.Tier}]
}
