package chaos

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const (
	// stopLength is how long a process is stopped; it is above every lease and timeout of the nodes but an order's.
	stopLength = 3 * time.Second
	downLength = 1500 * time.Millisecond
	lossLength = 1500 * time.Millisecond
	lossShare  = 0.5
	probeTime  = 200 * time.Millisecond
	landTries  = 10
	landPause  = 20 * time.Millisecond
)

// Strike is a fault that lasts until it returns; err says that it did not land.
type Strike struct {
	Name string
	Do   func(flt *fleet.Fleet, pick int) (err error)
}

// Strikes returns every fault that schedules are drawn from.
func Strikes() []Strike {
	return []Strike{
		{"KillNode", killNode},
		{"StopNode", stopNode},
		{"TableDown", func(flt *fleet.Fleet, _ int) error { return down(flt.Store) }},
		{"TableLosesAnswers", func(flt *fleet.Fleet, _ int) error { return losing(flt.Store) }},
		{"ServiceLosesAnswers", func(flt *fleet.Fleet, pick int) error { return losing(service(flt, pick)) }},
		{"ServiceSilent", func(flt *fleet.Fleet, pick int) error { return silent(service(flt, pick)) }},
		{"KillService", func(flt *fleet.Fleet, pick int) error { return restart(service(flt, pick)) }},
	}
}

func service(flt *fleet.Fleet, pick int) *fleet.Process {
	ups := flt.Config.Pools[1].Upstreams
	return flt.Upstreams[ups[pick%len(ups)].Name]
}

func killNode(flt *fleet.Fleet, pick int) error {
	return restart(flt.Nodes[pick%len(flt.Nodes)])
}

// restart kills a process, sees it gone and starts it again.
func restart(prc *fleet.Process) (err error) {
	defer fault.Annotatef(&err, "kill %s", prc.Name)
	if err := prc.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-prc.Done()
	return prc.Start()
}

// stopNode stops a node, sees that it does not answer, and lets it go on.
func stopNode(flt *fleet.Fleet, pick int) (err error) {
	prc := flt.Nodes[pick%len(flt.Nodes)]
	defer fault.Annotatef(&err, "stop %s", prc.Name)
	if err := prc.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrapf(err, "its log ends with %s", tail(prc.Log()))
	}
	lnd := landed(prc.URL + "/healthz")
	time.Sleep(stopLength)
	if err := prc.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	if !lnd {
		return errors.New("it answered while it was stopped")
	}
	return nil
}

// tail returns the end of a log.
func tail(txt string) string {
	const length = 1500
	return txt[max(0, len(txt)-length):]
}

// down makes a stand-in refuse everything.
func down(prc *fleet.Process) (err error) {
	defer fault.Annotatef(&err, "take down %s", prc.Name)
	if err := fleet.Control(prc, stand.Faults{Refuse: true}); err != nil {
		return err
	}
	lnd := landed(prc.URL + stand.HealthPath)
	time.Sleep(downLength)
	if err := fleet.Control(prc, stand.Faults{}); err != nil {
		return err
	}
	if !lnd {
		return errors.New("it answered while it was down")
	}
	return nil
}

// losing makes a stand-in lose answers after the effect.
func losing(prc *fleet.Process) (err error) {
	defer fault.Annotatef(&err, "lose answers of %s", prc.Name)
	if err := fleet.Control(prc, stand.Faults{LoseShare: lossShare}); err != nil {
		return err
	}
	time.Sleep(lossLength)
	return fleet.Control(prc, stand.Faults{})
}

// silent makes a stand-in's open connections accept writes and never answer.
func silent(prc *fleet.Process) (err error) {
	defer fault.Annotatef(&err, "silence %s", prc.Name)
	if err := fleet.Control(prc, stand.Faults{SilenceOld: true}); err != nil {
		return err
	}
	time.Sleep(lossLength)
	return fleet.Control(prc, stand.Faults{})
}

// landed reports whether a fault makes a process stop answering; a signal takes a moment to reach all its threads.
func landed(url string) bool {
	for range landTries {
		if !answering(url) {
			return true
		}
		time.Sleep(landPause)
	}
	return false
}

func answering(url string) bool {
	return fleet.Healthy(context.Background(), url, probeTime)
}
