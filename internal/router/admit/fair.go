package admit

import (
	"maps"
	"math"
	"math/bits"
	"time"
)

const (
	// useHalfLife is the half-life of the averages of a workspace's use and calls.
	useHalfLife = 5 * time.Second
	// demandTime is how long after its last call a workspace has demand.
	demandTime = 2 * useHalfLife
	// fairMargin is the use, relative to the fair share, above which the calls of a workspace are ranked behind the others.
	fairMargin = 1.2
	// minShare is the number of starts of which one is given to each group of calls that has some waiting.
	minShare = 10
	// shareInterval is the number of starts of which at most one is given out of order.
	shareInterval = 3
)

// account is a workspace at a tier.
type account struct {
	workspace string
	tier      int
}

// uses holds the recent use and the recent calls of workspaces.
type uses struct {
	accounts map[account]*use
	updated  time.Time
}

// use is the use of a workspace at a tier.
type use struct {
	// tokens is the use in prefill and output tokens, and calls the calls per second; both are moving averages.
	tokens, calls float64
	// last is when the last call arrived.
	last time.Time
}

// of returns the use of a workspace as of now.
func (uss *uses) of(acc account, now time.Time) (one *use) {
	uss.advance(now)
	if one = uss.accounts[acc]; one == nil {
		one = &use{last: now}
		uss.accounts[acc] = one
	}
	return one
}

func (uss *uses) advance(now time.Time) {
	if uss.accounts == nil {
		uss.accounts = make(map[account]*use)
		uss.updated = now
	}
	if now.Sub(uss.updated) < useHalfLife/100 {
		return
	}
	keep := math.Exp2(-now.Sub(uss.updated).Seconds() / useHalfLife.Seconds())
	uss.updated = now
	maps.DeleteFunc(uss.accounts, func(_ account, one *use) bool {
		one.tokens *= keep
		one.calls *= keep
		return now.Sub(one.last) >= demandTime
	})
}

// arrive records the arrival of a call.
func (uss *uses) arrive(acc account, now time.Time) {
	one := uss.of(acc, now)
	one.calls += math.Ln2 / useHalfLife.Seconds()
	one.last = now
}

// add records the use of a call that is sent.
func (uss *uses) add(acc account, tokens int, now time.Time) {
	uss.of(acc, now).tokens += float64(tokens)
}

// limit returns the use above which the calls of a workspace are ranked behind the others of the tier.
func (uss *uses) limit(tier int, now time.Time) (tokens float64) {
	uss.advance(now)
	sum, num := 0.0, 0
	for acc, one := range uss.accounts {
		if acc.tier == tier {
			sum += one.tokens
			num++
		}
	}
	if num <= 1 {
		return math.Inf(1)
	}
	return fairMargin * sum / float64(num)
}

// exceeds reports whether the use of a workspace is above its fair share among those of the same tier.
func (uss *uses) exceeds(acc account, now time.Time) bool {
	one := uss.accounts[acc]
	return one != nil && one.tokens > uss.limit(acc.tier, now)
}

// before returns the calls per second that arrive and start before those of a tier and a rank that wait already.
func (uss *uses) before(tier, rank int, now time.Time) (rate float64) {
	limit := uss.limit(tier, now)
	for acc, one := range uss.accounts {
		if acc.tier < tier || acc.tier == tier && rank > 0 && one.tokens <= limit {
			rate += one.calls
		}
	}
	return rate
}

// group is a set of calls with a minimum share: a tier, a workspace or a size of prompts. The other fields have their zero value.
type group struct {
	kind      groupKind
	workspace string
	number    int
}

type groupKind int

const (
	tierGroup groupKind = iota
	workspaceGroup
	sizeGroup
)

// groups returns the groups of a call. Prompts of one size differ by less than the factor of 4.
func (req *waiter) groups() [3]group {
	return [3]group{
		{kind: tierGroup, number: req.Tier},
		{kind: workspaceGroup, workspace: req.Workspace},
		{kind: sizeGroup, number: bits.Len(uint(max(0, req.Call.PromptTokens))) / 2},
	}
}

// shares counts the starts since a group with waiting calls had one.
type shares struct {
	missed map[group]int
	// sinceShare is the number of starts since one was given out of order.
	sinceShare int
}

// due returns the group whose turn it is by the minimum share.
func (shs *shares) due() (grp group, ok bool) {
	if shs.sinceShare < shareInterval-1 {
		return grp, false
	}
	most := minShare - 2
	for one, num := range shs.missed {
		if num > most {
			grp, most, ok = one, num, true
		}
	}
	return grp, ok
}

// record counts the start of one of the waiting calls.
func (shs *shares) record(started *waiter, left []*waiter, shared bool) {
	if shs.missed == nil {
		shs.missed = make(map[group]int)
	}
	shs.sinceShare++
	if shared {
		shs.sinceShare = 0
	}
	present := make(map[group]bool, len(left))
	for _, wai := range left {
		for _, grp := range wai.groups() {
			present[grp] = true
		}
	}
	for _, grp := range started.groups() {
		shs.missed[grp] = -1
	}
	for grp := range present {
		shs.missed[grp]++
	}
	maps.DeleteFunc(shs.missed, func(grp group, _ int) bool { return !present[grp] })
}
