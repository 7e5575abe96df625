package control

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// Limits configures how long the state machine keeps data.
type Limits struct {
	// ClaimRetain is the time for which a claim and its outcome are kept.
	ClaimRetain time.Duration
}

const (
	// maxTrailEntries bounds the audit trail in memory and in snapshots.
	maxTrailEntries = 20000
	// maxPreviousConfigurations bounds the configurations kept as the bases of
	// deltas.
	maxPreviousConfigurations = 8
	// maxWindows is the number of usage windows kept. Windows whose report has
	// not been acknowledged are kept beyond it.
	maxWindows = 64
	// maxReplacedIncarnations bounds the replaced incarnations kept per instance.
	maxReplacedIncarnations = 64
	// MaxOutcomeBytes bounds the stored response body of a claimed call.
	MaxOutcomeBytes = 64 << 10
)

type claimKey struct{ workspace, key string }

type drainKey struct{ kind, name string }

type counterKey struct {
	source    string
	window    int64
	workspace string
}

// A Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	limits           Limits
	lastApplied      uint64
	revision         uint64
	clockMs          int64
	configuration    *peer.ApplyConfiguration
	document         *peer.ReplaceDocument
	previous         []*peer.ApplyConfiguration
	withdrawn        map[string]uint64
	drains           map[drainKey]uint64
	quarantines      map[string]*peer.QuarantineMark
	claims           map[claimKey]*peer.Claim
	claimOrder       []claimKey
	intents          map[string]*peer.Intent
	instances        map[string]*peer.Join
	windows          map[int64]*peer.Window
	settledCounters  map[counterKey]*peer.Counter
	lastClosedWindow int64
	trail            []*peer.TrailEntry
}

// New returns a state machine without any state.
func New(limits Limits) *Machine {
	m := &Machine{limits: limits}
	m.Restore(&peer.State{})
	return m
}

// Applied returns the log index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.lastApplied }

// Revision returns the log index of the last entry that changed the state that
// instances synchronize: configuration, withdrawals, drains and quarantines.
func (m *Machine) Revision() uint64 { return m.revision }

// Configuration returns the configuration in force, or nil if none has been
// committed.
func (m *Machine) Configuration() *peer.ApplyConfiguration { return m.configuration }

// Apply applies a committed entry and returns its result.
func (m *Machine) Apply(e *peer.Entry) *peer.Result {
	m.lastApplied = e.Index
	if e.Command == nil {
		return &peer.Result{}
	}
	m.clockMs = max(m.clockMs, e.Command.AtMs)
	result := m.dispatch(e)
	result.Revision = m.revision
	return result
}

func (m *Machine) dispatch(e *peer.Entry) *peer.Result {
	switch body := e.Command.Body.(type) {
	case *peer.Command_Apply:
		return m.applyConfiguration(e, body.Apply)
	case *peer.Command_Replace:
		return m.replaceDocument(e, body.Replace)
	case *peer.Command_Withdraw:
		return m.withdrawKey(e, body.Withdraw)
	case *peer.Command_Drain:
		return m.setDrain(e, body.Drain)
	case *peer.Command_Suspect:
		return m.suspectRequest(e, body.Suspect)
	case *peer.Command_OpenClaim:
		return m.openClaim(e, body.OpenClaim)
	case *peer.Command_CloseClaim:
		return m.closeClaim(body.CloseClaim)
	case *peer.Command_OpenIntent:
		return m.openIntent(e, body.OpenIntent)
	case *peer.Command_CloseIntent:
		return m.closeIntent(e, body.CloseIntent)
	case *peer.Command_Release:
		return m.releaseIssuer(e, body.Release)
	case *peer.Command_CloseWindow:
		return m.closeWindow(e, body.CloseWindow)
	case *peer.Command_Join:
		return m.joinInstance(e, proto.Clone(body.Join).(*peer.Join))
	case *peer.Command_Forget:
		return m.forgetInstance(e, body.Forget)
	case *peer.Command_StartTerm:
		m.appendTrail(e, "start_term", body.StartTerm.Issuer, fmt.Sprintf("term %d", e.Term))
		return &peer.Result{Epoch: e.Term}
	}
	return refused("unknown command type; this software version does not support it")
}

