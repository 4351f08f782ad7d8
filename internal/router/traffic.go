package router

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetryPolicy defines when a call that may have been executed can be sent again. If the upstream
// states that it did not execute the call, the call can be sent again under every policy.
// Route.Attempts and the retry budget of the service limit both.
type RetryPolicy int

// The values of RetryPolicy.
const (
	// AtMostOnce forbids a second execution.
	AtMostOnce RetryPolicy = iota
	// Idempotent allows any number of executions.
	Idempotent
	// Resumable allows a stream to continue on another upstream after the last event received.
	Resumable
)

// PromptPart is a section of a prompt. Calls whose prompts begin with the same parts can share KV
// cache entries for these.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Call is a decoded request of a caller.
type Call struct {
	// ID is the caller's identifier of this attempt; upstreams echo it.
	ID     string
	Method string
	Host   string
	// Path is the decoded path, which is matched against routes.
	Path string
	// Target is the request target (path and query) as the caller sent it.
	Target string
	// Header holds the headers that are forwarded unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's credential.
	Key string
	// Prompt lists the parts of the prompt in order; the last one is specific to this request.
	Prompt []PromptPart
	// PromptTokens is the length of the whole prompt in tokens.
	PromptTokens int
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int
	Arrived      time.Time
	// Deadline is when the caller's timeout expires; zero when the caller sent none.
	Deadline time.Time
}

// Backend is a service that a route leads to; traffic is split in proportion to the weights.
type Backend struct {
	Service string
	Weight  int
}

// Route maps a host and a path prefix to services, and defines how their calls are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Stream is set when answers are event streams.
	Stream bool
	// Repeat defines when calls of the route may be sent again.
	Repeat   RetryPolicy
	Backends []Backend
	// Attempts is the maximum number of times that a call is sent, the first included. Failures to
	// connect do not count.
	Attempts int
	// Public routes need no key.
	Public bool
	// Tier is the priority of the route's calls; 0 is the highest.
	Tier int
	// Timeout limits the time from arrival to the end of the answer; zero means no limit.
	Timeout time.Duration
	// Target is the latency objective: the time to the first event of a stream, or to the end of a
	// plain answer.
	Target time.Duration
	// GapTarget is the longest gap between events that meets the objective; zero for plain answers.
	GapTarget time.Duration
}

// Account is a workspace as a manifest defines it.
type Account struct {
	Name string
	Keys []string
	// Tier overrides the tier of routes when Ranked is set; 0 is the highest.
	Tier   int
	Ranked bool
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots int
	// CacheTokens is the capacity of an engine's KV cache in tokens.
	CacheTokens int
	// TokenBytes is the size of a token in the KV cache, in bytes.
	TokenBytes float64
	// CopySpeed is the rate at which an engine copies KV cache entries to another, in bytes per
	// second; zero means that it cannot.
	CopySpeed float64
}

// ServiceSpec describes a service of a manifest.
type ServiceSpec struct {
	Name string
	// Connections is the maximum number of connections to one upstream from all nodes together.
	Connections int
	// Engine is nil for plain services.
	Engine *EngineSpec
	// Scaling is nil if the number of upstreams is not ordered by the router.
	Scaling *ScalingSpec
}

// CallerLimits is the maximum size of callers' requests in bytes.
type CallerLimits struct {
	// HeaderBytes is decoded but not enforced; nodes have a fixed limit instead.
	HeaderBytes int
	// BodyBytes limits the body; zero selects the node's default limit.
	BodyBytes int64
}

// Manifest is one version of the operators' configuration of routes, services and workspaces.
type Manifest struct {
	Version  int64
	Routes   []Route
	Services map[string]ServiceSpec
	Accounts []Account
	Limits   CallerLimits
}

// Instance is one incarnation of an upstream: a run of its process, from its start to its end.
type Instance struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// Spot is set for upstreams that the platform may reclaim at short notice.
	Spot bool
	// Born is the Unix time of the start in milliseconds; a restart keeps the ID and changes Born.
	Born int64
	// Sequence numbers what the incarnation wrote about itself; it grows.
	Sequence int64
}

// Same reports whether ins and oth are the same run of an upstream, at the same address and for the
// same service.
func (ins Instance) Same(oth Instance) bool {
	return ins.ID == oth.ID && ins.Born == oth.Born && ins.Address == oth.Address && ins.Service == oth.Service
}

// Key returns the key of the incarnation: a restart keeps the instance's ID and changes the key.
func (ins Instance) Key() string {
	return ins.ID + "/" + strconv.FormatInt(ins.Born, 10)
}

// Hash returns the hash of the key, by which nodes name the incarnation to each other.
func (ins Instance) Hash() uint64 {
	return xxhash.Sum64String(ins.Key())
}

// EngineRanks is the number of priorities that engines have for waiting prompts. An engine processes
// (prefills) prompts in the order of their ranks, 0 first.
const EngineRanks = 10

// Ranks are the prompt priorities of a call on engines, from 0 to EngineRanks-1.
type Ranks struct {
	// InTime applies while the call can still meet its target, Late once it is expected to miss it.
	InTime, Late int
}

