// Package settings reads and validates the settings file of one process.
//
// It owns the Settings struct, from which docs/SETTINGS.md is generated, and
// every check that can be made without contacting another process. It must not
// import any package that acts on the settings.
//
// # Usage
//
//	s, findings := settings.Read("a1.toml")
//	if err := findings.Err(); err != nil { ... }
package settings

import (
	"time"
)

// A Duration is a time.Duration that is written in TOML as "250ms" or "4s".
type Duration time.Duration

// UnmarshalText parses a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration in the form that UnmarshalText parses.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Settings holds the settings of one process. The fields are exported because
// the TOML decoder sets them; they are not changed after Read.
type Settings struct {
	Instance      string    `toml:"instance" doc:"name of this instance; unique in the organisation"`
	FailureDomain string    `toml:"failure_domain" doc:"failure domain this instance runs in, as named in the inventory"`
	Listen        Listen    `toml:"listen"`
	Peer          Peer      `toml:"peer"`
	Operator      Operator  `toml:"operator"`
	Voters        []Voter   `toml:"voters"`
	InitialVoters []uint64  `toml:"initial_voters" doc:"ids of the voters that form the initial voter set; an operator adds the others in voters later"`
	Voter         VoterRole `toml:"voter"`
	Platform      Platform  `toml:"platform"`
	Caller        Caller    `toml:"caller"`
	Control       Control   `toml:"control"`
	Policy        Policy    `toml:"policy"`
	Fleet         Fleet     `toml:"fleet"`
}

// Listen holds the listen addresses. Each is an IP address and a port.
type Listen struct {
	Caller   string `toml:"caller" doc:"listen address for callers, health checks and metrics"`
	Peer     string `toml:"peer" doc:"listen address for other instances (peer protocol)"`
	Operator string `toml:"operator" doc:"listen address for operators"`
}

// Peer holds the credentials with which instances authenticate to each other.
type Peer struct {
	KeyFile         string `toml:"key_file" doc:"file with the key shared by all instances; at least 16 bytes"`
	CertificateFile string `toml:"certificate_file" doc:"PEM certificate for mutual TLS between instances; empty to use no TLS"`
	PrivateKeyFile  string `toml:"private_key_file" doc:"PEM private key of certificate_file"`
	AuthorityFile   string `toml:"authority_file" doc:"PEM certificates of the authorities that the other instance's certificate must chain to"`
}

// Operator holds the credentials of operators.
type Operator struct {
	KeyFile string `toml:"key_file" doc:"file with the key that operators authenticate with; at least 16 bytes"`
}

// Voter is a process that can be a member of the voter set.
type Voter struct {
	ID      uint64 `toml:"id" doc:"id of the voter, 1 or more; must never be reused for another data folder"`
	Address string `toml:"address" doc:"peer address of the voter"`
}

// VoterRole configures this process as a voter.
type VoterRole struct {
	ID         uint64 `toml:"id" doc:"id of this process in voters; 0 if it is not a voter"`
	DataFolder string `toml:"data_folder" doc:"data folder, which holds the replicated log and its snapshot; set on voters only"`
}

// Platform holds what an instance must know about the platform.
type Platform struct {
	Address        string   `toml:"address" doc:"address of the platform's API; empty if there is none"`
	HonoursFencing bool     `toml:"honours_fencing" doc:"true if the platform rejects actions with an outdated fencing token"`
	UsageWindow    Duration `toml:"usage_window" doc:"length of a usage window"`
	UsageGrace     Duration `toml:"usage_grace" doc:"time after the end of a usage window during which its counters are still collected"`
}

// Caller holds the limits on callers' connections and requests, and the caller
// listener's certificate.
type Caller struct {
	BodyBytes       int      `toml:"body_bytes" doc:"maximum size of a request body in bytes"`
	HeaderBytes     int      `toml:"header_bytes" doc:"maximum size of the request headers in bytes"`
	Connections     int      `toml:"connections" doc:"maximum number of concurrent connections"`
	ReadTimeout     Duration `toml:"read_timeout" doc:"maximum time a client may take to send a request"`
	Deadline        Duration `toml:"deadline" doc:"deadline of a request if the caller sets none, and the latest deadline that a caller can set"`
	FirstToken      Duration `toml:"first_token" doc:"time-to-first-token objective; a request that is not expected to meet it is refused at once"`
	CertificateFile string   `toml:"certificate_file" doc:"PEM certificate of the caller listener; empty for plain HTTP"`
	PrivateKeyFile  string   `toml:"private_key_file" doc:"PEM private key of certificate_file"`
}

