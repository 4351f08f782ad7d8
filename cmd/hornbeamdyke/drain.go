package main

import (
	"context"
	"io"

	"github.com/hornbeamdyke/hornbeamdyke/internal/action"
)

type drainCommand struct {
	adminOptions

	out io.Writer
}

// Execute starts a graceful stop of a node.
func (cmd *drainCommand) Execute([]string) error {
	return action.Drain(context.Background(), cmd.out, cmd.queryTarget())
}
