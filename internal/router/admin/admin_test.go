package admin_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/burn"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/entry"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/memtab"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/revise"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// fakeNode stores changes and treats the newest one as installed.
type fakeNode struct {
	store   *revise.Store
	current *wire.Revision
	drained bool
}

func (nod *fakeNode) Status() admin.Status          { return admin.Status{Node: "n", Ready: true} }
func (nod *fakeNode) Configuration() *wire.Revision { return nod.current }
func (nod *fakeNode) Burn() burn.Report             { return burn.Report{Node: "n"} }
func (nod *fakeNode) Drain()                        { nod.drained = true }

func (nod *fakeNode) History(context.Context, int) (rvs []*wire.Revision, err error) {
	return []*wire.Revision{nod.current}, nil
}

func (nod *fakeNode) Accept(ctx context.Context, rev *wire.Revision, base uint64) (num uint64, err error) {
	doc := conf.Document{Base: conf.Source{File: "base.yaml", Text: rev.GetBase().GetText()}}
	if _, err := doc.Evaluate(); err != nil {
		return 0, err
	}
	num, err = nod.store.Accept(ctx, rev, base)
	if err != nil {
		return 0, err
	}
	nod.current, err = nod.store.Get(ctx, num)
	return num, err
}

const validSettings = `Deployment: d
FailureDomains: [{Name: here, Region: home}]
Classes: [{Name: c, Tier: 0, FirstToken: 1s, Objective: 0.9, MinimumShare: 0.1}]
Pools: [{Name: p, Kind: Engine, Models: [m], Upstreams: [{Name: u, FailureDomain: here, Address: "http://127.0.0.1:1", Slots: 8}]}]
`

func newAPI() (han http.Handler, nod *fakeNode) {
	nod = &fakeNode{store: revise.NewStore(memtab.NewTable())}
	cfg := conf.DefaultConfig()
	cfg.Operators = []conf.Operator{
		{Name: "ann", KeyDigest: entry.KeyDigest("editor"), Role: conf.Editor},
		{Name: "bob", KeyDigest: entry.KeyDigest("viewer"), Role: conf.Viewer},
	}
	cfg.Workspaces = []router.Workspace{{Name: "w", KeyDigests: []string{"secret"}}}
	api := admin.New(admin.Options{
		Live: conf.NewLive(cfg), Node: nod, Metrics: http.NotFoundHandler(), Log: slog.New(slog.DiscardHandler),
		Ready: func() bool { return true },
	})
	return api.Handler(), nod
}

func send(han http.Handler, method, path, key, body string, hdr map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	for nam, val := range hdr {
		req.Header.Set(nam, val)
	}
	rec := httptest.NewRecorder()
	han.ServeHTTP(rec, req)
	return rec
}