func refused(format string, args ...any) *peer.Result {
	return &peer.Result{Code: peer.Result_REFUSED, Detail: fmt.Sprintf(format, args...)}
}

// appendTrail appends an entry to the audit trail. When the trail exceeds
// maxTrailEntries, the oldest tenth is dropped.
func (m *Machine) appendTrail(e *peer.Entry, action, subject, result string) {
	m.trail = append(m.trail, &peer.TrailEntry{
		Index: e.Index, AtMs: e.Command.AtMs, Actor: e.Command.Actor,
		Action: action, Subject: subject, Result: result,
	})
	if len(m.trail) > maxTrailEntries {
		m.trail = slices.Clone(m.trail[len(m.trail)-maxTrailEntries*9/10:])
	}
}

// applyConfiguration puts a configuration in force if its version follows the
// current one. A version that was accepted before is accepted again without
// effect if the digest is the same; a different digest is a conflict.
func (m *Machine) applyConfiguration(e *peer.Entry, a *peer.ApplyConfiguration) *peer.Result {
	current := m.configuration.GetVersion()
	if accepted := m.configurationAt(a.Version); accepted != nil {
		if bytes.Equal(accepted.Digest, a.Digest) {
			return &peer.Result{Version: a.Version, Detail: "already accepted"}
		}
		detail := fmt.Sprintf("version %d was accepted with digest %x; this one has digest %x", a.Version, accepted.Digest, a.Digest)
		m.appendTrail(e, "apply", fmt.Sprintf("version %d", a.Version), "conflict")
		return &peer.Result{Code: peer.Result_CONFLICT, Version: current, Detail: detail}
	}
	if a.Version != current+1 {
		m.appendTrail(e, "apply", fmt.Sprintf("version %d", a.Version), "conflict")
		detail := fmt.Sprintf("version %d does not follow version %d, which is in force", a.Version, current)
		return &peer.Result{Code: peer.Result_CONFLICT, Version: current, Detail: detail}
	}
	if m.configuration != nil {
		m.previous = append(m.previous, m.configuration)
	}
	if len(m.previous) > maxPreviousConfigurations {
		m.previous = slices.Clone(m.previous[1:])
	}
	m.configuration = a
	m.revision = e.Index
	m.appendTrail(e, "apply", fmt.Sprintf("version %d", a.Version), fmt.Sprintf("accepted, digest %x", a.Digest))
	return &peer.Result{Version: a.Version, Detail: "accepted"}
}

func (m *Machine) configurationAt(version uint64) *peer.ApplyConfiguration {
	if m.configuration != nil && m.configuration.Version == version {
		return m.configuration
	}
	for _, c := range m.previous {
		if c.Version == version {
			return c
		}
	}
	return nil
}

// ConfigurationAt returns the configuration with the version and digest, or nil
// if it is no longer kept.
func (m *Machine) ConfigurationAt(version uint64, digest []byte) *peer.ApplyConfiguration {
	c := m.configurationAt(version)
	if c == nil || !bytes.Equal(c.Digest, digest) {
		return nil
	}
	return c
}

// withdrawKey withdraws a key permanently: a later inventory that lists the key
// id does not reinstate it.
func (m *Machine) withdrawKey(e *peer.Entry, w *peer.WithdrawKey) *peer.Result {
	if _, ok := m.withdrawn[w.KeyId]; ok {
		return &peer.Result{Detail: "already withdrawn"}
	}
	m.withdrawn[w.KeyId] = e.Index
	m.revision = e.Index
	m.appendTrail(e, "withdraw_key", w.KeyId, "committed")
	return &peer.Result{Detail: "committed"}
}

