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
	Binaries  string `long:"binaries" default:"bin" description:"directory of the project's programs"`
	Example   string `long:"example" default:"examples/tolbooth" description:"deployment"`
	Work      string `long:"work" description:"directory in which logs and journals are kept; they are removed if not given"`
	Schedules int    `long:"schedules" default:"50" description:"seeded schedules of faults"`
	Orders    int    `long:"orders" default:"40" description:"orders in each schedule"`
	Races     int    `long:"races" default:"200" description:"races of two operators"`
	Weak      int    `long:"weak" default:"5" description:"schedules without protection, which must break a promise"`
}

// leaveBound is how long after it is leaving an upstream may get a new request.
const leaveBound = 5 * time.Second

func main() {
	var opt options
	args.Main(&opt, func() error { return run(os.Stdout, opt) })
}

func run(out io.Writer, opt options) error {
	if opt.Weak > 0 {
		if err := weak(out, opt); err != nil {
			return err
		}
	}
	return with(opt, nil, func(flt *fleet.Fleet) error {
		return strong(out, flt, opt)
	})
}

// weak shows that orders run twice without the claim.
func weak(out io.Writer, opt options) error {
	return with(opt, []string{"HORNBEAMDYKE_TEST_UNPROTECTED=Orders"}, func(flt *fleet.Fleet) error {
		ver, err := chaos.Orders(out, flt, opt.Weak, opt.Orders)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "without the claim: %s\n", ver)
		if ver.Holds() {
			return errors.New("the promises held without their protection, so this run proves nothing")
		}
		return nil
	})
}

func strong(out io.Writer, flt *fleet.Fleet, opt options) error {
	ver, err := chaos.Orders(out, flt, opt.Schedules, opt.Orders)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "with the claim: %s\n", ver)
	if !ver.Holds() {
		return errors.Errorf("broken: %+v", ver)
	}
	if err := chaos.Configurations(out, flt, opt.Races); err != nil {
		return err
	}
	cra, err := chaos.Poison(flt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a crashing request, repeated through all nodes: %d engines crashed, then refused as NotRun\n", cra)
	last, err := chaos.Leaving(flt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "leaving upstream: last new request after %v\n", last.Round(time.Millisecond))
	if last > leaveBound {
		return errors.Errorf("a leaving upstream got a request after %v", last)
	}
	all, bad, err := chaos.Rolling(flt)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "rolling stop of %d nodes: %d streams, %d not whole\n", len(flt.Nodes), all, bad)
	if bad > 0 {
		return errors.Errorf("a planned stop cut %d streams", bad)
	}
	return nil
}

func with(opt options, env []string, use func(flt *fleet.Fleet) error) (err error) {
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
		Work:        wrk,
		Gap:         20 * time.Millisecond,
		Prefill:     40 * time.Millisecond,
		ServiceWork: 20 * time.Millisecond,
		CrashOn:     chaos.PoisonText,
		Env:         env,
	})
	if err != nil {
		return err
	}
	defer flt.Stop()
	return use(flt)
}
