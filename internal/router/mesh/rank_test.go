package mesh

import (
	"fmt"
	"testing"
)

// TestRankByHash guards against nodes that hear the same peers and rank themselves differently, and against a silent or a stopping
// node that takes the first rank.
func TestRankByHash(t *testing.T) {
	ranks := make(map[int]string)
	live := 0
	for num := range 6 {
		name := fmt.Sprint("node-", num)
		msh, _ := ownerMesh(t, name)
		rank := msh.RankByHash("key")
		if old, fnd := ranks[rank]; fnd {
			t.Errorf("%s and %s have the rank %d", old, name, rank)
		}
		ranks[rank] = name
		msh.SetStopping()
		live = msh.RankByHash("key")
	}
	// The stopping peer and the one of an old release are live too.
	if live != 7 {
		t.Errorf("rank %d of a stopping node, want 7", live)
	}
	for rank := range ranks {
		if rank > live {
			t.Errorf("rank %d of %d live nodes", rank, live+1)
		}
	}
}