// Control holds the intervals and limits of heartbeats, probes and planned stops.
type Control struct {
	SyncInterval  Duration `toml:"sync_interval" doc:"interval of an instance's heartbeats to the control leader"`
	Freshness     Duration `toml:"freshness" doc:"how long after an answered heartbeat an instance may serve requests with a key"`
	ProbeInterval Duration `toml:"probe_interval" doc:"interval at which a target's load report is requested"`
	ClaimRetain   Duration `toml:"claim_retain" doc:"how long the outcome of a non-idempotent request is kept under its idempotency key"`
	DrainNotice   Duration `toml:"drain_notice" doc:"how long a stopping instance reports that it is not ready before it closes its listener"`
	StopLimit     Duration `toml:"stop_limit" doc:"maximum wait for open requests at a planned stop"`
}

// Policy selects the routing, admission and retry policies. The baseline policies
// remain selectable so that they can be compared with the defaults.
type Policy struct {
	Routing    string  `toml:"routing" doc:"routing policy: affinity, least_in_flight or round_robin"`
	Admission  string  `toml:"admission" doc:"admission policy: fair or fifo"`
	Retries    string  `toml:"retries" doc:"retry policy: budget or three_times"`
	Cost       string  `toml:"cost" doc:"whether entry instances weigh predicted costs of requests and the outstanding work of targets when they choose targets: auto (for services whose targets state their speed), on or off"`
	Scaling    string  `toml:"scaling" doc:"how many targets are ordered: demand (by the demand of their service), initial (by the number of initial ones), or auto (by demand for services whose targets state their speed)"`
	Waiting    string  `toml:"waiting" doc:"whether waits of routed requests for a target are bounded by observed times: auto (for services whose targets state their speed), on or off"`
	Shedding   string  `toml:"shedding" doc:"whether entry instances refuse routed requests in a shortage: auto (for services whose targets state their speed), on or off"`
	HotRatio   float64 `toml:"hot" doc:"prefix affinity is not applied to a target whose requests in flight exceed this multiple of its slots, or whose waiting prompts need more prefill time than this multiple of 0.4 s"`
	RetryShare float64 `toml:"retry_share" doc:"retries allowed per request of a workspace, on average over time"`
}

