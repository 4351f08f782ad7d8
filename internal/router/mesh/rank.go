package mesh

import "github.com/cespare/xxhash/v2"

// RankByHash returns how many live nodes rank before this one by a hash of node and key, 0 if none does. A node that stops ranks
// after all others.
func (msh *Mesh) RankByHash(key string) (rank int) {
	msh.mut.Lock()
	defer msh.mut.Unlock()
	keyHash, own := xxhash.Sum64String(key), msh.options.Self.Name
	ownHash := ownerHash(xxhash.Sum64String(own), keyHash)
	for nam, per := range msh.peers {
		if !per.live || nam == own {
			continue
		}
		hash := ownerHash(per.nameHash, keyHash)
		if msh.stopping || hash > ownHash || hash == ownHash && nam < own {
			rank++
		}
	}
	return rank
}
