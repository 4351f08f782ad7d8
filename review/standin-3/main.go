// Command standin-3 runs the cases of review/REPORT-3.md: the stand-ins of the platform, the servers and the callers.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// runTime is the longest time that a case may take.
const runTime = 110 * time.Second

// cases maps the names of cases to their functions, which report whether the rule held. An error means that the case couldn't run.
var cases = map[string]func(rig *rig) (held bool, err error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := serve(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(2)
	}
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the record")
	binary := flag.String("binary", "target/hornbeamdyke", "the program under test")
	flag.Parse()
	os.Exit(run(*name, *dir, *binary))
}

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func run(name, dir, binary string) (code int) {
	rig, err := newRig(dir, binary, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rig.close()
	defer func() {
		if pnc := recover(); pnc != nil {
			fmt.Fprintln(os.Stderr, pnc)
			code = 2
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(runTime):
		}
		rig.close()
		os.Exit(2)
	}()
	one := cases[name]
	if one == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return 2
	}
	held, err := one(rig)
	switch {
	case err != nil:
		rig.note("couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "couldn't run:", err)
		return 2
	case held:
		rig.note("the rule held")
		fmt.Println("the rule held")
		return 0
	default:
		rig.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
}
