package route_test

import (
	"strconv"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/route"
)

func index() *route.Index {
	return route.New(&router.Manifest{
		Routes: []router.Route{
			{Name: "short", Host: "one", Prefix: "/a/", Tier: 2},
			{Name: "long", Host: "one", Prefix: "/a/b/", Tier: 2},
			{Name: "other", Host: "two", Prefix: "/"},
		},
		Accounts: []router.Account{
			{Name: "plain", Keys: []string{"k1", "k2"}},
			{Name: "ranked", Keys: []string{"k3"}, Ranked: true, Tier: 0},
		},
	})
}

// TestFind guards against calls that get the route of another host or a shorter prefix, or a route
// whose prefix ends within a path segment.
func TestFind(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"prefix":                                {"one", "/a/x", "short"},
		"longest prefix":                        {"one", "/a/b/x", "long"},
		"host with a port":                      {"one:8080", "/a/x", "short"},
		"prefix without its slash, longer name": {"one", "/ab", ""},
		"prefix without its slash":              {"one", "/a", ""},
		"unknown host":                          {"three", "/a/", ""},
		"root":                                  {"two", "/anything", "other"},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			got := ""
			if rou := index().Find(cas.host, cas.path); rou != nil {
				got = rou.Name
			}
			if got != cas.want {
				t.Errorf("route %q, want %q", got, cas.want)
			}
		})
	}
}

// TestAccountAndTier guards against a key that is matched to the wrong account, and against a tier of
// the route where the account overrides it.
func TestAccountAndTier(t *testing.T) {
	cases := map[string]struct {
		key, account string
		tier         int
	}{
		"first key":                  {"k1", "plain", 2},
		"second key":                 {"k2", "plain", 2},
		"account overrides the tier": {"k3", "ranked", 0},
		"unknown key":                {"k4", "", 2},
		"no key":                     {"", "", 2},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			idx := index()
			acc := idx.Account(cas.key)
			got := ""
			if acc != nil {
				got = acc.Name
			}
			if tier := route.Tier(idx.Find("one", "/a/"), acc); got != cas.account || tier != cas.tier {
				t.Errorf("workspace %q, tier %d; want %q, %d", got, tier, cas.account, cas.tier)
			}
		})
	}
}

// TestChooseServiceFollowsWeights guards against traffic that is split in other proportions than the
// weights, and against calls to a service of weight zero.
func TestChooseServiceFollowsWeights(t *testing.T) {
	rou := &router.Route{Backends: []router.Backend{{Service: "many", Weight: 900}, {Service: "few", Weight: 100}, {Service: "none"}}}
	const calls = 10000
	nums := make(map[string]int)
	for num := range calls {
		nums[route.ChooseService(rou, strconv.Itoa(num))]++
	}
	if few := nums["few"]; few < calls/20 || few > calls*3/20 || nums["none"] > 0 || nums["many"]+few != calls {
		t.Errorf("calls by service: %v", nums)
	}
	if got := route.ChooseService(&router.Route{}, "x"); got != "" {
		t.Errorf("a route without services chooses service %q", got)
	}
}

// TestRanks guards against a call that gets the same rank as one of higher priority or a better one,
// and against ranks that engines do not have, also when there are more priorities than ranks.
func TestRanks(t *testing.T) {
	routes := []router.Route{{Name: "first", Tier: 0}, {Name: "second", Tier: 1}, {Name: "third", Tier: 2}}
	ranked := func(tier int) *router.Account { return &router.Account{Ranked: true, Tier: tier} }
	cases := map[string]struct {
		accounts []*router.Account
		// calls are indices of a route and an account each, the highest priority first.
		calls           [][2]int
		lastHasLateRank bool
	}{
		"no ranked accounts": {
			accounts:        []*router.Account{nil},
			calls:           [][2]int{{0, 0}, {1, 0}, {2, 0}},
			lastHasLateRank: true,
		},
		"account tier before route tier": {
			accounts:        []*router.Account{ranked(0), ranked(1)},
			calls:           [][2]int{{0, 0}, {1, 0}, {2, 0}, {0, 1}, {1, 1}, {2, 1}},
			lastHasLateRank: true,
		},
		"more priorities than ranks": {
			accounts: []*router.Account{ranked(0), ranked(1), ranked(2), ranked(3), ranked(4)},
			calls:    [][2]int{{0, 0}, {2, 1}, {2, 2}, {2, 4}},
		},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			man := &router.Manifest{Routes: routes}
			for _, acc := range cas.accounts {
				if acc != nil {
					man.Accounts = append(man.Accounts, *acc)
				}
			}
			idx := route.New(man)
			last := -1
			for _, cal := range cas.calls {
				rnk := idx.Ranks(&man.Routes[cal[0]], cas.accounts[cal[1]])
				if rnk.InTime <= last || rnk.Late < rnk.InTime || rnk.Late >= router.EngineRanks {
					t.Errorf("route %d, account %d: %+v after %d", cal[0], cal[1], rnk, last)
				}
				last = rnk.Late
			}
			if final := idx.Ranks(&man.Routes[2], cas.accounts[len(cas.accounts)-1]); (final.Late > final.InTime) != cas.lastHasLateRank {
				t.Errorf("the last call has ranks %+v", final)
			}
		})
	}
}
