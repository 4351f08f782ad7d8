package member

import (
	"math"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// SuspicionTime is how long a suspect has to refute before it is taken for dead.
	SuspicionTime = 2 * time.Second
	// deadLife is how long a dead member is remembered, so that it is not revived by old news.
	deadLife = 10 * time.Minute
	// spreadFactor times the logarithm of the members is how often a change is passed on.
	spreadFactor = 3
)

// View is what a node believes of all nodes.
type View struct {
	mut     sync.Mutex
	self    string
	members map[string]*entry
	// version grows with every change of a state or of the set of members.
	version uint64
	// changed is when version last grew.
	changed time.Time
}

type entry struct {
	member *wire.Member
	// since is when the state last changed here.
	since time.Time
	// sends counts how often the last change was passed on.
	sends int
}

// NewView returns a view that knows the node itself alone.
func NewView(self *wire.Member, now time.Time) *View {
	slf := proto.CloneOf(self)
	slf.Incarnation = uint64(now.UnixMilli())
	slf.State = wire.MemberState_MEMBER_STATE_LIVE
	return &View{
		self:    slf.GetName(),
		members: map[string]*entry{slf.GetName(): {member: slf, since: now}},
		version: 1,
		changed: now,
	}
}

// Merge takes in statements of a peer.
func (vie *View) Merge(sts []*wire.Member, now time.Time) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	for _, mem := range sts {
		if mem.GetName() == "" {
			continue
		}
		if mem.GetName() == vie.self {
			vie.refute(mem, now)
			continue
		}
		vie.merge(mem, now)
	}
}

// Adopt takes in a peer's whole view.
//
// Most of it is old news to everybody else, so what was unknown here is passed
// on once only; passing it on like a change would have every node that joins
// tell all the others of all the others.
func (vie *View) Adopt(sts []*wire.Member, now time.Time) {
	vie.mut.Lock()
	known := make(map[string]uint64, len(vie.members))
	for nam, ent := range vie.members {
		known[nam] = ent.member.GetIncarnation()
	}
	vie.mut.Unlock()
	vie.Merge(sts, now)
	vie.mut.Lock()
	defer vie.mut.Unlock()
	lst := vie.spread() - 1
	for nam, ent := range vie.members {
		if nam != vie.self && known[nam] != ent.member.GetIncarnation() {
			ent.sends = max(ent.sends, lst)
		}
	}
}

// Suspect records that a member did not answer.
func (vie *View) Suspect(name string, now time.Time) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	ent := vie.members[name]
	if ent == nil || ent.member.GetState() != wire.MemberState_MEMBER_STATE_LIVE {
		return
	}
	vie.set(ent, wire.MemberState_MEMBER_STATE_SUSPECT, now)
}

// Leave declares that this node is leaving.
func (vie *View) Leave(now time.Time) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	vie.set(vie.members[vie.self], wire.MemberState_MEMBER_STATE_LEAVING, now)
}

// SetRevision records the configuration revision that this node has in force.
func (vie *View) SetRevision(num uint64) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	ent := vie.members[vie.self]
	ent.member = proto.CloneOf(ent.member)
	ent.member.Revision = num
}

// Expire turns old suspicions into deaths and forgets the long dead.
func (vie *View) Expire(now time.Time) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	for nam, ent := range vie.members {
		switch ent.member.GetState() {
		case wire.MemberState_MEMBER_STATE_SUSPECT:
			if now.Sub(ent.since) > SuspicionTime {
				vie.set(ent, wire.MemberState_MEMBER_STATE_DEAD, now)
			}
		case wire.MemberState_MEMBER_STATE_DEAD:
			if now.Sub(ent.since) > deadLife {
				delete(vie.members, nam)
				vie.grow(now)
			}
		}
	}
}

// Changes returns up to limit members whose last change is not yet spread, least spread first.
func (vie *View) Changes(limit int) (mms []*wire.Member) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	top := vie.spread()
	ets := make([]*entry, 0, limit)
	for _, ent := range vie.members {
		if ent.sends < top {
			ets = append(ets, ent)
		}
	}
	sort.Slice(ets, func(one, two int) bool {
		if ets[one].sends != ets[two].sends {
			return ets[one].sends < ets[two].sends
		}
		return ets[one].member.GetName() < ets[two].member.GetName()
	})
	for _, ent := range ets[:min(limit, len(ets))] {
		ent.sends++
		mms = append(mms, ent.member)
	}
	return mms
}

