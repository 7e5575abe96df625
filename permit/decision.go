package permit

import "time"

// A Decision represents the decision whether a request may be sent to a target now.
type Decision struct {
	allowed bool
	wait    time.Duration
	reason  Reason
}

// A Reason is the reason for a decision.
type Reason string

// The reasons of decisions.
const (
	// Unlimited means that the target has no limit.
	Unlimited Reason = "unlimited"
	// Issued and Exhausted are answers of the leader.
	Issued    Reason = "issued"
	Exhausted Reason = "exhausted"
	// Paced means that this instance has reached its rate of requests for permits.
	Paced Reason = "paced"
	// OwnPart means that no leader answers and the own part of the limit decided.
	OwnPart Reason = "own_part"
	// NoLeader means that no leader answers and nothing is known to be left of the limit.
	NoLeader Reason = "no_leader"
)

// Allowed reports whether the request may be sent.
func (d Decision) Allowed() bool { return d.allowed }

// Wait returns the time after which the target may take another request, if the request may not
// be sent.
func (d Decision) Wait() time.Duration { return d.wait }

// Reason returns what decided.
func (d Decision) Reason() Reason { return d.reason }
