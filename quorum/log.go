package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// log holds the entries after the last snapshot. Element i of entries has index
// snapshot.Index+1+i.
type log struct {
	initial       *peer.Voters
	snapshot      *peer.Snapshot
	entries       []*peer.Entry
	currentVoters *peer.Voters
}

func newLog(initial *peer.Voters, snapshot *peer.Snapshot, entries []*peer.Entry) log {
	l := log{initial: initial, snapshot: snapshot, entries: entries}
	l.refreshVoters()
	return l
}

func (l *log) firstIndex() uint64 { return l.snapshot.GetIndex() + 1 }

func (l *log) lastIndex() uint64 { return l.snapshot.GetIndex() + uint64(len(l.entries)) }

// term returns the term of the entry at index, which may be the last entry that
// the snapshot covers. It returns false if the log does not know that term.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshot.GetIndex() {
		return l.snapshot.GetTerm(), true
	}
	if index < l.firstIndex() || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.firstIndex()].Term, true
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

func (l *log) append(e *peer.Entry) {
	l.entries = append(l.entries, e)
	if e.Voters != nil {
		l.currentVoters = e.Voters
	}
}

// truncate drops the entry at index and all later ones.
func (l *log) truncate(index uint64) {
	kept := index - l.firstIndex()
	l.entries = append([]*peer.Entry(nil), l.entries[:kept]...)
	l.refreshVoters()
}

// slice returns the entries from first to last, both included, that the log holds.
func (l *log) slice(first, last uint64) []*peer.Entry {
	first = max(first, l.firstIndex())
	last = min(last, l.lastIndex())
	if first > last {
		return nil
	}
	return l.entries[first-l.firstIndex() : last-l.firstIndex()+1]
}

// votersSinceTerm returns every id that was a voter at some time since the
// beginning of the term, as far as the log records it. The ids are sorted.
func (l *log) votersSinceTerm(term uint64) []uint64 {
	ids := slices.Clone(l.initial.GetIds())
	if l.snapshot != nil {
		ids = slices.Clone(l.snapshot.Voters.GetIds())
	}
	for _, e := range l.entries {
		if e.Voters != nil && e.Term < term {
			ids = nil
		}
		ids = append(ids, e.Voters.GetIds()...)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// appendBatch returns the entries from index first on that fit into one APPEND
// message: at most maxAppendEntries, and at most maxAppendBytes unless the first
// entry alone is larger.
func (l *log) appendBatch(first uint64) []*peer.Entry {
	all := l.slice(first, first+maxAppendEntries-1)
	size := 0
	for i, e := range all {
		size += proto.Size(e)
		if size > maxAppendBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// compact replaces the entries up to index by a snapshot with the given state and
// returns the snapshot. It returns nil if index is not ahead of the last snapshot
// or not in the log.
func (l *log) compact(index uint64, state *peer.State) *peer.Snapshot {
	term, ok := l.term(index)
	if !ok || index <= l.snapshot.GetIndex() {
		return nil
	}
	snapshot := &peer.Snapshot{Index: index, Term: term, Voters: l.votersAt(index), State: state}
	l.entries = append([]*peer.Entry(nil), l.entries[index-l.firstIndex()+1:]...)
	l.snapshot = snapshot
	return snapshot
}

// install replaces the whole log by the snapshot.
func (l *log) install(snapshot *peer.Snapshot) {
	l.snapshot = snapshot
	l.entries = nil
	l.refreshVoters()
}

// voters returns the current voter set: that of the last entry that carries one,
// committed or not.
func (l *log) voters() *peer.Voters { return l.currentVoters }

func (l *log) refreshVoters() { l.currentVoters = l.votersAt(l.lastIndex()) }

// votersAt returns the voter set as of the entry at index.
func (l *log) votersAt(index uint64) *peer.Voters {
	for i := len(l.entries) - 1; i >= 0; i-- {
		e := l.entries[i]
		if e.Index <= index && e.Voters != nil {
			return e.Voters
		}
	}
	if l.snapshot.GetVoters() != nil {
		return l.snapshot.Voters
	}
	return l.initial
}
