// Package inventory defines the configuration that operators change at run time:
// the inventory (failure domains, services, targets, workspaces, keys) and the
// rules, which say which workspace may use which service, and when.
//
// It owns the TOML schema of both files, their validation and the immutable
// Snapshot against which requests are authenticated, authorized and routed. It
// must not import a package that acts on a Snapshot.
//
// # Usage
//
//	snapshot, findings := inventory.Parse(version, inventoryTOML, rulesTOML)
//	key := snapshot.Authenticate(callerKey)
//	allowed := snapshot.Allowed(key.Workspace, service, time.Now())
package inventory

// A ServiceKind says which protocol a service's targets speak.
type ServiceKind string

// The kinds of services: an engine service serves models through the completion
// API, a plain service serves any HTTP requests.
const (
	EngineService ServiceKind = "engine"
	PlainService  ServiceKind = "plain"
)

// A SupplyClass says on which terms the platform supplies a target.
type SupplyClass string

// The classes of targets: the platform keeps a regular one until it is released
// and can reclaim a reclaimable one at any time.
const (
	Regular     SupplyClass = "ordered"
	Reclaimable SupplyClass = "cheap"
)

// Inventory is the content of the inventory file.
type Inventory struct {
	Currency       string          `toml:"currency"`
	FailureDomains []FailureDomain `toml:"failure_domains"`
	Services       []Service       `toml:"services"`
	Targets        []Target        `toml:"targets"`
	Workspaces     []Workspace     `toml:"workspaces"`
	Keys           []Key           `toml:"keys"`
}

// FailureDomain is a part of the fleet that can fail or be partitioned from the
// rest as a whole.
type FailureDomain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Service is a set of targets that can serve the same requests.
type Service struct {
	Name string      `toml:"name"`
	Kind ServiceKind `toml:"kind"`
	// Models are the model names that an engine service serves.
	Models []string `toml:"models"`
	// NonIdempotent lists "METHOD /path" prefixes of requests that are executed
	// at most once.
	NonIdempotent []string `toml:"non_idempotent"`
	// Idempotent lists "METHOD /path" prefixes of POST and PATCH requests that
	// may be retried. Any other POST or PATCH counts as non-idempotent.
	Idempotent []string `toml:"idempotent"`
	// BlockTokens is the length of a prefix block in tokens.
	BlockTokens int `toml:"piece_tokens"`
}

// Target is one model engine or one process of a plain service.
type Target struct {
	Name          string      `toml:"name"`
	Service       string      `toml:"service"`
	FailureDomain string      `toml:"failure_domain"`
	Address       string      `toml:"address"`
	Class         SupplyClass `toml:"class"`
	// Role is the role that an engine is to run in: mixed, prefill or decode.
	Role string `toml:"role"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `toml:"slots"`
	// HonoursFencing is true if the target rejects actions with an outdated
	// fencing token.
	HonoursFencing bool `toml:"honours_fencing"`
	// TokenCost is the price of 1,000 tokens in millionths of the currency.
	TokenCost int64 `toml:"token_cost"`
	// HourCost is the price of one hour in millionths of the currency.
	HourCost int64 `toml:"hour_cost"`
}

// Workspace is the unit that requests are authorized, scheduled and billed for.
type Workspace struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	// Home lists the failure domains that continue to accept this workspace's
	// keys while they cannot reach the control group. The withdrawal of such a
	// key is complete only once it has reached those failure domains.
	Home []string `toml:"home"`
}

// Key is a caller's API key. Hash is the hex-encoded SHA-256 hash of the whole
// key, which has the form "ID.SECRET".
type Key struct {
	ID        string `toml:"id"`
	Workspace string `toml:"workspace"`
	Hash      string `toml:"hash"`
}

// Rules is the content of the rules file.
type Rules struct {
	Allow      []Allow     `toml:"allow"`
	Limits     []Limit     `toml:"limits"`
	OpenRoutes []OpenRoute `toml:"open_routes"`
}

// Allow permits a workspace to use a service during a daily time window.
type Allow struct {
	// Workspace and Service are names, or "*" for any.
	Workspace string `toml:"workspace"`
	Service   string `toml:"service"`
	// Hours is "HH:MM-HH:MM" in TimeZone and may cross midnight. If it is empty,
	// the rule applies all day.
	Hours    string `toml:"hours"`
	TimeZone string `toml:"time_zone"`
}

// Limit is the token rate limit of a workspace on a service.
type Limit struct {
	Workspace       string  `toml:"workspace"`
	Service         string  `toml:"service"`
	TokensPerSecond float64 `toml:"tokens_per_second"`
	BurstTokens     float64 `toml:"burst_tokens"`
}

// OpenRoute admits requests without a key and bills them to Workspace.
type OpenRoute struct {
	Service   string `toml:"service"`
	Path      string `toml:"path"`
	Workspace string `toml:"workspace"`
}
