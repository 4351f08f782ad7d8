package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamdyke/hornbeamdyke/internal/bench"
)

type options struct {
	Binaries string `long:"binaries" default:"bin" description:"directory of the project's programs"`
	Control  bool   `long:"control" description:"measure control work only"`
	Path     bool   `long:"path" description:"measure a request's path only"`
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
