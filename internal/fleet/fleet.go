package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/hornbeamdyke/hornbeamdyke/internal/certs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

// KeyPrefix and the name of a workspace or operator make its key in the examples.
const KeyPrefix = "demo-key-of-"

// Options are what a Fleet is started from.
type Options struct {
	// Example is the directory of the deployment's settings.
	Example string
	// Binaries is the directory of hornbeamdyke and hbstand.
	Binaries string
	// Work is a directory for logs, keys and journals.
	Work string
	// Gap and Prefill are the engines' times for a token and before the first one.
	Gap     time.Duration
	Prefill time.Duration
	// ServiceWork is the time a plain service takes for a call.
	ServiceWork time.Duration
	// CrashOn makes engines crash on prompts that contain it.
	CrashOn string
	// Env is added to the nodes' environment.
	Env []string
	// Replace changes the text of base.yaml: each key is replaced by its value wherever it stands.
	Replace map[string]string
}

// Fleet is the running processes of a deployment.
type Fleet struct {
	Options Options
	Config  conf.Config
	Nodes   []*Process
	// Upstreams are the engines and services by name.
	Upstreams map[string]*Process
	// Store is the platform's metadata store.
	Store *Process
	VMs   *Process
	// Settings are those of the nodes, in the order of Nodes.
	Settings []conf.Node
}

// Start starts a deployment and waits until every process is healthy.
func Start(opt Options) (flt *Fleet, err error) {
	defer fault.Annotate(&err, "start fleet")
	// The kernel sends SIGHUP to a stopped process when the shell that began the run ends;
	// children inherit that it is ignored, so only the run's own faults end them.
	signal.Ignore(syscall.SIGHUP)
	flt = &Fleet{Options: opt, Upstreams: make(map[string]*Process)}
	if err := flt.load(); err != nil {
		return nil, err
	}
	if err := flt.prepare(); err != nil {
		return nil, err
	}
	if err := startAll(flt.stands()); err != nil {
		flt.Stop()
		return nil, err
	}
	if err := startAll(flt.Nodes); err != nil {
		flt.Stop()
		return nil, err
	}
	return flt, nil
}

// Stop kills every process that the fleet started.
func (flt *Fleet) Stop() {
	for _, prc := range append(flt.stands(), flt.Nodes...) {
		prc.Kill()
	}
}

// Processes returns how many processes the fleet has.
func (flt *Fleet) Processes() int {
	return len(flt.stands()) + len(flt.Nodes)
}

// Control switches the faults of a stand-in.
func Control(prc *Process, flt stand.Faults) (err error) {
	defer fault.Annotatef(&err, "control %s", prc.Name)
	raw, err := json.Marshal(flt)
	if err != nil {
		return err
	}
	return send(http.MethodPost, prc.URL+stand.ControlPath, raw)
}

// Executions returns what the plain services say they executed, by idempotency key.
func (flt *Fleet) Executions() (exs map[string][]stand.Execution, err error) {
	defer fault.Annotate(&err, "read journals")
	exs = make(map[string][]stand.Execution)
	for _, pol := range flt.Config.Pools {
		if pol.Kind != router.Service {
			continue
		}
		for _, ups := range pol.Upstreams {
			if err := readJournal(flt.journal(ups.Name), exs); err != nil {
				return nil, err
			}
		}
	}
	return exs, nil
}

// SetVMs replaces the platform's VM list; the named VMs are leaving.
func (flt *Fleet) SetVMs(leaving ...string) (err error) {
	raw, err := json.Marshal(flt.vmGroups(leaving...))
	if err != nil {
		return err
	}
	return send(http.MethodPut, flt.VMs.URL+"/vms", raw)
}

func readJournal(file string, exs map[string][]stand.Execution) error {
	raw, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	for dec.More() {
		var exe stand.Execution
		if err := dec.Decode(&exe); err != nil {
			return err
		}
		exs[exe.Key] = append(exs[exe.Key], exe)
	}
	return nil
}

func send(method, url string, raw []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return nil
}

func (flt *Fleet) base() string {
	if len(flt.Options.Replace) > 0 {
		return filepath.Join(flt.Options.Work, "base.yaml")
	}
	return filepath.Join(flt.Options.Example, "base.yaml")
}

// Document returns the configuration that the nodes are started with.
func (flt *Fleet) Document() (doc conf.Document, err error) {
	return conf.ReadDocument(flt.base(), flt.overlays())
}

func (flt *Fleet) overlays() (fls []string) {
	// The pattern is constant, so Glob cannot fail.
	fls, _ = filepath.Glob(filepath.Join(flt.Options.Example, "overlays", "*.yaml"))
	return fls
}

// replace writes a base with the replacements, if there are any.
func (flt *Fleet) replace() (err error) {
	if len(flt.Options.Replace) == 0 {
		return nil
	}
	txt, err := os.ReadFile(filepath.Join(flt.Options.Example, "base.yaml"))
	if err != nil {
		return err
	}
	out := string(txt)
	for old, now := range flt.Options.Replace {
		out = strings.ReplaceAll(out, old, now)
	}
	return os.WriteFile(flt.base(), []byte(out), 0o600)
}

// load reads the base configuration and the nodes' settings.
func (flt *Fleet) load() (err error) {
	if err := flt.replace(); err != nil {
		return err
	}
	doc, err := conf.ReadDocument(flt.base(), nil)
	if err != nil {
		return err
	}
	sts, err := doc.Evaluate()
	if err != nil {
		return err
	}
	for _, sit := range sts {
		flt.Config = sit.Config
	}
	fls, err := filepath.Glob(filepath.Join(flt.Options.Example, "nodes", "*.yaml"))
	if err != nil {
		return err
	}
	for _, fil := range fls {
		nod, err := conf.LoadNode(fil)
		if err != nil {
			return err
		}
		flt.Settings = append(flt.Settings, nod)
		flt.Nodes = append(flt.Nodes, flt.node(nod, filepath.Join(flt.Options.Work, filepath.Base(fil))))
	}
	return nil
}

// prepare writes keys and copies of the nodes' settings beside them, then plans the stand-ins.
func (flt *Fleet) prepare() (err error) {
	tls := filepath.Join(flt.Options.Work, "tls")
	if err := os.MkdirAll(tls, 0o700); err != nil {
		return err
	}
	ath, err := certs.NewAuthority()
	if err != nil {
		return err
	}
	if err := ath.Write(tls); err != nil {
		return err
	}
	for _, nod := range flt.Settings {
		if err := ath.Issue(tls, nod.Name); err != nil {
			return err
		}
		if err := flt.copySettings(nod.Name + ".yaml"); err != nil {
			return err
		}
	}
	return flt.planStands()
}

func (flt *Fleet) copySettings(name string) error {
	txt, err := os.ReadFile(filepath.Join(flt.Options.Example, "nodes", name))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(flt.Options.Work, name), txt, 0o600)
}

func startAll(prs []*Process) error {
	var grp errgroup.Group
	for _, prc := range prs {
		grp.Go(prc.Start)
	}
	return grp.Wait()
}
