package usage

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	testWindow = 5 * time.Second
	testWithin = 10 * time.Second
	leaseKey   = "lease"
)

// fleet is a model of nodes with a store, a platform and a network in manual time.
type fleet struct {
	t      testing.TB
	random *rand.Rand
	tms    *timer.Manual
	log    bytes.Buffer
	rows   map[string]router.StoredRow
	era    int64
	last   int64
	// nodes holds the running processes by name.
	nodes map[string]*node
	// reports holds the reports that arrived at the platform, by window.
	reports map[int64][]router.UsageReport
	// truth holds the counts that happened, by window and workspace.
	truth map[int64]map[string]int64
	// The faults: each is asked when it may occur; nil means that it never does.
	loseMessage, loseAnswer, delayWrite, dieAfterWrite, loseReport, dieInReport func() bool
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	return &fleet{
		t: t, tms: timer.NewManual(time.Unix(1_700_000_000, 0)), era: 1, rows: make(map[string]router.StoredRow),
		nodes: make(map[string]*node), reports: make(map[int64][]router.UsageReport), truth: make(map[int64]map[string]int64),
	}
}

// node is a process of a node; it implements Fleet, router.DutyLease, router.RowStore and router.DutyCaller for its Service.
type node struct {
	flt  *fleet
	name string
	svc  *Service
	// stop and finish are those of the Service.
	stop, finish func()
	dead         bool
	cut          bool
	fence        int64
	// believes is set while the node believes to hold the duties; version and era are those of its lease row.
	believes     bool
	version, own int64
}

// happens reports whether a fault occurs.
func happens(fault func() bool) bool { return fault != nil && fault() }

// start starts a process, in place of the one with that name.
func (flt *fleet) start(name string, knowsEra bool) (nod *node) {
	flt.kill(name)
	nod = &node{flt: flt, name: name}
	opt := Options{
		Node: name, Timers: flt.tms, Log: slog.New(slog.NewTextHandler(&flt.log, nil)), Window: testWindow, ReportWithin: testWithin,
		Lease: nod, Rows: nod, Caller: nod,
	}
	if knowsEra {
		opt.Era = func() int64 { return flt.era }
	}
	nod.svc = New(opt)
	nod.svc.Join(nod)
	nod.stop, nod.finish = nod.svc.Start(context.Background())
	flt.nodes[name] = nod
	return nod
}

// kill ends a process without a last copy.
func (flt *fleet) kill(name string) {
	if nod := flt.nodes[name]; nod != nil {
		nod.dead = true
		nod.stop()
		nod.finish()
		delete(flt.nodes, name)
	}
}

// restore replaces the rows by those of a copy, in a new era that gives out the same versions again.
func (flt *fleet) restore(rows map[string]router.StoredRow) {
	flt.rows = make(map[string]router.StoredRow)
	maps.Copy(flt.rows, rows)
	flt.era++
	flt.last = 0
	for _, row := range rows {
		flt.last = max(flt.last, row.Version)
	}
}

// acquire gives the duties to a node. The holder before goes on believing that it holds them.
func (flt *fleet) acquire(nod *node) {
	number := flt.era << 32
	if row := flt.rows[leaseKey]; row.Version > 0 {
		var old int64
		_, _ = fmt.Sscan(string(row.Value), &old)
		number = max(number, old)
	}
	nod.fence, nod.believes, nod.own = number+1, true, flt.era
	wri := router.RowWrite{Key: leaseKey, Value: []byte(fmt.Sprint(number + 1)), IfVersion: flt.rows[leaseKey].Version}
	if err := flt.apply(wri); err != nil {
		flt.t.Fatal(err)
	}
	nod.version = flt.last
}

// count lets a request run at a node.
func (flt *fleet) count(nod *node, workspace string) {
	win := flt.tms.Now().UnixNano() / int64(testWindow)
	if flt.truth[win] == nil {
		flt.truth[win] = make(map[string]int64)
	}
	flt.truth[win][workspace]++
	nod.svc.OnRun(workspace)
}

// apply applies writes whose conditions hold. As the store does, it compares versions of an earlier era with those of the present one.
func (flt *fleet) apply(wrs ...router.RowWrite) (err error) {
	for _, wri := range wrs {
		if flt.rows[wri.Key].Version != wri.IfVersion {
			return router.ErrCondition
		}
	}
	flt.last++
	for _, wri := range wrs {
		if wri.Value == nil {
			delete(flt.rows, wri.Key)
			continue
		}
		if wri.Key != leaseKey || wri.IfVersion == 0 || !bytes.Equal(wri.Value, flt.rows[wri.Key].Value) {
			flt.rows[wri.Key] = router.StoredRow{Key: wri.Key, Value: wri.Value, Version: flt.last}
		}
	}
	return nil
}

