package conf_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const base = `# Kept.
Deployment: d # Kept too.
Workspaces:
  - Name: one
    Burst: 1
`

// Guards against an edit that loses other values or comments of the base file, or adds a workspace twice.
func TestEditWorkspaces(t *testing.T) {
	wsp := router.Workspace{Name: "two", KeyDigests: []string{"ab"}, RequestRate: 1.5, Burst: 2, InFlight: 3, Classes: []string{"c"}}
	txt, err := conf.SetWorkspace(base, wsp)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"# Kept.", "# Kept too.", "Name: one", "Name: two", "RequestRate: 1.5", "InFlight: 3"} {
		if !strings.Contains(txt, want) {
			t.Fatalf("%q is missing in\n%s", want, txt)
		}
	}
	wsp.Burst = 9
	txt, err = conf.SetWorkspace(txt, wsp)
	if err != nil || strings.Count(txt, "Name: two") != 1 || !strings.Contains(txt, "Burst: 9") {
		t.Fatalf("%v\n%s", err, txt)
	}
	txt, err = conf.DeleteWorkspace(txt, "two")
	if err != nil || strings.Contains(txt, "two") || !strings.Contains(txt, "Name: one") {
		t.Fatalf("%v\n%s", err, txt)
	}
	if _, err := conf.DeleteWorkspace(txt, "two"); !errors.Is(err, conf.ErrNoWorkspace) {
		t.Fatalf("got %v", err)
	}
}
