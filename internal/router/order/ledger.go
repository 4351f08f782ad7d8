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
	"github.com/hornbeamdyke/hornbeamdyke/internal/errs"
	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

const (
	keyPrefix    = "order/"
	objectPrefix = "answers/"
	// maxInlineBytes is the largest body stored in the row itself; larger ones go to the object store.
	maxInlineBytes = 64 << 10
	// minPollPeriod and maxPollPeriod bound the backoff of Lookup while it waits for another attempt's answer.
	minPollPeriod = 50 * time.Millisecond
	maxPollPeriod = time.Second
	// writeRetryPeriod and maxWriteRetries bound the background retries of the write that ends an attempt.
	writeRetryPeriod = 200 * time.Millisecond
	maxWriteRetries  = 50
)

// Options configure a Ledger.
type Options struct {
	Timers  router.Timers
	Table   router.Table
	Objects router.Objects
	Log     *slog.Logger
	// Live provides Limits.OrderRetention, the lifetime of a row, and Limits.OrderWait, the maximum wait for
	// another attempt's answer.
	Live *conf.Live
	// Unprotected skips the claim. Fault-injection tests set it to show that the claim prevents double execution.
	Unprotected bool
}

// Ledger executes the order protocol against the table service.
type Ledger struct {
	options Options
	// backgroundWrites counts the unfinished background writes.
	backgroundWrites sync.WaitGroup
}

// NewLedger returns a Ledger. Call Close to wait for its background writes.
func NewLedger(opt Options) *Ledger {
	return &Ledger{options: opt}
}

// Close waits for background writes to succeed or to run out of retries.
func (led *Ledger) Close() {
	led.backgroundWrites.Wait()
}

// SendResult is the result of sending an order once. Without an Answer, Err is set.
type SendResult struct {
	Answer *router.Answer
	// Unsent is set only if nothing reached the upstream.
	Unsent bool
	Err    error
}

// Lookup returns the stored answer of an order that ran, or nil if the attempt may run the order.
//
// While another attempt has a recent claim, it polls for the answer. It returns
// a *router.Refusal if the order cannot be run now.
func (led *Ledger) Lookup(ctx context.Context, att Attempt) (ans *router.Answer, err error) {
	dly := minPollPeriod
	for {
		rec, _, err := led.read(ctx, att.Order)
		if errors.Is(err, router.ErrUnavailable) {
			return nil, refuseUnavailable()
		}
		if err != nil {
			return nil, err
		}
		switch NextStep(att, rec, led.now(), led.maxWait()) {
		case Claim, Send:
			return nil, nil
		case Replay:
			return led.replay(ctx, rec)
		case Mismatch:
			return nil, refuseMismatch(att.Order)
		case Wait:
			if err := led.sleep(ctx, dly); err != nil {
				return nil, refuseBusy(att.Order)
			}
			dly = min(2*dly, maxPollPeriod)
		default:
			return nil, refuseUnknown(att.Order)
		}
	}
}

// Run claims the order, calls send once if the claim succeeded, and stores the answer.
//
// If another attempt answered the order first, Run returns that answer. The
// error is a *router.Refusal whose outcome states whether the order ran.
func (led *Ledger) Run(ctx context.Context, att Attempt, send func() SendResult) (ans *router.Answer, err error) {
	if led.options.Unprotected {
		return led.recordResult(att, send())
	}
	rec, ver, err := led.read(ctx, att.Order)
	if err != nil {
		return nil, refuseUnavailable()
	}
	stp := NextStep(att, rec, led.now(), led.maxWait())
	if stp == Claim {
		stp, rec = led.tryClaim(ctx, att, ver)
	}
	switch stp {
	case Send:
		return led.recordResult(att, send())
	case Replay:
		return led.replay(ctx, rec)
	case Mismatch:
		return nil, refuseMismatch(att.Order)
	case Claim, GiveUp:
		return nil, refuseUnavailable()
	case Wait:
		return nil, refuseBusy(att.Order)
	default:
		return nil, refuseUnknown(att.Order)
	}
}

// tryClaim writes the claim and returns the next step and the record that the row holds then.
//
// The step Claim means that the attempt gave up: it cannot determine
// whether its claim was written, and withdraws it.
func (led *Ledger) tryClaim(ctx context.Context, att Attempt, ver string) (stp Step, rec *wire.OrderRecord) {
	clm := att.claimRecord(led.now())
	err := led.write(ctx, att.Order, clm, ver)
	if err == nil {
		if stp = NextStep(att, clm, led.now(), led.maxWait()); stp == GiveUp {
			// The claim was confirmed after the deadline. Without a withdrawal it would block the order although the
			// caller hears that it was not run.
			led.withdrawClaim(att, clm, ver)
		}
		return stp, clm
	}
	// The row decides only if a delayed write of the claim must fail: the write failed its condition already, or
	// the row now holds another version than the one that the write requires.
	rec, _, rerr := led.read(ctx, att.Order)
	if rerr == nil && (rec != nil && rec.GetState() != wire.OrderState_ORDER_STATE_CLOSED || errors.Is(err, router.ErrCondition)) {
		stp = NextStep(att, rec, led.now(), led.maxWait())
		if stp != Claim && stp != GiveUp {
			return stp, rec
		}
	}
	led.withdrawClaim(att, clm, ver)
	return Claim, nil
}

