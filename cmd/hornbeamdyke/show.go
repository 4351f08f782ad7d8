package main

import (
	"io"

	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
)

type showCommand struct {
	documentOptions

	Site string `long:"site" value-name:"NAME" required:"yes" description:"failure domain whose settings to show"`
	out  io.Writer
}

// Execute prints the effective settings of a site.
func (cmd *showCommand) Execute([]string) error {
	return query.Show(cmd.out, cmd.Base, cmd.Overlays, cmd.Site)
}
