package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/vmlist"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

// common are the options of all commands.
type common struct {
	Listen string `long:"listen" required:"yes" description:"address to listen on, IP:port"`
	Seed   uint64 `long:"seed" default:"1" description:"seed for shares of faults"`
}

type engineCommand struct {
	common

	Slots   int           `long:"slots" default:"8" description:"requests that generate at once"`
	Gap     time.Duration `long:"gap" default:"20ms" description:"time from token to token"`
	Prefill time.Duration `long:"prefill" default:"40ms" description:"time before the first token"`
	CrashOn string        `long:"crash-on" description:"exit when a prompt contains this text"`
}

type serviceCommand struct {
	common

	Name    string        `long:"name" default:"service" description:"name in answers"`
	Work    time.Duration `long:"work" default:"5ms" description:"time that a call takes"`
	Journal string        `long:"journal" description:"file that lists executions"`
}

type storeCommand struct{ common }

type vmsCommand struct {
	common

	File string `long:"file" description:"JSON file with the first list"`
}

func main() {
	psr := flags.NewParser(nil, flags.Default)
	for _, cmd := range []struct {
		name, about string
		data        any
	}{
		{"engine", "a model engine", &engineCommand{}},
		{"service", "a plain service", &serviceCommand{}},
		{"store", "the platform's metadata store", &storeCommand{}},
		{"vms", "the VM list", &vmsCommand{}},
	} {
		if _, err := psr.AddCommand(cmd.name, cmd.about, "Runs "+cmd.about+" until it is killed.", cmd.data); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := psr.Parse(); err != nil {
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var ferr *flags.Error
	isFlagError := errors.As(err, &ferr)
	switch {
	case isFlagError && ferr.Type == flags.ErrHelp:
		return 0
	case isFlagError:
		return 2
	default:
		return 1
	}
}

// Execute runs the engine until it is killed.
func (cmd *engineCommand) Execute([]string) (err error) {
	inj := fakes.NewInjector(cmd.Seed)
	opt := fakes.EngineOptions{Slots: cmd.Slots, Gap: cmd.Gap, Prefill: cmd.Prefill, CrashOn: cmd.CrashOn}
	return cmd.serve(inj, fakes.NewEngine(opt, inj).Handler())
}

// Execute runs the plain service until it is killed.
func (cmd *serviceCommand) Execute([]string) (err error) {
	defer errs.Annotate(&err, "run service")
	var jnl *os.File
	if cmd.Journal != "" {
		jnl, err = os.OpenFile(cmd.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
	}
	inj := fakes.NewInjector(cmd.Seed)
	return cmd.serve(inj, fakes.NewService(cmd.Name, cmd.Work, inj, jnl).Handler())
}

// Execute runs the metadata store until it is killed.
func (cmd *storeCommand) Execute([]string) (err error) {
	inj := fakes.NewInjector(cmd.Seed)
	return cmd.serve(inj, mock.NewStore(inj).Handler())
}

// Execute runs the VM list until it is killed.
func (cmd *vmsCommand) Execute([]string) (err error) {
	defer errs.Annotate(&err, "run VM list")
	var gps []vmlist.Group
	if cmd.File != "" {
		txt, err := os.ReadFile(cmd.File)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(txt, &gps); err != nil {
			return err
		}
	}
	inj := fakes.NewInjector(cmd.Seed)
	return cmd.serve(inj, fakes.NewVMList(gps, inj).Handler())
}

func (com common) serve(inj *fakes.Injector, han http.Handler) error {
	srv := &http.Server{Addr: com.Listen, Handler: han, ConnContext: inj.ConnContext, ReadHeaderTimeout: 5 * time.Second}
	return srv.ListenAndServe()
}
