package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/args"
	"github.com/hornbeamdyke/hornbeamdyke/internal/chaos"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
)

type options struct {
	Binaries    string `long:"binaries" default:"bin" description:"directory of the project's programs"`
	Example     string `long:"example" default:"examples/tolbooth" description:"deployment"`
	Work        string `long:"work" description:"directory in which logs and journals are kept; they are removed if not given"`
	Schedules   int    `long:"schedules" default:"50" description:"seeded schedules of faults"`
	Orders      int    `long:"orders" default:"40" description:"orders in each schedule"`
	Races       int    `long:"races" default:"200" description:"races of two operators"`
	Unprotected int    `long:"weak" default:"5" description:"schedules without protection, which must break a promise"`
}

// maxDrainDelay is how long an upstream may get new requests after it was marked as leaving.
const maxDrainDelay = 5 * time.Second

func main() {
	var opt options
	args.Main(&opt, func() error { return run(os.Stdout, opt) })
}

func run(out io.Writer, opt options) error {
	if opt.Unprotected > 0 {
		if err := runUnprotected(out, opt); err != nil {
			return err
		}
	}
	return withFleet(opt, nil, func(flt *fleet.Fleet) error {
		return runProtected(out, flt, opt)
	})
}

// runUnprotected checks that a guarantee is broken if nodes send orders without claiming them in the store
// first (see package order). The claim prevents two nodes from sending the same order.
func runUnprotected(out io.Writer, opt options) error {
	return withFleet(opt, []string{"HORNBEAMDYKE_TEST_UNPROTECTED=Orders"}, func(flt *fleet.Fleet) error {
		rsl, err := chaos.RunOrders(out, flt, opt.Unprotected, opt.Orders)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "without the claim: %s\n", rsl)
		if rsl.OK() {
			return errors.New("no promise was broken without the protection, so this run cannot detect a broken promise")
		}
		return nil
	})
}

// runProtected runs all tests with the protections on.
func runProtected(out io.Writer, flt *fleet.Fleet, opt options) error {
	rsl, err := chaos.RunOrders(out, flt, opt.Schedules, opt.Orders)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "with the claim: %s\n", rsl)
	if !rsl.OK() {
		return errors.Errorf("broken promises: %+v", rsl)
	}
	if err := chaos.RunConfigurations(out, flt, opt.Races); err != nil {
		return err
	}
	cra, err := chaos.RunPoison(flt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a crashing request, repeated through all nodes: %d engines crashed, then refused as NotRun\n", cra)
	last, err := chaos.RunDrain(flt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "leaving upstream: last new request after %v\n", last.Round(time.Millisecond))
	if last > maxDrainDelay {
		return errors.Errorf("a leaving upstream got a request %v after it was marked as leaving", last)
	}
	all, bad, err := chaos.RunRollingRestart(flt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "rolling stop of %d nodes: %d streams, %d not whole\n", len(flt.Nodes), all, bad)
	if bad > 0 {
		return errors.Errorf("a rolling restart cut %d streams", bad)
	}
	return nil
}

// withFleet starts a fleet, with env added to the nodes' environment, calls use and stops the fleet.
func withFleet(opt options, env []string, use func(flt *fleet.Fleet) error) (err error) {
	wrk, err := os.MkdirTemp(opt.Work, "hbfault")
	if err != nil {
		return err
	}
	if opt.Work == "" {
		defer os.RemoveAll(wrk)
	}
	flt, err := fleet.Start(fleet.Options{
		Example:     opt.Example,
		Binaries:    opt.Binaries,
		WorkDir:     wrk,
		TokenGap:    20 * time.Millisecond,
		Prefill:     40 * time.Millisecond,
		ServiceTime: 20 * time.Millisecond,
		CrashOn:     chaos.PoisonText,
		NodeEnv:     env,
	})
	if err != nil {
		return err
	}
	defer flt.Stop()
	return use(flt)
}
