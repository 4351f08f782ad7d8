package audit

import (
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// sound returns a manifest without findings.
func sound() *router.Manifest {
	return &router.Manifest{
		Version: 1,
		Routes: []router.Route{
			{Name: "long", Host: "h", Prefix: "/a/b", Stream: true, Backends: []router.Backend{{Service: "s", Weight: 1}}, Attempts: 2, Timeout: 8 * time.Second, Target: time.Second, GapTarget: time.Second},
			{Name: "short", Host: "h", Prefix: "/a", Backends: []router.Backend{{Service: "s", Weight: 1}}, Attempts: 1},
		},
		Services: map[string]router.ServiceSpec{"s": {Name: "s", Engine: &router.EngineSpec{Slots: 4}, Scaling: &router.ScalingSpec{Min: 1, Max: 3, Boot: time.Second, Prices: map[string]float64{"a": 1}}}},
		Accounts: []router.Account{{Name: "me", Keys: []string{"k"}}, {Name: "you", Keys: []string{"l"}}},
	}
}

// TestCheck guards against findings that are missed, and against false ones: a sound manifest has none. Each case changes one thing.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(man *router.Manifest)
		want   string
		error  bool
	}{
		"sound":                          {change: func(*router.Manifest) {}},
		"a longer prefix hides nothing":  {change: func(man *router.Manifest) { man.Routes[0], man.Routes[1] = man.Routes[1], man.Routes[0] }},
		"another host":                   {change: func(man *router.Manifest) { man.Routes[1].Host, man.Routes[1].Prefix = "i", "/a/b" }},
		"an equal prefix":                {change: func(man *router.Manifest) { man.Routes[1].Prefix = "/a/b" }, want: "never matches"},
		"no host":                        {change: func(man *router.Manifest) { man.Routes[1].Host = "" }, want: "no host"},
		"no backends":                    {change: func(man *router.Manifest) { man.Routes[1].Backends = nil }, want: "no service has a weight", error: true},
		"a negative timeout":             {change: func(man *router.Manifest) { man.Routes[1].Timeout = -1 }, want: "negative", error: true},
		"a gap target above the timeout": {change: func(man *router.Manifest) { man.Routes[0].GapTarget = time.Minute }, want: "gap target 1m0s is above"},
		"a timeout above the deadlines":  {change: func(man *router.Manifest) { man.Routes[0].Timeout = time.Minute }, want: "longest deadline"},
		"more attempts than upstreams":   {change: func(man *router.Manifest) { man.Routes[0].Attempts = 3 }, want: "more than the 2 upstreams"},
		"no slots":                       {change: func(man *router.Manifest) { man.Services["s"].Engine.Slots = 0 }, want: "no slots", error: true},
		"an unused service":              {change: func(man *router.Manifest) { man.Services["t"] = router.ServiceSpec{} }, want: "no route leads"},
		"an unknown failure domain":      {change: func(man *router.Manifest) { man.Services["s"].Scaling.Prices["b"] = 1 }, want: `"b" is not known`},
		"a minimum above the maximum":    {change: func(man *router.Manifest) { man.Services["s"].Scaling.Min = 4 }, want: "above the maximum", error: true},
		"a key listed twice":             {change: func(man *router.Manifest) { man.Accounts[0].Keys = []string{"k", "k"} }, want: "listed twice"},
		"a key of two workspaces":        {change: func(man *router.Manifest) { man.Accounts[1].Keys = []string{"k"} }, want: "same key", error: true},
		"two workspaces with a name":     {change: func(man *router.Manifest) { man.Accounts[1].Name = "me" }, want: "another workspace", error: true},
	}
	ctx := Context{FailureDomains: []string{"a"}, Upstreams: map[string]int{"s": 2}, MaxDeadline: 30 * time.Second}
	for nam, tst := range tests {
		t.Run(nam, func(t *testing.T) {
			man := sound()
			tst.change(man)
			fds := Check(man, ctx)
			if tst.want == "" && len(fds) == 0 {
				return
			}
			if len(fds) != 1 || tst.want == "" || !strings.Contains(fds[0].Message, tst.want) || fds[0].Error != tst.error {
				t.Errorf("findings %+v, want one with %q, error %v", fds, tst.want, tst.error)
			}
		})
	}
}

// TestCompare guards against differences that are missed, or reported because entries are in another order.
func TestCompare(t *testing.T) {
	old, man := sound(), sound()
	man.Routes[0], man.Routes[1] = man.Routes[1], man.Routes[0]
	man.Accounts[0], man.Accounts[1] = man.Accounts[1], man.Accounts[0]
	if dfs := Compare(old, man); len(dfs) > 0 {
		t.Errorf("in another order: %+v", dfs)
	}
	man.Routes = append(man.Routes, man.Routes[0])
	man.Routes[1].Repeat = router.Resumable
	man.Services["s"].Scaling.Max = 5
	man.Accounts = man.Accounts[1:]
	man.Limits.BodyBytes = 7
	dfs := Compare(old, man)
	got := make([]string, 0, len(dfs))
	for _, dif := range dfs {
		txt := string(dif.Action) + " " + dif.Name
		for _, fld := range dif.Fields {
			txt += " " + fld.Field + " " + fld.Old + " " + fld.New
		}
		got = append(got, txt)
	}
	want := "Changed long (h/a/b) Repeat AtMostOnce Resumable|Added short (h/a)|Changed s Scaling.Max 3 5|Removed you|Changed limits BodyBytes 0 7"
	if txt := strings.Join(got, "|"); txt != want {
		t.Errorf("differences %s\nwant %s", txt, want)
	}
}
