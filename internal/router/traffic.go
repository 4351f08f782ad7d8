package router

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// RetryPolicy tells how often a request may be executed.
type RetryPolicy int

// The values of Repeat.
const (
	// AtMostOnce marks requests that may be executed at most once.
	AtMostOnce RetryPolicy = iota
	// Idempotent marks idempotent requests.
	Idempotent
	// Resumable marks streams that may continue on another upstream after the last event received.
	Resumable
)

// PromptPart is a piece of a prompt; requests that begin with the same parts share their KV cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call is one request of a caller, decoded.
type Call struct {
	// ID identifies the attempt of the caller; upstreams echo it.
	ID     string
	Method string
	Host   string
	// Path is the decoded path, by which the route is found.
	Path string
	// Target is the request target as the caller sent it.
	Target string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's credential.
	Key string
	// Prompt lists the parts of the prompt in order; the last one is the request's own.
	Prompt []PromptPart
	// PromptTokens is the length of the whole prompt.
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	Arrived      time.Time
	// Deadline is when the caller stops waiting; zero when the caller named none.
	Deadline time.Time
}

// Backend is a service that a route leads to, with its share of the traffic.
type Backend struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Stream   bool
	Repeat   RetryPolicy
	Backends []Backend
	// Attempts is the number of upstreams that one call may be sent to.
	Attempts int
	// Public routes need no key.
	Public bool
	// Tier is the rank of the route's calls; 0 is served first.
	Tier int
	// Timeout is the longest time from arrival to the end of the answer; zero means none.
	Timeout time.Duration
	// Target is the latency objective to the first event, or to the whole answer.
	Target time.Duration
	// GapTarget is the longest pause between events that meets the objective; zero for plain answers.
	GapTarget time.Duration
}

// Account is a workspace of a manifest with its keys.
type Account struct {
	Name string
	Keys []string
	// Tier overrides the tier of routes when Ranked is set.
	Tier   int
	Ranked bool
}

// EngineSpec is what a manifest says of a service's model engines.
type EngineSpec struct {
	Slots int
	// CacheTokens is the number of tokens that fit into an engine's KV cache.
	CacheTokens int
	// TokenBytes is the size of a token in the KV cache, in bytes.
	TokenBytes float64
	// CopySpeed is how fast an engine copies KV cache to another, in bytes a second; zero means that it cannot.
	CopySpeed float64
}

// ServiceSpec is what a manifest says of a service.
type ServiceSpec struct {
	Name string
	// Connections is the number of connections that one upstream accepts from all nodes together.
	Connections int
	// Engine is nil for plain services.
	Engine *EngineSpec
}

// CallerLimits bounds what a caller may send.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Manifest is one version of the operators' configuration of routes, services and workspaces.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceSpec
	Accounts []Account
	Limits   CallerLimits
}

// Instance is one incarnation of an upstream.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Born is the Unix time of the start in milliseconds; a new value under the same ID is a new incarnation.
	Born int64
}

// Same reports whether both are the same incarnation at the same place.
func (ins Instance) Same(oth Instance) bool {
	return ins.ID == oth.ID && ins.Born == oth.Born && ins.Address == oth.Address && ins.Service == oth.Service
}

// EngineRanks is the number of ranks in which engines read prompts.
const EngineRanks = 10

// Ranks are the places of a call in the order in which engines read prompts; 0 is read first.
type Ranks struct {
	// InTime is the place of a call that can meet its target, and Late that of one that will miss it anyway.
	InTime, Late int
}

// Attempt is one sending of a call to an upstream.
type Attempt struct {
	Instance  Instance
	Workspace string
	// Rank is the call's place in the order in which an engine reads prompts; 0 is read first.
	Rank int
	// TimeLimit is how long the upstream may work.
	TimeLimit time.Duration
	// CacheSource is the address of an engine from which the KV cache of the prompt's shared parts is copied; empty for none.
	CacheSource string
	// LastEventID is the id of the last event received, when a stream is continued.
	LastEventID string
}

// AnswerCheck is what an upstream's answer says about the call.
type AnswerCheck struct {
	// Mismatched is set when the answer belongs to another request.
	Mismatched bool
	// NotRun is set when the upstream states that it did not execute the call.
	NotRun bool
	// Relayable is set when the answer may be passed to the caller as the upstream's.
	Relayable bool
}

// Dialect translates calls and answers between the product and the protocol of a deployment.
type Dialect interface {
	// Decode reads a caller's request without its body; ref is nil when the request is acceptable.
	Decode(req *http.Request, now time.Time) (cal *Call, ref *Refusal)
	// Encode returns the header of one attempt.
	Encode(cal *Call, att Attempt) (hdr http.Header)
	// CheckAnswer classifies an upstream's answer.
	CheckAnswer(cal *Call, rsp *http.Response) (ver AnswerCheck)
	// CopyHeader copies to dst what a caller may see of an upstream's answer.
	CopyHeader(dst, src http.Header)
}

// RecordKind names what the platform's store keeps for the product.
type RecordKind string

// The values of RecordKind.
const (
	// Manifests holds the operators' configuration.
	Manifests RecordKind = "Manifests"
	// Instances holds what upstreams say of themselves.
	Instances RecordKind = "Instances"
	// Members holds the addresses of the nodes.
	Members RecordKind = "Members"
)

// Record is a versioned entry of the platform's store.
type Record struct {
	Key   string
	Value []byte
	// Version grows with every change of the store.
	Version int64
	Deleted bool
}

// Changes are records that changed, up to a version of the store.
type Changes struct {
	Version int64
	// Snapshot is set when Records is everything that exists.
	Snapshot bool
	// AfterOutage is set when the store answers again only since a moment ago.
	AfterOutage bool
	Records     []Record
}

// ErrCompacted reports that the store no longer has the history asked for.
var ErrCompacted = errors.New("history discarded")

// RecordStore is the platform's store as far as nodes follow it.
type RecordStore interface {
	// Read returns all records of a kind, or ErrUnavailable.
	Read(ctx context.Context, knd RecordKind) (chs Changes, err error)
	// Watch waits for changes after a version and returns none when the wait is over, or ErrCompacted or ErrUnavailable.
	Watch(ctx context.Context, knd RecordKind, after int64, wait time.Duration) (chs Changes, err error)
	// Register writes this node's own record, or returns ErrUnavailable.
	Register(ctx context.Context, mem Member) (err error)
	// Deregister removes a node's record if it still has a version, or returns ErrCondition or ErrUnavailable.
	Deregister(ctx context.Context, name string, version int64) (err error)
}

// Member is a node of the product as it is listed in the platform's store.
type Member struct {
	Name string
	// Address is where other nodes reach it.
	Address       string
	FailureDomain string
}

// Codec decodes the records of the platform's store.
type Codec interface {
	// Manifest decodes the operators' configuration; other reports a record that holds something else.
	Manifest(rec Record) (man *Manifest, other bool, err error)
	// Instance decodes an upstream's record; err tells why it names no upstream.
	Instance(rec Record) (ins Instance, err error)
	// Member decodes a node's record.
	Member(rec Record) (mem Member, err error)
}
