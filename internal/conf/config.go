package conf

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Config is the effective configuration of a site.
type Config struct {
	Deployment     string
	FailureDomains []router.FailureDomain
	Classes        []router.Class
	Pools          []router.Pool
	Workspaces     []router.Workspace
	Operators      []Operator
	Policy         Policy
	Limits         Limits
}

// Operator may use the administration API.
type Operator struct {
	Name string
	// KeyDigest is the hexadecimal SHA-256 digest of the bearer key.
	KeyDigest string
	Role      Role
}

// Role is what an operator may do.
type Role string

// The values of Role.
const (
	// Viewer may read.
	Viewer Role = "Viewer"
	// Editor may read and change.
	Editor Role = "Editor"
)

// Policy chooses how requests are ordered and placed.
type Policy struct {
	Queue QueuePolicy
	Pick  PickPolicy
	Slots SlotsPolicy
	// Subset is the number of upstreams of one pool that a node works with.
	Subset int
	// QueueLength is the number of requests that may wait for one pool on one node.
	QueueLength int
	// LongTokens is the number of generated tokens from which a request counts as long.
	LongTokens int
	// LongShare is the share of an upstream's slots that long requests may hold.
	LongShare float64
	// RetryShare is the number of retries allowed per request sent, from 0 to 1.
	RetryShare float64
	// HedgeShare is the number of hedges allowed per request sent, from 0 to 1.
	HedgeShare float64
	// StallAfter is the silence of a stream after which the upstream is probed.
	StallAfter time.Duration
	// ConnectTimeout limits dialling an upstream.
	ConnectTimeout time.Duration
}

// QueuePolicy names a Queue implementation.
type QueuePolicy string

// The values of QueuePolicy.
const (
	Tiered QueuePolicy = "Tiered"
	Fifo   QueuePolicy = "Fifo"
)

// PickPolicy names a Picker implementation.
type PickPolicy string

// The values of PickPolicy.
const (
	Observed      PickPolicy = "Observed"
	LeastInFlight PickPolicy = "LeastInFlight"
	Random        PickPolicy = "Random"
)

// SlotsPolicy names a Limits implementation.
type SlotsPolicy string

// The values of SlotsPolicy.
const (
	Leased SlotsPolicy = "Leased"
	Alone  SlotsPolicy = "Alone"
)

// Limits bounds what a caller may send and how long things are kept.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int
	// AnswerBytes is the largest answer of an order that is stored.
	AnswerBytes int
	// OrderRetention is how long an order's answer is kept for repeats.
	OrderRetention time.Duration
	// OrderTimeout is how long an order may run at its upstream.
	OrderTimeout time.Duration
	// OrderWait is how long a repeat waits for the first run's answer.
	OrderWait time.Duration
	// StopDelay is how long a stopping node keeps accepting while the balancer takes it out.
	StopDelay time.Duration
}

// Node is the settings of one process.
type Node struct {
	Name          string
	FailureDomain string
	Region        string
	// Listen is the address for callers.
	Listen string
	// Admin is the address for operators, metrics and probes.
	Admin string
	// Peer is the UDP address for other nodes.
	Peer string
	// Seeds are peer addresses known at start.
	Seeds []string
	TLS   TLS
	Table Table
	// Objects is the object store.
	Objects Objects
	VMList  VMList
	// Platform makes the node serve the upstreams that a platform's store names.
	Platform Platform
}

// Platform is what a node needs to know of the platform that it runs on.
type Platform struct {
	// Store is the address of the metadata store; empty means that there is no platform.
	Store string
	// Mesh is the address at which other nodes reach this one, for datagrams and for HTTP.
	Mesh string
	// Metrics is the address at which metrics are served; empty serves them at Admin.
	Metrics string
	// FailureDomains are all failure domains with their regions.
	FailureDomains []router.FailureDomain
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryShare is the number of repeated sendings that all nodes together may make per call, from 0 to 1.
	RetryShare float64
	// RetryReserve is the number of repeated sendings that all nodes together may make in a window beyond RetryShare.
	RetryReserve float64
	// MemoryMebibytes is the memory that the process may use; zero means that there is no limit.
	MemoryMebibytes int
}

// TLS names the files of the node's certificate, its key and the authority of its peers.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Table is where the platform's table service is.
type Table struct {
	Kind StoreKind
	// Endpoint is the store's address.
	Endpoint string
	// Timeout limits one call.
	Timeout time.Duration
}

// StoreKind names an implementation of the platform's stores.
type StoreKind string

// The values of StoreKind.
const (
	Memory StoreKind = "Memory"
	// InPlatform keeps values in the platform's metadata store.
	InPlatform StoreKind = "Platform"
)

// Objects is where the platform's object store is.
type Objects struct {
	Kind StoreKind
	// Endpoint is the store's address.
	Endpoint string
	Timeout  time.Duration
}

// VMList is where the platform's VM list is.
type VMList struct {
	// URL is the list's address; empty means there is no list.
	URL      string
	Interval time.Duration
}

const mebibyte = 1 << 20

// DefaultConfig returns the values used where the settings are silent.
func DefaultConfig() Config {
	return Config{
		Policy: Policy{
			Queue:          Tiered,
			Pick:           Observed,
			Slots:          Leased,
			Subset:         64,
			QueueLength:    2000,
			LongTokens:     1000,
			LongShare:      0.5,
			RetryShare:     0.1,
			HedgeShare:     0.1,
			StallAfter:     2 * time.Second,
			ConnectTimeout: time.Second,
		},
		Limits: Limits{
			BodyBytes:      8 * mebibyte,
			AnswerBytes:    4 * mebibyte,
			OrderRetention: 24 * time.Hour,
			OrderTimeout:   30 * time.Second,
			OrderWait:      10 * time.Second,
			StopDelay:      2 * time.Second,
		},
	}
}

// DefaultNode returns the values used where a node's settings are silent.
func DefaultNode() Node {
	return Node{
		Table:   Table{Kind: Memory, Timeout: 2 * time.Second},
		Objects: Objects{Kind: Memory, Timeout: 5 * time.Second},
		VMList:  VMList{Interval: time.Second},
		Platform: Platform{
			Grace: 8 * time.Second,
		},
	}
}
