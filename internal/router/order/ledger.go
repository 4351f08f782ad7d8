package order

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamdyke/hornbeamdyke/internal/conf"
	"github.com/hornbeamdyke/hornbeamdyke/internal/fault"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	keyPrefix    = "order/"
	objectPrefix = "answers/"
	// inlineBytes is the largest answer kept in the row itself.
	inlineBytes = 64 << 10
	// firstPoll and longestPoll bound how often a repeat looks for the first run's answer.
	firstPoll   = 50 * time.Millisecond
	longestPoll = time.Second
	// settlePause and settleTries bound the writes that follow an attempt in the background.
	settlePause = 200 * time.Millisecond
	settleTries = 50
)

// Options are what a Ledger is built from.
type Options struct {
	Timers  router.Timers
	Table   router.Table
	Objects router.Objects
	Log     *slog.Logger
	// Live gives how long a row is kept and how long a repeat waits.
	Live *conf.Live
	// Unprotected removes the claim; failure tests use it to show what the claim prevents.
	Unprotected bool
}

// Ledger runs the order protocol against the table service.
type Ledger struct {
	options Options
	// settling counts the background writes that are not done.
	settling sync.WaitGroup
}

// NewLedger returns a Ledger.
func NewLedger(opt Options) *Ledger {
	return &Ledger{options: opt}
}

// Close waits for the writes that go on in the background.
func (led *Ledger) Close() {
	led.settling.Wait()
}

// Sent is what became of sending an order once.
type Sent struct {
	Answer *router.Answer
	// Unsent is set when it is proved that nothing reached the upstream.
	Unsent bool
	Err    error
}

// Look returns the stored answer of an order that ran, or nil when the attempt may claim.
//
// It waits while another attempt's claim is young, and returns a
// *router.Refusal when the order cannot be run now.
func (led *Ledger) Look(ctx context.Context, att Attempt) (ans *router.Answer, err error) {
	pse := firstPoll
	for {
		rec, _, err := led.read(ctx, att.Order)
		if errors.Is(err, router.ErrUnavailable) {
			return nil, refuseTable()
		}
		if err != nil {
			return nil, err
		}
		switch Next(att, rec, led.now(), led.wait()) {
		case Claim, Send:
			return nil, nil
		case Replay:
			return led.replay(ctx, rec)
		case Mismatch:
			return nil, refuseMismatch(att.Order)
		case Wait:
			if err := led.pause(ctx, pse); err != nil {
				return nil, refuseBusy(att.Order)
			}
			pse = min(2*pse, longestPoll)
		default:
			return nil, refuseUnknown(att.Order)
		}
	}
}

// Run claims the order, calls send at most once if the claim is the attempt's own, and stores the answer.
//
// The error is a *router.Refusal whose outcome says whether the order ran.
func (led *Ledger) Run(ctx context.Context, att Attempt, send func() Sent) (ans *router.Answer, err error) {
	if led.options.Unprotected {
		return led.settle(att, send())
	}
	rec, ver, err := led.read(ctx, att.Order)
	if err != nil {
		return nil, refuseTable()
	}
	stp := Next(att, rec, led.now(), led.wait())
	if stp == Claim {
		stp, rec = led.claim(ctx, att, ver)
	}
	switch stp {
	case Send:
		return led.settle(att, send())
	case Replay:
		return led.replay(ctx, rec)
	case Mismatch:
		return nil, refuseMismatch(att.Order)
	case Claim, GiveUp:
		return nil, refuseTable()
	case Wait:
		return nil, refuseBusy(att.Order)
	default:
		return nil, refuseUnknown(att.Order)
	}
}

// claim writes the claim and returns the step that follows from what is known to be in the table.
//
// Claim as a result means that the attempt gave up without a claim.
func (led *Ledger) claim(ctx context.Context, att Attempt, ver string) (stp Step, rec *wire.OrderRecord) {
	clm := att.claim(led.now())
	err := led.write(ctx, att.Order, clm, ver)
	if err == nil {
		return Next(att, clm, led.now(), led.wait()), clm
	}
	rec, _, rerr := led.read(ctx, att.Order)
	if rerr == nil && (rec != nil && rec.GetState() != wire.OrderState_ORDER_STATE_CLOSED || errors.Is(err, router.ErrCondition)) {
		stp = Next(att, rec, led.now(), led.wait())
		if stp != Claim && stp != GiveUp {
			return stp, rec
		}
	}
	led.withdraw(att, clm, ver)
	return Claim, nil
}

// withdraw closes an order whose claim may still be on its way, so that the late write fails or is undone.
func (led *Ledger) withdraw(att Attempt, clm *wire.OrderRecord, ver string) {
	cls := att.record(wire.OrderState_ORDER_STATE_CLOSED, led.now())
	led.background(att, "withdraw claim", func(ctx context.Context) error {
		err := led.write(ctx, att.Order, cls, ver)
		if !errors.Is(err, router.ErrCondition) {
			return err
		}
		err = led.write(ctx, att.Order, cls, Version(clm))
		if errors.Is(err, router.ErrCondition) {
			return nil
		}
		return err
	})
}