// Self returns this node's own entry.
func (vie *View) Self() *wire.Member {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	return vie.members[vie.self].member
}

// Get returns a member, or nil.
func (vie *View) Get(name string) *wire.Member {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	if ent := vie.members[name]; ent != nil {
		return ent.member
	}
	return nil
}

// All returns every member sorted by name.
func (vie *View) All() (mms []*wire.Member) {
	return vie.filter(func(*wire.Member) bool { return true })
}

// Serving returns the members that take traffic: Live and Suspect ones, sorted by name.
func (vie *View) Serving() (mms []*wire.Member) {
	return vie.filter(Serving)
}

// Peers returns the other members for which pass is true, sorted by name.
func (vie *View) Peers(pass func(mem *wire.Member) bool) (mms []*wire.Member) {
	return vie.filter(func(mem *wire.Member) bool { return mem.GetName() != vie.self && pass(mem) })
}

// Digest identifies the incarnations and states of all members, in any order.
func (vie *View) Digest() (sum uint64) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	for nam, ent := range vie.members {
		key := nam + "/" + strconv.FormatUint(ent.member.GetIncarnation(), 36) + ent.member.GetState().String()
		sum ^= xxhash.Sum64String(key)
	}
	return sum
}

// Quiet reports whether nothing has changed for a time, so that a differing digest is no news on its way.
func (vie *View) Quiet(now time.Time, span time.Duration) bool {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	return now.Sub(vie.changed) >= span
}

// Version grows with every change of a state or of the set of members.
func (vie *View) Version() uint64 {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	return vie.version
}

// Serving reports whether a member takes traffic.
func Serving(mem *wire.Member) bool {
	return mem.GetState() == wire.MemberState_MEMBER_STATE_LIVE || mem.GetState() == wire.MemberState_MEMBER_STATE_SUSPECT
}

func (vie *View) filter(pass func(*wire.Member) bool) (mms []*wire.Member) {
	vie.mut.Lock()
	defer vie.mut.Unlock()
	for _, ent := range vie.members {
		if pass(ent.member) {
			mms = append(mms, ent.member)
		}
	}
	sort.Slice(mms, func(one, two int) bool { return mms[one].GetName() < mms[two].GetName() })
	return mms
}

func (vie *View) merge(mem *wire.Member, now time.Time) {
	ent := vie.members[mem.GetName()]
	if ent == nil {
		vie.members[mem.GetName()] = &entry{member: mem, since: now}
		vie.grow(now)
		return
	}
	switch {
	case newer(mem, ent.member):
		moved := mem.GetState() != ent.member.GetState() || mem.GetIncarnation() != ent.member.GetIncarnation()
		ent.member = mem
		if moved {
			ent.since = now
			ent.sends = 0
			vie.grow(now)
		}
	case mem.GetIncarnation() == ent.member.GetIncarnation() && mem.GetRevision() > ent.member.GetRevision():
		ent.member = proto.CloneOf(ent.member)
		ent.member.Revision = mem.GetRevision()
	}
}

// refute answers a statement that this node is not live, by a higher incarnation.
func (vie *View) refute(mem *wire.Member, now time.Time) {
	ent := vie.members[vie.self]
	if mem.GetIncarnation() < ent.member.GetIncarnation() || !newer(mem, ent.member) {
		return
	}
	slf := proto.CloneOf(ent.member)
	slf.Incarnation = mem.GetIncarnation() + 1
	*ent = entry{member: slf, since: now}
	vie.grow(now)
}

// newer reports whether one statement about a member overrides another.
func newer(one, two *wire.Member) bool {
	if one.GetIncarnation() != two.GetIncarnation() {
		return one.GetIncarnation() > two.GetIncarnation()
	}
	return one.GetState() > two.GetState()
}

func (vie *View) set(ent *entry, sta wire.MemberState, now time.Time) {
	ent.member = proto.CloneOf(ent.member)
	ent.member.State = sta
	ent.since = now
	ent.sends = 0
	vie.grow(now)
}

func (vie *View) grow(now time.Time) {
	vie.version++
	vie.changed = now
}

func (vie *View) spread() int {
	return spreadFactor * int(math.Ceil(math.Log2(float64(len(vie.members)+1))))
}
