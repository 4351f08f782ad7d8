package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/args"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
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

// policies has the settings Queue, Pick and Slots of each policy. The first is that of the examples, the others
// are baselines.
var policies = []struct{ name, queue, pick, slots string }{
	{"Leased", "Tiered", "Observed", "Leased"},
	{"AloneTiered", "Tiered", "LeastInFlight", "Alone"},
	{"FifoLeast", "Fifo", "LeastInFlight", "Alone"},
	{"FifoRandom", "Fifo", "Random", "Alone"},
}

// replacements returns the edits of the example's settings: they set the policy and raise the workspace's limits,
// which would otherwise refuse requests before the policy has an effect.
func replacements(queue, pick, slots string) map[string]string {
	return map[string]string{
		"Queue: Tiered":    "Queue: " + queue,
		"Pick: Observed":   "Pick: " + pick,
		"Slots: Leased":    "Slots: " + slots,
		"RequestRate: 200": "RequestRate: 100000",
		"Burst: 400":       "Burst: 100000",
		"InFlight: 400":    "InFlight: 100000",
	}
}

func main() {
	var opt options
	args.Main(&opt, func() error { return run(opt) })
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
				rsl, err := runScenario(opt, scn, replacements(pcy.queue, pcy.pick, pcy.slots), sed)
				if err != nil {
					return err
				}
				rsl.Policy = pcy.name
				load.Print(os.Stdout, rsl)
				rss = append(rss, rsl)
			}
		}
	}
	if opt.Out == "" {
		return nil
	}
	return writeResults(opt, rss)
}

// runScenario plays a scenario against a new deployment.
func runScenario(opt options, scn load.Scenario, rpl map[string]string, seed uint64) (rsl load.Result, err error) {
	wrk, err := os.MkdirTemp("", "hbload")
	if err != nil {
		return load.Result{}, err
	}
	defer os.RemoveAll(wrk)
	flt, err := fleet.Start(fleet.Options{
		Example:          opt.Example,
		Binaries:         opt.Binaries,
		WorkDir:          wrk,
		BaseReplacements: rpl,
		TokenGap:         opt.Gap,
		Prefill:          2 * opt.Gap,
		ServiceTime:      5 * time.Millisecond,
	})
	if err != nil {
		return load.Result{}, err
	}
	defer flt.Stop()
	time.Sleep(startupDelay)
	return load.Run(flt, scn, seed)
}

// startupDelay is the time for the nodes to discover each other and to obtain slot leases.
const startupDelay = 4 * time.Second

func writeResults(opt options, rss []load.Result) (err error) {
	defer errs.Annotate(&err, "write results")
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
	return load.WritePage(pag, rss)
}
