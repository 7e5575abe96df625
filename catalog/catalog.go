// Package catalog holds a complete configuration of routed services: the routes by
// host and path, the services behind them, the workspaces with their keys and the
// limits on what a caller may send.
//
// It owns the typed configuration, its validation and the immutable Snapshot on
// which requests are routed and authenticated. It must not know any wire format; an
// adapter decodes a document into a Configuration.
//
// # Usage
//
//	snapshot, findings := catalog.New(configuration)
//	route := snapshot.Match(host, path)
//	workspace, ok := snapshot.Authenticate(key)
package catalog

import "time"

// A RequestKind says whether a request may run more than once and whether its
// response is streamed.
type RequestKind int

// The request kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Streaming
)

// A Configuration represents a complete configuration. A higher version replaces a
// lower one as a whole.
type Configuration struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// A Route represents the handling of requests for a host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix      string
	RequestKind RequestKind
	// Resumable is true if an interrupted stream may continue at another target.
	Resumable bool
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// LatencyObjective is the intended time to the response, or to the first event
	// of a stream.
	LatencyObjective time.Duration
	// EventGapObjective is the longest intended pause between two events of a
	// stream.
	EventGapObjective time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// Shares says how the route's requests are split among services.
	Shares []Share
	// MaxAttempts is the number of targets that may run the same request.
	MaxAttempts int
	// Unauthenticated is true if the route needs no key.
	Unauthenticated bool
	// HasPromptBlocks is true if requests list the blocks of their prompt.
	HasPromptBlocks bool
}

// RetrySafe reports whether a request that may already have run can be sent again.
func (r *Route) RetrySafe() bool {
	return r.RequestKind == Idempotent || r.RequestKind == Streaming && r.Resumable
}

// A Share represents a service's weight in the split of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// A Service represents a set of interchangeable targets.
type Service struct {
	Name string
	// HealthPath is the path of a target's health check.
	HealthPath string
	// MaxConnections is the most connections that a target accepts from all
	// callers together.
	MaxConnections int
	// Engine is set for services whose targets are model engines.
	Engine *Engine
	// Scaling is set for services whose number of targets can be changed by
	// orders.
	Scaling *Scaling
}

// An Engine represents the properties that all engines of a service share.
type Engine struct {
	Slots int
	// KVCapacityTokens is the capacity of an engine's KV cache, in tokens of prompt
	// and output.
	KVCapacityTokens int64
	// KVBytesPerToken is the size of one token in the KV cache.
	KVBytesPerToken int64
	// LinkBytesPerSecond is the bandwidth between two engines.
	LinkBytesPerSecond float64
	// KVHandleTTL is how long the KV cache of a prefilled prompt is kept for its
	// transfer to another engine.
	KVHandleTTL time.Duration
	// SwitchTime is how long an engine takes no requests while it changes its
	// stage.
	SwitchTime time.Duration
}

// A Scaling represents how many targets can be ordered in each failure domain and
// what they cost.
type Scaling struct {
	Min, Max int
	// StartupTime is the time from an order until the new target takes requests.
	StartupTime time.Duration
	// ReclaimablePrice is the price of a reclaimable target as a fraction of a
	// regular one's.
	ReclaimablePrice float64
	// DomainPrices are the prices per second, by failure domain.
	DomainPrices map[string]float64
}

// A Workspace represents the unit for which requests are authenticated and billed.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority; it is negative if the workspace has
	// none.
	Priority int
	// Quota bounds what the workspace's requests use over all instances.
	Quota Quota
}

// A Quota represents the rate at which the requests of a workspace are served, over all instances
// together. The zero value means no limit.
type Quota struct {
	// PerSecond and Burst are in tokens if InTokens is true, else in requests.
	PerSecond, Burst float64
	InTokens         bool
	// PlainTokens is what a request without token counts costs.
	PlainTokens float64
}

// Limited reports whether the workspace has a quota.
func (q Quota) Limited() bool { return q.PerSecond > 0 && q.Burst > 0 }

// Cost returns what a request with the number of tokens costs; 0 tokens means that it names none.
func (q Quota) Cost(tokens int64) float64 {
	switch {
	case !q.InTokens:
		return 1
	case tokens <= 0:
		return q.PlainTokens
	}
	return float64(tokens)
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}