// settle records what became of sending, and returns what the caller is told.
func (led *Ledger) settle(att Attempt, snt Sent) (ans *router.Answer, err error) {
	switch {
	case snt.Answer != nil:
		led.finish(att, wire.OrderState_ORDER_STATE_ANSWERED, snt.Answer)
		return snt.Answer, nil
	case snt.Unsent:
		led.finish(att, wire.OrderState_ORDER_STATE_CLOSED, nil)
		return nil, router.Refuse(http.StatusServiceUnavailable, router.CodeUpstream,
			"order %s could not be sent: %v", att.Order.Key, snt.Err)
	default:
		led.finish(att, wire.OrderState_ORDER_STATE_LOST, nil)
		return nil, router.RefuseUnknown(router.CodeOrderUnknown,
			"order %s was sent and its answer did not arrive: %v", att.Order.Key, snt.Err)
	}
}

// finish moves the row from Claimed to its last state; the first try is made before the caller is told.
func (led *Ledger) finish(att Attempt, sta wire.OrderState, ans *router.Answer) {
	if led.options.Unprotected {
		return
	}
	rec := att.record(sta, led.now())
	clm := att.record(wire.OrderState_ORDER_STATE_CLAIMED, led.now())
	led.background(att, "store answer", func(ctx context.Context) error {
		if err := led.attach(ctx, att, rec, ans); err != nil {
			return err
		}
		err := led.write(ctx, att.Order, rec, Version(clm))
		if errors.Is(err, router.ErrCondition) {
			// An earlier try took effect and its answer was lost.
			return nil
		}
		return err
	})
}

// attach puts the answer into the record, or into the object store if it is large.
func (led *Ledger) attach(ctx context.Context, att Attempt, rec *wire.OrderRecord, ans *router.Answer) (err error) {
	if ans == nil {
		return nil
	}
	rec.Answer = ToWire(ans)
	if len(ans.Body) <= inlineBytes {
		return nil
	}
	rec.Object = objectPrefix + rowKey(att.Order) + "/" + att.Nonce
	rec.Answer.Body = nil
	return led.options.Objects.Store(ctx, rec.GetObject(), ans.Body)
}

// background tries at once, and goes on trying on a goroutine while the store fails.
func (led *Ledger) background(att Attempt, what string, try func(ctx context.Context) error) {
	err := try(context.Background())
	if err == nil {
		return
	}
	led.options.Log.Warn("order write failed", "What", what, "Order", att.Order.Key, "Error", err.Error())
	led.settling.Go(func() {
		for range settleTries {
			_ = led.pause(context.Background(), settlePause)
			if err := try(context.Background()); err == nil {
				return
			}
		}
		led.options.Log.Error("order write given up", "What", what, "Order", att.Order.Key)
	})
}

func (led *Ledger) replay(ctx context.Context, rec *wire.OrderRecord) (ans *router.Answer, err error) {
	defer fault.Annotate(&err, "replay stored answer")
	ans = FromWire(rec.GetAnswer())
	if rec.GetObject() == "" {
		return ans, nil
	}
	ans.Body, err = led.options.Objects.Load(ctx, rec.GetObject())
	if err != nil {
		return nil, router.RefuseUnknown(router.CodeTable, "the order ran; its stored answer cannot be read now")
	}
	return ans, nil
}

// read returns the order's record and row version; rec is nil and ver empty when there is none.
func (led *Ledger) read(ctx context.Context, ord router.Order) (rec *wire.OrderRecord, ver string, err error) {
	defer fault.Annotate(&err, "read order")
	row, err := led.options.Table.Get(ctx, rowKey(ord))
	if errors.Is(err, router.ErrMissing) {
		return nil, "", nil
	}
	if err != nil {
		return nil, "", err
	}
	rec = &wire.OrderRecord{}
	if err := proto.Unmarshal(row.Value, rec); err != nil {
		return nil, "", err
	}
	return rec, row.Version, nil
}

func (led *Ledger) write(ctx context.Context, ord router.Order, rec *wire.OrderRecord, ver string) (err error) {
	defer fault.Annotate(&err, "write order")
	val, err := proto.Marshal(rec)
	if err != nil {
		return err
	}
	row := router.Row{Key: rowKey(ord), Version: Version(rec), Value: val, Expires: led.now().Add(led.options.Live.Get().Limits.OrderRetention)}
	return led.options.Table.Put(ctx, router.Write{Row: row, IfVersion: ver})
}

func (led *Ledger) now() time.Time {
	return led.options.Timers.Now()
}

func (led *Ledger) wait() time.Duration {
	return led.options.Live.Get().Limits.OrderWait
}

func (led *Ledger) pause(ctx context.Context, dur time.Duration) (err error) {
	don := make(chan struct{})
	stop := led.options.Timers.After(dur, func(time.Time) { close(don) })
	defer stop()
	select {
	case <-don:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func rowKey(ord router.Order) string {
	return keyPrefix + ord.Workspace + "/" + ord.Key
}

func refuseTable() error {
	return router.Refuse(http.StatusServiceUnavailable, router.CodeTable,
		"the table service does not answer, so the order was not sent")
}

func refuseMismatch(ord router.Order) error {
	return router.Refuse(http.StatusConflict, router.CodeOrderMismatch,
		"idempotency key %s was used for another request", ord.Key)
}

func refuseBusy(ord router.Order) error {
	ref := router.Refuse(http.StatusConflict, router.CodeOrderBusy, "order %s is being run", ord.Key)
	ref.Outcome = router.Unknown
	return ref
}

func refuseUnknown(ord router.Order) error {
	return router.RefuseUnknown(router.CodeOrderUnknown,
		"order %s was claimed and its answer is not known; it will not be sent again", ord.Key)
}
