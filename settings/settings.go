// Package settings reads and checks the settings file of one process.
//
// It owns the Settings struct, from which docs/SETTINGS.md is generated, and
// every check that needs no other process. It must not import any package that
// acts on the settings.
//
// # Usage
//
//	s, findings := settings.Read("a1.toml")
//	if err := findings.Err(); err != nil { ... }
package settings

import (
	"time"
)

// A Duration is a time span written in TOML as "250ms" or "4s".
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

// MarshalText writes the duration as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Span returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Settings are the settings of one process. Fields are exported because the
// TOML library sets them; after Read they are not changed.
type Settings struct {
	Instance      string    `toml:"instance" doc:"name of this instance, unique in the organisation"`
	FailureDomain string    `toml:"failure_domain" doc:"failure domain this instance runs in, as named in the inventory"`
	Listen        Listen    `toml:"listen"`
	Peer          Peer      `toml:"peer"`
	Operator      Operator  `toml:"operator"`
	Voters        []Voter   `toml:"voters"`
	InitialVoters []uint64  `toml:"initial_voters" doc:"ids of the voters that form the first quorum; the others in voters start as strangers and are added by an operator"`
	Voter         VoterRole `toml:"voter"`
	Platform      Platform  `toml:"platform"`
	Caller        Caller    `toml:"caller"`
	Control       Control   `toml:"control"`
	Policy        Policy    `toml:"policy"`
	Fleet         Fleet     `toml:"fleet"`
}

// Listen holds the listening addresses. All are an IP number and a port.
type Listen struct {
	Caller   string `toml:"caller" doc:"address for callers, health and metrics"`
	Peer     string `toml:"peer" doc:"address for other instances (inner protocol)"`
	Operator string `toml:"operator" doc:"address for operators"`
}

// Peer holds how instances authenticate to each other.
type Peer struct {
	KeyFile         string `toml:"key_file" doc:"file with the key that all instances share; at least 16 bytes"`
	CertificateFile string `toml:"certificate_file" doc:"PEM certificate for mutual TLS between instances; empty for none"`
	PrivateKeyFile  string `toml:"private_key_file" doc:"PEM private key that belongs to certificate_file"`
	AuthorityFile   string `toml:"authority_file" doc:"PEM certificates that the other side's certificate must chain to"`
}

// Operator holds how operators authenticate.
type Operator struct {
	KeyFile string `toml:"key_file" doc:"file with the operators' key; at least 16 bytes"`
}

// Voter names one possible member of the quorum.
type Voter struct {
	ID      uint64 `toml:"id" doc:"number of the voter, from 1; never used again for another data folder"`
	Address string `toml:"address" doc:"peer address of the voter"`
}

// Role makes this process a voter.
type VoterRole struct {
	ID         uint64 `toml:"id" doc:"this process's id in voters; 0 if it is no voter"`
	DataFolder string `toml:"data_folder" doc:"folder for the log and snapshot; only a voter has one"`
}

// Platform names the platform's interfaces.
type Platform struct {
	Address        string   `toml:"address" doc:"address of the platform; empty if there is none"`
	HonoursFencing bool     `toml:"honours_fencing" doc:"true if the platform refuses an older fencing number"`
	UsageWindow    Duration `toml:"usage_window" doc:"length of a usage window"`
	UsageGrace     Duration `toml:"usage_grace" doc:"how long after a window's end its counters are still collected"`
}

// Caller bounds what callers may send.
type Caller struct {
	BodyBytes       int      `toml:"body_bytes" doc:"largest request body in bytes"`
	HeaderBytes     int      `toml:"header_bytes" doc:"largest request header in bytes"`
	Connections     int      `toml:"connections" doc:"most connections at once"`
	ReadTimeout     Duration `toml:"read_timeout" doc:"time a client may take to send a request"`
	Deadline        Duration `toml:"deadline" doc:"time after which a request is given up if the caller names none"`
	FirstToken      Duration `toml:"first_token" doc:"target for the first token; a request that cannot meet it is refused at once"`
	CertificateFile string   `toml:"certificate_file" doc:"PEM certificate for callers; empty for plain HTTP"`
	PrivateKeyFile  string   `toml:"private_key_file" doc:"PEM private key that belongs to certificate_file"`
}

// Control holds the timing between instances and the control group.
type Control struct {
	SyncInterval  Duration `toml:"sync_interval" doc:"time between two heartbeats of an instance to the control leader"`
	Freshness     Duration `toml:"freshness" doc:"how long after a heartbeat's answer an instance may serve keyed requests"`
	ProbeInterval Duration `toml:"probe_interval" doc:"time between two load reports asked of a target"`
	ClaimRetain   Duration `toml:"claim_retain" doc:"how long the outcome of a claimed call is kept"`
	DrainNotice   Duration `toml:"drain_notice" doc:"how long a stopping instance says it is not ready before it closes its listener"`
	StopLimit     Duration `toml:"stop_limit" doc:"longest wait for open requests at a planned stop"`
}

