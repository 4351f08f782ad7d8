package main

import (
	"context"
	"io"
	"os"

	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
)

// envOperatorKey is the environment variable with the operator's key.
const envOperatorKey = "HORNBEAMDYKE_KEY"

// target are the options that name a node's operators' API; the key comes from the environment.
type target struct {
	Admin string `long:"admin" value-name:"URL" default:"http://127.0.0.1:9100" description:"operators' API of a node; the key is read from HORNBEAMDYKE_KEY"`
}

func (tgt target) query() query.Target {
	return query.Target{Address: tgt.Admin, Key: os.Getenv(envOperatorKey)}
}

type statusCommand struct {
	target

	out io.Writer
}

// Execute prints a node's state.
func (cmd *statusCommand) Execute([]string) error {
	return query.Status(context.Background(), cmd.out, cmd.query())
}
