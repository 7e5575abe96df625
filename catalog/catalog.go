// Package catalog holds a whole configuration of routed services: the routes by
// host and path, the services behind them, the workspaces with their keys and
// the limits on what a caller may send.
//
// It owns the typed configuration, its checks and the immutable Snapshot that
// requests are decided on. It must not know any wire format; an adapter decodes
// a document into a Configuration.
//
// # Usage
//
//	snapshot, findings := catalog.New(configuration)
//	route := snapshot.Match(host, path)
//	workspace, ok := snapshot.Authenticate(key)
package catalog

import "time"

// A Repetition says whether a request may run more than once.
type RequestKind int

// The kinds of repetition.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota + 1
	// Once is for requests that run once at most.
	NonIdempotent
	// Streamed is for answers that come as a series of events. They run once
	// at most unless the route is resumable.
	Streaming
)

// A Configuration represents a whole configuration under one version. A higher
// version replaces it as a whole.
type Configuration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// A Route represents where the requests of a host and path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix      string
	RequestKind RequestKind
	// Resumable is true if a broken stream may go on at another target.
	Resumable bool
	// Timeout is how long a caller is kept waiting at most.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream.
	LatencyObjective time.Duration
	// Gap is the longest pause between two events that is on time.
	EventGapObjective time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Shares says which services take the route's requests.
	Shares []Share
	// Attempts is the number of targets that may run one request.
	MaxAttempts int
	// Open is true if the route needs no key.
	Unauthenticated bool
	// Prompted is true if requests say which parts their prompt has.
	HasPromptBlocks bool
}

// MayRepeat reports whether a request that may have run can be sent again.
func (r *Route) RetrySafe() bool {
	return r.RequestKind == Idempotent || r.RequestKind == Streaming && r.Resumable
}

// A Share represents a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// A Service represents a set of targets that answer the same requests.
type Service struct {
	Name string
	// HealthPath answers whether a target thinks itself well.
	HealthPath string
	// Connections is the most connections that a target takes from all callers.
	MaxConnections int
	// Engine is set for services whose targets are model engines.
	Engine *Engine
	// Purchase is set for services whose targets can be ordered.
	Scaling *Scaling
}

// An Engine represents what the engines of a service have in common.
type Engine struct {
	Slots int
	// MemoryTokens is the prompt and output that an engine keeps at most.
	KVCapacityTokens int64
	// TokenBytes is the memory of one token.
	KVBytesPerToken int64
	// LinkBytes is the speed of the links between engines, in bytes a second.
	LinkBytesPerSecond float64
	// HandleLife is how long the cache of a prompt waits to be taken over.
	KVHandleTTL time.Duration
	// SwitchTime is how long an engine is away when it changes its stage.
	SwitchTime time.Duration
}

// A Purchase represents how many targets can be ordered in a failure domain and
// what they cost.
type Scaling struct {
	Min, Max int
	// StartTime is from the order to the first request.
	StartupTime time.Duration
	// ReclaimablePrice is the price of a reclaimable target relative to another.
	ReclaimablePrice float64
	// DomainPrices are the prices per second by failure domain.
	DomainPrices map[string]float64
}

// A Workspace represents a customer that requests are run and billed for.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before the route's; negative if the workspace has none.
	Priority int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
