package edge

import (
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/terms"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// maxTiers bounds the tiers of waiting calls in a digest.
const maxTiers = 64

// serviceView returns the function with which the admission sees the load of services. Services without engines have no slots
// there, so that their calls are neither delayed nor refused for load.
func (nod *Node) serviceView(trs *terms.Registry) func(service string) router.ServiceView {
	return func(service string) (vie router.ServiceView) {
		idx := nod.handler.index.Load()
		if idx == nil {
			return vie
		}
		eng := idx.Manifest.Services[service].Engine
		if eng == nil || eng.Slots <= 0 {
			return vie
		}
		vie = nod.balancer.View(nod.roster.Available(service), eng.Slots, func(ins router.Instance) bool {
			return trs.IsLeaving(ins) || trs.IsGone(ins) || trs.PauseLeft(ins) > 0
		})
		vie.Queues = true
		return vie
	}
}

// addLocalWaiting adds the number of calls that wait at this node to the demands of a digest.
func (pes *peerState) addLocalWaiting(dig *wire.Digest) {
	if pes.admission == nil {
		return
	}
	nums := pes.admission.LocalWaiting()
	for _, msg := range dig.GetDemands() {
		msg.Waiting = toUint32(nums[msg.GetService()])
		delete(nums, msg.GetService())
	}
	for svc, one := range nums {
		dig.Demands = append(dig.Demands, &wire.ServiceDemand{Service: svc, Waiting: toUint32(one)})
	}
}

func toUint32(nums []int) (res []uint32) {
	for _, num := range nums {
		res = append(res, uint32(max(0, num)))
	}
	return res
}

// setPeerWaiting applies the number of calls that wait at a peer.
func (pes *peerState) setPeerWaiting(peer string, msgs []*wire.ServiceDemand) {
	if pes.admission == nil {
		return
	}
	nums := make(map[uint64][]int)
	for _, msg := range msgs {
		var one []int
		for _, num := range msg.GetWaiting()[:min(len(msg.GetWaiting()), maxTiers)] {
			one = append(one, int(num))
		}
		if len(one) > 0 {
			nums[msg.GetService()] = one
		}
	}
	pes.admission.SetPeerWaiting(peer, nums)
}
