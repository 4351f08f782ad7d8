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
	// SuspicionTimeout is how long a suspect has to refute the suspicion before it is declared dead.
	SuspicionTimeout = 2 * time.Second
	// leavingRetention is how long a leaving member may take to end its requests before it is declared dead.
	leavingRetention = 10 * time.Minute
	// deadRetention is how long a dead member stays in the table, so that a late update cannot revive it.
	deadRetention = 10 * time.Minute
	// retransmitFactor sets how often a node sends an update before it counts as spread:
	// retransmitFactor*ceil(log2(members+1)) times.
	retransmitFactor = 3
)

// Table holds the last known state of every member, this node included. It is safe for concurrent use.
type Table struct {
	mut     sync.Mutex
	self    string
	members map[string]*entry
	// version increases with every change of a state, of an incarnation or of the set of members.
	version uint64
	// changedAt is when version last increased.
	changedAt time.Time
}

// entry is one member and how far its last update was spread.
type entry struct {
	member *wire.Member
	// since is when the state or the incarnation last changed in this table.
	since time.Time
	// transmissions counts how often the last update was sent.
	transmissions int
}

// NewTable returns a table that holds only the node itself, as Live and with the time as its incarnation.
func NewTable(self *wire.Member, now time.Time) *Table {
	slf := proto.CloneOf(self)
	slf.Incarnation = uint64(now.UnixMilli())
	slf.State = wire.MemberState_MEMBER_STATE_LIVE
	return &Table{
		self:      slf.GetName(),
		members:   map[string]*entry{slf.GetName(): {member: slf, since: now}},
		version:   1,
		changedAt: now,
	}
}

// Merge applies updates from a peer where they supersede the table. It refutes those that supersede this
// node's own record, such as its death. Members without a name are ignored.
func (tab *Table) Merge(updates []*wire.Member, now time.Time) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	for _, mem := range updates {
		if mem.GetName() == "" {
			continue
		}
		if mem.GetName() == tab.self {
			tab.refute(mem, now)
			continue
		}
		tab.mergeMember(mem, now)
	}
}

// MergeSnapshot applies the whole table of a peer.
//
// Most other nodes have this state already, so members that are new here, or have a new incarnation,
// are sent on only once. Otherwise every node that joins would send the whole table to all others.
func (tab *Table) MergeSnapshot(updates []*wire.Member, now time.Time) {
	tab.mut.Lock()
	incarnations := make(map[string]uint64, len(tab.members))
	for nam, ent := range tab.members {
		incarnations[nam] = ent.member.GetIncarnation()
	}
	tab.mut.Unlock()
	tab.Merge(updates, now)
	tab.mut.Lock()
	defer tab.mut.Unlock()
	allButOne := tab.maxTransmissions() - 1
	for nam, ent := range tab.members {
		if nam != tab.self && incarnations[nam] != ent.member.GetIncarnation() {
			ent.transmissions = max(ent.transmissions, allButOne)
		}
	}
}

// MarkSuspect records that a Live member did not answer; it has no effect in other states.
func (tab *Table) MarkSuspect(name string, now time.Time) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	ent := tab.members[name]
	if ent == nil || ent.member.GetState() != wire.MemberState_MEMBER_STATE_LIVE {
		return
	}
	tab.setState(ent, wire.MemberState_MEMBER_STATE_SUSPECT, now)
}

// MarkLeaving records that this node is shutting down.
func (tab *Table) MarkLeaving(now time.Time) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	tab.setState(tab.members[tab.self], wire.MemberState_MEMBER_STATE_LEAVING, now)
}

// SetRevision sets the configuration revision that this node reports as applied.
func (tab *Table) SetRevision(num uint64) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	ent := tab.members[tab.self]
	ent.member = proto.CloneOf(ent.member)
	ent.member.Revision = num
}

// Expire declares suspects dead after SuspicionTimeout and leaving members after leavingRetention, and removes members that
// have been dead for longer than deadRetention.
func (tab *Table) Expire(now time.Time) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	for nam, ent := range tab.members {
		switch ent.member.GetState() {
		case wire.MemberState_MEMBER_STATE_SUSPECT:
			if now.Sub(ent.since) > SuspicionTimeout {
				tab.setState(ent, wire.MemberState_MEMBER_STATE_DEAD, now)
			}
		case wire.MemberState_MEMBER_STATE_LEAVING:
			if now.Sub(ent.since) > leavingRetention && nam != tab.self {
				tab.setState(ent, wire.MemberState_MEMBER_STATE_DEAD, now)
			}
		case wire.MemberState_MEMBER_STATE_DEAD:
			if now.Sub(ent.since) > deadRetention {
				delete(tab.members, nam)
				tab.bumpVersion(now)
			}
		}
	}
}

// NextUpdates returns up to limit members whose last update must still be sent, the least sent ones
// first, and counts them as sent.
func (tab *Table) NextUpdates(limit int) (mms []*wire.Member) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	maxSent := tab.maxTransmissions()
	pending := make([]*entry, 0, limit)
	for _, ent := range tab.members {
		if ent.transmissions < maxSent {
			pending = append(pending, ent)
		}
	}
	sort.Slice(pending, func(one, two int) bool {
		if pending[one].transmissions != pending[two].transmissions {
			return pending[one].transmissions < pending[two].transmissions
		}
		return pending[one].member.GetName() < pending[two].member.GetName()
	})
	for _, ent := range pending[:min(limit, len(pending))] {
		ent.transmissions++
		mms = append(mms, ent.member)
	}
	return mms
}

