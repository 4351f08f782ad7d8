package conf

import (
	"time"

	"github.com/hornbeamdyke/hornbeamdyke/internal/router"
)

// Config is the effective configuration of a site, which is the base with the site's overlay applied.
type Config struct {
	// Deployment names the cluster.
	Deployment     string
	FailureDomains []router.FailureDomain
	Classes        []router.Class
	Pools          []router.Pool
	Workspaces     []router.Workspace
	Operators      []Operator
	Policy         Policy
	Limits         Limits
}

// Operator is a user of the admin API.
type Operator struct {
	Name string
	// KeyDigest is the hexadecimal SHA-256 digest of the bearer key.
	KeyDigest string
	Role      Role
}

// Role defines what an operator is permitted to do.
type Role string

// The values of Role.
const (
	// Viewer permits reading.
	Viewer Role = "Viewer"
	// Editor permits reading and changing.
	Editor Role = "Editor"
)

// Policy selects how requests are queued, limited, assigned to upstreams and retried.
type Policy struct {
	Queue QueuePolicy
	Pick  PickPolicy
	Slots SlotsPolicy
	// Subset is the maximum number of upstreams of one pool that a node sends requests to.
	Subset int
	// QueueLength is the maximum number of requests that wait for one pool on one node.
	QueueLength int
	// LongTokens is the number of generated tokens after which a request counts as long.
	LongTokens int
	// LongShare is the share of an upstream's slots, from 0 to 1, that long requests may hold while
	// other requests wait.
	LongShare float64
	// RetryShare is the retry budget: the number of retries allowed per request, from 0 to 1.
	RetryShare float64
	// HedgeShare is the number of hedges (second copies of a slow request) allowed per request, from
	// 0 to 1; 0 disables hedging.
	HedgeShare float64
	// StallAfter is the time without data on a stream after which the upstream is probed.
	StallAfter time.Duration
	// ConnectTimeout limits connecting to an upstream.
	ConnectTimeout time.Duration
}

// QueuePolicy names an implementation of router.Queue, the order in which waiting requests are served.
type QueuePolicy string

// The values of QueuePolicy.
const (
	// Tiered serves the highest tier first.
	Tiered QueuePolicy = "Tiered"
	// Fifo serves requests in order of arrival.
	Fifo QueuePolicy = "Fifo"
)

// PickPolicy names an implementation of router.Picker; see package pick.
type PickPolicy string

// The values of PickPolicy.
const (
	// Observed picks the upstream with the lowest expected service time.
	Observed PickPolicy = "Observed"
	// LeastInFlight picks the upstream with the fewest requests in flight.
	LeastInFlight PickPolicy = "LeastInFlight"
	// Random picks any upstream.
	Random PickPolicy = "Random"
)

// SlotsPolicy names an implementation of router.SlotLimiter; see package slots.
type SlotsPolicy string

// The values of SlotsPolicy.
const (
	// Leased divides an upstream's slots among the nodes by demand, with leases.
	Leased SlotsPolicy = "Leased"
	// Alone assigns each node an equal share of the slots, without messages between nodes.
	Alone SlotsPolicy = "Alone"
)

// Limits bounds the sizes of requests and answers, the retention of orders, and waiting times. An order is a
// non-idempotent request, which runs at most once (see package order).
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int
	// AnswerBytes is the maximum size of an answer that is read whole: that to an order, which is stored, to an idempotent call, and to
	// a chat that is not streamed.
	AnswerBytes int
	// OrderRetention is how long the answer to an order is kept to answer repeats of the order.
	OrderRetention time.Duration
	// OrderTimeout limits the execution of an order at its upstream.
	OrderTimeout time.Duration
	// OrderWait is how long a repeat of an order waits while the order is still running.
	OrderWait time.Duration
	// StopDelay is how long a stopping node keeps accepting requests, so that the external load
	// balancer can remove it first.
	StopDelay time.Duration
}

// Node holds the settings of one process.
type Node struct {
	Name          string
	FailureDomain string
	Region        string
	// Listen is the address that serves callers.
	Listen string
	// Admin is the address that serves the admin API, metrics and health checks.
	Admin string
	// Peer is the UDP address for messages between nodes; empty means that the node has no peers.
	Peer string
	// Seeds are the peer addresses that the node contacts at start.
	Seeds []string
	TLS   TLS
	Table Table
	// Objects is the object store, for the answers to orders.
	Objects Objects
	VMList  VMList
	// Platform, if its Store is set, makes the node route to the services in the platform's metadata
	// store, instead of the pools of a Config.
	Platform Platform
}

