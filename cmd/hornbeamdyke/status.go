package main

import (
	"context"
	"io"
	"os"

	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
)

// envOperatorKey is the environment variable that holds the operator's key.
const envOperatorKey = "HORNBEAMDYKE_KEY"

// adminOptions are the options that name the admin API of a node. The key is read from the environment.
type adminOptions struct {
	Admin string `long:"admin" value-name:"URL" default:"http://127.0.0.1:9100" description:"operators' API of a node; the key is read from HORNBEAMDYKE_KEY"`
}

func (opt adminOptions) queryTarget() query.Target {
	return query.Target{Address: opt.Admin, Key: os.Getenv(envOperatorKey)}
}

type statusCommand struct {
	adminOptions

	out io.Writer
}

// Execute prints the state of a node.
func (cmd *statusCommand) Execute([]string) error {
	return query.Status(context.Background(), cmd.out, cmd.queryTarget())
}
