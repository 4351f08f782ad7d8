package router

import (
	"context"
	"errors"
	"time"
)

// Timers is the time service that parts subscribe to.
type Timers interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fun once a period until stop is called.
	Every(period time.Duration, fun func(now time.Time)) (stop func())
	// After calls fun once after the delay unless stop is called first.
	After(delay time.Duration, fun func(now time.Time)) (stop func())
}

// The errors of Table and Objects.
var (
	// ErrCondition reports that a write's condition did not hold, so nothing was written.
	ErrCondition = errors.New("condition not met")
	// ErrMissing reports that the row or object does not exist.
	ErrMissing = errors.New("not found")
	// ErrUnavailable reports that the store did not answer; a write may still have taken effect.
	ErrUnavailable = errors.New("store unavailable")
)

// Row is an item of the table service: a key, a version and an opaque value.
type Row struct {
	Key string
	// Version is a token chosen by the writer; conditions compare it.
	Version string
	Value   []byte
	// Expires is when the table service may delete the row; zero keeps it.
	Expires time.Time
}

// Write is a conditional put of one row.
type Write struct {
	Row Row
	// IfVersion is the version that must be stored now; empty requires that no row exists.
	IfVersion string
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row by a consistent read, ErrMissing or ErrUnavailable.
	Get(ctx context.Context, key string) (row Row, err error)
	// Put applies all writes in one transaction, or returns ErrCondition or ErrUnavailable.
	Put(ctx context.Context, wrs ...Write) (err error)
}

// Objects is the platform's object store.
type Objects interface {
	// Store writes an object, or returns ErrUnavailable.
	Store(ctx context.Context, key string, val []byte) (err error)
	// Load returns an object, ErrMissing or ErrUnavailable.
	Load(ctx context.Context, key string) (val []byte, err error)
}

// VMLister is the platform's lagging list of VMs.
type VMLister interface {
	// List returns the VMs, or ErrUnavailable.
	List(ctx context.Context) (vms []VM, err error)
}

// SlotRequest is a request for a slot on an upstream of a pool.
type SlotRequest struct {
	RequestID string
	Workspace string
	Class     Class
	Pool      string
	// Avoid names upstreams that already failed this request.
	Avoid map[string]bool
	// Affinity is a hash of the prompt's prefix; requests with equal values prefer one upstream.
	Affinity uint64
	// Arrived orders requests of one class.
	Arrived time.Time
	// Recall is called at most once when the granted slot is wanted back; nil forbids it.
	Recall func()
	// Started is set when an upstream has run a part of the request; it is not shed any more.
	Started bool
	// CrashSuspect is set when an upstream crashed while it ran the request; suspects do not share an upstream.
	CrashSuspect bool
}

// Result is what was observed of a granted request.
type Result struct {
	// Failed is set when the upstream failed or stalled.
	Failed bool
	// Slow is set when the request was moved away or overtaken because the upstream was slow.
	Slow bool
}

// Grant is a slot on an upstream.
type Grant interface {
	// Upstream returns the upstream to send to.
	Upstream() Upstream
	// Progress reports one more token and the gap before it.
	Progress(gap time.Duration)
	// Release returns the slot; further calls do nothing.
	Release(res Result)
}

// Scheduler decides which request runs next and where.
type Scheduler interface {
	// Acquire waits for a slot, or returns a *Refusal or the context's error.
	Acquire(ctx context.Context, ask SlotRequest) (grt Grant, err error)
	// SetDraining stops or resumes new work to an upstream.
	SetDraining(pool, upstream string, leaving bool)
	// Configure replaces pools and classes; running requests go on.
	Configure(pls []Pool, cls []Class)
}

// Queue orders the waiting requests of one pool; it is not safe for concurrent use.
type Queue interface {
	// Push adds an entry and returns the entry that it displaced, if the queue is full.
	Push(ent *QueueEntry) (shed *QueueEntry)
	// Pop removes and returns the next entry for which fit is true, or nil.
	Pop(now time.Time, fit func(ent *QueueEntry) bool) (ent *QueueEntry)
	// Remove deletes an entry that gave up, and reports whether it was there.
	Remove(ent *QueueEntry) (found bool)
	// AdjustHeld adjusts by delta the number of slots that a class holds.
	AdjustHeld(cls Class, delta int, now time.Time)
	// Resize sets the number of slots that the classes share.
	Resize(slots int, now time.Time)
	// Len returns the number of entries.
	Len() int
	// OldestOfHighestTier returns the oldest entry of the highest tier that waits, or nil when nothing does or tiers do not count.
	OldestOfHighestTier() (ent *QueueEntry)
}

// QueueEntry is a waiting SlotRequest.
type QueueEntry struct {
	Request SlotRequest
	// Guaranteed is set by Pop when the entry goes first by its class's minimum share.
	Guaranteed bool
	// Ready receives the grant; it has a buffer of one.
	Ready chan Grant
	// Dropped is closed when the entry was shed.
	Dropped chan struct{}
}

// Candidate is what a Picker knows of an upstream.
type Candidate struct {
	Upstream Upstream
	InFlight int
	// Slowdown is the observed token gap relative to the pool's median; 1 is usual.
	Slowdown float64
	// Remote is set when the upstream is in another region.
	Remote bool
}

// Picker chooses an upstream among candidates with a free slot.
type Picker interface {
	// Pick returns the index of the chosen candidate; can is never empty.
	Pick(ask SlotRequest, can []Candidate) (idx int)
}

// SlotLimiter divides the slots of upstreams between the nodes.
type SlotLimiter interface {
	// Limit returns how many requests this node may have in flight on an upstream now.
	Limit(ups Upstream) (slots int)
	// ReportShortage reports that a request waits for want of slots.
	ReportShortage()
}

// Demand is what a node holds of and wants from one pool.
type Demand struct {
	Pool string
	// Held counts the running requests of each upstream by tier.
	Held map[string]TierCounts
	// Waiting counts the queued requests by tier.
	Waiting TierCounts
}

// TierCounts counts requests by tier.
type TierCounts [MaxTier + 1]int

// Total returns the sum over all tiers.
func (tcs TierCounts) Total() (sum int) {
	for _, num := range tcs {
		sum += num
	}
	return sum
}
