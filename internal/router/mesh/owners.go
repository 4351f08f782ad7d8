package mesh

import (
	"encoding/binary"
	"net"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Owner returns the node that owns the rate limit of an upstream, which lies in a failure domain: among the live nodes that grant permits,
// or those of them in the failure domain if there are any, the first one by a hash of node and upstream.
func (msh *Mesh) Owner(upstream uint64, domain string) (node string, self bool) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	own := msh.options.Self
	var bestLocal bool
	var bestHash uint64
	consider := func(name string, nameHash uint64, local bool) {
		hash := ownerHash(nameHash, upstream)
		if node == "" || local && !bestLocal || local == bestLocal && hash > bestHash {
			node, bestLocal, bestHash = name, local, hash
		}
	}
	if !msh.stopping {
		consider(own.Name, xxhash.Sum64String(own.Name), own.FailureDomain == domain)
	}
	for nam, per := range msh.peers {
		if per.live && per.grantsPermits {
			consider(nam, per.nameHash, per.member.FailureDomain == domain)
		}
	}
	// The last node of a fleet that stops has no successor.
	if node == "" {
		node = own.Name
	}
	return node, node == own.Name
}

// ownerHash returns the hash by which the owner of an upstream's limit is chosen among nodes.
func ownerHash(nameHash, upstream uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], nameHash)
	binary.LittleEndian.PutUint64(buf[8:], upstream)
	return xxhash.Sum64(buf[:])
}

// Share returns the part of a limit of the whole fleet that the live nodes which grant permits may use together. The rest
// belongs to nodes that this one does not hear, which may serve beyond a partition, and to those of releases without permits.
func (msh *Mesh) Share() float64 {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	granting := 1
	for _, per := range msh.peers {
		if per.live && per.grantsPermits {
			granting++
		}
	}
	known := len(msh.peers) + 1
	if !msh.membersRead {
		known = max(known, assumedNodes)
	}
	return float64(granting) / float64(known)
}

// SendPermitRequest sends a request for a permit to a peer.
func (msh *Mesh) SendPermitRequest(node string, req *wire.PermitRequest) {
	msh.mut.Lock()
	var adr *net.UDPAddr
	if per := msh.peers[node]; per != nil {
		adr = per.address
	}
	msh.mut.Unlock()
	if soc := msh.socket.Load(); soc != nil && adr != nil {
		msh.sendTo(soc, []*net.UDPAddr{adr}, &wire.Digest{PermitRequest: req})
	}
}
