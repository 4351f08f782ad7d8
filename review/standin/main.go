// Command standin runs the cases of an independent review: it starts the router's processes with the stand-ins of everything
// around them, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by name. Each one reports whether the rule was broken. Without trouble, it leaves the disruption out.
var cases = map[string]func(dep *deployment, trouble bool) (broken bool, err error){
	// Findings that are no cases; see REPORT.md.
	"half-close": runHalfClose,
	"leaving":    runLeaving,
	// The cases.
	"stale-record": runStaleRecord,
	"herd-kill":    runHerdKill,
	"memory":       runMemory,
	"path":         runPath,
	"poison":       runPoison,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit code.
func run(name, folder string, trouble bool) int {
	folder, err := filepath.Abs(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	rec.add("case %s, disruption: %t", name, trouble)
	dep, err := newDeployment(filepath.Join(folder, "../.."), rec)
	if err == nil {
		defer dep.stop()
		go stopEarly(dep)
		var broken bool
		broken, err = cases[name](dep, trouble)
		if err == nil && broken {
			rec.add("the rule was broken")
			fmt.Println("broken")
			return 1
		}
	}
	if err != nil {
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.add("the rule held")
	fmt.Println("held")
	return 0
}

// maxTime is how long a case may run.
const maxTime = 118 * time.Second

// stopEarly ends all processes when the program gets a signal to stop, or when the case takes too long.
func stopEarly(dep *deployment) {
	sgs := make(chan os.Signal, 1)
	signal.Notify(sgs, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-sgs:
	case <-time.After(maxTime):
	}
	dep.rec.add("the case is stopped early")
	dep.stop()
	dep.rec.close()
	os.Exit(2)
}
