// Package operator is the API for operators and its client: applying a
// configuration, status, the audit trail, withdrawal of keys, drains, and
// changes of instances and voters.
//
// It owns the JSON messages, the HTTP handler and every sentence that tells an
// operator where something is in force. It must not change state by itself; it
// proposes commands.
//
// # Usage
//
//	client := operator.NewClient([]string{"10.0.0.2:7201"}, key)
//	answer, err := client.Apply(ctx, operator.ApplyRequest{Version: 2, ...})
package operator

import "auburnscale/target"

// The paths of the API.
const (
	applyPath    = "/v1/apply"
	statusPath   = "/v1/status"
	trailPath    = "/v1/trail"
	withdrawPath = "/v1/keys/withdraw"
	drainPath    = "/v1/drain"
	forgetPath   = "/v1/forget"
	releasePath  = "/v1/release"
	votersPath   = "/v1/voters"
)

// An ApplyRequest asks to put a configuration in force.
type ApplyRequest struct {
	Version   uint64 `json:"version"`
	Inventory string `json:"inventory"`
	Rules     string `json:"rules"`
	Actor     string `json:"actor"`
}

// A ChangeAnswer tells what became of a change and where it is in force.
type ChangeResponse struct {
	Accepted bool     `json:"accepted"`
	Detail   string   `json:"detail"`
	Version  uint64   `json:"version,omitempty"`
	Revision uint64   `json:"revision,omitempty"`
	InEffect []string `json:"in_force"`
	// Waiting are living instances that have not confirmed the change.
	Waiting []string `json:"waiting"`
	// Silent are known instances that the control leader does not hear.
	Unresponsive []string `json:"silent"`
	Findings     []string `json:"findings,omitempty"`
}

// A WithdrawRequest asks to withdraw a key.
type WithdrawRequest struct {
	KeyID string `json:"key_id"`
	Actor string `json:"actor"`
	// InstanceOnly enters the withdrawal at the asked instance alone, for a
	// failure domain that is cut off.
	InstanceOnly bool `json:"instance_only"`
}

// A WithdrawAnswer tells where a key still works. Complete is true only if no
// instance serves it any more.
type WithdrawResponse struct {
	Complete bool     `json:"complete"`
	Message  string   `json:"sentence"`
	MayServe []string `json:"may_serve"`
}

// A DrainRequest asks to give a target or a failure domain no new work.
type DrainRequest struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Undo  bool   `json:"undo"`
	Actor string `json:"actor"`
}

// A NameRequest asks to forget an instance or to release an issuer.
type NameRequest struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Actor  string `json:"actor"`
}

// A VotersRequest asks for a change of the voter set.
type VotersRequest struct {
	Voters   []uint64 `json:"voters"`
	Learners []uint64 `json:"learners"`
}

// A Status is the control leader's view of the system, with the asked
// instance's view of the targets.
type Status struct {
	AnsweringInstance string `json:"asked"`
	// AskedVersion is the configuration that the asked instance decides by.
	AnsweringVersion uint64          `json:"asked_version"`
	Fresh            bool            `json:"fresh"`
	Leader           uint64          `json:"leader"`
	Term             uint64          `json:"term"`
	Commit           uint64          `json:"commit"`
	Version          uint64          `json:"version"`
	Revision         uint64          `json:"revision"`
	Voters           []uint64        `json:"voters"`
	Learners         []uint64        `json:"learners"`
	Members          []MemberStatus  `json:"members"`
	Targets          []target.Status `json:"targets"`
	Intents          []IntentStatus  `json:"open_intents"`
	Drains           []string        `json:"drains"`
	Withdrawn        []string        `json:"withdrawn_keys"`
	SettledWindowMs  int64           `json:"settled_window_ms"`
}

// A MemberStatus is what the control leader knows of an instance.
type MemberStatus struct {
	Instance       string `json:"instance"`
	FailureDomain  string `json:"failure_domain"`
	Alive          bool   `json:"alive"`
	Draining       bool   `json:"draining"`
	Version        uint64 `json:"version"`
	Revision       uint64 `json:"revision"`
	SinceContactMs int64  `json:"silent_ms"`
}

// An IntentStatus is an outward action without an answer, or one whose issuers
// are not all released.
type IntentStatus struct {
	ID      string   `json:"id"`
	Target  string   `json:"target"`
	Kind    string   `json:"kind"`
	Epoch   uint64   `json:"epoch"`
	Done    bool     `json:"done"`
	Issuers []string `json:"issuers"`
}

// A TrailLine is one entry of the audit trail.
type TrailEntry struct {
	Index   uint64 `json:"index"`
	AtMs    int64  `json:"at_ms"`
	Actor   string `json:"actor"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
	Result  string `json:"result"`
}

// A refusalBody is the JSON form of an error.
type refusalBody struct {
	Error    string   `json:"error"`
	Findings []string `json:"findings,omitempty"`
}