// Fleet holds the settings of an instance in a fleet with seed discovery: an
// instance knows a few control instances at its start and discovers the others
// through them.
type Fleet struct {
	Address            string   `toml:"address" doc:"IP address of this instance; empty if seed discovery is not used and voters lists every voter"`
	PeerPort           uint16   `toml:"peer_port" doc:"port for other instances; the same on all instances"`
	PeerListenAddress  string   `toml:"peer_listen" doc:"listen address for other instances if a forwarder listens on address and peer_port; empty to listen there directly (control role)"`
	Seeds              []string `toml:"seeds" doc:"operator addresses of some control instances"`
	Bootstrap          bool     `toml:"found" doc:"true only at the first start of the whole system, when all data folders are empty"`
	RequestAddress     string   `toml:"requests" doc:"listen address for routed requests (entry role)"`
	ReadinessAddress   string   `toml:"readiness" doc:"listen address of the readiness check, which tells whether the instance accepts new connections (entry role)"`
	OperatorAddress    string   `toml:"operators" doc:"listen address for operators and for heartbeats of targets (control role)"`
	MetricsAddress     string   `toml:"metrics" doc:"listen address for metrics; empty for none"`
	DataFolder         string   `toml:"data_folder" doc:"data folder, which holds the replicated log and its snapshot (control role)"`
	Memory             int      `toml:"memory_mb" doc:"memory limit of the process in megabytes; 40% of it, less 16 MB, bounds what is held for clients"`
	Descriptors        int      `toml:"descriptors" doc:"maximum number of open files and connections; callers or peers get 40% each, operators and targets 25%, readiness and metrics 5% each"`
	Stall              Duration `toml:"stall" doc:"time without a byte after which a client loses its request or response"`
	ToleratedLosses    int      `toml:"losses" doc:"number of data folders that may be lost at the same time without losing acknowledged changes"`
	Domains            []string `toml:"domains" doc:"names of all failure domains"`
	HeartbeatInterval  Duration `toml:"announce" doc:"interval of a target's heartbeats"`
	RecoveryTime       Duration `toml:"contact" doc:"time after a fault within which instances must be in contact again"`
	DrainTime          Duration `toml:"drain" doc:"time after which a draining target receives no new request"`
	StopGrace          Duration `toml:"grace" doc:"time between the signal to stop and the kill"`
	ConfigurationDelay Duration `toml:"effect" doc:"time within which an accepted configuration must be in effect on all instances"`
	LeaseTime          Duration `toml:"lease" doc:"minimum time between external actions of two different lease holders"`
	UsageWindow        Duration `toml:"usage_window" doc:"length of a usage window"`
	UsageDue           Duration `toml:"usage_late" doc:"time after the end of a usage window by which its usage must be reported"`
	RetryRatio         float64  `toml:"retry_ratio" doc:"retries allowed per request of a service, across the whole fleet"`
	RetrySlack         float64  `toml:"retry_slack" doc:"retries allowed beyond retry_ratio in one window, across the whole fleet"`
	RetryWindow        Duration `toml:"retry_window" doc:"length of the window over which retries are counted"`
	QuotaWindow        Duration `toml:"quota_window" doc:"length of the window over which the use of workspaces' quotas is checked"`
	QuotaOverage       float64  `toml:"quota_overage" doc:"part of what a quota allows in one window that may be used beyond it, across the whole fleet"`
	QuotaSlack         float64  `toml:"quota_slack" doc:"tokens that may be used beyond a quota in one window in addition, across the whole fleet"`
	StrictKeys         bool     `toml:"strict_keys" doc:"true if a withdrawn key must stop working even where no control leader can be reached; requests with a key are refused there"`
	KeyLife            Duration `toml:"key_life" doc:"with strict_keys, how long after an answer of the control leader requests with a key are served"`
	HonoursFencing     bool     `toml:"fenced" doc:"true if targets and the platform reject actions with an outdated fencing token"`
	PlatformAddress    string   `toml:"platform" doc:"address of the platform's API; empty if there is none"`
	LeaderTasks        []string `toml:"duties" doc:"tasks that the platform requires of the control leader: report_usage, order_targets"`
}

// Enabled reports whether the process belongs to a fleet with seed discovery.
func (f Fleet) Enabled() bool { return f.Address != "" }

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Platform: Platform{UsageWindow: Duration(time.Minute), UsageGrace: Duration(5 * time.Second)},
		Caller: Caller{
			BodyBytes: 4 << 20, HeaderBytes: 16 << 10, Connections: 4096,
			ReadTimeout: Duration(10 * time.Second), Deadline: Duration(2 * time.Minute),
			FirstToken: Duration(1300 * time.Millisecond),
		},
		Control: Control{
			SyncInterval: Duration(time.Second), Freshness: Duration(4 * time.Second),
			ProbeInterval: Duration(500 * time.Millisecond), ClaimRetain: Duration(24 * time.Hour),
			DrainNotice: Duration(2 * time.Second), StopLimit: Duration(2 * time.Minute),
		},
		Fleet: Fleet{
			Memory: 256, Descriptors: 4096, Stall: Duration(10 * time.Second), ToleratedLosses: 1,
			HeartbeatInterval: Duration(time.Second), RecoveryTime: Duration(3 * time.Second), DrainTime: Duration(2 * time.Second),
			StopGrace: Duration(8 * time.Second), ConfigurationDelay: Duration(2 * time.Second), LeaseTime: Duration(3 * time.Second),
			UsageWindow: Duration(5 * time.Second), UsageDue: Duration(10 * time.Second),
			KeyLife:    Duration(5 * time.Second),
			RetryRatio: 0.2, RetryWindow: Duration(10 * time.Second), QuotaWindow: Duration(8 * time.Second),
		},
		Policy: Policy{Routing: "affinity", Admission: "fair", Retries: "budget", Cost: "auto", Scaling: ScalingAuto, Waiting: "off", Shedding: "off", HotRatio: 1.5, RetryShare: 0.1},
	}
}
