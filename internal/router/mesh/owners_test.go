package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// ownerMesh returns a node that has heard peers: six that grant permits in two failure domains, one that stops, one of a release
// without permits, and one that is listed and was never heard.
func ownerMesh(t *testing.T, name string) (msh *Mesh, advance func(dur time.Duration)) {
	t.Helper()
	src := fakes.NewRecordStore()
	msh, tms := newMesh(name, src)
	msh.options.Load = emptyLoad{}
	digests := make([]*wire.Digest, 0, 10)
	digests = append(digests, &wire.Digest{Node: "stopping", FailureDomain: "domain", GrantsPermits: true, Stopping: true}, &wire.Digest{Node: "old", FailureDomain: "domain"})
	for num := range 6 {
		digests = append(digests, &wire.Digest{Node: fmt.Sprint("node-", num), FailureDomain: []string{"domain", "far"}[num%2], GrantsPermits: true})
	}
	for _, dig := range append(digests, &wire.Digest{Node: "silent"}, &wire.Digest{Node: name}) {
		if err := src.Register(t.Context(), router.Member{Name: dig.GetNode(), Address: "127.0.0.1:2", FailureDomain: "domain"}); err != nil {
			t.Fatal(err)
		}
	}
	if err := msh.readMembers(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, dig := range digests {
		dig.Address, dig.Incarnation, dig.Sequence = "127.0.0.1:2", 1, 1
		msh.acceptDigest(dig)
	}
	return msh, tms.Advance
}

// TestOwnersOfRateLimits guards against two nodes that hear the same peers and take different ones for the owner of a rate limit, and
// against owners that stop, are lost, or are of a release without permits.
func TestOwnersOfRateLimits(t *testing.T) {
	one, _ := ownerMesh(t, "node-0")
	two, _ := ownerMesh(t, "node-2")
	domains := map[string]map[string]bool{
		"domain":  {"node-0": true, "node-2": true, "node-4": true},
		"far":     {"node-1": true, "node-3": true, "node-5": true},
		"unknown": {"node-0": true, "node-1": true, "node-2": true, "node-3": true, "node-4": true, "node-5": true},
	}
	for domain, members := range domains {
		owners := make(map[string]bool)
		for upstream := range uint64(200) {
			owner, self := one.Owner(upstream, domain)
			if oth, _ := two.Owner(upstream, domain); oth != owner {
				t.Fatalf("upstream %d in %s has the owners %s and %s", upstream, domain, owner, oth)
			}
			if self != (owner == "node-0") {
				t.Fatalf("owner %s of upstream %d counts as this node: %t", owner, upstream, self)
			}
			owners[owner] = true
		}
		if fmt.Sprint(owners) != fmt.Sprint(members) {
			t.Errorf("owners in %s: %v, want %v", domain, owners, members)
		}
	}
	one.SetStopping()
	if owner, self := one.Owner(1, "domain"); self {
		t.Errorf("the owner is %s, which stops", owner)
	}
}

// TestShareOfRateLimits guards against nodes that use the part of a limit which belongs to nodes that they do not hear, or to those of
// a release that asks for no permits.
func TestShareOfRateLimits(t *testing.T) {
	msh, advance := ownerMesh(t, "node-0")
	// Six of nine nodes grant permits: not the stopping, the old and the silent one.
	if got, want := msh.Share(), 6.0/9; got != want {
		t.Errorf("share %g, want %g", got, want)
	}
	advance(10 * minPeerTimeout)
	msh.prepareDigest(&wire.Digest{})
	if got, want := msh.Share(), 1.0/9; got != want {
		t.Errorf("share of a node that hears no others %g, want %g", got, want)
	}
	fresh, _ := newMesh("fresh", fakes.NewRecordStore())
	if got, want := fresh.Share(), 1.0/assumedNodes; got != want {
		t.Errorf("share of a node that has not read the member list %g, want %g", got, want)
	}
}
