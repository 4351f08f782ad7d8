package main

import (
	"net/http/httptest"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/platform/mock"
)

// TestMain makes the command available to the scripts under its own name, within the test binary.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hornbeamdyke": func() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in testdata, which checks the output and the exit status of the command.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true, Setup: startStore})
}

// startStore starts a store with a configuration and a server for a script; its address is in the environment variable STORE.
func startStore(env *testscript.Env) (err error) {
	str := mock.NewStore(fakes.NewInjector(1))
	str.Set("op", "config", mock.Config(1))
	str.Set("servers", "u1", mock.ServerRecord("127.0.0.1:1", "here", false, 1, 1))
	srv := httptest.NewServer(str.Handler())
	env.Defer(srv.Close)
	env.Setenv("STORE", srv.Listener.Addr().String())
	return nil
}