// Policy selects the decisions under load. The baselines stay selectable so
// that they can be measured side by side.
type Policy struct {
	Routing    string  `toml:"routing" doc:"affinity, least_in_flight or round_robin"`
	Admission  string  `toml:"admission" doc:"fair or fifo"`
	Retries    string  `toml:"retries" doc:"budget or three_times"`
	HotRatio   float64 `toml:"hot" doc:"most in-flight work on a target relative to the mean before prefix affinity is given up"`
	RetryShare float64 `toml:"retry_share" doc:"retries allowed per request of a workspace over time"`
}

// Fleet holds what an instance of a fleet that finds itself needs: instances
// know a few control instances at the start and learn of the others.
type Fleet struct {
	Address            string   `toml:"address" doc:"IP number of this instance; empty where settings name every voter"`
	PeerPort           uint16   `toml:"peer_port" doc:"port for other instances, the same on all of them"`
	PeerListenAddress  string   `toml:"peer_listen" doc:"address to listen on for other instances where a forwarder stands at address and peer_port; empty for these themselves (control role)"`
	Seeds              []string `toml:"seeds" doc:"addresses of some control instances, as operators reach them"`
	Bootstrap          bool     `toml:"found" doc:"true only at the first start of the whole system, with empty data folders"`
	RequestAddress     string   `toml:"requests" doc:"address for routed requests (entry role)"`
	ReadinessAddress   string   `toml:"readiness" doc:"address that tells whether the instance takes new connections (entry role)"`
	OperatorAddress    string   `toml:"operators" doc:"address for operators and for targets that announce themselves (control role)"`
	MetricsAddress     string   `toml:"metrics" doc:"address for metrics; empty for none"`
	DataFolder         string   `toml:"data_folder" doc:"folder for the log and snapshot (control role)"`
	Memory             int      `toml:"memory_mb" doc:"memory limit of the process in megabytes"`
	Descriptors        int      `toml:"descriptors" doc:"most open files and connections"`
	ToleratedLosses    int      `toml:"losses" doc:"data folders that may be lost at once without losing what was acknowledged"`
	Domains            []string `toml:"domains" doc:"all failure domains"`
	HeartbeatInterval  Duration `toml:"announce" doc:"time between two heartbeats of a target"`
	RecoveryTime       Duration `toml:"contact" doc:"time after a fault within which instances find each other again"`
	DrainTime          Duration `toml:"drain" doc:"time after which a leaving target gets no new request"`
	StopGrace          Duration `toml:"grace" doc:"time from the request to stop to the kill"`
	ConfigurationDelay Duration `toml:"effect" doc:"time after which an accepted configuration is in force everywhere"`
	LeaseTime          Duration `toml:"lease" doc:"time between the outward acts of two different holders"`
	UsageWindow        Duration `toml:"usage_window" doc:"length of a usage window"`
	UsageDue           Duration `toml:"usage_late" doc:"time after a window's end by which its usage is due"`
	RetryRatio         float64  `toml:"retry_ratio" doc:"repeats allowed per request of a service, over the whole fleet"`
	RetrySlack         float64  `toml:"retry_slack" doc:"repeats allowed beyond the ratio in one window, over the whole fleet"`
	RetryWindow        Duration `toml:"retry_window" doc:"length of the window that repeats are counted in"`
	StrictKeys         bool     `toml:"strict_keys" doc:"true if a withdrawn key must stop where no control leader can be reached; keyed requests are refused there"`
	KeyLife            Duration `toml:"key_life" doc:"with strict_keys, how long after a leader's answer keyed requests are served"`
	HonoursFencing     bool     `toml:"fenced" doc:"true if targets and the platform refuse an older fencing number"`
	PlatformAddress    string   `toml:"platform" doc:"address of the platform's interface; empty if there is none"`
	LeaderTasks        []string `toml:"duties" doc:"what the platform expects of the control leader: report_usage, order_targets"`
}

// Enabled reports whether the process belongs to a fleet that finds itself.
func (f Fleet) Enabled() bool { return f.Address != "" }

// Default returns the settings that hold where a file says nothing.
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
			Memory: 256, Descriptors: 4096, ToleratedLosses: 1,
			HeartbeatInterval: Duration(time.Second), RecoveryTime: Duration(3 * time.Second), DrainTime: Duration(2 * time.Second),
			StopGrace: Duration(8 * time.Second), ConfigurationDelay: Duration(2 * time.Second), LeaseTime: Duration(3 * time.Second),
			UsageWindow: Duration(5 * time.Second), UsageDue: Duration(10 * time.Second),
			KeyLife:    Duration(5 * time.Second),
			RetryRatio: 0.2, RetryWindow: Duration(10 * time.Second),
		},
		Policy: Policy{Routing: "affinity", Admission: "fair", Retries: "budget", HotRatio: 1.5, RetryShare: 0.1},
	}
}