func (nod *node) Fence(time.Duration) (fen router.Fence, ok bool) {
	return router.Fence{Holder: nod.name, Number: nod.fence}, nod.believes && !nod.dead
}

// Commit writes on the condition that the lease row has the node's version, which the write leaves as it is.
func (nod *node) Commit(_ context.Context, fen router.Fence, wrs ...router.RowWrite) (err error) {
	flt := nod.flt
	if fen.Number != nod.fence {
		return router.ErrCondition
	}
	row := flt.rows[leaseKey]
	wrs = append(wrs, router.RowWrite{Key: leaseKey, Value: row.Value, IfVersion: nod.version})
	era := nod.own
	if happens(flt.delayWrite) {
		flt.tms.After(time.Duration(flt.random.Int64N(int64(8*time.Second))), func(time.Time) { _ = flt.apply(wrs...) })
		return router.ErrUnavailable
	}
	if err := flt.apply(wrs...); err != nil {
		return err
	}
	if happens(flt.dieAfterWrite) {
		nod.dead = true
	}
	if era != flt.era || happens(flt.loseAnswer) {
		return router.ErrUnavailable
	}
	return nil
}

// late returns a function that applies the write of a report of a node as if it had been sent now.
func (flt *fleet) late(nod *node, workspace string, count int) (apply func()) {
	flt.t.Helper()
	win := flt.tms.Now().UnixNano()/int64(testWindow) - 1
	row := router.RowWrite{Key: fmt.Sprint(rowPrefix, win), Value: fmt.Appendf(nil, `{"Window":%d,"Counts":{%q:%d}}`, win, workspace, count)}
	lease := router.RowWrite{Key: leaseKey, Value: flt.rows[leaseKey].Value, IfVersion: nod.version}
	return func() {
		if err := flt.apply(lease, row); err != nil {
			flt.t.Fatal(err)
		}
	}
}

func (nod *node) List(_ context.Context, prefix string) (rws []router.StoredRow, era int64, err error) {
	if happens(nod.flt.loseAnswer) {
		return nil, 0, router.ErrUnavailable
	}
	for _, key := range slices.Sorted(maps.Keys(nod.flt.rows)) {
		if strings.HasPrefix(key, prefix) {
			rws = append(rws, nod.flt.rows[key])
		}
	}
	return rws, nod.flt.era, nil
}

func (*node) Transact(context.Context, int64, ...router.RowWrite) (version int64, err error) {
	return 0, errors.New("not used")
}

func (nod *node) ReportUsage(_ context.Context, _ router.Fence, rep router.UsageReport) (err error) {
	flt := nod.flt
	for _, oth := range flt.reports[rep.Window] {
		if !maps.Equal(oth.Counts, rep.Counts) {
			flt.t.Fatalf("window %d has the reports %v and %v\n%s", rep.Window, oth.Counts, rep.Counts, flt.log.String())
		}
	}
	flt.reports[rep.Window] = append(flt.reports[rep.Window], rep)
	nod.dead = nod.dead || happens(flt.dieInReport)
	if happens(flt.loseReport) {
		return router.ErrUnavailable
	}
	return nil
}

func (nod *node) SendMessage(name string, dig *wire.Digest) {
	oth := nod.flt.nodes[name]
	if oth == nil || nod.dead || oth.dead || nod.cut != oth.cut || happens(nod.flt.loseMessage) {
		return
	}
	switch {
	case dig.GetUsageRequest() != nil:
		ans := oth.svc.Answer(dig.GetUsageRequest())
		if !happens(nod.flt.loseMessage) {
			nod.svc.Deliver(ans)
		}
	case dig.GetUsageCopy() != nil:
		oth.svc.Keep(dig.GetUsageCopy())
	}
}

func (nod *node) Members() (nodes []string) {
	for _, name := range slices.Sorted(maps.Keys(nod.flt.nodes)) {
		if name != nod.name {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

func (nod *node) IsLive(name string) bool {
	oth := nod.flt.nodes[name]
	return oth != nil && !oth.dead && nod.cut == oth.cut
}

func (nod *node) CopyHolders() (nodes []string) {
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		if name != nod.name && nod.IsLive(name) && len(nodes) < 2 {
			nodes = append(nodes, name)
		}
	}
	return nodes
}

func (*node) Scale(context.Context, router.Fence, router.ScaleOrder) (err error) {
	return errors.New("not used")
}
