package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/load"
)

type options struct {
	Binaries  string        `long:"binaries" default:"bin" description:"directory of the project's programs"`
	Example   string        `long:"example" default:"examples/kameeldoring" description:"deployment"`
	Scenarios []string      `long:"scenario" description:"scenario to run; all if not given"`
	Policies  []string      `long:"policy" description:"policy to run; all if not given"`
	Seeds     []uint64      `long:"seed" default:"1" description:"seed; may be repeated"`
	Gap       time.Duration `long:"gap" default:"20ms" description:"time from token to token of an engine"`
	Out       string        `long:"out" description:"directory for results.json and index.html"`
}

// policies are the settings that replace those of the example, by name.
var policies = []struct{ name, queue, pick, slots string }{
	{"Leased", "Tiered", "Observed", "Leased"},
	{"AloneTiered", "Tiered", "LeastInFlight", "Alone"},
	{"FifoLeast", "Fifo", "LeastInFlight", "Alone"},
	{"FifoRandom", "Fifo", "Random", "Alone"},
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opt); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opt options) (err error) {
	var rss []load.Result
	for _, scn := range load.Scenarios() {
		if len(opt.Scenarios) > 0 && !slices.Contains(opt.Scenarios, scn.Name) {
			continue
		}
		for _, sed := range opt.Seeds {
			for _, pcy := range policies {
				if len(opt.Policies) > 0 && !slices.Contains(opt.Policies, pcy.name) {
					continue
				}
				rsl, err := once(opt, scn, pcy.name, []string{"Queue: " + pcy.queue, "Pick: " + pcy.pick, "Slots: " + pcy.slots}, sed)
				if err != nil {
					return err
				}
				load.Print(os.Stdout, rsl)
				rss = append(rss, rsl)
			}
		}
	}
	if opt.Out == "" {
		return nil
	}
	return write(opt, rss)
}

// once runs one scenario on a new deployment.
func once(opt options, scn load.Scenario, policy string, lines []string, seed uint64) (rsl load.Result, err error) {
	defer fault.Annotatef(&err, "policy %s", policy)
	wrk, err := os.MkdirTemp("", "hbload")
	if err != nil {
		return load.Result{}, err
	}
	defer os.RemoveAll(wrk)
	bas, err := variant(opt.Example, wrk, lines)
	if err != nil {
		return load.Result{}, err
	}
	flt, err := fleet.Start(fleet.Options{
		Example:     opt.Example,
		Binaries:    opt.Binaries,
		Work:        wrk,
		Base:        bas,
		Gap:         opt.Gap,
		Prefill:     2 * opt.Gap,
		ServiceWork: 5 * time.Millisecond,
	})
	if err != nil {
		return load.Result{}, err
	}
	defer flt.Stop()
	time.Sleep(settleTime)
	rsl, err = load.Run(flt, scn, seed)
	rsl.Policy = policy
	return rsl, err
}

// settleTime lets the nodes find each other and their leases begin.
const settleTime = 4 * time.Second

// variant writes the example's base with other policies, and without the workspace limits that would hide them.
func variant(example, work string, lines []string) (file string, err error) {
	txt, err := os.ReadFile(filepath.Join(example, "base.yaml"))
	if err != nil {
		return "", err
	}
	out := string(txt)
	for _, lin := range lines {
		nam, _, _ := strings.Cut(lin, ":")
		out = replaceLine(out, "  "+nam+": ", "  "+lin)
	}
	out = strings.ReplaceAll(out, "RequestRate: 200", "RequestRate: 100000")
	out = strings.ReplaceAll(out, "Burst: 400", "Burst: 100000")
	out = strings.ReplaceAll(out, "InFlight: 400", "InFlight: 100000")
	file = filepath.Join(work, "base.yaml")
	return file, os.WriteFile(file, []byte(out), 0o600)
}

// replaceLine replaces the line that begins with a prefix.
func replaceLine(txt, prefix, line string) string {
	lns := strings.Split(txt, "\n")
	for idx, one := range lns {
		if strings.HasPrefix(one, prefix) {
			lns[idx] = line
		}
	}
	return strings.Join(lns, "\n")
}

func write(opt options, rss []load.Result) (err error) {
	defer fault.Annotate(&err, "write results")
	if err := os.MkdirAll(opt.Out, 0o755); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(rss, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(opt.Out, "results.json"), raw, 0o644); err != nil {
		return err
	}
	pag, err := os.Create(filepath.Join(opt.Out, "index.html"))
	if err != nil {
		return err
	}
	defer pag.Close()
	return load.Page(pag, rss)
}
