package args

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	Failed = 1
	Usage  = 2
)

// Main parses the command line into opt, runs the program and exits with 0, Failed or Usage.
func Main(opt any, run func() error) {
	if _, err := flags.Parse(opt); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(Usage)
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Failed)
	}
}
