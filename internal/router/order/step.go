package order

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Step is what an attempt does next about an order.
type Step int

// The values of Step.
const (
	// Claim writes the attempt's claim, conditional on the version that was read.
	Claim Step = iota + 1
	// Send opens the send gate: the attempt's own claim is in the table.
	Send
	// Replay returns the stored answer.
	Replay
	// Wait reads again later: another attempt's claim is young.
	Wait
	// TellUnknown reports that the order may have run.
	TellUnknown
	// Mismatch reports that the key was used for another request.
	Mismatch
	// GiveUp reports that the attempt may no longer send its own claim.
	GiveUp
)

// Attempt is one try at an order by one node.
type Attempt struct {
	Order router.Order
	// Nonce tells attempts apart.
	Nonce string
	Node  string
	// Deadline is when the attempt must have passed the send gate.
	Deadline time.Time
}

// Next returns what an attempt does after it read a record; rec is nil when there is none.
func Next(att Attempt, rec *wire.OrderRecord, now time.Time, wait time.Duration) Step {
	if rec == nil {
		return Claim
	}
	if rec.GetDigest() != att.Order.Digest {
		return Mismatch
	}
	switch rec.GetState() {
	case wire.OrderState_ORDER_STATE_ANSWERED:
		return Replay
	case wire.OrderState_ORDER_STATE_CLOSED:
		return Claim
	case wire.OrderState_ORDER_STATE_CLAIMED:
		return nextClaimed(att, rec, now, wait)
	default:
		return TellUnknown
	}
}

// nextClaimed decides about a claim: the attempt's own opens the gate until its deadline.
func nextClaimed(att Attempt, rec *wire.OrderRecord, now time.Time, wait time.Duration) Step {
	if rec.GetAttempt() == att.Nonce {
		if now.After(att.Deadline) {
			return GiveUp
		}
		return Send
	}
	if now.Sub(time.UnixMilli(rec.GetClaimedUnixMs())) < wait {
		return Wait
	}
	return TellUnknown
}

// Version returns the row version of a record: each state of each attempt has its own.
func Version(rec *wire.OrderRecord) string {
	return rec.GetAttempt() + "/" + rec.GetState().String()
}

// claim returns the record by which an attempt claims the order.
func (att Attempt) claim(now time.Time) *wire.OrderRecord {
	return att.record(wire.OrderState_ORDER_STATE_CLAIMED, now)
}

func (att Attempt) record(state wire.OrderState, now time.Time) *wire.OrderRecord {
	return &wire.OrderRecord{
		State:         state,
		Digest:        att.Order.Digest,
		Attempt:       att.Nonce,
		Node:          att.Node,
		ClaimedUnixMs: now.UnixMilli(),
	}
}
