package main

import (
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, out, eout io.Writer) int {
	psr := flags.NewNamedParser("hornbeamdyke", flags.HelpFlag|flags.PassDoubleDash)
	psr.ShortDescription = "a router for language-model traffic"
	for _, cmd := range commands(out) {
		if _, err := psr.AddCommand(cmd.name, cmd.short, cmd.long, cmd.data); err != nil {
			fmt.Fprintln(eout, err)
			return exitFailure
		}
	}
	psr.CommandHandler = func(cmd flags.Commander, rest []string) (err error) {
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		if cmd == nil {
			return nil
		}
		return cmd.Execute(rest)
	}
	_, err := psr.ParseArgs(args)
	return printResult(err, out, eout)
}

// command is a subcommand and its help texts.
type command struct {
	name, short, long string
	// data is the struct that receives the options and implements flags.Commander.
	data any
}

func commands(out io.Writer) []command {
	return []command{
		{"serve", "run a node", "Runs a node until it is stopped by SIGTERM, which cuts off no request.", &serveCommand{}},
		{"check", "check settings", "Checks settings and prints every error with its position.", &checkCommand{out: out}},
		{"check-manifest", "check a manifest", "Checks a manifest of the platform before it is sent, and prints what differs from the one in force.", &manifestCommand{out: out}},
		{"show", "show a site's settings", "Prints the effective settings of a site and where each value came from.", &showCommand{out: out}},
		{"status", "show a node's state", "Prints what a running node says of itself, its upstreams and its peers.", &statusCommand{out: out}},
		{"apply", "apply a configuration", "Checks a configuration and makes it the next revision.", &applyCommand{out: out}},
		{"drain", "stop a node gracefully", "Begins a graceful stop of a node; it cuts off no request.", &drainCommand{out: out}},
		{"report", "show service-level burn", "Gathers from all live nodes how fast each class uses up its error budget.", &reportCommand{out: out}},
		{"explain", "explain a request", "Reads the logs of nodes and prints what was decided about one request, with the beliefs in force then.", &explainCommand{out: out}},
		{"version", "show the version", "Prints the version.", &versionCommand{out: out}},
	}
}

// printResult prints the error or the help text, if there is one, and returns the exit code.
func printResult(err error, out, eout io.Writer) int {
	var ferr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &ferr) && ferr.Type == flags.ErrHelp:
		fmt.Fprintln(out, ferr.Message)
		return exitOK
	case errors.As(err, &ferr):
		fmt.Fprintln(eout, ferr.Message)
		return exitUsage
	default:
		fmt.Fprintln(eout, err)
		return exitFailure
	}
}

// documentOptions are the options that name the files of a configuration.
type documentOptions struct {
	Base     string   `long:"base" value-name:"FILE" description:"configuration that all sites share"`
	Overlays []string `long:"overlay" value-name:"FILE" description:"overlay of one site; may be repeated"`
}
