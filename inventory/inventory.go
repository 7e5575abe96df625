// Package inventory holds the configuration that operators change under
// traffic: the inventory (failure domains, services, targets, workspaces, keys)
// and the rules on who may use what, and when.
//
// It owns the TOML forms, their checks and the immutable Snapshot that requests
// are decided on. It must not import a package that acts on a Snapshot.
//
// # Usage
//
//	snapshot, findings := inventory.Parse(version, inventoryTOML, rulesTOML)
//	workspace, ok := snapshot.Authenticate(callerKey)
//	reason := snapshot.Allowed(workspace, service, time.Now())
package inventory

// A ServiceKind says how a service is spoken to.
type ServiceKind string

// The kinds of services.
const (
	EngineService ServiceKind = "engine"
	PlainService  ServiceKind = "plain"
)

// A PurchaseClass says how the platform supplies a target.
type SupplyClass string

// The classes of targets: ordered ones stay until they are returned, cheap ones
// can be reclaimed at any moment.
const (
	Regular     SupplyClass = "ordered"
	Reclaimable SupplyClass = "cheap"
)

// Inventory is the inventory file.
type Inventory struct {
	Currency       string          `toml:"currency"`
	FailureDomains []FailureDomain `toml:"failure_domains"`
	Services       []Service       `toml:"services"`
	Targets        []Target        `toml:"targets"`
	Workspaces     []Workspace     `toml:"workspaces"`
	Keys           []Key           `toml:"keys"`
}

// FailureDomain is a part of the fleet that can be cut off as a whole.
type FailureDomain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name string      `toml:"name"`
	Kind ServiceKind `toml:"kind"`
	// Models are the model names callers may ask an engine service for.
	Models []string `toml:"models"`
	// NonIdempotent lists "METHOD /path" prefixes whose calls run at most once.
	NonIdempotent []string `toml:"non_idempotent"`
	// Idempotent lists "METHOD /path" prefixes of POST and PATCH calls that may
	// be repeated. Any other POST or PATCH counts as non-idempotent.
	Idempotent []string `toml:"idempotent"`
	// PieceTokens is the length of a prefix cache piece in tokens.
	BlockTokens int `toml:"piece_tokens"`
}

// Target is one engine or one process of a plain service.
type Target struct {
	Name          string      `toml:"name"`
	Service       string      `toml:"service"`
	FailureDomain string      `toml:"failure_domain"`
	Address       string      `toml:"address"`
	Class         SupplyClass `toml:"class"`
	// Role is the role ordered of an engine: mixed, prefill or decode.
	Role string `toml:"role"`
	// Slots is how many requests the target runs at once.
	Slots int `toml:"slots"`
	// HonoursFencing is true if the target refuses orders with an old number.
	HonoursFencing bool `toml:"honours_fencing"`
	// TokenCost is the price of a thousand tokens in millionths of the currency.
	TokenCost int64 `toml:"token_cost"`
	// HourCost is the price of an hour in millionths of the currency.
	HourCost int64 `toml:"hour_cost"`
}

// Workspace is a customer that requests are run and billed for.
type Workspace struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	// Home lists the failure domains that go on serving this workspace's keys
	// while they are cut off. Withdrawal of such a key is complete only once
	// those failure domains have it.
	Home []string `toml:"home"`
}

// Key is a caller's key. Hash is the lower-case hex SHA-256 of the whole key,
// which has the form "ID.SECRET".
type Key struct {
	ID        string `toml:"id"`
	Workspace string `toml:"workspace"`
	Hash      string `toml:"hash"`
}

// Rules is the rules file.
type Rules struct {
	Allow      []Allow     `toml:"allow"`
	Limits     []Limit     `toml:"limits"`
	OpenRoutes []OpenRoute `toml:"open_routes"`
}

// Allow lets a workspace use a service during some hours.
type Allow struct {
	// Workspace and Service are names, or "*" for any.
	Workspace string `toml:"workspace"`
	Service   string `toml:"service"`
	// Hours is "HH:MM-HH:MM" in TimeZone; a span over midnight wraps. Empty is
	// the whole day.
	Hours    string `toml:"hours"`
	TimeZone string `toml:"time_zone"`
}

// Limit bounds what a workspace may use of a service.
type Limit struct {
	Workspace       string  `toml:"workspace"`
	Service         string  `toml:"service"`
	TokensPerSecond float64 `toml:"tokens_per_second"`
	BurstTokens     float64 `toml:"burst_tokens"`
}

// OpenRoute lets requests in without a key, billed to Workspace.
type OpenRoute struct {
	Service   string `toml:"service"`
	Path      string `toml:"path"`
	Workspace string `toml:"workspace"`
}
