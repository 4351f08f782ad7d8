package order

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
	"github.com/hornbeamdyke/hornbeamdyke/pkg/wire"
)

// Step is the next action of an attempt.
type Step int

// The values of Step.
const (
	// Claim writes the attempt's claim, on condition that the row still has the version that was read.
	Claim Step = iota + 1
	// Send sends the order: the row holds the attempt's own claim.
	Send
	// Replay returns the stored answer.
	Replay
	// Wait reads the row again later, because another attempt claimed the order less than the maximum wait ago.
	Wait
	// ReportUnknown refuses the call with the outcome Unknown, because the order may have run.
	ReportUnknown
	// Mismatch refuses the call, because its idempotency key was used for a different request.
	Mismatch
	// GiveUp ends an attempt that holds the claim but is past its deadline, without sending.
	GiveUp
)

// Attempt is one try by one node to run an order.
type Attempt struct {
	Order router.Order
	// Nonce is unique to the attempt.
	Nonce string
	Node  string
	// Deadline is the latest time to start sending.
	Deadline time.Time
}

// NextStep returns the next step of an attempt that read rec, or nil if there is no row.
// It waits for another attempt's claim until that is maxWait old, and then reports the outcome as unknown.
func NextStep(att Attempt, rec *wire.OrderRecord, now time.Time, maxWait time.Duration) Step {
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
		return nextClaimed(att, rec, now, maxWait)
	default:
		return ReportUnknown
	}
}

// nextClaimed returns the next step for a claimed order. The attempt's own claim permits sending until
// its deadline.
func nextClaimed(att Attempt, rec *wire.OrderRecord, now time.Time, maxWait time.Duration) Step {
	if rec.GetAttempt() == att.Nonce {
		if now.After(att.Deadline) {
			return GiveUp
		}
		return Send
	}
	if now.Sub(time.UnixMilli(rec.GetClaimedUnixMs())) < maxWait {
		return Wait
	}
	return ReportUnknown
}

// Version returns the row version of a record, unique to each state of each attempt.
func Version(rec *wire.OrderRecord) string {
	return rec.GetAttempt() + "/" + rec.GetState().String()
}

// claimRecord returns the record by which the attempt claims the order.
func (att Attempt) claimRecord(now time.Time) *wire.OrderRecord {
	return att.newRecord(wire.OrderState_ORDER_STATE_CLAIMED, now)
}

// newRecord returns a record of the attempt without an answer.
func (att Attempt) newRecord(state wire.OrderState, now time.Time) *wire.OrderRecord {
	return &wire.OrderRecord{
		State:         state,
		Digest:        att.Order.Digest,
		Attempt:       att.Nonce,
		Node:          att.Node,
		ClaimedUnixMs: now.UnixMilli(),
	}
}
