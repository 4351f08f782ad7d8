package router

import (
	"net/http"
	"time"
)

// Outcome states whether an upstream executed a caller's request.
type Outcome string

// The values of Outcome.
const (
	// Ran means that an upstream executed the request and its answer is attached.
	Ran Outcome = "Ran"
	// NotRun means that no upstream has executed or will execute the request.
	NotRun Outcome = "NotRun"
	// Unknown means that an upstream may have executed the request.
	Unknown Outcome = "Unknown"
)

// HTTP headers of the API for callers.
const (
	HeaderOutcome  = "Hornbeamdyke-Outcome"
	HeaderClass    = "Hornbeamdyke-Class"
	HeaderUpstream = "Hornbeamdyke-Upstream"
	HeaderNode     = "Hornbeamdyke-Node"
	HeaderRequest  = "Hornbeamdyke-Request"
	HeaderAttempt  = "Hornbeamdyke-Attempt"
	HeaderOrderKey = "Idempotency-Key"
)

// MaxTier is the tier with the lowest priority; tier 0 has the highest.
const MaxTier = 4

// Class is a service level for requests: priority, latency targets and guaranteed capacity.
type Class struct {
	Name string
	// Tier is the priority, from 0 (highest) to MaxTier.
	Tier int
	// FirstToken is the target for the time from arrival to the first token or, for services, to the
	// end of the answer.
	FirstToken time.Duration
	// BetweenTokens is the target for the gap between tokens; zero for services.
	BetweenTokens time.Duration
	// Objective is the share of requests, from 0 to 1, that must meet the targets.
	Objective float64
	// MinimumShare is the share of a pool's slots, from 0 to 1, that the class is guaranteed while it
	// has requests.
	MinimumShare float64
	// Recallable allows a running request to be preempted by a higher tier and resumed later.
	Recallable bool
}

// Workspace is a tenant with its keys and limits.
type Workspace struct {
	Name string
	// KeyDigests are hexadecimal SHA-256 digests of the accepted bearer keys.
	KeyDigests []string
	// RequestRate is the sustained rate limit of the whole deployment in requests per second. Each node
	// enforces its part of RequestRate, Burst and InFlight; see package limit.
	RequestRate float64
	// Burst is the number of requests that may exceed the rate at once, in the whole deployment.
	Burst int
	// InFlight is the maximum number of requests queued or running, in the whole deployment.
	InFlight int
	// Classes are the names of the classes that the workspace may use; the first is the default.
	Classes []string
}

// PoolKind is the protocol that the upstreams of a pool serve.
type PoolKind string

// The values of PoolKind.
const (
	// Engine marks model engines that speak the chat-completions API.
	Engine PoolKind = "Engine"
	// Service marks plain HTTP services.
	Service PoolKind = "Service"
)

// Pool is a set of upstreams that can serve the same requests.
type Pool struct {
	Name string
	Kind PoolKind
	// Models are the names of the models that an Engine pool serves.
	Models []string
	// Extensions is set when the engines support the request fields priority and
	// continue_final_message.
	Extensions bool
	// Operations are the calls that a Service pool accepts.
	Operations []Operation
	Upstreams  []Upstream
}

// Operation is one call of a plain service.
type Operation struct {
	Name   string
	Method string
	// Path is relative to the service's root and must match exactly.
	Path string
	// Idempotent allows the call to be executed more than once.
	Idempotent bool
}

// Upstream is a single back end of a pool.
type Upstream struct {
	Name          string
	FailureDomain string
	// Address is the base URL.
	Address string
	// Slots is the maximum number of requests in flight from all nodes together.
	Slots int
}

// FailureDomain is a part of a region whose machines can fail together.
type FailureDomain struct {
	Name   string
	Region string
}

// Order identifies a non-idempotent call by its workspace and the caller's idempotency key.
type Order struct {
	Workspace string
	Key       string
	// Digest is the hexadecimal SHA-256 digest of pool, method, path with query, and body. It detects a
	// key that is reused for a different call.
	Digest string
}

// Answer is a complete response of an upstream, held in memory or stored for an Order.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
}

// VM is an entry of the platform's VM list.
type VM struct {
	// Address is a host and port.
	Address string
	Role    string
	Name    string
	// Leaving is set when the VM is about to be shut down.
	Leaving bool
}
