package main

import (
	"context"
	"io"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/action"
)

type applyCommand struct {
	documentOptions
	adminOptions

	Against int64         `long:"against" value-name:"N" default:"-1" description:"revision that the change was made against; the head if not given"`
	Change  string        `long:"change" value-name:"ID" description:"identifier of the change; give the same to send it again"`
	Comment string        `long:"comment" value-name:"TEXT" description:"why the change is made"`
	Wait    time.Duration `long:"wait" value-name:"TIME" description:"wait so long until every live node has it in force"`
	out     io.Writer
}

// Execute submits a configuration to a node.
func (cmd *applyCommand) Execute([]string) error {
	return action.Apply(context.Background(), cmd.out, cmd.queryTarget(), action.ApplyOptions{
		Base:     cmd.Base,
		Overlays: cmd.Overlays,
		Against:  cmd.Against,
		Change:   cmd.Change,
		Comment:  cmd.Comment,
		Wait:     cmd.Wait,
	})
}