func changeBody(t *testing.T, id, text string) string {
	t.Helper()
	raw, err := json.Marshal(admin.Change{ID: id, Base: conf.Source{File: "base.yaml", Text: text}})
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestRolesAndChanges guards against operators without the role, invalid or conflicting changes and disclosed
// keys. The requests run in order against one API, because later ones depend on the revisions of earlier ones.
func TestRolesAndChanges(t *testing.T) {
	han, nod := newAPI()
	const cfg, wsp = admin.Prefix + "/configuration", admin.Prefix + "/workspaces/new"
	workspace := `{"KeyDigests":["` + entry.KeyDigest("k") + `"],"RequestRate":1,"Burst":1,"InFlight":1,"Classes":["c"]}`
	edit := map[string]string{"Hornbeamdyke-Change": "four", "Hornbeamdyke-Against": "1"}
	for _, stp := range []struct {
		name, method, path, key, body string
		header                        map[string]string
		status                        int
		want                          string
	}{
		{"no key", "GET", admin.Prefix + "/status", "", "", nil, 401, "InvalidKey"},
		{"a viewer may read", "GET", admin.Prefix + "/status", "viewer", "", nil, 200, `"Ready":true`},
		{"a viewer may not change", "POST", cfg, "viewer", changeBody(t, "one", validSettings), nil, 403, "RoleNotAllowed"},
		{"no revision yet", "GET", cfg, "viewer", "", nil, 404, "NotFound"},
		{"an invalid change lists its errors", "POST", cfg, "editor", changeBody(t, "one", validSettings+"Colour: red\n"), nil, 422, "base.yaml:5:1: Colour: field Colour not allowed"},
		{"a change without ID", "POST", cfg, "editor", changeBody(t, "", validSettings), nil, 400, "needs an ID"},
		{"an accepted change", "POST", cfg, "editor", changeBody(t, "one", validSettings), nil, 200, `"Number":1`},
		{"the same change sent again", "POST", cfg, "editor", changeBody(t, "one", validSettings), nil, 200, `"Number":1`},
		{"a change against an old revision", "POST", cfg, "editor", changeBody(t, "two", validSettings), nil, 409, `"Head":1`},
		{"the author of a change is stored", "GET", cfg, "viewer", "", nil, 200, `"Author":"ann"`},
		{"a workspace without base revision", "PUT", wsp, "editor", workspace, nil, 400, "must name the revision"},
		{"an added workspace", "PUT", wsp, "editor", workspace, edit, 200, `"Number":2`},
		{"a change against a revision that the node does not have yet", "PUT", wsp, "editor", workspace, map[string]string{"Hornbeamdyke-Change": "six", "Hornbeamdyke-Against": "3"}, 409, "not yet 3"},
		{"deletion of an unknown workspace", "DELETE", admin.Prefix + "/workspaces/none", "editor", "", map[string]string{"Hornbeamdyke-Change": "five", "Hornbeamdyke-Against": "2"}, 404, "NotFound"},
		{"list of workspaces", "GET", admin.Prefix + "/workspaces", "viewer", "", nil, 200, `["w"]`},
		{"workspace without its keys", "GET", admin.Prefix + "/workspaces/w", "viewer", "", nil, 200, `"KeyDigests":null`},
		{"drain", "POST", admin.Prefix + "/drain", "editor", "", nil, 202, "{}"},
	} {
		rec := send(han, stp.method, stp.path, stp.key, stp.body, stp.header)
		if rec.Code != stp.status || !strings.Contains(rec.Body.String(), stp.want) {
			t.Fatalf("%s: status %d, want %d with %q in the body: %s", stp.name, rec.Code, stp.status, stp.want, rec.Body)
		}
	}
	if !nod.drained || !strings.Contains(nod.current.GetBase().GetText(), "Name: new") {
		t.Fatalf("drained %v, installed configuration %s", nod.drained, nod.current.GetBase().GetText())
	}
}

// TestLaggingNodeRefusesEdit has another node accept a revision that this node has not installed yet. It guards against an
// edit of one workspace that is made on the older text and so undoes the newer revision.
func TestLaggingNodeRefusesEdit(t *testing.T) {
	han, nod := newAPI()
	first := send(han, "POST", admin.Prefix+"/configuration", "editor", changeBody(t, "one", validSettings), nil)
	if first.Code != http.StatusOK {
		t.Fatalf("status %d: %s", first.Code, first.Body)
	}
	newer := &wire.Revision{Change: "two", Base: &wire.Source{File: "base.yaml", Text: validSettings + "# newer\n"}}
	if num, err := nod.store.Accept(t.Context(), newer, 1); err != nil || num != 2 {
		t.Fatalf("revision %d, %v", num, err)
	}
	workspace := `{"KeyDigests":["` + entry.KeyDigest("k") + `"],"RequestRate":1,"Burst":1,"InFlight":1,"Classes":["c"]}`
	rec := send(han, "PUT", admin.Prefix+"/workspaces/new", "editor", workspace, map[string]string{"Hornbeamdyke-Change": "three", "Hornbeamdyke-Against": "2"})
	if rec.Code != http.StatusConflict {
		t.Errorf("status %d: %s", rec.Code, rec.Body)
	}
	if head, err := nod.store.Get(t.Context(), 3); err == nil {
		t.Errorf("revision 3 undoes revision 2: %s", head.GetBase().GetText())
	}
}
