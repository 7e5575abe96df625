// Package member connects instances to the control group: every instance sends
// heartbeats to the control leader and receives the state that it lacks; the leader
// keeps a table of the live instances and of the state in effect at each.
//
// It owns the ControlClient (on every instance), its immutable View, and the Table
// (on voters). It does not decide on requests or act on targets.
//
// # Usage
//
//	client := member.NewControlClient(config, dialer, usageSource, suspects, logger, onReplaced)
//	client.Start()
//	view := client.View()
package member

import (
	"slices"
	"time"

	"auburnscale/inventory"
	"auburnscale/peer"
)

// A View is the state that an instance decides by at one moment. It is immutable.
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

// Snapshot returns the configuration in effect, or nil before the first one.
func (v *View) Snapshot() *inventory.Snapshot { return v.snapshot }

// Version returns the version of the configuration in effect, or 0.
func (v *View) Version() uint64 { return v.configuration.GetVersion() }

// Revision returns the log index up to which the view is complete.
func (v *View) Revision() uint64 { return v.revision }

// Withdrawn reports whether the key was withdrawn.
func (v *View) Withdrawn(keyID string) bool { return v.withdrawn[keyID] }

// Quarantined returns until when requests with the fingerprint are refused, and
// whether they are refused at the given time.
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

// Drains returns the targets and failure domains that are being drained.
func (v *View) Drains() []*peer.Drain { return v.drains }

// Members returns the instances that the control leader reported to this one.
func (v *View) Members() []*peer.Member { return v.members }

// SettledWindow returns the last closed usage window.
func (v *View) SettledWindow() int64 { return v.settledWindow }

// Term returns the highest term that a voter reported to this instance.
func (v *View) Term() uint64 { return v.term }

// Instances returns the number of live instances of the whole system, at least 1.
func (v *View) Instances() int { return max(1, v.instances) }

// Leader returns the id of the last known control leader, or 0.
func (v *View) Leader() uint64 { return v.leader }

// merge returns the view after the response to a heartbeat. It never returns to an
// older state: a response with a lower revision changes only the fields that do not
// depend on the revision.
func (v *View) merge(response *peer.SyncResponse, configuration *peer.ApplyConfiguration, snapshot *inventory.Snapshot) *View {
	next := *v
	next.leader = response.Leader
	if response.Instances > 0 {
		next.instances = int(response.Instances)
	}
	next.term = max(v.term, response.Term)
	if response.MembersDigest != v.membersDigest && len(response.Members) > 0 {
		next.members = response.Members
		next.membersDigest = response.MembersDigest
	}
	next.settledWindow = max(v.settledWindow, response.SettledWindow)
	if response.Revision < v.revision {
		return &next
	}
	next.revision = response.Revision
	next.configuration = configuration
	next.snapshot = snapshot
	if !response.Full {
		return &next
	}
	next.withdrawn = extendSet(v.withdrawn, response.Withdrawn)
	next.drains = response.Drains
	next.quarantined = map[string]*peer.Quarantine{}
	for _, q := range response.Quarantines {
		next.quarantined[q.Fingerprint] = q
	}
	return &next
}

// extendSet returns the union of a set and a list. Withdrawals are never revoked.
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
