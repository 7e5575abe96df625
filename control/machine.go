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

// Limits bound what the state keeps.
type Limits struct {
	// ClaimRetain is how long a claim and its outcome are kept.
	ClaimRetain time.Duration
}

const (
	// maxTrail bounds the audit trail kept in memory and in snapshots.
	maxTrailEntries = 20000
	// maxEarlier bounds the earlier configurations that deltas are made from.
	maxPreviousConfigurations = 8
	// maxWindows bounds the reported usage windows that are kept.
	maxWindows = 64
	// maxReplaced bounds the replaced incarnations remembered per instance.
	maxReplacedIncarnations = 64
	// MaxOutcomeBytes bounds the stored body of a claimed call's answer.
	MaxOutcomeBytes = 64 << 10
)

type claimKey struct{ workspace, key string }

type drainKey struct{ kind, name string }

type counterKey struct {
	source    string
	window    int64
	workspace string
}

// A Machine represents the replicated state. It is not safe for concurrent use.
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

// New returns an empty machine.
func New(limits Limits) *Machine {
	m := &Machine{limits: limits}
	m.Restore(&peer.State{})
	return m
}

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.lastApplied }

// Revision returns the index of the last entry that changed what instances
// follow: configuration, withdrawals, drains and quarantines.
func (m *Machine) Revision() uint64 { return m.revision }

// Configuration returns the configuration in force, or nil before the first.
func (m *Machine) Configuration() *peer.ApplyConfiguration { return m.configuration }

// Apply applies one committed entry and returns its result.
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
	return refused("the command is of a kind that this version does not know")
}

func refused(format string, args ...any) *peer.Result {
	return &peer.Result{Code: peer.Result_REFUSED, Detail: fmt.Sprintf(format, args...)}
}

// record appends to the audit trail.
func (m *Machine) appendTrail(e *peer.Entry, action, subject, result string) {
	m.trail = append(m.trail, &peer.TrailEntry{
		Index: e.Index, AtMs: e.Command.AtMs, Actor: e.Command.Actor,
		Action: action, Subject: subject, Result: result,
	})
	if len(m.trail) > maxTrailEntries {
		m.trail = slices.Clone(m.trail[len(m.trail)-maxTrailEntries*9/10:])
	}
}

// apply is compare-and-set on the version number. The same number with the same
// digest gets the first answer again; with another digest it is a conflict.
func (m *Machine) applyConfiguration(e *peer.Entry, a *peer.ApplyConfiguration) *peer.Result {
	current := m.configuration.GetVersion()
	if same := m.configurationAt(a.Version); same != nil {
		if bytes.Equal(same.Digest, a.Digest) {
			return &peer.Result{Version: a.Version, Detail: "already accepted"}
		}
		detail := fmt.Sprintf("version %d was accepted with digest %x; this one has digest %x", a.Version, same.Digest, a.Digest)
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

// ConfigurationAt returns the kept configuration with the version and digest, or
// nil if it is not kept any more.
func (m *Machine) ConfigurationAt(version uint64, digest []byte) *peer.ApplyConfiguration {
	c := m.configurationAt(version)
	if c == nil || !bytes.Equal(c.Digest, digest) {
		return nil
	}
	return c
}

// withdraw is grow-only: a withdrawn key id stays withdrawn whatever a later
// inventory says.
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

// join records a new incarnation of an instance. An incarnation that was
// replaced cannot come back. The replaced one counts as gone only if the address
// is the same: two processes cannot listen there at once.
func (m *Machine) joinInstance(e *peer.Entry, j *peer.Join) *peer.Result {
	known := m.instances[j.Instance]
	if known.GetIncarnation() == j.Incarnation && known.GetAddress() == j.Address {
		return &peer.Result{}
	}
	if slices.Contains(known.GetReplaced(), j.Incarnation) {
		return refused("instance %q was started again since; this incarnation must stop", j.Instance)
	}
	if known != nil {
		j.Replaced = append(slices.Clone(known.Replaced), known.Incarnation)
		j.Replaced = j.Replaced[max(0, len(j.Replaced)-maxReplacedIncarnations):]
		if known.Address == j.Address {
			m.removeIssuer(known.Incarnation)
		}
	}
	m.instances[j.Instance] = j
	m.appendTrail(e, "join", j.Instance, "incarnation "+j.Incarnation)
	return &peer.Result{}
}

func (m *Machine) forgetInstance(e *peer.Entry, f *peer.Forget) *peer.Result {
	known := m.instances[f.Instance]
	if known == nil {
		return &peer.Result{Code: peer.Result_NOT_FOUND, Detail: fmt.Sprintf("instance %q is not known", f.Instance)}
	}
	if f.Incarnation != "" && f.Incarnation != known.Incarnation {
		return refused("instance %q runs as incarnation %s now", f.Instance, known.Incarnation)
	}
	delete(m.instances, f.Instance)
	m.removeIssuer(known.Incarnation)
	m.appendTrail(e, "forget", f.Instance, "committed")
	return &peer.Result{Detail: "committed"}
}

// Withdrawn returns the ids of the withdrawn keys whose withdrawal is newer than
// the revision, sorted.
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

// WithdrawnAt returns the revision that withdrew the key, or 0.
func (m *Machine) WithdrawnAt(id string) uint64 { return m.withdrawn[id] }

// Drains returns all drains, sorted by kind and name.
func (m *Machine) Drains() []*peer.Drain {
	var drains []*peer.Drain
	for _, key := range sortedKeys(m.drains, compareDrain) {
		drains = append(drains, &peer.Drain{Kind: key.kind, Name: key.name})
	}
	return drains
}

// Instances returns the known instances, sorted by name.
func (m *Machine) Instances() []*peer.Join {
	var list []*peer.Join
	for _, name := range slices.Sorted(maps.Keys(m.instances)) {
		list = append(list, m.instances[name])
	}
	return list
}

// Instance returns the known incarnation of the instance, or nil.
func (m *Machine) Instance(name string) *peer.Join { return m.instances[name] }

// Trail returns at most limit audit entries behind the index.
func (m *Machine) Trail(after uint64, limit int) []*peer.TrailEntry {
	start, _ := slices.BinarySearchFunc(m.trail, after+1, func(t *peer.TrailEntry, index uint64) int {
		return int(int64(t.Index) - int64(index))
	})
	return slices.Clone(m.trail[start:min(len(m.trail), start+limit)])
}
