package main

import (
	"context"
	"io"

	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
)

type reportCommand struct {
	adminOptions

	Format string `long:"format" choice:"text" choice:"json" choice:"html" default:"text" description:"how to write the report"`
	out    io.Writer
}

// Execute writes the burn rates of all live nodes.
func (cmd *reportCommand) Execute([]string) error {
	return query.Report(context.Background(), cmd.out, cmd.queryTarget(), query.Format(cmd.Format))
}
