package main

import (
	"io"
	"os"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/trace"
)

type explainCommand struct {
	Request string `long:"request" value-name:"ID" required:"yes" description:"id of the request"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of nodes"`
	} `positional-args:"yes"`

	out io.Writer
}

// Execute prints the lines of the logs that concern a request.
func (cmd *explainCommand) Execute([]string) (err error) {
	defer errs.Annotate(&err, "explain")
	var log trace.Log
	for _, nam := range cmd.Args.Files {
		if err := readLog(&log, nam); err != nil {
			return err
		}
	}
	return log.Explain(cmd.out, cmd.Request)
}

func readLog(log *trace.Log, name string) (err error) {
	fil, err := os.Open(name)
	if err != nil {
		return err
	}
	defer fil.Close()
	return log.Read(fil)
}
