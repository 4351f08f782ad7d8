package usage

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/meter"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// copyInterval is the pause between copies of the counts, if these changed. The counts of the last interval before a kill are
	// lost.
	copyInterval = time.Second
	// copiedWindows is the number of windows, the current one included, whose counts a copy holds.
	copiedWindows = 2
	// stepInterval is how often the collector looks for what is due.
	stepInterval = 100 * time.Millisecond
	// maxAnswerBytes bounds an answer, which is sent as one datagram.
	maxAnswerBytes = 56 << 10
)

// Fleet is what this node knows of the others.
type Fleet interface {
	// SendMessage sends a datagram to a node; it may get lost.
	SendMessage(node string, dig *wire.Digest)
	// Members returns the other nodes that are listed or were heard.
	Members() (nodes []string)
	// IsLive reports whether a node was heard a short time ago.
	IsLive(node string) bool
	// CopyHolders returns the live nodes that keep copies of this node's counts.
	CopyHolders() (nodes []string)
}

// Options are the dependencies and settings of a Service.
type Options struct {
	// Node is the name of this node.
	Node   string
	Timers router.Timers
	Log    *slog.Logger
	// Meter counts reports and omissions; nil means that they are not counted.
	Meter *meter.Meter
	// Window is the length of a usage window.
	Window time.Duration
	// ReportWithin is the time after the end of its window at which a report is due.
	ReportWithin time.Duration
	Lease        router.DutyLease
	Rows         router.RowStore
	Caller       router.DutyCaller
	// Era returns the era of the store as far as this node knows it, or zero; nil means that it is known only when this node holds
	// the duties. Windows that end after a node has seen an era may be composed in it.
	Era func() int64
}

// Service counts the requests of this node, keeps the counts of others, and reports those of the fleet while this node holds the
// duties. It implements mesh.Usage and is safe for concurrent use.
type Service struct {
	options   Options
	fleet     Fleet
	counter   *Counter
	copies    *copies
	collector *collector
}

// New returns a Service, which needs a fleet by Join before it is started.
func New(opt Options) *Service {
	clk := clock{timers: opt.Timers, window: opt.Window}
	return &Service{
		options: opt,
		counter: NewCounter(opt.Node, opt.Timers, opt.Window),
		copies:  &copies{clock: clk, windows: make(map[int64]runCounts)},
	}
}

// Join sets the fleet.
func (svc *Service) Join(flt Fleet) {
	svc.fleet = flt
	svc.collector = newCollector(svc, clock{timers: svc.options.Timers, window: svc.options.Window})
}

// Start sends reports until stop is called, and copies until finish is called, which sends the last one: a node that stops gives
// the duties away at once, and completes requests after that. The context bounds the calls to the store and the platform.
func (svc *Service) Start(ctx context.Context) (stop, finish func()) {
	stopCopies := svc.options.Timers.Every(copyInterval, func(time.Time) {
		if svc.counter.takeChanged() {
			svc.sendCopies()
		}
	})
	stopSteps := svc.options.Timers.Every(stepInterval, func(time.Time) { svc.collector.step(ctx) })
	return stopSteps, sync.OnceFunc(func() {
		stopCopies()
		svc.sendCopies()
	})
}

// OnRun counts a request of a workspace that an upstream began to execute.
func (svc *Service) OnRun(workspace string) {
	svc.counter.Count(workspace)
}

// Answer returns what this node knows of a window: its own counts and the copies that it keeps.
func (svc *Service) Answer(req *wire.UsageRequest) (ans *wire.UsageAnswer) {
	win := req.GetWindow()
	ans = &wire.UsageAnswer{Id: req.GetId(), Window: win, Node: svc.options.Node}
	if own := svc.counter.Counts(win); own != nil {
		ans.Counts = append(ans.Counts, own)
	}
	for _, msg := range svc.copies.counts(win) {
		ans.Counts = append(ans.Counts, msg)
		if proto.Size(ans) > maxAnswerBytes {
			ans.Counts = ans.Counts[:len(ans.Counts)-1]
			svc.options.Log.Warn("usage copy left out of an answer", "Window", win, "Of", msg.GetNode(), "Workspaces", len(msg.GetCounts()))
		}
	}
	return ans
}

// Deliver passes on the answer to a request of this node.
func (svc *Service) Deliver(ans *wire.UsageAnswer) {
	if svc.collector != nil {
		svc.collector.deliver(ans)
	}
}

// Keep keeps the counts of another node.
func (svc *Service) Keep(cop *wire.UsageCopy) {
	svc.copies.keep(cop)
}

// sendCopies sends the counts of the last windows to the nodes that keep them, each window in a datagram.
func (svc *Service) sendCopies() {
	cur := svc.counter.clock.current()
	holders := svc.fleet.CopyHolders()
	for win := cur - copiedWindows + 1; win <= cur; win++ {
		msg := svc.counter.Counts(win)
		if len(msg.GetCounts()) == 0 {
			continue
		}
		for _, nod := range holders {
			svc.fleet.SendMessage(nod, &wire.Digest{UsageCopy: &wire.UsageCopy{Counts: []*wire.WindowCounts{msg}}})
		}
	}
}

// count increments the counter of an event.
func (svc *Service) count(event string) {
	if svc.options.Meter != nil {
		svc.options.Meter.Event(event)
	}
}
