package router

import (
	"context"
	"errors"
	"time"
)

// Fence identifies the holder of the fleet's duties towards the platform.
type Fence struct {
	// Holder is the name of the node that holds the duties.
	Holder string
	// Number increases whenever the holder changes.
	Number int64
}

// DutyLease states whether this node holds the fleet's duties, the calls to the platform that one node at a time may make.
type DutyLease interface {
	// Fence returns the fence for a call that ends within a time limit; ok is false if this node does not hold the duties for so long.
	Fence(limit time.Duration) (fen Fence, ok bool)
	// Commit writes rows if this node still holds the duties by a fence when the store applies the write. It returns ErrCondition if
	// it does not or if a row has another version, and ErrUnavailable if the outcome is unknown.
	Commit(ctx context.Context, fen Fence, wrs ...RowWrite) (err error)
}

// StoredRow is a row of the platform's store with the version that the store gave it.
type StoredRow struct {
	Key   string
	Value []byte
	// Version is zero if the row does not exist. Versions are comparable only within an era of the store.
	Version int64
}

// RowWrite writes a row on the condition that the stored one has a version.
type RowWrite struct {
	Key string
	// Value replaces the row; nil removes it.
	Value []byte
	// IfVersion is the version that the stored row must have; zero requires that it does not exist.
	IfVersion int64
}

// RowStore is a table of the platform's store whose rows are compared by the store's own versions.
type RowStore interface {
	// List returns the rows whose keys have a prefix, and the era of their versions, or ErrUnavailable.
	List(ctx context.Context, prefix string) (rws []StoredRow, era int64, err error)
	// Transact applies all writes or none, on the conditions of the writes. The versions are those of an era. It returns the version of
	// the written rows, or ErrCondition, or ErrUnavailable if the outcome is unknown.
	Transact(ctx context.Context, era int64, wrs ...RowWrite) (version int64, err error)
}

// UsageReport is the number of requests of each workspace that upstreams began to execute in a usage window.
type UsageReport struct {
	// Window is the start of the window in Unix time, divided by the length of a window.
	Window int64
	Counts map[string]int64
}

// ScaleOrder sets the number of upstreams of a service in a failure domain.
type ScaleOrder struct {
	Service       string
	FailureDomain string
	Count         int
	// Spot selects the upstreams that the platform may reclaim; both kinds are counted separately.
	Spot bool
}

// ErrNoCapacity reports that the platform has no more upstreams of the ordered kind at present.
var ErrNoCapacity = errors.New("no capacity")

// DutyCaller makes the calls to the platform that only the holder of the duties may make.
type DutyCaller interface {
	// ReportUsage sends a usage report; ErrUnavailable means that it may have been accepted.
	ReportUsage(ctx context.Context, fen Fence, rep UsageReport) (err error)
	// Scale sends an order. It returns ErrNoCapacity if the platform has none of the ordered upstreams, and ErrUnavailable if the order
	// may have been accepted.
	Scale(ctx context.Context, fen Fence, ord ScaleOrder) (err error)
}

// FencedCaller is a DutyCaller that checks the lease itself, right before the bytes of a call are written.
type FencedCaller interface {
	DutyCaller
	// SetLease sets the lease. Calls that it does not cover return ErrCondition and are not sent.
	SetLease(les DutyLease)
}

// ScalingSpec bounds the number of upstreams of a service that are ordered from the platform.
type ScalingSpec struct {
	// Min and Max bound the number of upstreams in each failure domain, of both kinds together.
	Min, Max int
	// Boot is the time from an order until a new upstream serves.
	Boot time.Duration
	// SpotPrice is the price of an upstream that may be reclaimed, as a share of the price of another one; zero means that there are
	// none of them.
	SpotPrice float64
	// Prices holds the relative price of an upstream by failure domain.
	Prices map[string]float64
}
