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
		sls, err := bench.Control()
		if err != nil {
			return err
		}
		prs, err := bench.Peers()
		if err != nil {
			return err
		}
		for _, slp := range append(sls, prs) {
			slp.Write(os.Stdout)
		}
	}
	if opt.Control {
		return nil
	}
	return bench.Path(os.Stdout, opt.Binaries)
}
