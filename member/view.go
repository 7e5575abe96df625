// Package member joins instances to the control group: every instance sends a
// heartbeat to the control leader and gets back what it lacks; the leader keeps
// the table of who is there and what is in force where.
//
// It owns the Follower (on every instance), its immutable View, and the Table
// (on voters). It must not decide on requests or act on targets.
//
// # Usage
//
//	follower := member.NewFollower(config, client, usageSource, logger)
//	follower.Start()
//	view := follower.View()
package member

import (
	"slices"
	"time"

	"auburnscale/inventory"
	"auburnscale/peer"
)

// A View represents what an instance decides by at one moment. It is immutable.
type View struct {
	snapshot      *inventory.Snapshot
	configuration *peer.ApplyConfiguration
	revision      uint64
	withdrawn     map[string]bool
	drains        []*peer.Drain
	quarantined   map[string]*peer.Quarantine
	members       []*peer.Member
	membersDigest uint64
	settledWindow int64
	leader        uint64
	term          uint64
	instances     int
}

// Snapshot returns the configuration in force, or nil before the first.
func (v *View) Snapshot() *inventory.Snapshot { return v.snapshot }

// Version returns the number of the configuration in force, or 0.
func (v *View) Version() uint64 { return v.configuration.GetVersion() }

// Revision returns the log index up to which the view is complete.
func (v *View) Revision() uint64 { return v.revision }

// Withdrawn reports whether the key was withdrawn.
func (v *View) Withdrawn(keyID string) bool { return v.withdrawn[keyID] }

// Quarantined reports until when requests with the fingerprint are refused, and
// whether they are at the time.
func (v *View) Quarantined(fingerprint string, at time.Time) (time.Time, bool) {
	until := v.quarantined[fingerprint].GetUntilMs()
	return time.UnixMilli(until), at.UnixMilli() < until
}

// Crashes returns how many targets crashed with the request in flight.
func (v *View) Crashes(fingerprint string) int32 {
	return v.quarantined[fingerprint].GetCrashes()
}

// Draining reports whether the target, or its failure domain, is drained.
func (v *View) Draining(t *inventory.Target) bool {
	return slices.ContainsFunc(v.drains, func(d *peer.Drain) bool {
		return d.Kind == "target" && d.Name == t.Name || d.Kind == "failure_domain" && d.Name == t.FailureDomain
	})
}

// Drains returns all drains.
func (v *View) Drains() []*peer.Drain { return v.drains }

// Members returns the instances that this one was told of.
func (v *View) Members() []*peer.Member { return v.members }

// SettledWindow returns the last closed usage window.
func (v *View) SettledWindow() int64 { return v.settledWindow }

// Term returns the highest term of a control leader that this instance heard.
func (v *View) Term() uint64 { return v.term }

// Instances returns the number of living instances of the whole system, at
// least 1.
func (v *View) Instances() int { return max(1, v.instances) }

// Leader returns the id of the last known control leader, or 0.
func (v *View) Leader() uint64 { return v.leader }

// merge returns the view after a heartbeat's answer. It never steps back: an
// answer with a lower revision changes only what is not configuration.
func (v *View) merge(answer *peer.SyncResponse, configuration *peer.ApplyConfiguration, snapshot *inventory.Snapshot) *View {
	next := *v
	next.leader = answer.Leader
	if answer.Instances > 0 {
		next.instances = int(answer.Instances)
	}
	next.term = max(v.term, answer.Term)
	if answer.MembersDigest != v.membersDigest && len(answer.Members) > 0 {
		next.members = answer.Members
		next.membersDigest = answer.MembersDigest
	}
	next.settledWindow = max(v.settledWindow, answer.SettledWindow)
	if answer.Revision < v.revision {
		return &next
	}
	next.revision = answer.Revision
	next.configuration = configuration
	next.snapshot = snapshot
	if !answer.Full {
		return &next
	}
	next.withdrawn = extendSet(v.withdrawn, answer.Withdrawn)
	next.drains = answer.Drains
	next.quarantined = map[string]*peer.Quarantine{}
	for _, q := range answer.Quarantines {
		next.quarantined[q.Fingerprint] = q
	}
	return &next
}

// extendSet returns a set with both; withdrawals only grow.
func extendSet(set map[string]bool, more []string) map[string]bool {
	next := make(map[string]bool, len(set)+len(more))
	for id := range set {
		next[id] = true
	}
	for _, id := range more {
		next[id] = true
	}
	return next
}
