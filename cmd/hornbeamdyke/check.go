package main

import (
	"io"

	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
)

type checkCommand struct {
	documentOptions

	Node string `long:"node" value-name:"FILE" description:"settings of a node to check as well"`
	out  io.Writer
}

// Execute validates a configuration and the settings of a node.
func (cmd *checkCommand) Execute([]string) error {
	return query.Check(cmd.out, cmd.Base, cmd.Overlays, cmd.Node)
}