func (m *Machine) setDrain(e *peer.Entry, d *peer.Drain) *peer.Result {
	key := drainKey{d.Kind, d.Name}
	action := "drain"
	if d.Undo {
		action = "undo_drain"
		delete(m.drains, key)
	} else {
		m.drains[key] = e.Index
	}
	m.revision = e.Index
	m.appendTrail(e, action, d.Kind+" "+d.Name, "committed")
	return &peer.Result{Detail: "committed"}
}

// joinInstance records a new incarnation of an instance. An incarnation that was
// replaced cannot join again. The replaced process is released from its intents
// only if the new one has the same address: two processes cannot listen there at
// once, so the old one must have terminated.
func (m *Machine) joinInstance(e *peer.Entry, j *peer.Join) *peer.Result {
	existing := m.instances[j.Instance]
	if existing.GetIncarnation() == j.Incarnation && existing.GetAddress() == j.Address {
		return &peer.Result{}
	}
	if slices.Contains(existing.GetReplaced(), j.Incarnation) {
		return refused("instance %q has restarted as a newer incarnation; this incarnation must stop", j.Instance)
	}
	if existing != nil {
		j.Replaced = append(slices.Clone(existing.Replaced), existing.Incarnation)
		j.Replaced = j.Replaced[max(0, len(j.Replaced)-maxReplacedIncarnations):]
		if existing.Address == j.Address {
			m.removeIssuer(existing.Incarnation)
		}
	}
	m.instances[j.Instance] = j
	m.appendTrail(e, "join", j.Instance, "incarnation "+j.Incarnation)
	return &peer.Result{}
}

func (m *Machine) forgetInstance(e *peer.Entry, f *peer.Forget) *peer.Result {
	existing := m.instances[f.Instance]
	if existing == nil {
		return &peer.Result{Code: peer.Result_NOT_FOUND, Detail: fmt.Sprintf("instance %q is not registered", f.Instance)}
	}
	if f.Incarnation != "" && f.Incarnation != existing.Incarnation {
		return refused("instance %q now runs as incarnation %s", f.Instance, existing.Incarnation)
	}
	delete(m.instances, f.Instance)
	m.removeIssuer(existing.Incarnation)
	m.appendTrail(e, "forget", f.Instance, "committed")
	return &peer.Result{Detail: "committed"}
}

// Withdrawn returns the sorted ids of the keys that were withdrawn after the
// revision.
func (m *Machine) Withdrawn(after uint64) []string {
	var ids []string
	for id, revision := range m.withdrawn {
		if revision > after {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// WithdrawnAt returns the revision that withdrew the key, or 0 if the key is not
// withdrawn.
func (m *Machine) WithdrawnAt(id string) uint64 { return m.withdrawn[id] }

// Drains returns the drains in force, sorted by kind and name.
func (m *Machine) Drains() []*peer.Drain {
	var drains []*peer.Drain
	for _, key := range sortedKeys(m.drains, compareDrain) {
		drains = append(drains, &peer.Drain{Kind: key.kind, Name: key.name})
	}
	return drains
}

// Instances returns the current incarnations of all registered instances, sorted
// by instance name.
func (m *Machine) Instances() []*peer.Join {
	var list []*peer.Join
	for _, name := range slices.Sorted(maps.Keys(m.instances)) {
		list = append(list, m.instances[name])
	}
	return list
}

// Instance returns the current incarnation of the instance, or nil if it is not
// registered.
func (m *Machine) Instance(name string) *peer.Join { return m.instances[name] }

// Trail returns at most limit audit entries with a log index greater than after.
func (m *Machine) Trail(after uint64, limit int) []*peer.TrailEntry {
	start, _ := slices.BinarySearchFunc(m.trail, after+1, func(t *peer.TrailEntry, index uint64) int {
		return int(int64(t.Index) - int64(index))
	})
	return slices.Clone(m.trail[start:min(len(m.trail), start+limit)])
}
