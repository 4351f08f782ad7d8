package edge

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/duty"
)

// releaseTimeout limits the release of the duty lease by a node that stops.
const releaseTimeout = 3 * time.Second

// DutyKinds tells which of the platform's duty calls the nodes have to make.
type DutyKinds struct {
	Usage   bool
	Scaling bool
}

// dutyParts are the parts of a node that make the platform's duty calls.
type dutyParts struct {
	lease *duty.Lease
	// parts start in this order and stop in the reverse one, so that the lease is released last.
	parts    []dutyPart
	stopOnce sync.Once
}

// dutyPart is a part that acts while the node runs. It makes calls only as far as the lease allows.
type dutyPart struct {
	start, stop func()
}

// newDuties returns the parts, which make no call before start, or nil if the settings name no address for duty calls. Parts that
// make duty calls are added here.
func (nod *Node) newDuties() (dts *dutyParts) {
	opt := nod.options
	set := opt.Settings.Platform.Duties
	if set.Address == "" || opt.Rows == nil || opt.Duties == nil {
		return nil
	}
	les := duty.New(duty.Options{
		Holder: opt.Settings.Name,
		Length: set.Lease,
		Timers: opt.Timers,
		Rows:   opt.Rows,
		Rank:   func() int { return nod.mesh.RankByHash(duty.RankKey) },
		Log:    opt.Log,
		Meter:  nod.meter,
	})
	if cal, ok := opt.Duties.(router.FencedCaller); ok {
		cal.SetLease(les)
	}
	dts = &dutyParts{lease: les}
	dts.add(les.Start, func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		les.Stop(ctx)
	})
	return dts
}

// add adds a part, which starts after those that were added before and stops before them.
func (dts *dutyParts) add(start, stop func()) {
	dts.parts = append(dts.parts, dutyPart{start: start, stop: stop})
}

// start starts all parts; a nil receiver has none.
func (dts *dutyParts) start() {
	if dts == nil {
		return
	}
	for _, prt := range dts.parts {
		prt.start()
	}
}

// stop stops all parts and releases the lease. It returns when that is done, also if another call does it.
func (dts *dutyParts) stop() {
	if dts == nil {
		return
	}
	dts.stopOnce.Do(func() {
		for idx := len(dts.parts) - 1; idx >= 0; idx-- {
			dts.parts[idx].stop()
		}
	})
}
