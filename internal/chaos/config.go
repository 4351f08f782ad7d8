package chaos

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/hornbeamdyke/hornbeamdyke/internal/action"
	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fakes"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
)

const (
	// applyTimeout is how long a revision may take until it is in force on all nodes.
	applyTimeout    = 8 * time.Second
	applyPollPeriod = 5 * time.Millisecond
	watchPeriod     = 20 * time.Millisecond
	// raceLossShare is the share of answers of the store that are dropped in every second race.
	raceLossShare = 0.3
)

// publisher changes the configuration of a fleet and watches which revisions its nodes have in force.
type publisher struct {
	fleet    *fleet.Fleet
	document conf.Document
	// accepted maps the number of a revision to the ID of the change that was accepted as this revision.
	accepted map[uint64]string
	// head is the number of the newest revision.
	head uint64
	// reverts counts how often a node had an older revision than before.
	reverts atomic.Int64
}

// RunConfigurations submits pairs of concurrent changes of the head, which is the newest revision, with and
// without lost answers of the store, then one change while a node is stopped. It checks that of two concurrent
// changes at most one is accepted, and that every accepted change is kept, comes into force on all nodes and is
// never reverted.
func RunConfigurations(out io.Writer, flt *fleet.Fleet, races int) (err error) {
	defer errs.Annotate(&err, "configurations")
	pub := &publisher{fleet: flt, accepted: make(map[uint64]string)}
	if pub.document, err = flt.Document(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var grp sync.WaitGroup
	grp.Go(func() { pub.watchRevisions(ctx) })
	defer grp.Wait()
	defer cancel()
	delays, err := pub.runRaces(ctx, races)
	if err != nil {
		return err
	}
	slices.Sort(delays)
	fmt.Fprintf(out, "configuration: %d races, %d accepted; in force on all %d nodes after p50 %v, worst %v\n", races,
		len(pub.accepted), len(flt.Nodes), delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
	if err := pub.changeDuringPause(ctx, out); err != nil {
		return err
	}
	return pub.checkHistory(ctx, out)
}

// adminTarget returns the admin API of a node, with the key of an operator.
func (pub *publisher) adminTarget(idx int) query.Target {
	return query.Target{Address: "http://" + pub.fleet.Settings[idx].Admin, Key: fleet.KeyPrefix + "on-call"}
}

// newChange returns a change to a complete configuration that differs from the first one only by a comment.
func (pub *publisher) newChange(name string) admin.Change {
	bas := pub.document.Base
	bas.Text += "# " + name + "\n"
	return admin.Change{ID: name, Against: pub.head, Base: bas, Overlays: pub.document.Overlays}
}

// runRaces runs races, half of them with lost answers, and returns the delays of the accepted changes.
func (pub *publisher) runRaces(ctx context.Context, races int) (delays []time.Duration, err error) {
	for num := range races {
		flt := fakes.Faults{}
		if num%2 == 1 {
			flt.LoseShare = raceLossShare
		}
		if err := fleet.SetFaults(pub.fleet.Store, flt); err != nil {
			return nil, err
		}
		dly, err := pub.runRace(ctx, num)
		if err != nil {
			return nil, errors.Wrapf(err, "race %d", num)
		}
		if dly > 0 {
			delays = append(delays, dly)
		}
	}
	return delays, fleet.SetFaults(pub.fleet.Store, fakes.Faults{})
}

// runRace submits two concurrent changes of the head through different nodes. It returns how long the accepted
// change took to be in force on all nodes, or 0 if no change is known to be accepted.
func (pub *publisher) runRace(ctx context.Context, num int) (delay time.Duration, err error) {
	var ers [2]error
	var acs [2]admin.Accepted
	var ends [2]time.Time
	var grp sync.WaitGroup
	for idx := range 2 {
		chg := pub.newChange(fmt.Sprintf("race-%d-%d", num, idx))
		grp.Go(func() {
			acs[idx], ers[idx] = action.Submit(ctx, pub.adminTarget((num+idx*3)%len(pub.fleet.Nodes)), chg)
			ends[idx] = time.Now()
		})
	}
	grp.Wait()
	wonAt := time.Time{}
	for idx := range 2 {
		var rej *action.RejectedError
		switch {
		case ers[idx] == nil && acs[idx].Number != pub.head+1:
			return 0, errors.Errorf("change accepted as revision %d while the head was %d", acs[idx].Number, pub.head)
		case ers[idx] == nil && !wonAt.IsZero():
			return 0, errors.New("both concurrent changes of one head were accepted")
		case ers[idx] == nil:
			wonAt = ends[idx]
			pub.accepted[acs[idx].Number] = acs[idx].Change
		case errors.As(ers[idx], &rej) && rej.Status == http.StatusConflict && rej.Failure.Base == pub.head:
		case errors.As(ers[idx], &rej) && rej.Status == http.StatusServiceUnavailable:
		default:
			return 0, ers[idx]
		}
	}
	if wonAt.IsZero() {
		return 0, pub.reloadHead(ctx)
	}
	pub.head++
	if err := pub.awaitRevision(ctx, pub.head); err != nil {
		return 0, err
	}
	return max(time.Since(wonAt), time.Nanosecond), nil
}

// reloadHead reads the head after a race in which no submission returned that its change was accepted. Because an
// answer may have been lost, one of the changes may be the new head all the same.
func (pub *publisher) reloadHead(ctx context.Context) error {
	if err := fleet.SetFaults(pub.fleet.Store, fakes.Faults{}); err != nil {
		return err
	}
	var rvs []admin.Revision
	if err := pub.adminTarget(0).Get(ctx, "/configuration/history", &rvs); err != nil {
		return err
	}
	if len(rvs) > 0 {
		pub.head = rvs[0].Number
	}
	return nil
}

// awaitRevision waits until every node has the revision or a newer one in force.
func (pub *publisher) awaitRevision(ctx context.Context, num uint64) error {
	beg := time.Now()
	for idx := 0; idx < len(pub.fleet.Nodes); {
		got, err := pub.revision(ctx, idx)
		if err == nil && got >= num {
			idx++
			continue
		}
		if time.Since(beg) > applyTimeout {
			return errors.Errorf("revision %d is not in force on %s after %v: it has %d, %v",
				num, pub.fleet.Nodes[idx].Name, applyTimeout, got, err)
		}
		time.Sleep(applyPollPeriod)
	}
	return nil
}

// revision returns the number of the revision that a node has in force.
func (pub *publisher) revision(ctx context.Context, idx int) (num uint64, err error) {
	var sta admin.Status
	err = pub.adminTarget(idx).Get(ctx, "/status", &sta)
	return sta.Revision, err
}

// watchRevisions polls the nodes' revisions and counts reverts, until ctx ends.
func (pub *publisher) watchRevisions(ctx context.Context) {
	last := make([]uint64, len(pub.fleet.Nodes))
	for ctx.Err() == nil {
		for idx := range last {
			num, err := pub.revision(ctx, idx)
			if err != nil {
				continue
			}
			if num < last[idx] {
				pub.reverts.Add(1)
			}
			last[idx] = num
		}
		time.Sleep(watchPeriod)
	}
}

// changeDuringPause stops a node, changes the configuration and resumes the node. The node must have the new
// revision in force when it answers its first request.
func (pub *publisher) changeDuringPause(ctx context.Context, out io.Writer) (err error) {
	defer errs.Annotate(&err, "stopped node")
	lst := len(pub.fleet.Nodes) - 1
	prc := pub.fleet.Nodes[lst]
	if err := prc.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	beg := time.Now()
	chg := pub.newChange("while-stopped")
	acc, err := action.Submit(ctx, pub.adminTarget(0), chg)
	if err != nil {
		return err
	}
	pub.head = acc.Number
	pub.accepted[acc.Number] = chg.ID
	time.Sleep(max(0, pauseDuration-time.Since(beg)))
	if err := prc.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	beg = time.Now()
	cli := NewClient(pub.fleet)
	res, err := cli.send(ctx, http.MethodGet, lst, "/v1/models", "", nil)
	if err != nil {
		return err
	}
	res.Body.Close()
	num, err := pub.revision(ctx, lst)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "stopped node: its first answer came after %v, with revision %d of %d in force\n",
		time.Since(beg).Round(time.Millisecond), num, acc.Number)
	if num < acc.Number {
		return errors.New("node answered with an old revision in force after it was resumed")
	}
	return nil
}

// checkHistory reads the newest revisions and checks that each has the change that was accepted under its
// number, if any, and that no node reverted.
func (pub *publisher) checkHistory(ctx context.Context, out io.Writer) error {
	var rvs []admin.Revision
	if err := pub.adminTarget(1).Get(ctx, "/configuration/history", &rvs); err != nil {
		return err
	}
	lost := 0
	for _, rev := range rvs {
		if chg, fnd := pub.accepted[rev.Number]; fnd && chg != rev.Change {
			lost++
		}
	}
	fmt.Fprintf(out, "of the last %d revisions %d replaced an accepted change; nodes seen to go back: %d\n", len(rvs), lost, pub.reverts.Load())
	if lost > 0 || pub.reverts.Load() > 0 {
		return errors.New("an accepted change was lost or reverted")
	}
	return nil
}
