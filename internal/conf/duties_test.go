package conf_test

import (
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
)

// dutySettings are the settings of a node, to which those of the duties are added.
const dutySettings = `Name: n
FailureDomain: d
Listen: "127.0.0.1:1"
Admin: "127.0.0.1:2"
Platform:
  Store: "127.0.0.1:3"
  Mesh: "127.0.0.1:4"
  Duties:
`

// TestDuties guards against settings of the duties that are accepted and cannot work, and against errors that are reported one by
// one or at the wrong line.
func TestDuties(t *testing.T) {
	cases := map[string]struct {
		duties string
		// want holds the line and a part of each error.
		want map[string]string
	}{
		"valid": {`    {Address: "127.0.0.1:5", Kinds: ["usage_reporting", "autoscaling"], CallsPerSecond: 20, LeaseMilliseconds: 3000,
     ThawMilliseconds: 300, WindowSeconds: 5, ReportWithinSeconds: 10, Tolerance: 0.05, FenceChecked: false}`, nil},
		"disabled": {"    {Tolerance: 7}", nil},
		"left empty by a template": {`    Address: ""
    Kinds: []
    CallsPerSecond:
    LeaseMilliseconds:
    FenceChecked:`, nil},
		"all errors at once": {`    Address: nowhere
    Kinds: ["usage_reporting", "gardening"]
    CallsPerSecond: 0
    LeaseMilliseconds: 1500
    ThawMilliseconds: -1
    WindowSeconds: 0
    ReportWithinSeconds: 2.4
    Tolerance: 1.5`, map[string]string{
			":9:": "Address", ":10:": `unknown kind "gardening"`, ":11:": "CallsPerSecond", ":12:": "1500 must be above 1500", ":13:": "Thaw", ":14:": "Window",
			":15:": "2.4 must be at least 2.5", ":16:": "1.5 must be from 0 to 1",
		}},
		"nothing but an address": {"    Address: \"127.0.0.1:5\"", map[string]string{
			"CallsPerSecond": "above 0", "Lease": "above 1500", "Window": "above 0", "ReportWithin": "at least 1",
		}},
	}
	for name, cas := range cases {
		t.Run(name, func(t *testing.T) {
			tre, err := conf.Parse("node.yaml", []byte(dutySettings+cas.duties))
			if err != nil {
				t.Fatal(err)
			}
			nod := conf.DefaultNode()
			if err := conf.Decode(tre, &nod); err != nil {
				t.Fatal(err)
			}
			var lines []string
			if err := conf.CheckNode(nod, tre); err != nil {
				lines = strings.Split(err.Error(), "\n")
			}
			if len(lines) != len(cas.want) {
				t.Errorf("%d errors, want %d", len(lines), len(cas.want))
			}
			for where, what := range cas.want {
				if !containsBoth(lines, where, what) {
					t.Errorf("no error %q at %q in\n%s", what, where, strings.Join(lines, "\n"))
				}
			}
		})
	}
}

func containsBoth(lines []string, one, two string) bool {
	for _, lin := range lines {
		if strings.Contains(lin, one) && strings.Contains(lin, two) {
			return true
		}
	}
	return false
}
