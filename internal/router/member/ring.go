package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Fingers returns the members that a node probes: those at distances 1, 2, 4 and so on along the ring.
//
// The ring orders members by the hash of their names. Every member is then
// probed by as many others as it probes, the set changes little when members
// come and go, and news needs only a logarithmic number of hops.
func Fingers(self string, mms []*wire.Member) (res []*wire.Member) {
	rng := make([]*wire.Member, len(mms))
	copy(rng, mms)
	sort.Slice(rng, func(one, two int) bool { return place(rng[one].GetName()) < place(rng[two].GetName()) })
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

// Bridges returns the members of each failure domain that speak for it to other regions.
func Bridges(mms []*wire.Member) (res []*wire.Member) {
	byd := make(map[string][]*wire.Member)
	for _, mem := range mms {
		byd[mem.GetFailureDomain()] = append(byd[mem.GetFailureDomain()], mem)
	}
	for _, dom := range byd {
		sort.Slice(dom, func(one, two int) bool { return place(dom[one].GetName()) < place(dom[two].GetName()) })
		res = append(res, dom[:min(bridgesPerDomain, len(dom))]...)
	}
	sort.Slice(res, func(one, two int) bool { return res[one].GetName() < res[two].GetName() })
	return res
}

// bridgesPerDomain is how many members of a failure domain speak for it to other regions.
const bridgesPerDomain = 2

func place(name string) uint64 {
	return xxhash.Sum64String(name)
}
