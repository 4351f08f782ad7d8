package router

import (
	"context"
	"errors"
	"time"
)

// Timers is a clock that also schedules callbacks. Package timer implements it.
type Timers interface {
	// Now returns the current time.
	Now() time.Time
	// Every calls fun once per period until stop is called.
	Every(period time.Duration, fun func(now time.Time)) (stop func())
	// After calls fun once after the delay unless stop is called first.
	After(delay time.Duration, fun func(now time.Time)) (stop func())
}

// The errors of Table and Objects.
var (
	// ErrCondition reports that the condition of a write did not hold and nothing was written.
	ErrCondition = errors.New("condition not met")
	// ErrMissing reports that the row or object does not exist.
	ErrMissing = errors.New("not found")
	// ErrUnavailable reports that the store did not respond; a write may still have been applied.
	ErrUnavailable = errors.New("store unavailable")
)

// Row is an item of the table service.
type Row struct {
	Key string
	// Version is an opaque token set by the writer and compared by Write.IfVersion.
	Version string
	Value   []byte
	// Expires is when the table service may delete the row; zero means never.
	Expires time.Time
}

// Write is a conditional put of one row.
type Write struct {
	Row Row
	// IfVersion is the version that the stored row must have; empty requires that no row exists.
	IfVersion string
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row by a strongly consistent read, or ErrMissing or ErrUnavailable.
	Get(ctx context.Context, key string) (row Row, err error)
	// Put applies all writes in one transaction, or returns ErrCondition or ErrUnavailable.
	Put(ctx context.Context, wrs ...Write) (err error)
}

// Objects is the platform's object store.
type Objects interface {
	// Store creates or replaces an object, or returns ErrUnavailable.
	Store(ctx context.Context, key string, val []byte) (err error)
	// Load returns an object, or ErrMissing or ErrUnavailable.
	Load(ctx context.Context, key string) (val []byte, err error)
}

// VMLister reads the platform's list of VMs, which is eventually consistent.
type VMLister interface {
	// List returns the VMs, or ErrUnavailable.
	List(ctx context.Context) (vms []VM, err error)
}

// SlotRequest is a request to the Scheduler for a slot on an upstream of a pool.
type SlotRequest struct {
	RequestID string
	Workspace string
	Class     Class
	Pool      string
	// Avoid holds the names of upstreams that already failed this request.
	Avoid map[string]bool
	// Affinity is a hash of the prompt's prefix; requests with equal values prefer the same
	// upstream, so that its KV cache is reused. Zero means no preference.
	Affinity uint64
	// Arrived is when the request arrived; requests of one class are served in this order.
	Arrived time.Time
	// Recall is called at most once, to preempt the request after the slot was granted; nil
	// forbids preemption.
	Recall func()
	// Started is set when the request may have reached an upstream before; it is then not shed from a
	// full queue.
	Started bool
	// CrashSuspect is set when an upstream crashed while it ran the request. No two suspects run on
	// one upstream at a time.
	CrashSuspect bool
}

// Result describes how a request ended on the upstream whose slot it held.
type Result struct {
	// Failed is set when the upstream failed or stalled.
	Failed bool
	// Slow is set when the upstream was so slow that the request was moved to another one, or was
	// overtaken by a hedged attempt there.
	Slow bool
}

// Grant is a held slot on an upstream.
type Grant interface {
	// Upstream returns the upstream that the slot belongs to.
	Upstream() Upstream
	// Progress reports a received token and the gap, the time since the previous one; it is zero for
	// the first token.
	Progress(gap time.Duration)
	// Release returns the slot; further calls do nothing.
	Release(res Result)
}

// Scheduler decides which queued request runs next, and on which upstream.
type Scheduler interface {
	// Acquire waits for a slot, or returns a *Refusal or the context's error.
	Acquire(ctx context.Context, req SlotRequest) (grt Grant, err error)
	// SetDraining stops (draining is true) or resumes the assignment of new requests to an upstream.
	SetDraining(pool, upstream string, draining bool)
	// Configure replaces pools and classes; running requests are not interrupted.
	Configure(pls []Pool, cls []Class)
}

// Queue orders the waiting requests of one pool; it is not safe for concurrent use.
type Queue interface {
	// Push adds an entry. If the queue is then above its capacity, it removes and returns the entry to
	// shed, if any; this may be ent itself.
	Push(ent *QueueEntry) (shed *QueueEntry)
	// Pop removes and returns the next entry for which fit returns true, or nil.
	Pop(now time.Time, fit func(ent *QueueEntry) bool) (ent *QueueEntry)
	// Remove deletes an entry whose request was cancelled, and reports whether it was queued.
	Remove(ent *QueueEntry) (found bool)
	// AdjustHeld adds delta to the number of slots that a class holds.
	AdjustHeld(cls Class, delta int, now time.Time)
	// Resize sets the total number of slots, to which minimum shares apply.
	Resize(slots int, now time.Time)
	// Len returns the number of entries.
	Len() int
	// OldestOfHighestTier returns the oldest entry of the highest tier that has any, or nil when the
	// queue is empty or ignores tiers.
	OldestOfHighestTier() (ent *QueueEntry)
}

// QueueEntry is a SlotRequest in a Queue.
type QueueEntry struct {
	Request SlotRequest
	// Guaranteed is set by Pop when the entry was taken first because its class is entitled to it by
	// its minimum share; the request is then not preempted.
	Guaranteed bool
	// Ready receives the grant; it has a buffer of one.
	Ready chan Grant
	// Dropped is closed when the entry is shed.
	Dropped chan struct{}
}

// Candidate is an upstream with the state by which a Picker rates it.
type Candidate struct {
	Upstream Upstream
	InFlight int
	// Slowdown is the mean gap between tokens divided by the median of the pool's upstreams; 1 is usual.
	Slowdown float64
	// Remote is set when the upstream is in another region.
	Remote bool
}

// Picker chooses an upstream among candidates that have a free slot.
type Picker interface {
	// Pick returns the index of the chosen candidate; can is never empty.
	Pick(req SlotRequest, can []Candidate) (idx int)
}

// SlotLimiter determines this node's share of the slots of upstreams.
type SlotLimiter interface {
	// Limit returns how many requests this node may currently have in flight on an upstream.
	Limit(ups Upstream) (slots int)
	// ReportShortage signals that requests are queued for lack of slots.
	ReportShortage()
}

// Demand is the number of slots that a node uses and waits for in one pool.
type Demand struct {
	Pool string
	// Held counts the running requests by upstream name and tier.
	Held map[string]TierCounts
	// Waiting counts the queued requests by tier.
	Waiting TierCounts
}

// TierCounts holds a number of requests for each tier.
type TierCounts [MaxTier + 1]int

// Total returns the sum over all tiers.
func (tcs TierCounts) Total() (sum int) {
	for _, num := range tcs {
		sum += num
	}
	return sum
}
