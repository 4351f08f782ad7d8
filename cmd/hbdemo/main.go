package main

import (
	"os"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/args"
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
	args.Main(&opt, func() error {
		for _, exm := range opt.Args.Examples {
			if err := runExample(exm, opt.Binaries); err != nil {
				return err
			}
		}
		return nil
	})
}

// runExample runs the demo of one deployment.
func runExample(example, binaries string) (err error) {
	wrk, err := os.MkdirTemp("", "hbdemo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(wrk)
	return demo.Run(os.Stdout, fleet.Options{
		Example:     example,
		Binaries:    binaries,
		WorkDir:     wrk,
		TokenGap:    20 * time.Millisecond,
		Prefill:     40 * time.Millisecond,
		ServiceTime: 5 * time.Millisecond,
	})
}