// Platform holds the settings of a node that takes its routes and instances from a platform.
type Platform struct {
	// Store is the address of the metadata store; empty means that the node uses no platform.
	Store string
	// Mesh is the address for messages of other nodes, over both UDP and HTTP.
	Mesh string
	// Metrics is the address that serves metrics; empty serves them at Admin.
	Metrics string
	// FailureDomains lists all failure domains with their regions.
	FailureDomains []router.FailureDomain
	// Grace is the time between SIGTERM and SIGKILL when the process is stopped.
	Grace time.Duration
	// RetryShare is the number of retries per call that all nodes together may make, from 0 to 1.
	RetryShare float64
	// RetryReserve is the number of retries that all nodes together may make in any time window in addition to
	// RetryShare. It is the capacity of the retry budget's token bucket; see package budget.
	RetryReserve float64
	// MemoryMebibytes is the memory limit of the process; zero means no limit.
	MemoryMebibytes int
	// FileDescriptors is the limit of open file descriptors of the process; zero means that it is unknown.
	FileDescriptors int
	// Duties configures the calls to the platform that one node at a time may make.
	Duties Duties
}

// Duties holds the settings of the calls to the platform that one node at a time may make.
type Duties struct {
	// Address is where the platform accepts the calls; empty means that there are none.
	Address string
	// Kinds names the duties in the platform's terms.
	Kinds []string
	// CallsPerSecond is the maximum rate of the calls of all nodes together.
	CallsPerSecond float64
	// LeaseMilliseconds is how long a node holds the duties without renewing its lease. The times are plain numbers, so that a template
	// can leave them empty where there are no duties.
	LeaseMilliseconds float64
	// ThawMilliseconds is how long after the thaw of a node its calls may still arrive.
	ThawMilliseconds float64
	// WindowSeconds is the length of a usage window.
	WindowSeconds float64
	// ReportWithinSeconds is how long after the end of its window a usage report is due.
	ReportWithinSeconds float64
	// Tolerance is the relative error up to which a usage count is right.
	Tolerance float64
	// FenceChecked is set if the platform rejects calls with a fencing token below one that it has seen.
	FenceChecked bool
}

// Lease returns how long a node holds the duties without renewing its lease.
func (dut Duties) Lease() time.Duration {
	return time.Duration(dut.LeaseMilliseconds * float64(time.Millisecond))
}

// Window returns the length of a usage window.
func (dut Duties) Window() time.Duration {
	return time.Duration(dut.WindowSeconds * float64(time.Second))
}

// ReportWithin returns how long after the end of its window a usage report is due.
func (dut Duties) ReportWithin() time.Duration {
	return time.Duration(dut.ReportWithinSeconds * float64(time.Second))
}

// TLS names the files of the node's certificate, of its key and of the certificate authority of its peers.
type TLS struct {
	Certificate string
	Key         string
	Authority   string
}

// Table selects the table service, which holds the states of orders and the revisions of the configuration.
type Table struct {
	Kind StoreKind
	// Endpoint is the store's address.
	Endpoint string
	// Timeout limits one call.
	Timeout time.Duration
}

// StoreKind names an implementation of the table service or the object store.
type StoreKind string

// The values of StoreKind.
const (
	// Memory keeps values in the process.
	Memory StoreKind = "Memory"
	// InPlatform keeps values in the platform's metadata store.
	InPlatform StoreKind = "Platform"
)

// Objects selects the object store, which holds the answers to orders.
type Objects struct {
	Kind StoreKind
	// Endpoint is the store's address.
	Endpoint string
	// Timeout limits one call.
	Timeout time.Duration
}

// VMList locates the list of VMs that the platform publishes.
type VMList struct {
	// URL is the address of the list; empty means that there is none.
	URL string
	// Interval is the time between two reads of the list.
	Interval time.Duration
}

const mebibyte = 1 << 20

// DefaultConfig returns the defaults of a Config.
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

// DefaultNode returns the defaults of a Node.
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
