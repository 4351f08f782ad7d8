package router

import (
	"context"
	"time"
)

// Admission decides which calls start, wait or are refused while a service is short of capacity.
type Admission interface {
	// Admit returns once the call may be sent, or why it is refused. Both are nil if the context ends first.
	Admit(ctx context.Context, req AdmissionRequest) (tkt AdmissionTicket, ref *Refusal)
}

// AdmissionTicket is the admission of one call.
type AdmissionTicket interface {
	// Check reports whether the call may still end before its deadline at an upstream.
	Check(est UpstreamEstimate) (fits bool)
	// Refuse returns the refusal of a call that may not end in time at any upstream, or nil if it is to be sent nevertheless.
	Refuse() (ref *Refusal)
	// Start records that the call is sent to an upstream that prefills a number of tokens for it.
	Start(prefillTokens int)
	// End records the end of the call. Output is the time from the first event to the end of a complete stream, else zero.
	End(output time.Duration)
}

// AdmissionRequest is a call before it is sent.
type AdmissionRequest struct {
	Call      *Call
	Route     *Route
	Service   string
	Workspace string
	Tier      int
	Deadline  time.Time
	// Digest identifies the request, also when its caller sends it again.
	Digest string
}

// UpstreamEstimate is the expected progress of a call at an upstream.
type UpstreamEstimate struct {
	// FirstEvent is the time to the first event of a stream; zero if unknown.
	FirstEvent time.Duration
	// EventGap is the time between two events of a stream at present; zero if unknown.
	EventGap time.Duration
}

// ServiceView is the load of a service as a node sees it.
type ServiceView struct {
	// Slots is the number of calls that the usable upstreams run at a time; zero if unknown.
	Slots int
	// Running is the number of calls in flight there, from all nodes.
	Running int
	// Queues is set if the upstreams queue the calls above their slots, as engines do.
	Queues bool
	// PendingTokens is the number of prompt tokens by rank that are not prefilled yet.
	PendingTokens [EngineRanks]int
	// CacheTokens and CacheCapacity are the tokens of KV cache in use and in all; zero if unknown.
	CacheTokens, CacheCapacity int
}
