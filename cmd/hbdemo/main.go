package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/hornbeamdyke/hornbeamdyke/internal/demo"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
)

type options struct {
	Binaries string `long:"binaries" default:"bin" description:"directory of the project's programs"`
	Args     struct {
		Examples []string `positional-arg-name:"EXAMPLE" required:"1"`
	} `positional-args:"yes"`
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	for _, exm := range opt.Args.Examples {
		if err := show(exm, opt.Binaries); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func show(example, binaries string) (err error) {
	wrk, err := os.MkdirTemp("", "hbdemo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(wrk)
	return demo.Run(os.Stdout, fleet.Options{
		Example:     example,
		Binaries:    binaries,
		Work:        wrk,
		Gap:         20 * time.Millisecond,
		Prefill:     40 * time.Millisecond,
		ServiceWork: 5 * time.Millisecond,
	})
}
