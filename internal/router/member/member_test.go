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

var begin = time.UnixMilli(1_000_000)

func node(name string, inc uint64, sta wire.MemberState) *wire.Member {
	return &wire.Member{Name: name, Incarnation: inc, State: sta, Region: "r", FailureDomain: "d"}
}

func TestMerge(t *testing.T) {
	for name, tst := range map[string]struct {
		say  []*wire.Member
		want wire.MemberState
	}{
		"a suspicion overrides life":       {[]*wire.Member{node("b", 5, live), node("b", 5, suspect)}, suspect},
		"old life does not override":       {[]*wire.Member{node("b", 5, suspect), node("b", 5, live)}, suspect},
		"a new incarnation refutes":        {[]*wire.Member{node("b", 5, dead), node("b", 6, live)}, live},
		"old news of death is ignored":     {[]*wire.Member{node("b", 6, live), node("b", 5, dead)}, live},
		"leaving overrides suspicion":      {[]*wire.Member{node("b", 5, suspect), node("b", 5, leaving)}, leaving},
		"nameless statements are no news":  {[]*wire.Member{node("b", 5, live), nil, {}}, live},
		"death is not undone by suspicion": {[]*wire.Member{node("b", 5, dead), node("b", 5, suspect)}, dead},
	} {
		t.Run(name, func(t *testing.T) {
			vie := member.NewView(node("a", 0, live), begin)
			vie.Merge(tst.say, begin)
			if got := vie.Get("b").GetState(); got != tst.want {
				t.Fatalf("got %v, want %v", got, tst.want)
			}
		})
	}
}

func TestRefutesOwnDeath(t *testing.T) {
	vie := member.NewView(node("a", 0, live), begin)
	old := vie.Self().GetIncarnation()
	vie.Merge([]*wire.Member{node("a", old, dead)}, begin)
	if slf := vie.Self(); slf.GetState() != live || slf.GetIncarnation() <= old {
		t.Fatalf("self is %v", slf)
	}
}

func TestSuspectsDie(t *testing.T) {
	vie := member.NewView(node("a", 0, live), begin)
	vie.Merge([]*wire.Member{node("b", 1, live)}, begin)
	vie.Suspect("b", begin)
	vie.Expire(begin.Add(member.SuspicionTime))
	if !member.Serving(vie.Get("b")) {
		t.Fatal("died before its time to refute was over")
	}
	vie.Expire(begin.Add(member.SuspicionTime + time.Millisecond))
	if vie.Get("b").GetState() != dead {
		t.Fatal("did not die")
	}
}

// TestFingersProbeEveryone checks that everybody is probed as often as it probes, and that news gets round.
func TestFingersProbeEveryone(t *testing.T) {
	for _, size := range []int{2, 3, 6, 50, 171} {
		mms := make([]*wire.Member, 0, size)
		for idx := range size {
			mms = append(mms, node(fmt.Sprint("n", idx), 1, live))
		}
		probed := make(map[string]int)
		far := map[string]bool{"n0": true}
		for hop := 0; len(far) < size; hop++ {
			if hop > 8 {
				t.Fatalf("size %d: news reached %d in %d hops", size, len(far), hop)
			}
			for nam := range far {
				for _, mem := range member.Fingers(nam, mms) {
					far[mem.GetName()] = true
				}
			}
		}
		for _, mem := range mms {
			for _, fng := range member.Fingers(mem.GetName(), mms) {
				probed[fng.GetName()]++
			}
		}
		for nam, num := range probed {
			if num != probed["n0"] {
				t.Fatalf("size %d: %s is probed by %d, n0 by %d", size, nam, num, probed["n0"])
			}
		}
	}
}
