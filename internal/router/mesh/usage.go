package mesh

import (
	"net"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Usage answers requests for the usage counts of this node and keeps those of others; see package usage.
type Usage interface {
	// Answer answers the request of a peer.
	Answer(req *wire.UsageRequest) (ans *wire.UsageAnswer)
	// Deliver passes on the answer to a request of this node.
	Deliver(ans *wire.UsageAnswer)
	// Keep keeps the counts of a peer.
	Keep(cop *wire.UsageCopy)
}

// acceptUsage handles a datagram about usage counts; ok is false if it is none, or if this node counts no usage.
func (msh *Mesh) acceptUsage(soc *net.UDPConn, from *net.UDPAddr, dig *wire.Digest) (ok bool) {
	usg := msh.options.Usage
	switch {
	case usg == nil:
		return false
	case dig.GetUsageRequest() != nil:
		msh.sendTo(soc, []*net.UDPAddr{from}, &wire.Digest{UsageAnswer: usg.Answer(dig.GetUsageRequest())})
	case dig.GetUsageAnswer() != nil:
		usg.Deliver(dig.GetUsageAnswer())
	case dig.GetUsageCopy() != nil:
		usg.Keep(dig.GetUsageCopy())
	default:
		return false
	}
	return true
}

// SendMessage sends a datagram with a message to a peer; it may get lost.
func (msh *Mesh) SendMessage(node string, dig *wire.Digest) {
	msh.mut.Lock()
	var adr *net.UDPAddr
	if per := msh.peers[node]; per != nil {
		adr = per.address
	}
	msh.mut.Unlock()
	if soc := msh.socket.Load(); soc != nil && adr != nil {
		msh.sendTo(soc, []*net.UDPAddr{adr}, dig)
	}
}

// Members returns the other nodes that are listed in the store or were heard, in no order.
func (msh *Mesh) Members() (nodes []string) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	nodes = make([]string, 0, len(msh.peers))
	for nam := range msh.peers {
		nodes = append(nodes, nam)
	}
	return nodes
}

// IsLive reports whether a node counts as live; this node does.
func (msh *Mesh) IsLive(node string) bool {
	if node == msh.options.Self.Name {
		return true
	}
	msh.mut.Lock()
	defer msh.mut.Unlock()
	per := msh.peers[node]
	return per != nil && per.live
}

// CopyHolders returns the live nodes that keep copies of this node's counts: the one of its failure domain and the one of another
// failure domain of its region that follow it in the order of the hashes of the names. If there is none of one kind, the
// node of another region that follows takes its place.
func (msh *Mesh) CopyHolders() (nodes []string) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	// The node that follows at the smallest distance on the ring of hashes is the next one.
	type candidate struct {
		name     string
		distance uint64
	}
	// best holds the next node of the own domain, of the own region, and of other regions.
	var best [3]candidate
	own := msh.options.Self
	ownHash := xxhash.Sum64String(own.Name)
	offer := func(idx int, can candidate) {
		if best[idx].name == "" || can.distance < best[idx].distance {
			best[idx] = can
		}
	}
	for nam, per := range msh.peers {
		can := candidate{name: nam, distance: per.nameHash - ownHash}
		switch evr := msh.digestEvery(per.member.FailureDomain); {
		case !per.live:
		case evr == 1:
			offer(0, can)
		case evr == crossDomainEvery:
			offer(1, can)
		default:
			offer(2, can)
		}
	}
	for _, can := range best {
		if can.name != "" && len(nodes) < 2 {
			nodes = append(nodes, can.name)
		}
	}
	return nodes
}
