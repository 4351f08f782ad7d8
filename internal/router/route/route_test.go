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

func TestFind(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"prefix":             {"one", "/a/x", "short"},
		"longest prefix":     {"one", "/a/b/x", "long"},
		"host with a port":   {"one:8080", "/a/x", "short"},
		"no slash behind":    {"one", "/ab", ""},
		"prefix of a prefix": {"one", "/a", ""},
		"unknown host":       {"three", "/a/", ""},
		"root":               {"two", "/anything", "other"},
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

func TestAccountAndTier(t *testing.T) {
	cases := map[string]struct {
		key, account string
		tier         int
	}{
		"first key":   {"k1", "plain", 2},
		"second key":  {"k2", "plain", 2},
		"own rank":    {"k3", "ranked", 0},
		"unknown key": {"k4", "", 2},
		"no key":      {"", "", 2},
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

func TestServiceFollowsTheWeights(t *testing.T) {
	rou := &router.Route{Backends: []router.Backend{{Service: "many", Weight: 900}, {Service: "few", Weight: 100}, {Service: "none"}}}
	const calls = 10000
	nums := make(map[string]int)
	for num := range calls {
		nums[route.Service(rou, strconv.Itoa(num))]++
	}
	if few := nums["few"]; few < calls/20 || few > calls*3/20 || nums["none"] > 0 || nums["many"]+few != calls {
		t.Errorf("calls by service: %v", nums)
	}
	if got := route.Service(&router.Route{}, "x"); got != "" {
		t.Errorf("a route without services leads to %q", got)
	}
}
