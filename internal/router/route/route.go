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

// Index is a manifest prepared for look-ups.
type Index struct {
	Manifest *router.Manifest
	// hosts holds the routes of a host, the longest prefix first.
	hosts    map[string][]*router.Route
	accounts map[string]*router.Account
	ranks    map[urgency]router.Ranks
}

// New returns the index of a manifest, which must not change any more.
func New(man *router.Manifest) *Index {
	idx := &Index{
		Manifest: man,
		hosts:    make(map[string][]*router.Route),
		accounts: make(map[string]*router.Account),
		ranks:    ranks(order(man)),
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

// Find returns the route with the longest prefix of the path, or nil.
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

// Account returns the workspace that holds a key, or nil.
func (idx *Index) Account(key string) *router.Account {
	if key == "" {
		return nil
	}
	return idx.accounts[key]
}

// Keyed reports whether callers need keys.
func (idx *Index) Keyed() bool {
	return len(idx.Manifest.Accounts) > 0
}

// Service chooses one of a route's services by their weights; equal calls get equal services.
func Service(rou *router.Route, call string) (name string) {
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

// Tier returns the tier of a call on a route for a workspace, which may be nil.
func Tier(rou *router.Route, acc *router.Account) int {
	if acc != nil && acc.Ranked {
		return acc.Tier
	}
	return rou.Tier
}

// urgency orders calls: by tier first, and by the route's own tier where a workspace's one replaces it.
type urgency struct {
	tier, route int
}

// order returns the urgencies that a manifest allows, the most urgent first.
func order(man *router.Manifest) (urgs []urgency) {
	workspaces := make(map[int]bool)
	for _, acc := range man.Accounts {
		if acc.Ranked {
			workspaces[acc.Tier] = true
		}
	}
	seen := make(map[urgency]bool)
	for _, rou := range man.Routes {
		alone := urgency{tier: rou.Tier, route: rou.Tier}
		if seen[alone] {
			continue
		}
		seen[alone] = true
		for tier := range workspaces {
			seen[urgency{tier: tier, route: rou.Tier}] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(one, two urgency) int {
		return cmp.Or(cmp.Compare(one.tier, two.tier), cmp.Compare(one.route, two.route))
	})
}

// ranks divides the ranks of engines among urgencies: one each, a second one for calls that will be late anyway to as many of the last as there are ranks left. Where there are too few, neighbours share.
func ranks(urgs []urgency) (res map[urgency]router.Ranks) {
	res = make(map[urgency]router.Ranks, len(urgs))
	single := max(0, 2*len(urgs)-router.EngineRanks)
	next := 0
	for num, urg := range urgs {
		switch {
		case len(urgs) > router.EngineRanks:
			rnk := num * router.EngineRanks / len(urgs)
			res[urg] = router.Ranks{InTime: rnk, Late: rnk}
		case num < single:
			res[urg] = router.Ranks{InTime: next, Late: next}
			next++
		default:
			res[urg] = router.Ranks{InTime: next, Late: next + 1}
			next += 2
		}
	}
	return res
}

// Ranks returns the places of a call in the order in which engines read prompts.
func (idx *Index) Ranks(rou *router.Route, acc *router.Account) router.Ranks {
	return idx.ranks[urgency{tier: Tier(rou, acc), route: rou.Tier}]
}
