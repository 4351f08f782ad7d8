package args

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// The exit codes: the program returned an error, or its command line is invalid.
const (
	ExitFailure = 1
	ExitUsage   = 2
)

// Main parses the command line into opt, a pointer to a struct with go-flags tags, and calls run.
// It prints an error of run to standard error and exits with ExitFailure; an invalid command line
// exits with ExitUsage. It returns after success or after --help.
func Main(opt any, run func() error) {
	if _, err := flags.Parse(opt); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(ExitUsage)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitFailure)
	}
}
