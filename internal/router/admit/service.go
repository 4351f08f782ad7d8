package admit

import (
	"math"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

const (
	// viewAge is how long a view of the fleet is used.
	viewAge = 20 * time.Millisecond
	// queueShare is the number of calls above the slots that are sent to upstreams which queue them, as a share of the slots. A slot that
	// becomes free is taken again without waiting for a digest.
	queueShare = 1.0 / 16
	// plentyShare is the share of free slots from which calls start although others wait at peers.
	plentyShare = 1.0 / 20
	// maxCredit is the number of waiting calls that may start at once.
	maxCredit = 8
	// viewDelay is how late digests show what other nodes started. Over this time a node takes its part of the free slots.
	viewDelay = 300 * time.Millisecond
	// replaceShare is the number of waiting calls that start for each one that ends while no slot is free. Below 1, the calls above the
	// slots decrease. baseRate is the number per second that start besides, at a node without running calls.
	replaceShare = 0.5
	baseRate     = 1.0
	// forceTargetShare is the part of the target after which a call starts at the drain rate although no slot is known to be
	// free: the view is late. defaultTarget is assumed for routes without one.
	forceTargetShare = 0.25
	defaultTarget    = time.Second
)

// service is the state of one service.
type service struct {
	name  string
	queue []*waiter
	// own counts the calls in the queue, and peers those that wait at each peer; atPeers is the sum over the peers.
	own, atPeers tierCounts
	peers        map[string]tierCounts
	uses         uses
	shares       shares
	drain        drain
	outputs      outputs
	returns      returns
	// sends counts the calls that were sent; turns holds the last one of each group, and lastSpared the last one without a chance.
	sends      int
	turns      map[group]turn
	lastSpared turn
	view       router.ServiceView
	viewedAt   time.Time
	// running is the number of calls of this node that were started, and started those since viewedAt less the ended ones.
	running, started int
	// credit is the number of waiting calls that may start, as of creditAt.
	credit   float64
	creditAt time.Time
	// short is set while calls wait or are refused, since shortAt.
	short   bool
	shortAt time.Time
}

// refresh takes a new view of the fleet if the last one is old.
func (ser *service) refresh(view func(service string) router.ServiceView, now time.Time) {
	if ser.viewedAt.IsZero() || now.Sub(ser.viewedAt) >= viewAge {
		ser.view, ser.viewedAt, ser.started = view(ser.name), now, 0
	}
}

// free returns the number of calls that may start; it is negative if too many run.
func (ser *service) free() (calls int) {
	vie := ser.view
	slots := vie.Slots
	if vie.Queues {
		slots += int(queueShare * float64(slots))
	}
	calls = slots - vie.Running - ser.started
	if vie.CacheCapacity > 0 && vie.Running > 0 {
		// Calls take the memory that the present ones take on average.
		perCall := max(1, vie.CacheTokens/vie.Running)
		calls = min(calls, (vie.CacheCapacity-vie.CacheTokens)/perCall-ser.started)
	}
	return calls
}

// plenty reports whether enough slots are free that a late view of the fleet does no harm.
func (ser *service) plenty() bool {
	return float64(ser.free()) > plentyShare*float64(ser.view.Slots)
}

// admits reports whether a call may start without waiting.
func (ser *service) admits(tier int) bool {
	if ser.view.Slots == 0 {
		return true
	}
	if len(ser.queue) > 0 || ser.free() <= 0 {
		return false
	}
	_, peers := ser.waiting(tier)
	return peers == 0 || ser.plenty()
}

// idle reports whether a refusal would be wrong in any case: fewer than half of the slots are taken and nothing waits.
func (ser *service) idle() bool {
	own, peers := ser.waiting(math.MaxInt)
	return own+peers == 0 && 2*ser.view.Running < ser.view.Slots
}

// rateFor returns the calls per second in the fleet that start of those of a tier, a rank and more urgent ones which wait already; zero
// if it is unknown. Calls that arrive later and start before them take the rest.
func (ser *service) rateFor(tier, rank int, now time.Time) (rate float64) {
	own, rate, known := ser.drain.rates(ser.running, ser.view.Running, now)
	if !known || own <= 0 {
		return 0
	}
	return rate * max(1.0/minShare, 1-ser.uses.before(tier, rank, now)/own)
}

// wait returns the expected wait of a call that has a number of calls ahead of it at this node, of which some are of its own
// workspace. The rate is that of rateFor.
func (ser *service) wait(wai *waiter, all, same int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	own, peers := ser.waiting(wai.Tier)
	// By its minimum share, a call waits for no more than the calls of its own workspace at a part of the rate, if the peers have as
	// many for each call of this node.
	perNode := 1 + float64(peers)/float64(max(1, own))
	calls := min(float64(all+peers), minShare*float64(same+1)*perNode)
	return time.Duration(calls / rate * float64(time.Second))
}

// accrue adds the credit for the time since the last call. While slots are free, that is this node's part of the waiting calls, of the
// drain rate and of the free slots.
func (ser *service) accrue(now time.Time) {
	rate := baseRate
	if free := ser.free(); free > 0 {
		own, peers := ser.waiting(math.MaxInt)
		_, drain, _ := ser.drain.rates(ser.running, ser.view.Running, now)
		rate = max(rate, (drain+float64(free)/viewDelay.Seconds())*float64(own)/float64(max(1, own+peers)))
	}
	ser.addCredit(rate * now.Sub(ser.creditAt).Seconds())
	ser.creditAt = now
}

func (ser *service) addCredit(calls float64) {
	ser.credit = min(ser.credit+calls, maxCredit)
}

// mayStart reports whether a waiting call may start now.
func (ser *service) mayStart(wai *waiter, now time.Time) bool {
	switch {
	case ser.view.Slots == 0:
		return true
	case ser.credit < 1:
		return false
	case ser.free() > 0:
		return true
	default:
		return now.Sub(wai.entered) >= time.Duration(forceTargetShare*float64(wai.target()))
	}
}

// target returns the target of a call.
func (wai *waiter) target() time.Duration {
	if wai.Route.Target <= 0 {
		return defaultTarget
	}
	return wai.Route.Target
}
