// Package operator implements the HTTP API for operators and its client: applying a
// configuration, status, the audit trail, withdrawal of keys, drains, and changes of
// instances and voters.
//
// It defines the JSON messages, the HTTP handler and every message that tells an
// operator at which instances a change is in effect. It must not change state
// directly; it proposes commands to the control group.
//
// # Usage
//
//	client := operator.NewClient([]string{"10.0.0.2:7201"}, key)
//	response, err := client.Apply(ctx, operator.ApplyRequest{Version: 2, ...})
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

// An ApplyRequest replaces the configuration. Inventory and Rules are the texts of the
// two files.
type ApplyRequest struct {
	Version   uint64 `json:"version"`
	Inventory string `json:"inventory"`
	Rules     string `json:"rules"`
	Actor     string `json:"actor"`
}

// A ChangeResponse is the result of a change. InEffect, Waiting and Unresponsive
// partition the known instances. Revision is the revision of the replicated state
// that includes the change.
type ChangeResponse struct {
	Accepted bool     `json:"accepted"`
	Detail   string   `json:"detail"`
	Version  uint64   `json:"version,omitempty"`
	Revision uint64   `json:"revision,omitempty"`
	InEffect []string `json:"in_force"`
	// Waiting are the live instances that have not confirmed the change.
	Waiting []string `json:"waiting"`
	// Unresponsive are the known instances that have not confirmed the change and
	// send the control leader no heartbeats.
	Unresponsive []string `json:"silent"`
	Findings     []string `json:"findings,omitempty"`
}

// A WithdrawRequest withdraws a key.
type WithdrawRequest struct {
	KeyID string `json:"key_id"`
	Actor string `json:"actor"`
	// InstanceOnly withdraws the key only at the instance that receives the
	// request. It is for a failure domain that cannot reach the control group.
	InstanceOnly bool `json:"instance_only"`
}

// A WithdrawResponse is the result of a withdrawal. Complete is true only if no
// instance accepts the key any more; otherwise MayServe lists the instances that may,
// as far as they are known.
type WithdrawResponse struct {
	Complete bool     `json:"complete"`
	Message  string   `json:"sentence"`
	MayServe []string `json:"may_serve"`
}

// A DrainRequest stops new requests to a target or to the targets of a failure domain.
// Kind is "target" or "failure_domain". Undo reverses an earlier drain.
type DrainRequest struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Undo  bool   `json:"undo"`
	Actor string `json:"actor"`
}

// A NameRequest forgets the named instance or releases the named issuer of external
// actions, depending on the path. A release needs a reason.
type NameRequest struct {
	Name   string `json:"name"`
	Reason string `json:"reason"`
	Actor  string `json:"actor"`
}

// A VotersRequest changes the voter set of the control group. Learners receive the log
// but have no vote.
type VotersRequest struct {
	Voters   []uint64 `json:"voters"`
	Learners []uint64 `json:"learners"`
}

// A Status is the control leader's view of the system, with the view of the targets
// of the instance that answers. Without a reachable leader only the fields of the
// answering instance, Targets, Version and Revision are set.
type Status struct {
	AnsweringInstance string `json:"asked"`
	// AnsweringVersion is the configuration version in effect at the answering
	// instance.
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

// A MemberStatus is an instance's state as the control leader knows it. SinceContactMs
// is the time in milliseconds since the instance's last heartbeat, or -1 if the
// leader has received none.
type MemberStatus struct {
	Instance       string `json:"instance"`
	FailureDomain  string `json:"failure_domain"`
	Alive          bool   `json:"alive"`
	Draining       bool   `json:"draining"`
	Version        uint64 `json:"version"`
	Revision       uint64 `json:"revision"`
	SinceContactMs int64  `json:"silent_ms"`
}

// An IntentStatus is an external action that has no result yet, or that has issuers
// that may still have a request in flight.
type IntentStatus struct {
	ID      string   `json:"id"`
	Target  string   `json:"target"`
	Kind    string   `json:"kind"`
	Epoch   uint64   `json:"epoch"`
	Done    bool     `json:"done"`
	Issuers []string `json:"issuers"`
}

// A TrailEntry is one entry of the audit trail.
type TrailEntry struct {
	Index   uint64 `json:"index"`
	AtMs    int64  `json:"at_ms"`
	Actor   string `json:"actor"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
	Result  string `json:"result"`
}

// An errorBody is the JSON body of an error response.
type errorBody struct {
	Error    string   `json:"error"`
	Findings []string `json:"findings,omitempty"`
}
