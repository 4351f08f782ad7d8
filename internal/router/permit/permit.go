package permit

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router/timer"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	// answerTimeout is how long the answer of an owner may take; it is several round trips between regions.
	answerTimeout = 250 * time.Millisecond
	// silencePause is how long an owner is not asked again that did not answer maxMissed requests in a row.
	silencePause = 500 * time.Millisecond
	maxMissed    = 2
	// missedPause is how long the upstream counts as without free permits after one request that was not answered.
	missedPause = 100 * time.Millisecond
	// foreignDelay is the delay told to a node that takes this one for the owner: by then the next digests have arrived.
	foreignDelay = 200 * time.Millisecond
	// minRate is the lowest rate at which permits are spaced, in requests per second.
	minRate = 1e-3
)

// Fleet is what this node knows of the others.
type Fleet interface {
	// Owner returns the name of the node that owns an upstream's limit; self is set if it is this node. The upstream is
	// identified by its hash and lies in a failure domain.
	Owner(upstream uint64, domain string) (node string, self bool)
	// Share returns the part of each limit that the nodes which ask for permits and are heard may use, from 0 to 1.
	Share() float64
	// SendPermitRequest sends a request to a node; it may get lost.
	SendPermitRequest(node string, req *wire.PermitRequest)
}

// Verdict is the answer to a request for a permit.
type Verdict struct {
	Granted bool
	// Delay is how long to wait before the request may be sent, or until a permit is free if none was granted.
	Delay time.Duration
}

// Service asks for permits, and grants those of the upstreams that this node owns. It is safe for concurrent use.
type Service struct {
	timers router.Timers
	log    *slog.Logger
	fleet  Fleet
	lastID atomic.Uint64

	mut sync.Mutex
	// buckets holds the buckets of the upstreams that this node owns or owned, by the hash of the upstream.
	buckets map[uint64]*bucket
	// answers holds the channels of the requests that wait for an answer, by their number.
	answers map[uint64]chan *wire.PermitAnswer
	// freeAt holds when a permit will be free, by the hash of the upstream, as its owner told.
	freeAt map[uint64]time.Time
	// silent holds the owners that did not answer the last request.
	silent map[string]silence
}

// silence is the silence of an owner.
type silence struct {
	// missed counts the requests without an answer since the last answer.
	missed int
	// until is until when the owner is not asked.
	until time.Time
}

// New returns a Service, which needs a fleet by Join before it is used.
func New(tms router.Timers, log *slog.Logger) *Service {
	return &Service{
		timers: tms, log: log,
		buckets: make(map[uint64]*bucket), answers: make(map[uint64]chan *wire.PermitAnswer),
		freeAt: make(map[uint64]time.Time), silent: make(map[string]silence),
	}
}

// Join sets the fleet whose nodes share the limits.
func (svc *Service) Join(flt Fleet) {
	svc.fleet = flt
}

// Ask asks for a permit to send one request to an upstream with a limit in requests per second. A request that may wait gets
// a permit that will be free by then.
func (svc *Service) Ask(ctx context.Context, ins router.Instance, limit float64, wait time.Duration) (ver Verdict) {
	upstream := ins.Hash()
	if delay := svc.freeIn(upstream); delay > wait {
		return Verdict{Delay: delay}
	}
	req := &wire.PermitRequest{
		Instance: upstream, FailureDomain: ins.FailureDomain, RateLimit: limit, WaitMs: uint32(min(wait.Milliseconds(), math.MaxUint32)),
	}
	ans := svc.request(ctx, req)
	ver = Verdict{Granted: ans.GetGranted(), Delay: time.Duration(ans.GetDelayMs()) * time.Millisecond}
	// The answer to a call that has ended may be missing for that reason.
	if !ver.Granted && ctx.Err() == nil {
		svc.mut.Lock()
		svc.freeAt[upstream] = svc.timers.Now().Add(ver.Delay)
		svc.mut.Unlock()
	}
	return ver
}

// FreeIn returns how long no permit for an upstream is free, as far as this node knows.
func (svc *Service) FreeIn(ins router.Instance) time.Duration {
	return svc.freeIn(ins.Hash())
}