// Self returns this node's own member record.
func (tab *Table) Self() *wire.Member {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return tab.members[tab.self].member
}

// Get returns the member of a name, or nil if the table has none.
func (tab *Table) Get(name string) *wire.Member {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	if ent := tab.members[name]; ent != nil {
		return ent.member
	}
	return nil
}

// All returns every member sorted by name.
func (tab *Table) All() (mms []*wire.Member) {
	return tab.filter(func(*wire.Member) bool { return true })
}

// Serving returns the members that take traffic: Live and Suspect ones, sorted by name.
func (tab *Table) Serving() (mms []*wire.Member) {
	return tab.filter(Serving)
}

// Peers returns the other members for which pass is true, sorted by name.
func (tab *Table) Peers(pass func(mem *wire.Member) bool) (mms []*wire.Member) {
	return tab.filter(func(mem *wire.Member) bool { return mem.GetName() != tab.self && pass(mem) })
}

// Digest returns a hash of the incarnations and states of all members. It does not depend on their
// order, so that equal tables have equal digests.
func (tab *Table) Digest() (sum uint64) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	for nam, ent := range tab.members {
		key := nam + "/" + strconv.FormatUint(ent.member.GetIncarnation(), 36) + ent.member.GetState().String()
		sum ^= xxhash.Sum64String(key)
	}
	return sum
}

// StableFor reports whether the table has not changed for a time span. If so, a peer's digest that
// differs shows that an update was lost; otherwise the update may still be on its way.
func (tab *Table) StableFor(now time.Time, span time.Duration) bool {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return now.Sub(tab.changedAt) >= span
}

// Version increases with every change of a state, of an incarnation or of the set of members.
func (tab *Table) Version() uint64 {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	return tab.version
}

// Serving reports whether a member takes traffic, which Live and Suspect ones do.
func Serving(mem *wire.Member) bool {
	return mem.GetState() == wire.MemberState_MEMBER_STATE_LIVE || mem.GetState() == wire.MemberState_MEMBER_STATE_SUSPECT
}

func (tab *Table) filter(pass func(*wire.Member) bool) (mms []*wire.Member) {
	tab.mut.Lock()
	defer tab.mut.Unlock()
	for _, ent := range tab.members {
		if pass(ent.member) {
			mms = append(mms, ent.member)
		}
	}
	sort.Slice(mms, func(one, two int) bool { return mms[one].GetName() < mms[two].GetName() })
	return mms
}

// mergeMember applies an update about another member. A higher configuration revision is taken over
// without a new round of transmissions.
func (tab *Table) mergeMember(mem *wire.Member, now time.Time) {
	ent := tab.members[mem.GetName()]
	if ent == nil {
		tab.members[mem.GetName()] = &entry{member: mem, since: now}
		tab.bumpVersion(now)
		return
	}
	switch {
	case supersedes(mem, ent.member):
		changed := mem.GetState() != ent.member.GetState() || mem.GetIncarnation() != ent.member.GetIncarnation()
		ent.member = mem
		if changed {
			ent.since = now
			ent.transmissions = 0
			tab.bumpVersion(now)
		}
	case mem.GetIncarnation() == ent.member.GetIncarnation() && mem.GetRevision() > ent.member.GetRevision():
		ent.member = proto.CloneOf(ent.member)
		ent.member.Revision = mem.GetRevision()
	}
}

// refute answers an update that supersedes this node's own record by raising its incarnation above that of
// the update.
func (tab *Table) refute(mem *wire.Member, now time.Time) {
	ent := tab.members[tab.self]
	if mem.GetIncarnation() < ent.member.GetIncarnation() || !supersedes(mem, ent.member) {
		return
	}
	slf := proto.CloneOf(ent.member)
	slf.Incarnation = mem.GetIncarnation() + 1
	*ent = entry{member: slf, since: now}
	tab.bumpVersion(now)
}

// supersedes reports whether update one about a member replaces update two.
func supersedes(one, two *wire.Member) bool {
	if one.GetIncarnation() != two.GetIncarnation() {
		return one.GetIncarnation() > two.GetIncarnation()
	}
	return one.GetState() > two.GetState()
}

func (tab *Table) setState(ent *entry, sta wire.MemberState, now time.Time) {
	ent.member = proto.CloneOf(ent.member)
	ent.member.State = sta
	ent.since = now
	ent.transmissions = 0
	tab.bumpVersion(now)
}

// bumpVersion records that the table changed.
func (tab *Table) bumpVersion(now time.Time) {
	tab.version++
	tab.changedAt = now
}

// maxTransmissions returns how often an update is sent before it counts as spread.
func (tab *Table) maxTransmissions() int {
	return retransmitFactor * int(math.Ceil(math.Log2(float64(len(tab.members)+1))))
}