// withdrawClaim closes an order whose claim may still be written, so that a delayed write of it fails or
// is undone.
func (led *Ledger) withdrawClaim(att Attempt, clm *wire.OrderRecord, ver string) {
	closed := att.newRecord(wire.OrderState_ORDER_STATE_CLOSED, led.now())
	led.writeWithRetry(att, "withdraw claim", func(ctx context.Context) error {
		err := led.write(ctx, att.Order, closed, ver)
		if !errors.Is(err, router.ErrCondition) {
			return err
		}
		err = led.write(ctx, att.Order, closed, Version(clm))
		if errors.Is(err, router.ErrCondition) {
			// The row holds neither ver nor the claim, so a delayed write of the claim fails.
			return nil
		}
		return err
	})
}

// recordResult stores the result of sending and returns the answer or refusal for the caller.
func (led *Ledger) recordResult(att Attempt, res SendResult) (ans *router.Answer, err error) {
	switch {
	case res.Answer != nil:
		led.finish(att, wire.OrderState_ORDER_STATE_ANSWERED, res.Answer)
		return res.Answer, nil
	case res.Unsent:
		led.finish(att, wire.OrderState_ORDER_STATE_CLOSED, nil)
		return nil, router.Refuse(http.StatusServiceUnavailable, router.CodeUpstream,
			"order %s could not be sent: %v", att.Order.Key, res.Err)
	default:
		led.finish(att, wire.OrderState_ORDER_STATE_LOST, nil)
		return nil, router.RefuseUnknown(router.CodeOrderUnknown,
			"order %s was sent and its answer did not arrive: %v", att.Order.Key, res.Err)
	}
}

// finish moves the row from Claimed to the state that ends the attempt. The first try is made before it
// returns, and so before the caller gets the answer.
func (led *Ledger) finish(att Attempt, sta wire.OrderState, ans *router.Answer) {
	if led.options.Unprotected {
		return
	}
	rec := att.newRecord(sta, led.now())
	clm := att.newRecord(wire.OrderState_ORDER_STATE_CLAIMED, led.now())
	led.writeWithRetry(att, "store answer", func(ctx context.Context) error {
		if err := led.attachAnswer(ctx, att, rec, ans); err != nil {
			return err
		}
		err := led.write(ctx, att.Order, rec, Version(clm))
		if errors.Is(err, router.ErrCondition) {
			// An earlier try took effect, but its reply was lost.
			return nil
		}
		return err
	})
}

// attachAnswer puts the answer into the record. A body above maxInlineBytes goes to the object store instead.
func (led *Ledger) attachAnswer(ctx context.Context, att Attempt, rec *wire.OrderRecord, ans *router.Answer) (err error) {
	if ans == nil {
		return nil
	}
	rec.Answer = ToWire(ans)
	if len(ans.Body) <= maxInlineBytes {
		return nil
	}
	rec.Object = objectPrefix + rowKey(att.Order) + "/" + att.Nonce
	rec.Answer.Body = nil
	return led.options.Objects.Store(ctx, rec.GetObject(), ans.Body)
}

// writeWithRetry calls writeOnce, and calls it again in the background while it fails.
func (led *Ledger) writeWithRetry(att Attempt, what string, writeOnce func(ctx context.Context) error) {
	err := writeOnce(context.Background())
	if err == nil {
		return
	}
	led.options.Log.Warn("order write failed", "What", what, "Order", att.Order.Key, "Error", err.Error())
	led.backgroundWrites.Go(func() {
		for range maxWriteRetries {
			_ = led.sleep(context.Background(), writeRetryPeriod)
			if err := writeOnce(context.Background()); err == nil {
				return
			}
		}
		led.options.Log.Error("order write given up", "What", what, "Order", att.Order.Key)
	})
}

// replay returns the answer stored in a record, with its body from the object store if it is there.
func (led *Ledger) replay(ctx context.Context, rec *wire.OrderRecord) (ans *router.Answer, err error) {
	defer errs.Annotate(&err, "replay stored answer")
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

// read returns the order's record and row version, or nil and "" if there is no row.
func (led *Ledger) read(ctx context.Context, ord router.Order) (rec *wire.OrderRecord, ver string, err error) {
	defer errs.Annotate(&err, "read order")
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

// write stores a record on condition that the row has the version ver, or that there is no row if ver is "".
func (led *Ledger) write(ctx context.Context, ord router.Order, rec *wire.OrderRecord, ver string) (err error) {
	defer errs.Annotate(&err, "write order")
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

func (led *Ledger) maxWait() time.Duration {
	return led.options.Live.Get().Limits.OrderWait
}

func (led *Ledger) sleep(ctx context.Context, dur time.Duration) (err error) {
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

func refuseUnavailable() error {
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
