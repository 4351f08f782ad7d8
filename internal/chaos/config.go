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
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fleet"
	"github.com/hornbeamdyke/hornbeamdyke/internal/query"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/admin"
	"github.com/hornbeamdyke/hornbeamdyke/internal/stand"
)

const (
	inForceLimit = 8 * time.Second
	inForcePoll  = 5 * time.Millisecond
	watchPeriod  = 20 * time.Millisecond
	// lossyShare of the table's answers are lost in every second race.
	lossyShare = 0.3
)

// publisher applies configurations to a fleet and watches what its nodes have in force.
type publisher struct {
	fleet    *fleet.Fleet
	document conf.Document
	// accepted are the changes that operators were told are accepted, by number.
	accepted map[uint64]string
	head     uint64
	reverts  atomic.Int64
}

// Configurations races operators, with and without lost answers, stops a node meanwhile, and checks that every
// accepted change is kept, in force on all nodes, and never reverted.
func Configurations(out io.Writer, flt *fleet.Fleet, races int) (err error) {
	defer fault.Annotate(&err, "configurations")
	pub := &publisher{fleet: flt, accepted: make(map[uint64]string)}
	if pub.document, err = flt.Document(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var grp sync.WaitGroup
	grp.Go(func() { pub.watch(ctx) })
	defer grp.Wait()
	defer cancel()
	delays, err := pub.race(ctx, races)
	if err != nil {
		return err
	}
	slices.Sort(delays)
	fmt.Fprintf(out, "configuration: %d races, %d accepted; in force on all %d nodes after p50 %v, worst %v\n", races,
		len(pub.accepted), len(flt.Nodes), delays[len(delays)/2].Round(time.Millisecond), delays[len(delays)-1].Round(time.Millisecond))
	if err := pub.stopped(ctx, out); err != nil {
		return err
	}
	return pub.verify(ctx, out)
}

func (pub *publisher) target(idx int) query.Target {
	return query.Target{Address: "http://" + pub.fleet.Settings[idx].Admin, Key: fleet.KeyPrefix + "on-call"}
}

// change returns a whole configuration that differs by a comment.
func (pub *publisher) change(name string) admin.Change {
	bas := pub.document.Base
	bas.Text += "# " + name + "\n"
	return admin.Change{ID: name, Against: pub.head, Base: bas, Overlays: pub.document.Overlays}
}

// race lets two operators change the same head through different nodes, again and again.
func (pub *publisher) race(ctx context.Context, races int) (delays []time.Duration, err error) {
	for num := range races {
		flt := stand.Faults{}
		if num%2 == 1 {
			flt.LoseShare = lossyShare
		}
		if err := fleet.Control(pub.fleet.Store, flt); err != nil {
			return nil, err
		}
		dly, err := pub.once(ctx, num)
		if err != nil {
			return nil, errors.Wrapf(err, "race %d", num)
		}
		if dly > 0 {
			delays = append(delays, dly)
		}
	}
	return delays, fleet.Control(pub.fleet.Store, stand.Faults{})
}

// once runs one race and returns how long the winner's change took from accepted to in force everywhere.
func (pub *publisher) once(ctx context.Context, num int) (delay time.Duration, err error) {
	var ers [2]error
	var acs [2]admin.Accepted
	var ends [2]time.Time
	var grp sync.WaitGroup
	for idx := range 2 {
		chg := pub.change(fmt.Sprintf("race-%d-%d", num, idx))
		grp.Go(func() {
			acs[idx], ers[idx] = action.Submit(ctx, pub.target((num+idx*3)%len(pub.fleet.Nodes)), chg)
			ends[idx] = time.Now()
		})
	}
	grp.Wait()
	won := time.Time{}
	for idx := range 2 {
		var ref *action.Refused
		switch {
		case ers[idx] == nil && acs[idx].Number != pub.head+1:
			return 0, errors.Errorf("accepted as %d after head %d", acs[idx].Number, pub.head)
		case ers[idx] == nil && !won.IsZero():
			return 0, errors.New("both operators won")
		case ers[idx] == nil:
			won = ends[idx]
			pub.accepted[acs[idx].Number] = acs[idx].Change
		case errors.As(ers[idx], &ref) && ref.Status == http.StatusConflict && ref.Failure.Base == pub.head:
		case errors.As(ers[idx], &ref) && ref.Status == http.StatusServiceUnavailable:
		default:
			return 0, ers[idx]
		}
	}
	if won.IsZero() {
		return 0, pub.refresh(ctx)
	}
	pub.head++
	if err := pub.await(ctx, pub.head); err != nil {
		return 0, err
	}
	return max(time.Since(won), time.Nanosecond), nil
}

// refresh reads the head after a race in which both operators were left uncertain.
func (pub *publisher) refresh(ctx context.Context) error {
	if err := fleet.Control(pub.fleet.Store, stand.Faults{}); err != nil {
		return err
	}
	var rvs []admin.Revision
	if err := pub.target(0).Get(ctx, "/configuration/history", &rvs); err != nil {
		return err
	}
	if len(rvs) > 0 {
		pub.head = rvs[0].Number
	}
	return nil
}

// await waits until every node has a revision in force.
func (pub *publisher) await(ctx context.Context, num uint64) error {
	beg := time.Now()
	for idx := 0; idx < len(pub.fleet.Nodes); {
		got, err := pub.revision(ctx, idx)
		if err == nil && got >= num {
			idx++
			continue
		}
		if time.Since(beg) > inForceLimit {
			return errors.Errorf("revision %d is not in force on %s after %v: it has %d, %v",
				num, pub.fleet.Nodes[idx].Name, inForceLimit, got, err)
		}
		time.Sleep(inForcePoll)
	}
	return nil
}

func (pub *publisher) revision(ctx context.Context, idx int) (num uint64, err error) {
	var sta admin.Status
	err = pub.target(idx).Get(ctx, "/status", &sta)
	return sta.Revision, err
}

// watch notes every node that is seen to go back.
func (pub *publisher) watch(ctx context.Context) {
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

// stopped stops a node, changes the configuration, lets the node go on, and asks it by a key that is gone.
func (pub *publisher) stopped(ctx context.Context, out io.Writer) (err error) {
	defer fault.Annotate(&err, "stopped node")
	lst := len(pub.fleet.Nodes) - 1
	prc := pub.fleet.Nodes[lst]
	if err := prc.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	beg := time.Now()
	chg := pub.change("while-stopped")
	acc, err := action.Submit(ctx, pub.target(0), chg)
	if err != nil {
		return err
	}
	pub.head = acc.Number
	pub.accepted[acc.Number] = chg.ID
	time.Sleep(max(0, stopLength-time.Since(beg)))
	if err := prc.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	beg = time.Now()
	cls := NewCallers(pub.fleet)
	res, err := cls.send(ctx, http.MethodGet, lst, "/v1/models", "", nil)
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
		return errors.New("it decided by an old revision")
	}
	return nil
}

// verify reads every accepted change back.
func (pub *publisher) verify(ctx context.Context, out io.Writer) error {
	var rvs []admin.Revision
	if err := pub.target(1).Get(ctx, "/configuration/history", &rvs); err != nil {
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
