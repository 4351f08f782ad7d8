package main

import (
	"io"

	"github.com/hornbeamdyke/hornbeamdyke/internal/trace"
)

type explainCommand struct {
	Request string `long:"request" value-name:"ID" required:"yes" description:"id of the request"`
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"logs of nodes, also compressed (.gz), and directories of these"`
	} `positional-args:"yes"`

	out io.Writer
}

// Execute prints the lines of the logs that concern a request.
func (cmd *explainCommand) Execute([]string) (err error) {
	logs, err := trace.FindLogs(cmd.Args.Files...)
	if err != nil {
		return err
	}
	return trace.Explain(cmd.out, cmd.Request, logs...)
}
