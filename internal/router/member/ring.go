package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// ProbeTargets returns the members that a node probes: those at distances 1, 2, 4 and so on along a
// hash ring.
//
// The ring orders members by the hash of their names. So every member is probed by as many others as
// it probes, the targets change little when members join or leave, and updates reach all members in a
// logarithmic number of hops. If self is not among the members, all of them are returned.
func ProbeTargets(self string, mms []*wire.Member) (res []*wire.Member) {
	rng := make([]*wire.Member, len(mms))
	copy(rng, mms)
	sort.Slice(rng, func(one, two int) bool { return ringPosition(rng[one].GetName()) < ringPosition(rng[two].GetName()) })
	pos := -1
	for idx, mem := range rng {
		if mem.GetName() == self {
			pos = idx
		}
	}
	if pos < 0 {
		return rng
	}
	for dst := 1; dst < len(rng); dst *= 2 {
		res = append(res, rng[(pos+dst)%len(rng)])
	}
	return res
}

// Bridges returns the members of each failure domain that exchange updates with other regions, sorted by name.
func Bridges(mms []*wire.Member) (res []*wire.Member) {
	byd := make(map[string][]*wire.Member)
	for _, mem := range mms {
		byd[mem.GetFailureDomain()] = append(byd[mem.GetFailureDomain()], mem)
	}
	for _, dom := range byd {
		sort.Slice(dom, func(one, two int) bool { return ringPosition(dom[one].GetName()) < ringPosition(dom[two].GetName()) })
		res = append(res, dom[:min(bridgesPerDomain, len(dom))]...)
	}
	sort.Slice(res, func(one, two int) bool { return res[one].GetName() < res[two].GetName() })
	return res
}

// bridgesPerDomain is the number of bridges in each failure domain.
const bridgesPerDomain = 2

func ringPosition(name string) uint64 {
	return xxhash.Sum64String(name)
}
