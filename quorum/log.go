package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// log holds the entries behind the last snapshot. Entry i of the slice has
// index snapshot.Index+1+i.
type log struct {
	initial  *peer.Voters
	snapshot *peer.Snapshot
	entries  []*peer.Entry
	current  *peer.Voters
}

func newLog(initial *peer.Voters, snapshot *peer.Snapshot, entries []*peer.Entry) log {
	l := log{initial: initial, snapshot: snapshot, entries: entries}
	l.findVoters()
	return l
}

func (l *log) firstIndex() uint64 { return l.snapshot.GetIndex() + 1 }

func (l *log) lastIndex() uint64 { return l.snapshot.GetIndex() + uint64(len(l.entries)) }

// term returns the term of the entry at index, and false if the log does not
// hold it.
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
		l.current = e.Voters
	}
}

// truncate drops the entries from index on.
func (l *log) truncate(index uint64) {
	kept := index - l.firstIndex()
	l.entries = append([]*peer.Entry(nil), l.entries[:kept]...)
	l.findVoters()
}

func (l *log) slice(first, last uint64) []*peer.Entry {
	first = max(first, l.firstIndex())
	last = min(last, l.lastIndex())
	if first > last {
		return nil
	}
	return l.entries[first-l.firstIndex() : last-l.firstIndex()+1]
}

// votersSince returns every voter from the beginning of the term on, as far as the
// log says.
func (l *log) votersSince(term uint64) []uint64 {
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

// page returns entries from first on, bounded in number and bytes.
func (l *log) page(first uint64) []*peer.Entry {
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

func (l *log) install(snapshot *peer.Snapshot) {
	l.snapshot = snapshot
	l.entries = nil
	l.findVoters()
}

// voters returns the voter set of the last entry that carries one, committed
// or not.
func (l *log) voters() *peer.Voters { return l.current }

func (l *log) findVoters() { l.current = l.votersAt(l.lastIndex()) }

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
