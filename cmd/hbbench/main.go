package main

import (
	"os"

	"github.com/hornbeamdyke/hornbeamdyke/internal/args"
	"github.com/hornbeamdyke/hornbeamdyke/internal/bench"
)

type options struct {
	Binaries string `long:"binaries" default:"bin" description:"directory of the project's programs"`
	Control  bool   `long:"control" description:"measure control work only"`
	Path     bool   `long:"path" description:"measure a request's path only"`
}

func main() {
	var opt options
	args.Main(&opt, func() error { return run(opt) })
}

func run(opt options) error {
	if !opt.Path {
		all, err := bench.ControlPlane()
		if err != nil {
			return err
		}
		prs, err := bench.PeerTransport()
		if err != nil {
			return err
		}
		for _, srs := range append(all, prs) {
			srs.Write(os.Stdout)
		}
	}
	if opt.Control {
		return nil
	}
	return bench.RequestPath(os.Stdout, opt.Binaries)
}
