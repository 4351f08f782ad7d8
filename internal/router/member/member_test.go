package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router/member"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	live    = wire.MemberState_MEMBER_STATE_LIVE
	suspect = wire.MemberState_MEMBER_STATE_SUSPECT
	leaving = wire.MemberState_MEMBER_STATE_LEAVING
	dead    = wire.MemberState_MEMBER_STATE_DEAD
)

var start = time.UnixMilli(1_000_000)

func node(name string, inc uint64, sta wire.MemberState) *wire.Member {
	return &wire.Member{Name: name, Incarnation: inc, State: sta, Region: "r", FailureDomain: "d"}
}

// TestMerge checks which of two updates about a member supersedes the other.
func TestMerge(t *testing.T) {
	for name, tst := range map[string]struct {
		updates []*wire.Member
		want    wire.MemberState
	}{
		"suspect supersedes live":                                 {[]*wire.Member{node("b", 5, live), node("b", 5, suspect)}, suspect},
		"live of the same incarnation does not clear a suspicion": {[]*wire.Member{node("b", 5, suspect), node("b", 5, live)}, suspect},
		"a higher incarnation revives a dead member":              {[]*wire.Member{node("b", 5, dead), node("b", 6, live)}, live},
		"a death of a lower incarnation is ignored":               {[]*wire.Member{node("b", 6, live), node("b", 5, dead)}, live},
		"leaving supersedes suspect":                              {[]*wire.Member{node("b", 5, suspect), node("b", 5, leaving)}, leaving},
		"members without a name are ignored":                      {[]*wire.Member{node("b", 5, live), nil, {}}, live},
		"suspect does not supersede dead":                         {[]*wire.Member{node("b", 5, dead), node("b", 5, suspect)}, dead},
	} {
		t.Run(name, func(t *testing.T) {
			tab := member.NewTable(node("a", 0, live), start)
			tab.Merge(tst.updates, start)
			if got := tab.Get("b").GetState(); got != tst.want {
				t.Fatalf("got %v, want %v", got, tst.want)
			}
		})
	}
}

// TestRefutesOwnDeath guards against a node that stays dead for its peers after a pause: it must raise
// its incarnation when it receives an update that declares it dead.
func TestRefutesOwnDeath(t *testing.T) {
	tab := member.NewTable(node("a", 0, live), start)
	old := tab.Self().GetIncarnation()
	tab.Merge([]*wire.Member{node("a", old, dead)}, start)
	if slf := tab.Self(); slf.GetState() != live || slf.GetIncarnation() <= old {
		t.Fatalf("self is %v, want it live with an incarnation above the refuted one", slf)
	}
}

// TestUnrefutedSuspectDies checks that a suspect serves until SuspicionTimeout has passed, and no longer.
func TestUnrefutedSuspectDies(t *testing.T) {
	tab := member.NewTable(node("a", 0, live), start)
	tab.Merge([]*wire.Member{node("b", 1, live)}, start)
	tab.MarkSuspect("b", start)
	tab.Expire(start.Add(member.SuspicionTimeout))
	if !member.Serving(tab.Get("b")) {
		t.Fatal("the suspect was declared dead before SuspicionTimeout had passed")
	}
	tab.Expire(start.Add(member.SuspicionTimeout + time.Millisecond))
	if tab.Get("b").GetState() != dead {
		t.Fatal("the suspect was not declared dead after SuspicionTimeout")
	}
}

// TestProbeTargetsAreBalanced checks that every member is probed by the same number of others, and that
// an update reaches all members within a few hops.
func TestProbeTargetsAreBalanced(t *testing.T) {
	for _, size := range []int{2, 3, 6, 50, 171} {
		mms := make([]*wire.Member, 0, size)
		for idx := range size {
			mms = append(mms, node(fmt.Sprint("n", idx), 1, live))
		}
		probed := make(map[string]int)
		reached := map[string]bool{"n0": true}
		for hop := 0; len(reached) < size; hop++ {
			if hop > 8 {
				t.Fatalf("size %d: the update reached %d members in %d hops", size, len(reached), hop)
			}
			for nam := range reached {
				for _, mem := range member.ProbeTargets(nam, mms) {
					reached[mem.GetName()] = true
				}
			}
		}
		for _, mem := range mms {
			for _, tgt := range member.ProbeTargets(mem.GetName(), mms) {
				probed[tgt.GetName()]++
			}
		}
		for nam, num := range probed {
			if num != probed["n0"] {
				t.Fatalf("size %d: %s is probed by %d, n0 by %d", size, nam, num, probed["n0"])
			}
		}
	}
}

// TestLeavingMemberExpires guards against members that left and stay in the table of every node for good.
func TestLeavingMemberExpires(t *testing.T) {
	tab := member.NewTable(node("a", 0, live), start)
	tab.Merge([]*wire.Member{node("b", 5, leaving)}, start)
	tab.Expire(start.Add(time.Minute))
	if got := tab.Get("b").GetState(); got != leaving {
		t.Errorf("after a minute the member is %v", got)
	}
	for _, hours := range []time.Duration{1, 2} {
		tab.Expire(start.Add(hours * time.Hour))
	}
	if tab.Get("b") != nil {
		t.Error("the member is still in the table after two hours")
	}
}
