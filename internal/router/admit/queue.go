package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// maxTier is the tier that stands for all less urgent ones too.
const maxTier = 31

// tierCounts holds numbers of calls by tier.
type tierCounts [maxTier + 1]int

// waiter is a call that is admitted, waits or is refused.
type waiter struct {
	router.AdmissionRequest

	controller *Controller
	service    *service
	// entered is when the call was passed to the controller, and begun when it started; zero before.
	entered, begun time.Time
	// early is set if the caller was refused and is back before its time.
	early bool
	// rank is the rank among the calls of the tier: one more for a workspace above its fair share, and one for an early caller.
	rank int
	// estimate is the best one that Check has seen.
	estimate router.UpstreamEstimate
	// gap is the time between events that the last Check expected.
	gap time.Duration
	// decided is closed when the call starts or is refused; refusal is set before that if it is refused.
	decided chan struct{}
	refusal *router.Refusal
	// sent is set when the call is sent, spared if it is sent although it seems to have no chance, and ended at its end.
	sent, spared, ended bool
}

func (wai *waiter) account() account {
	return account{workspace: wai.Workspace, tier: wai.Tier}
}

// order ranks the calls of the queue and sorts it: tier, then rank, then age.
func (ser *service) order(now time.Time) {
	exceeds := make(map[account]bool)
	for _, wai := range ser.queue {
		acc := wai.account()
		if _, fnd := exceeds[acc]; !fnd {
			exceeds[acc] = ser.uses.exceeds(acc, now)
		}
		wai.setRank(exceeds[acc])
	}
	slices.SortStableFunc(ser.queue, compareWaiters)
}

func (wai *waiter) setRank(exceeds bool) {
	wai.rank = 0
	if exceeds {
		wai.rank++
	}
	if wai.early {
		wai.rank++
	}
}

func compareWaiters(fst, snd *waiter) int {
	return cmp.Or(cmp.Compare(fst.Tier, snd.Tier), cmp.Compare(fst.rank, snd.rank), fst.entered.Compare(snd.entered))
}

// peek returns the call that starts next; shared is set if the minimum share puts it before others.
func (ser *service) peek() (wai *waiter, shared bool) {
	if len(ser.queue) == 0 {
		return nil, false
	}
	if grp, ok := ser.shares.due(); ok {
		for _, one := range ser.queue {
			if grps := one.groups(); slices.Contains(grps[:], grp) {
				return one, one != ser.queue[0]
			}
		}
	}
	return ser.queue[0], false
}

// push adds a call to the queue.
func (ser *service) push(wai *waiter) {
	ser.queue = append(ser.queue, wai)
	ser.own[wai.Tier]++
}

// remove takes a call out of the queue and reports whether it was there.
func (ser *service) remove(wai *waiter) bool {
	pos := slices.Index(ser.queue, wai)
	if pos >= 0 {
		ser.queue = slices.Delete(ser.queue, pos, pos+1)
		ser.own[wai.Tier]--
	}
	return pos >= 0
}

// setPeer replaces the number of calls that wait at a peer, by tier.
func (ser *service) setPeer(peer string, nums []int) {
	for num, val := range ser.peers[peer] {
		ser.atPeers[num] -= val
	}
	delete(ser.peers, peer)
	if len(nums) == 0 {
		return
	}
	var byTier tierCounts
	for num, val := range nums {
		byTier[min(num, maxTier)] += min(max(0, val), maxPeerWaiting)
	}
	for num, val := range byTier {
		ser.atPeers[num] += val
	}
	ser.peers[peer] = byTier
}

// waiting returns the number of calls that wait at this node and at its peers, of a tier or a more urgent one.
func (ser *service) waiting(tier int) (own, peers int) {
	for num := range min(tier, maxTier) + 1 {
		own += ser.own[num]
		peers += ser.atPeers[num]
	}
	return own, peers
}

// ahead returns the number of calls of this node that start before a call, and how many of these are of its tier and workspace.
func (ser *service) ahead(wai *waiter) (all, same int) {
	for _, oth := range ser.queue {
		if oth == wai || compareWaiters(oth, wai) > 0 {
			continue
		}
		all++
		if oth.account() == wai.account() {
			same++
		}
	}
	return all, same
}
