package chaos

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
)

const (
	// pauseDuration is how long a node is stopped. It is longer than every lease and timeout of the nodes
	// except the timeout of an order.
	pauseDuration = 3 * time.Second

	// refuseDuration is how long a stand-in refuses requests, lossDuration how long it drops answers or
	// stalls connections.
	refuseDuration = 1500 * time.Millisecond
	lossDuration   = 1500 * time.Millisecond
	// lossShare is the share of requests that are executed but not answered.
	lossShare = 0.5

	// A process counts as down once one of maxProbes health checks fails.
	probeTimeout  = 200 * time.Millisecond
	maxProbes     = 10
	probeInterval = 20 * time.Millisecond
)

// Fault is a kind of fault that can be injected.
type Fault struct {
	Name string
	// Inject injects the fault, waits for its duration and reverts it. A fault in one of several processes
	// hits the one with the index target, modulo their number. A fault that takes a process down fails if
	// the process still answers health checks.
	Inject func(flt *fleet.Fleet, target int) (err error)
}

// Faults returns the faults that schedules are drawn from. The draws depend on their order, and runSchedule
// on the node faults being the first two.
func Faults() []Fault {
	return []Fault{
		{"KillNode", killNode},
		{"StopNode", pauseNode},
		{"TableDown", func(flt *fleet.Fleet, _ int) error { return refuseRequests(flt.Store) }},
		{"TableLosesAnswers", func(flt *fleet.Fleet, _ int) error { return loseAnswers(flt.Store) }},
		{"ServiceLosesAnswers", func(flt *fleet.Fleet, target int) error { return loseAnswers(plainService(flt, target)) }},
		{"ServiceSilent", func(flt *fleet.Fleet, target int) error { return stallConnections(plainService(flt, target)) }},
		{"KillService", func(flt *fleet.Fleet, target int) error { return killAndRestart(plainService(flt, target)) }},
	}
}

// plainService returns the process of a plain service.
func plainService(flt *fleet.Fleet, target int) *fleet.Process {
	ups := flt.Config.Pools[1].Upstreams
	return flt.Upstreams[ups[target%len(ups)].Name]
}

func killNode(flt *fleet.Fleet, target int) error {
	return killAndRestart(flt.Nodes[target%len(flt.Nodes)])
}

// killAndRestart kills a process, waits until it has exited and starts it again.
func killAndRestart(prc *fleet.Process) (err error) {
	defer errs.Annotatef(&err, "kill %s", prc.Name)
	if err := prc.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-prc.Done()
	return prc.Start()
}

// pauseNode stops a node with SIGSTOP, checks that it does not answer, and resumes it.
func pauseNode(flt *fleet.Fleet, target int) (err error) {
	prc := flt.Nodes[target%len(flt.Nodes)]
	defer errs.Annotatef(&err, "stop %s", prc.Name)
	if err := prc.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "the end of its log: %s", tail(prc.Log()))
	}
	dwn := awaitDown(prc.URL + "/healthz")
	time.Sleep(pauseDuration)
	if err := prc.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	if !dwn {
		return errors.New("it answered while it was stopped")
	}
	return nil
}

// tail returns the end of a log.
func tail(txt string) string {
	const length = 1500
	return txt[max(0, len(txt)-length):]
}

// refuseRequests makes a stand-in refuse all requests for a while.
func refuseRequests(prc *fleet.Process) (err error) {
	defer errs.Annotatef(&err, "take down %s", prc.Name)
	if err := fleet.SetFaults(prc, fakes.Faults{Refuse: true}); err != nil {
		return err
	}
	dwn := awaitDown(prc.URL + fakes.HealthPath)
	time.Sleep(refuseDuration)
	if err := fleet.SetFaults(prc, fakes.Faults{}); err != nil {
		return err
	}
	if !dwn {
		return errors.New("it answered while it was down")
	}
	return nil
}

// loseAnswers makes a stand-in execute requests but drop a share of the answers for a while.
func loseAnswers(prc *fleet.Process) (err error) {
	defer errs.Annotatef(&err, "lose answers of %s", prc.Name)
	if err := fleet.SetFaults(prc, fakes.Faults{LoseShare: lossShare}); err != nil {
		return err
	}
	time.Sleep(lossDuration)
	return fleet.SetFaults(prc, fakes.Faults{})
}

// stallConnections makes a stand-in keep its open connections but answer nothing more on them, as behind a
// broken network path. They stay stalled until the node closes them; new connections work.
func stallConnections(prc *fleet.Process) (err error) {
	defer errs.Annotatef(&err, "silence %s", prc.Name)
	if err := fleet.SetFaults(prc, fakes.Faults{SilenceOld: true}); err != nil {
		return err
	}
	time.Sleep(lossDuration)
	return fleet.SetFaults(prc, fakes.Faults{})
}

// awaitDown reports whether a process stops answering health checks. It retries because a signal takes a
// moment to reach all threads.
func awaitDown(url string) bool {
	for range maxProbes {
		if !isHealthy(url) {
			return true
		}
		time.Sleep(probeInterval)
	}
	return false
}

func isHealthy(url string) bool {
	return fleet.Healthy(context.Background(), url, probeTimeout)
}
