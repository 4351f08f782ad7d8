package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the command available to the scripts under its own name, within the test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hornbeamdyke": func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in testdata, which checks the output and the exit status of the command.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true})
}