// Attempt is one transmission of a call to an upstream.
type Attempt struct {
	Instance  Instance
	Workspace string
	// Rank is the prompt priority on an engine; see Ranks.
	Rank int
	// TimeLimit is how long the upstream may work on the call.
	TimeLimit time.Duration
	// CacheSource is the address of the engine from which the KV cache entries of the prompt's shared
	// parts are copied; empty for no copy.
	CacheSource string
	// LastEventID is the id of the last event received, when a stream is resumed.
	LastEventID string
}

// UpstreamTerms is what an upstream states about itself in an answer; the zero value states nothing.
type UpstreamTerms struct {
	// RateLimit is the requests per second that the upstream accepts from all nodes together; zero means that it states no
	// limit.
	RateLimit float64
	// Leaving is set when the upstream is about to stop and accepts no new requests.
	Leaving bool
	// RetryAfter is how long the upstream accepts no requests from this node, stated with a rejection; zero means that it
	// states nothing.
	RetryAfter time.Duration
}

// AnswerCheck states whether an upstream's answer can be used for a call.
type AnswerCheck struct {
	// Mismatched is set when the answer belongs to another request.
	Mismatched bool
	// Unidentified is set when the answer does not say to which request it belongs.
	Unidentified bool
	// NotRun is set when the upstream states that it did not execute the call.
	NotRun bool
	// Replaced is set with NotRun when the answer comes from another incarnation, which has the address now.
	Replaced bool
	// Relayable is set when the answer may be forwarded to the caller.
	Relayable bool
	// Terms is what the upstream states about itself.
	Terms UpstreamTerms
}

// Dialect adapts calls and answers to the header conventions of a deployment.
type Dialect interface {
	// Decode converts a caller's request, without its body; ref is nil when the request is valid.
	Decode(req *http.Request, now time.Time) (cal *Call, ref *Refusal)
	// Encode returns the HTTP header to send with an attempt.
	Encode(cal *Call, att Attempt) (hdr http.Header)
	// CheckAnswer inspects the status and the header of an upstream's answer.
	CheckAnswer(cal *Call, rsp *http.Response) (chk AnswerCheck)
	// CopyHeader copies from src, the header of an upstream's answer, the fields that callers may receive.
	CopyHeader(dst, src http.Header)
}

// RecordKind is a kind of records in the platform's store.
type RecordKind string

// The values of RecordKind.
const (
	// Manifests holds the operators' configuration.
	Manifests RecordKind = "Manifests"
	// Instances holds the records that upstreams write about themselves.
	Instances RecordKind = "Instances"
	// Members holds the names and addresses of the nodes.
	Members RecordKind = "Members"
)

// Record is a versioned entry of the platform's store.
type Record struct {
	Key   string
	Value []byte
	// Version is the version of the store that this change created; it grows with every change.
	Version int64
	Deleted bool
}

// Changes are the records that changed up to a version of the store.
type Changes struct {
	// Era is the era of the store's versions; it grows when the store is restored from a copy, which gives versions out again.
	// Versions of different eras must not be compared. Zero is the era of a store that states none.
	Era     int64
	Version int64
	// Snapshot is set when Records holds all existing records instead of the changed ones.
	Snapshot bool
	// AfterOutage is set for a short time after an outage of the store has ended. Records may have
	// expired during the outage although their owners are alive and will write them again.
	AfterOutage bool
	// StoreMs is the store's monotonic clock in milliseconds when it answered; zero if unknown.
	StoreMs int64
	Records []Record
}

// ErrCompacted reports that the store has discarded the requested history.
var ErrCompacted = errors.New("history discarded")

// WatchCall is a call that waits for changes of one kind of record.
type WatchCall struct {
	Kind RecordKind
	// After is the version after which changes are returned.
	After int64
	// Wait is how long the store waits for a change.
	Wait time.Duration
	// AnswerTimeout is how long after Wait the answer may begin. The rest of an answer that has begun may take longer.
	AnswerTimeout time.Duration
}

// RecordStore is the versioned record store of the platform, from which nodes get their manifest,
// upstreams and members.
type RecordStore interface {
	// Read returns all records of a kind, or ErrUnavailable.
	Read(ctx context.Context, knd RecordKind) (chs Changes, err error)
	// Watch waits for changes after a version. It returns no records when the wait expires, and
	// ErrCompacted or ErrUnavailable on failure.
	Watch(ctx context.Context, cal WatchCall) (chs Changes, err error)
	// Register writes this node's member record, or returns ErrUnavailable.
	Register(ctx context.Context, mem Member) (err error)
	// Deregister removes a node's member record if it still has the version of an era, or returns ErrCondition
	// or ErrUnavailable.
	Deregister(ctx context.Context, name string, era, version int64) (err error)
}

// Member is a router node as listed in the platform's store.
type Member struct {
	Name string
	// Address is where other nodes connect to it.
	Address       string
	FailureDomain string
}

// Codec decodes the records of the platform's store.
type Codec interface {
	// Manifest decodes the operators' configuration. other is set when the record holds something
	// other than a manifest.
	Manifest(rec Record) (man *Manifest, other bool, err error)
	// Instance decodes an upstream's record; err states why the record is invalid.
	Instance(rec Record) (ins Instance, err error)
	// Member decodes a node's record.
	Member(rec Record) (mem Member, err error)
}
