package router

import (
	"net/http"
	"time"
)

// Outcome tells a caller whether its request was run.
type Outcome string

// The values of Outcome.
const (
	// Ran means an upstream executed the request and its answer is attached.
	Ran Outcome = "Ran"
	// NotRun means no upstream executed or will execute the request.
	NotRun Outcome = "NotRun"
	// Unknown means an upstream may have executed the request.
	Unknown Outcome = "Unknown"
)

// The HTTP header names of the caller's API.
const (
	HeaderOutcome  = "Hornbeamdyke-Outcome"
	HeaderClass    = "Hornbeamdyke-Class"
	HeaderUpstream = "Hornbeamdyke-Upstream"
	HeaderNode     = "Hornbeamdyke-Node"
	HeaderRequest  = "Hornbeamdyke-Request"
	HeaderAttempt  = "Hornbeamdyke-Attempt"
	HeaderOrderKey = "Idempotency-Key"
)

// MaxTier is the number of the lowest service tier; tier 0 is the highest.
const MaxTier = 4

// Class is a request class: its tier, its latency target and its guarantees.
type Class struct {
	Name string
	// Tier orders classes; 0 is served first.
	Tier int
	// FirstToken is the target from arrival to the first token, or to the whole answer of a service.
	FirstToken time.Duration
	// BetweenTokens is the target gap between tokens; zero for services.
	BetweenTokens time.Duration
	// Objective is the share of requests, from 0 to 1, that must meet the target.
	Objective float64
	// MinimumShare is the share of a pool's slots, from 0 to 1, kept for the class while it has work.
	MinimumShare float64
	// Recallable allows a running request to be stopped for a higher tier and continued later.
	Recallable bool
}

// Workspace is a tenant with its keys and limits.
type Workspace struct {
	Name string
	// KeyDigests are hexadecimal SHA-256 digests of the accepted bearer keys.
	KeyDigests []string
	// RequestRate is the sustained number of requests a second.
	RequestRate float64
	// Burst is the number of requests accepted above the rate at once.
	Burst int
	// InFlight is the number of requests queued or running on one node.
	InFlight int
	// Classes are the names of the classes the workspace may use; the first is the default.
	Classes []string
}

// PoolKind tells what the upstreams of a pool speak.
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
	// Models are the model names an Engine pool serves.
	Models []string
	// Extensions says that the engines take priority and continue_final_message.
	Extensions bool
	// Operations are the calls a Service pool accepts.
	Operations []Operation
	Upstreams  []Upstream
}

// Operation is one call of a plain service.
type Operation struct {
	Name   string
	Method string
	// Path is the path below the service's root; it matches exactly.
	Path string
	// Idempotent allows the call to be sent more than once.
	Idempotent bool
}

// Upstream is one back end of a pool.
type Upstream struct {
	Name          string
	FailureDomain string
	// Address is the base URL.
	Address string
	// Slots is the number of requests that may be in flight over all nodes.
	Slots int
}

// FailureDomain is a part of a region that fails as one.
type FailureDomain struct {
	Name   string
	Region string
}

// Order identifies a non-idempotent call within its workspace.
type Order struct {
	Workspace string
	Key       string
	// Digest is the hexadecimal SHA-256 digest of method, path and body.
	Digest string
}

// Answer is a whole stored reply of an upstream.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Upstream string
}

// VM is an entry of the platform's VM list.
type VM struct {
	Address string
	Role    string
	Name    string
	Leaving bool
}
