package mesh

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// digestInterval returns the pause until the next digest, which grows with the number of peers that get it.
func (msh *Mesh) digestInterval() time.Duration {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	return msh.interval()
}

// interval returns the pause between digests; the caller holds the lock.
func (msh *Mesh) interval() time.Duration {
	recipients := 0.0
	for _, per := range msh.peers {
		evr := msh.digestEvery(per.member.FailureDomain)
		if !per.live && !per.lostAt.IsZero() {
			evr = deadPeerEvery
		}
		recipients += 1 / float64(evr)
	}
	return max(minDigestInterval, time.Duration(recipients*float64(digestIntervalPerPeer)))
}

// updateTimeout updates how long a peer counts as live without being heard; the caller holds the lock. Other nodes are
// assumed to send digests as often as this one, a little late at times: half an interval is left for the last of missedDigests.
// When many nodes die at once this one may notice earlier than others, which
// still send as rarely as before; so the timeout falls slowly.
func (msh *Mesh) updateTimeout() {
	itv := msh.interval()
	msh.timeout = max(minPeerTimeout, missedDigests*itv+itv/2, time.Duration(timeoutDecay*float64(msh.timeout)))
}

// isSilent reports whether a peer has been silent for the timeout; the caller holds the lock. Peers of another failure
// domain also count as heard when a digest from that domain names them, so that their timeout need not grow with the pause
// between their own digests.
func (msh *Mesh) isSilent(per *peer, now time.Time) bool {
	limit := msh.timeout
	if now.Sub(per.lastDigest) <= limit || now.Sub(per.lastMention) <= limit {
		return false
	}
	domain := per.member.FailureDomain
	if domain == msh.options.Self.FailureDomain || now.Sub(msh.mentioned[domain]) <= limit/2 {
		return true
	}
	return now.Sub(per.lastDigest) > time.Duration(msh.digestEvery(domain))*limit
}

// addMentions adds the hashes of live peers of the own failure domain to a digest, other ones each time; the caller holds
// the lock.
func (msh *Mesh) addMentions(dig *wire.Digest, now time.Time) {
	var live []uint32
	for nam, per := range msh.peers {
		if per.live && per.member.FailureDomain == msh.options.Self.FailureDomain && now.Sub(per.lastDigest) <= minPeerTimeout {
			live = append(live, mentionHash(nam))
		}
	}
	slices.Sort(live)
	// Nodes that send at the same time should name different peers.
	start := xxhash.Sum64String(msh.options.Self.Name + strconv.FormatUint(msh.sequence, 10))
	for num := range min(len(live), mentionsPerDigest) {
		dig.LivePeers = append(dig.LivePeers, live[(start+uint64(num))%uint64(len(live))])
	}
}

// acceptMentions updates the peers that a digest names as live and returns those that were not; the caller holds the lock.
// A peer that was lost a short time ago is not live again, because the digest may have been sent before others lost it.
func (msh *Mesh) acceptMentions(dig *wire.Digest, now time.Time) (found []string) {
	domain := dig.GetFailureDomain()
	if len(dig.GetLivePeers()) == 0 || domain == msh.options.Self.FailureDomain {
		return nil
	}
	msh.mentioned[domain] = now
	for _, hash := range dig.GetLivePeers() {
		per := msh.byMention[hash]
		if per == nil || per.member.FailureDomain != domain || !per.live && now.Sub(per.lostAt) < msh.timeout {
			continue
		}
		per.lastMention = now
		if !per.live {
			per.live = true
			found = append(found, per.member.Name)
		}
	}
	return found
}

// mentionHash returns the hash by which digests name a peer.
func mentionHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name))
}

// digestEvery returns the interval, in digests, at which a peer in a failure domain gets one.
func (msh *Mesh) digestEvery(domain string) int {
	own := msh.options.Self.FailureDomain
	switch {
	case domain == own:
		return 1
	case msh.options.Regions[domain] == msh.options.Regions[own]:
		return crossDomainEvery
	default:
		return crossRegionEvery
	}
}