func (svc *Service) freeIn(upstream uint64) time.Duration {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	return max(0, svc.freeAt[upstream].Sub(svc.timers.Now()))
}

// request gets the answer of the owner, which may be this node.
func (svc *Service) request(ctx context.Context, req *wire.PermitRequest) (ans *wire.PermitAnswer) {
	owner, self := svc.fleet.Owner(req.GetInstance(), req.GetFailureDomain())
	if self {
		return svc.Grant(req)
	}
	if delay := svc.silentFor(owner); delay > 0 {
		return denial(delay)
	}
	req.Id = svc.lastID.Add(1)
	chn := make(chan *wire.PermitAnswer, 1)
	svc.mut.Lock()
	svc.answers[req.GetId()] = chn
	svc.mut.Unlock()
	defer func() {
		svc.mut.Lock()
		defer svc.mut.Unlock()
		delete(svc.answers, req.GetId())
	}()
	svc.fleet.SendPermitRequest(owner, req)
	limited, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	select {
	case ans = <-chn:
		svc.recordAnswer(owner)
		return ans
	case <-limited.Done():
	}
	if ctx.Err() == nil {
		svc.recordSilence(owner)
	}
	return denial(missedPause)
}

func denial(delay time.Duration) *wire.PermitAnswer {
	return &wire.PermitAnswer{DelayMs: uint32(delay.Milliseconds())}
}

// silentFor returns how long an owner is not asked because it did not answer.
func (svc *Service) silentFor(owner string) time.Duration {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	return max(0, svc.silent[owner].until.Sub(svc.timers.Now()))
}

func (svc *Service) recordAnswer(owner string) {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	delete(svc.silent, owner)
}

// recordSilence records a request without an answer. A single datagram may be lost; an owner that misses maxMissed requests in a
// row is not asked for silencePause.
func (svc *Service) recordSilence(owner string) {
	svc.mut.Lock()
	sil := svc.silent[owner]
	sil.missed++
	if sil.missed >= maxMissed {
		sil.until = svc.timers.Now().Add(silencePause)
	}
	svc.silent[owner] = sil
	svc.mut.Unlock()
	svc.log.Info("permit not answered", "Peer", owner, "Missed", sil.missed)
}

// Deliver passes an answer to the request that waits for it; a late one is dropped.
func (svc *Service) Deliver(ans *wire.PermitAnswer) {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	if chn := svc.answers[ans.GetId()]; chn != nil {
		delete(svc.answers, ans.GetId())
		chn <- ans
	}
}

// Grant answers a request for a permit for an upstream that this node owns.
func (svc *Service) Grant(req *wire.PermitRequest) (ans *wire.PermitAnswer) {
	rate := req.GetRateLimit() * svc.fleet.Share()
	_, self := svc.fleet.Owner(req.GetInstance(), req.GetFailureDomain())
	if !self || !(rate > 0) {
		ans = denial(foreignDelay)
		ans.Id = req.GetId()
		return ans
	}
	interval := time.Duration(float64(time.Second) / max(rate, minRate))
	now := svc.timers.Now()
	svc.mut.Lock()
	defer svc.mut.Unlock()
	buc := svc.buckets[req.GetInstance()]
	if buc == nil {
		buc = newBucket(now, interval)
		svc.buckets[req.GetInstance()] = buc
	}
	delay, granted := buc.take(now, interval, time.Duration(req.GetWaitMs())*time.Millisecond)
	// The delay is rounded up, so that no permit is used early.
	delay = (delay + time.Millisecond - 1).Truncate(time.Millisecond)
	return &wire.PermitAnswer{Id: req.GetId(), Granted: granted, DelayMs: uint32(min(delay.Milliseconds(), math.MaxUint32))}
}

// Remove forgets an upstream whose incarnation ended.
func (svc *Service) Remove(ins router.Instance) {
	svc.mut.Lock()
	defer svc.mut.Unlock()
	delete(svc.buckets, ins.Hash())
	delete(svc.freeAt, ins.Hash())
}

// Wait waits until a granted permit is valid, or until the context ends.
func (ver Verdict) Wait(ctx context.Context) {
	if ver.Delay > 0 {
		timer.Sleep(ctx, ver.Delay)
	}
}
