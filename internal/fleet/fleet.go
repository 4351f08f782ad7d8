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
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// KeyPrefix is the prefix of API keys in the examples; the name of the workspace or operator follows.
const KeyPrefix = "demo-key-of-"

// Options configure a Fleet.
type Options struct {
	// Example is the example directory of the deployment.
	Example string
	// Binaries is the directory with the binaries hornbeamdyke and hbstand.
	Binaries string
	// WorkDir is the directory for logs, keys and journals.
	WorkDir string
	// TokenGap is the engines' time between two tokens, Prefill the time before the first one.
	TokenGap time.Duration
	Prefill  time.Duration
	// ServiceTime is the time that a plain service takes for a request.
	ServiceTime time.Duration
	// CrashOn makes engines crash on prompts that contain it.
	CrashOn string
	// NodeEnv is added to the environment of the nodes (KEY=VALUE).
	NodeEnv []string
	// BaseReplacements holds replacements in the text of base.yaml: each occurrence of a key is replaced by its value.
	BaseReplacements map[string]string
}

// Fleet is a deployment whose processes have been started.
type Fleet struct {
	Options Options
	// Config is the base configuration without overlays.
	Config conf.Config
	Nodes  []*Process
	// Upstreams are the stand-ins of engines and services by name.
	Upstreams map[string]*Process
	// Store is the stand-in of the platform's metadata store.
	Store *Process
	// VMList is the stand-in of the service that publishes the platform's VM list.
	VMList *Process
	// Settings are the settings of the nodes, in the order of Nodes.
	Settings []conf.Node
}

// Start starts a deployment and waits until every process is healthy.
func Start(opt Options) (flt *Fleet, err error) {
	defer errs.Annotate(&err, "start fleet")
	// When the shell that started this program exits, the kernel sends SIGHUP to stopped children,
	// such as a node that a test paused. Children inherit that the signal is ignored.
	signal.Ignore(syscall.SIGHUP)
	flt = &Fleet{Options: opt, Upstreams: make(map[string]*Process)}
	if err := flt.loadConfig(); err != nil {
		return nil, err
	}
	if err := flt.prepareWorkDir(); err != nil {
		return nil, err
	}
	if err := startAll(flt.standIns()); err != nil {
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
	for _, prc := range append(flt.standIns(), flt.Nodes...) {
		prc.Kill()
	}
}

// NumProcesses returns the number of processes of the fleet.
func (flt *Fleet) NumProcesses() int {
	return len(flt.standIns()) + len(flt.Nodes)
}

// SetFaults sets the faults that a stand-in injects; the zero Faults ends them, but
// connections silenced by SilenceOld stay silent.
func SetFaults(prc *Process, flt fakes.Faults) (err error) {
	defer errs.Annotatef(&err, "control %s", prc.Name)
	raw, err := json.Marshal(flt)
	if err != nil {
		return err
	}
	return sendRequest(http.MethodPost, prc.URL+fakes.ControlPath, raw)
}

// Executions returns the executions that the plain services recorded in their journals, by idempotency key.
// Requests without a key are under the empty key.
func (flt *Fleet) Executions() (exs map[string][]fakes.Execution, err error) {
	defer errs.Annotate(&err, "read journals")
	exs = make(map[string][]fakes.Execution)
	for _, pol := range flt.Config.Pools {
		if pol.Kind != router.Service {
			continue
		}
		for _, ups := range pol.Upstreams {
			if err := readJournal(flt.journalPath(ups.Name), exs); err != nil {
				return nil, err
			}
		}
	}
	return exs, nil
}

// SetLeaving publishes a VM list in which the VMs with the given names are leaving and all others are live.
func (flt *Fleet) SetLeaving(leaving ...string) (err error) {
	raw, err := json.Marshal(flt.vmGroups(leaving...))
	if err != nil {
		return err
	}
	return sendRequest(http.MethodPut, flt.VMList.URL+"/vms", raw)
}

// readJournal adds the executions in a journal to exs.
func readJournal(file string, exs map[string][]fakes.Execution) error {
	raw, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	for dec.More() {
		var exe fakes.Execution
		if err := dec.Decode(&exe); err != nil {
			return err
		}
		exs[exe.Key] = append(exs[exe.Key], exe)
	}
	return nil
}

func sendRequest(method, url string, raw []byte) error {
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

// basePath returns the path of the base configuration that the nodes read.
func (flt *Fleet) basePath() string {
	if len(flt.Options.BaseReplacements) > 0 {
		return filepath.Join(flt.Options.WorkDir, "base.yaml")
	}
	return filepath.Join(flt.Options.Example, "base.yaml")
}

// Document returns the configuration that the nodes are started with.
func (flt *Fleet) Document() (doc conf.Document, err error) {
	return conf.ReadDocument(flt.basePath(), flt.overlayPaths())
}

func (flt *Fleet) overlayPaths() (fls []string) {
	// The pattern is constant, so Glob cannot fail.
	fls, _ = filepath.Glob(filepath.Join(flt.Options.Example, "overlays", "*.yaml"))
	return fls
}

// writeBase writes base.yaml with the replacements to the work directory, if there are any.
func (flt *Fleet) writeBase() (err error) {
	if len(flt.Options.BaseReplacements) == 0 {
		return nil
	}
	txt, err := os.ReadFile(filepath.Join(flt.Options.Example, "base.yaml"))
	if err != nil {
		return err
	}
	out := string(txt)
	for old, now := range flt.Options.BaseReplacements {
		out = strings.ReplaceAll(out, old, now)
	}
	return os.WriteFile(flt.basePath(), []byte(out), 0o600)
}

// loadConfig reads the base configuration and the nodes' settings.
func (flt *Fleet) loadConfig() (err error) {
	if err := flt.writeBase(); err != nil {
		return err
	}
	doc, err := conf.ReadDocument(flt.basePath(), nil)
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
		flt.Nodes = append(flt.Nodes, flt.newNode(nod, filepath.Join(flt.Options.WorkDir, filepath.Base(fil))))
	}
	return nil
}

// prepareWorkDir writes TLS keys and copies of the nodes' settings, which refer to the keys by relative
// paths, to the work directory. Then it plans the stand-ins.
func (flt *Fleet) prepareWorkDir() (err error) {
	tls := filepath.Join(flt.Options.WorkDir, "tls")
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
		if err := flt.copyNodeSettings(nod.Name + ".yaml"); err != nil {
			return err
		}
	}
	return flt.planStandIns()
}

func (flt *Fleet) copyNodeSettings(name string) error {
	txt, err := os.ReadFile(filepath.Join(flt.Options.Example, "nodes", name))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(flt.Options.WorkDir, name), txt, 0o600)
}

func startAll(prs []*Process) error {
	var grp errgroup.Group
	for _, prc := range prs {
		grp.Go(prc.Start)
	}
	return grp.Wait()
}
