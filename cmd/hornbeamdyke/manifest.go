package main

import (
	"io"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	plat "github.com/hornbeamdyke/hornbeamdyke/platform"
)

type manifestCommand struct {
	File        string        `long:"manifest" value-name:"FILE" required:"yes" description:"manifest to check"`
	Against     string        `long:"against" value-name:"FILE" description:"manifest in force"`
	Store       string        `long:"store" value-name:"ADDRESS" description:"store that holds the manifest in force and the upstreams"`
	Node        string        `long:"node" value-name:"FILE" description:"settings of a node, for the failure domains"`
	MaxDeadline time.Duration `long:"max-deadline" value-name:"TIME" description:"longest time that callers give a call"`
	out         io.Writer
}

// Execute checks a manifest before it is sent to the platform.
func (cmd *manifestCommand) Execute([]string) error {
	return query.CheckManifest(cmd.out, query.ManifestOptions{
		File: cmd.File, Against: cmd.Against, Node: cmd.Node, Store: cmd.Store, MaxDeadline: cmd.MaxDeadline,
		Read:  plat.ReadManifest,
		Open:  func(address string) router.RecordStore { return plat.NewStore(address) },
		Codec: plat.Codec{},
	})
}
