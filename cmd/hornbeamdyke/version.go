package main

import (
	"fmt"
	"io"
	"runtime/debug"
)

type versionCommand struct {
	out io.Writer
}

// Execute prints the version that the build recorded.
func (cmd *versionCommand) Execute([]string) (err error) {
	ver := "unknown"
	if inf, fnd := debug.ReadBuildInfo(); fnd {
		ver = inf.Main.Version
		for _, set := range inf.Settings {
			if set.Key == "vcs.revision" {
				ver += " " + set.Value
			}
		}
	}
	_, err = fmt.Fprintln(cmd.out, "hornbeamdyke", ver)
	return err
}
