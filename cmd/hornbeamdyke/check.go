package main

import (
	"io"

	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
)

type checkCommand struct {
	document

	Node string `long:"node" value-name:"FILE" description:"settings of a node to check as well"`
	out  io.Writer
}

// Execute checks settings.
func (cmd *checkCommand) Execute([]string) error {
	return query.Check(cmd.out, cmd.Base, cmd.Overlays, cmd.Node)
}
