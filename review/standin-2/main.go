// Command standin-2 runs the cases of the second review: the project's own program as separate processes on loopback addresses,
// before stand-ins of the platform's store, of servers and of clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTime is how long a case may take, the end of its processes included.
const caseTime = 115 * time.Second

// cases holds the cases by name. Each one plays its disruption if trouble is set, and reports what was broken.
var cases = map[string]func(dep *Deployment, trouble bool) error{}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standin-2 CASE RECORD [SEED]; cases: %v\n", names)
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) int {
	seed := uint64(time.Now().UnixNano())
	if len(os.Args) > 3 {
		seed, _ = strconv.ParseUint(os.Args[3], 10, 64)
	}
	rec, err := NewRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.Close()
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		rec.Line("not run: %v", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	binary, err := filepath.Abs("target/hornbeamdyke")
	if err == nil {
		_, err = os.Stat(binary)
	}
	if err != nil {
		rec.Line("not run: %v", err)
		return exitNotRun
	}
	dep := NewDeployment(rec, dir, binary, seed)
	defer dep.Close()
	expiry := time.AfterFunc(caseTime, func() {
		rec.Line("not run: the case took longer than %s", caseTime)
		dep.Close()
		rec.Close()
		os.Exit(exitNotRun)
	})
	defer expiry.Stop()
	if err := cases[name](dep, os.Getenv("TROUBLE") != "0"); err != nil {
		rec.Line("not run: %v", err)
		dep.KeepLogs()
		return exitNotRun
	}
	dep.Close()
	broken := rec.Broken()
	if len(broken) > 0 {
		dep.KeepLogs()
		rec.Line("result: broken, %d findings", len(broken))
		fmt.Println("broken:", broken[0])
		return exitBroken
	}
	rec.Line("result: held")
	fmt.Println("held")
	return exitHeld
}
