// Package watch distributes the state of control instances (targets, the
// configuration, the list of control instances) to every instance by long
// polling, and carries the reports of entry instances (counts of started
// requests, suspicions, crashes of targets) back to them.
//
// It owns both sides of the long poll. An instance polls every control instance
// that it knows, so that any of them may fail, or be partitioned from the
// others, without an instance missing what another one acknowledged. The package
// does not interpret the state that it carries.
//
// # Usage
//
//	server := watch.NewServer(incarnation, voter, roster, board)
//	response := server.Watch(ctx, request)
//	client := watch.NewClient(self, dialer, sink, logger)
//	client.SetSeeds(addresses)
package watch

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/contact"
	"auburnscale/control"
	"auburnscale/peer"
	"auburnscale/quarantine"
	"auburnscale/roster"
	"auburnscale/voter"
)

const (
	// MinHold is how long the server holds a request when nothing has changed, unless the
	// request allows more.
	MinHold = time.Second
	// holdPerEntry is the hold that entry instances allow for each of them, so that the
	// requests at a control instance at rest do not grow with their number.
	holdPerEntry = 8 * time.Millisecond
	// MaxHold bounds the hold. It is below watcherTimeout.
	MaxHold = 2400 * time.Millisecond
	// changeBatchDelay is how long a response to a change of the targets is at least
	// delayed to include further changes.
	changeBatchDelay = 10 * time.Millisecond
	// batchDelayPerWatcher lengthens that delay with the number of polling instances, so
	// that the rate of responses grows neither with it nor with the rate of changes.
	batchDelayPerWatcher = 2 * time.Millisecond
	// longestBatchDelay bounds the delay: a draining target must be known everywhere
	// before it stops serving.
	longestBatchDelay = 750 * time.Millisecond
	// medianTTL is how long the median of the instances' clocks is used before it is
	// computed again.
	medianTTL = 250 * time.Millisecond
	// watcherTimeout is the time without a request after which an instance no
	// longer counts as live.
	watcherTimeout = 5 * time.Second
	// suspicionTTL is how long a suspicion is distributed after its latest report.
	suspicionTTL = 60 * time.Second
	// urgentCrashes is the number of crashes under a request from which all instances are
	// notified immediately. Most requests under which one target crashed have not caused it, and
	// there are many of them when targets crash.
	urgentCrashes = 2
	// maxSuspicions is the maximum number of request fingerprints with suspicions.
	maxSuspicions = 4096
)

// A Server is a control instance's side of the long poll. It is safe for
// concurrent use.
type Server struct {
	incarnation string
	voter       *voter.Voter
	roster      *roster.Roster
	suspects    *quarantine.Board
	// now is clock.Now except in tests.
	now func() time.Duration

	mutex    sync.Mutex
	contacts *contact.Tracker
	// watchers holds the polling instances by incarnation.
	watchers map[string]*watcher
	counters map[counterKey]int64
	// ended lists the keys of the counters of entry instances that stopped. endedBefore is the
	// number of those that were dropped from its start.
	ended       []counterKey
	endedBefore uint64
	// suspicions holds crash reports by request fingerprint and by the reporting
	// incarnation.
	suspicions map[uint64]map[string]crashReport
	// suspicionsChanged is closed, and replaced, when a crash count changes.
	suspicionsChanged chan struct{}
	// medianOffset is the median of the instances' wall clocks minus this instance's
	// clock, as of medianAt.
	medianOffset, medianAt time.Duration
}

// A watcher is an instance that polls this server.
type watcher struct {
	instance    string
	control     bool
	lastContact time.Duration
	// offset is the watcher's wall-clock time minus this instance's clock.Now.
	offset time.Duration
	// allRowsAt is when it last got all rows, with their ages.
	allRowsAt time.Duration
}

type counterKey struct {
	source    string
	window    int64
	workspace string
}

// A crashReport is what one incarnation reported about a request fingerprint.
type crashReport struct {
	crashes int32
	// at is when the latest crash happened, on clock.Now.
	at time.Duration
}

// NewServer returns the server for a control instance with the given
// incarnation.
func NewServer(incarnation string, v *voter.Voter, r *roster.Roster, suspects *quarantine.Board) *Server {
	return &Server{
		incarnation: incarnation, voter: v, roster: r, suspects: suspects, now: clock.Now, contacts: contact.New(watcherTimeout), watchers: map[string]*watcher{}, counters: map[counterKey]int64{},
		suspicions: map[uint64]map[string]crashReport{}, suspicionsChanged: make(chan struct{}),
	}
}

// Watch responds as soon as this instance has state that the requester lacks, or
// after the hold.
func (s *Server) Watch(ctx context.Context, request *peer.WatchRequest) *peer.WatchResponse {
	s.recordRequest(request)
	s.roster.MergeLeaving(request.Leaving)
	s.waitForChange(ctx, request)
	return s.response(request)
}

// recordRequest stores what an instance reports with its request.
func (s *Server) recordRequest(request *peer.WatchRequest) {
	now := s.now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.contacts.Record(now)
	w := s.watchers[request.Incarnation]
	if w == nil {
		w = &watcher{}
		s.watchers[request.Incarnation] = w
	}
	w.instance, w.control, w.lastContact = request.Instance, request.Control, now
	w.offset = time.Duration(request.WallMs)*time.Millisecond - now
	for _, c := range request.Begun {
		key := counterKey{request.Incarnation, c.Window, c.Workspace}
		s.counters[key] = max(s.counters[key], c.Requests)
	}
	s.recordSuspicions(request, now)
	if request.Last {
		s.endLocked(request.Incarnation)
	}
}

// endLocked removes an instance that has sent its last request, or none for long.
func (s *Server) endLocked(incarnation string) {
	delete(s.watchers, incarnation)
	for k := range s.counters {
		if k.source == incarnation {
			s.ended = append(s.ended, k)
		}
	}
}

// endedSinceLocked returns the counters of entry instances that stopped, from the position on,
// and the position after them.
func (s *Server) endedSinceLocked(position uint64) (list []*peer.BegunCounter, next uint64) {
	next = s.endedBefore + uint64(len(s.ended))
	for at := max(position, s.endedBefore); at < next; at++ {
		k := s.ended[at-s.endedBefore]
		if s.counters[k] == 0 {
			continue
		}
		list = append(list, &peer.BegunCounter{Source: k.source, Window: k.window, Workspace: k.workspace, Requests: s.counters[k]})
	}
	return list, next
}

// MergeEnded records counters of entry instances that stopped, which another control instance
// knows.
func (s *Server) MergeEnded(counters []*peer.BegunCounter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range counters {
		key := counterKey{c.Source, c.Window, c.Workspace}
		s.counters[key] = max(s.counters[key], c.Requests)
	}
}

// recordSuspicions stores the crash reports of a request and wakes waiting
// requests if a count grew to urgentCrashes or more.
func (s *Server) recordSuspicions(request *peer.WatchRequest, now time.Duration) {
	changed := false
	for _, each := range request.Suspicions {
		bySource := s.suspicions[each.Fingerprint]
		if bySource == nil {
			if len(s.suspicions) >= maxSuspicions {
				continue
			}
			bySource = map[string]crashReport{}
			s.suspicions[each.Fingerprint] = bySource
		}
		grown := each.Crashes > bySource[request.Incarnation].crashes
		bySource[request.Incarnation] = crashReport{each.Crashes, now - peer.Age(each.AgeMs)}
		changed = changed || grown && crashesOf(bySource) >= urgentCrashes
	}
	if changed {
		close(s.suspicionsChanged)
		s.suspicionsChanged = make(chan struct{})
	}
}

// crashesOf returns the number of crashes in the reports.
func crashesOf(reports map[string]crashReport) (crashes int32) {
	for _, r := range reports {
		crashes += r.crashes
	}
	return crashes
}

// waitForChange returns when there is state that the requester lacks, after
// the hold, or at once if its revision belongs to another incarnation.
func (s *Server) waitForChange(ctx context.Context, request *peer.WatchRequest) {
	if request.Server != s.incarnation || request.Last || s.needsAges(request) {
		return
	}
	timer := time.NewTimer(holdOf(request))
	defer timer.Stop()
	s.mutex.Lock()
	suspicionsChanged, watchers := s.suspicionsChanged, len(s.watchers)
	s.mutex.Unlock()
	blocksDecided, blocksListed := s.suspects.Changes()
	rows := s.roster.Changed()
	if s.roster.Snapshot().Revision() != request.Roster {
		rows = nil
		timer.Reset(batchDelay(request.Control, watchers))
	}
	for {
		changed := s.voter.Changed()
		if s.documentVersion() > request.Version {
			return
		}
		select {
		case <-rows:
			// Targets often change together, for example when a whole failure
			// domain is ordered.
			rows = nil
			timer.Reset(batchDelay(request.Control, watchers))
		case <-blocksListed:
			blocksListed = nil
			timer.Reset(batchDelay(request.Control, watchers))
		case <-changed:
		case <-suspicionsChanged:
			return
		case <-blocksDecided:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// needsAges reports whether the requester is a control instance that got all rows longer ago than
// a hold. It needs the ages of unchanged rows too, or it takes targets for silent that send their
// heartbeats to this instance.
func (s *Server) needsAges(request *peer.WatchRequest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w := s.watchers[request.Incarnation]
	return request.Control && (w == nil || s.now()-w.allRowsAt >= holdOf(request))
}

// noteAllRows records that the requester gets all rows.
func (s *Server) noteAllRows(request *peer.WatchRequest) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if w := s.watchers[request.Incarnation]; w != nil {
		w.allRowsAt = s.now()
	}
}

// HoldFor returns the hold that an entry instance allows in a fleet with that many.
func HoldFor(entries int) time.Duration {
	return min(MaxHold, max(MinHold, time.Duration(entries)*holdPerEntry))
}

// holdOf returns how long a request may be held.
func holdOf(request *peer.WatchRequest) time.Duration {
	return min(MaxHold, max(MinHold, time.Duration(request.HoldMs)*time.Millisecond))
}

// batchDelay returns how long a response to a change of the targets is delayed. It is
// random, so that the instances do not all poll at the same time. Control instances,
// which pass changes on, get them at once.
func batchDelay(control bool, watchers int) time.Duration {
	if control {
		return changeBatchDelay
	}
	longest := maxBatchDelay(watchers)
	return longest/2 + rand.N(longest/2)
}

// maxBatchDelay returns the longest delay for the number of polling instances.
func maxBatchDelay(watchers int) time.Duration {
	return min(longestBatchDelay, max(changeBatchDelay, time.Duration(watchers)*batchDelayPerWatcher))
}

// documentVersion returns the version of the committed configuration document.
func (s *Server) documentVersion() (version uint64) {
	s.voter.Read(func(m *control.Machine) { version = m.Document().GetVersion() })
	return version
}

// response returns the state that the requester lacks.
func (s *Server) response(request *peer.WatchRequest) *peer.WatchResponse {
	response := &peer.WatchResponse{Server: s.incarnation}
	since := request.Roster
	if request.Server != s.incarnation || request.Control && since == s.roster.Snapshot().Revision() || s.needsAges(request) {
		since = 0
		s.noteAllRows(request)
	}
	response.Full = since == 0
	response.Rows, response.Roster = s.roster.Rows(since)
	current := s.voter.MayAct()
	s.voter.Read(func(m *control.Machine) {
		d := m.Document()
		response.Version = d.GetVersion()
		if response.Version > request.Version && !request.Spare {
			response.Document = d
		}
	})
	// The lease is checked after the read as well: the state that was read is
	// current only if the lease was held throughout.
	response.Current = current && s.voter.MayAct()
	response.Control, response.Term = s.voter.Status().Voters().GetReplicas(), s.voter.Status().Term()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response.Entries = s.entriesLocked()
	response.WallMs = s.medianTimeLocked().Milliseconds()
	response.Suspicions = s.suspicionsLocked()
	if !request.Control {
		response.Suspects = s.suspects.List()
		return response
	}
	seen := request.EndedSeen
	if request.Server != s.incarnation {
		seen = 0
	}
	response.Ended, response.EndedSeen = s.endedSinceLocked(seen)
	return response
}

// entriesLocked returns the number of live entry instances and removes watchers
// that timed out.
func (s *Server) entriesLocked() int32 {
	now := s.now()
	count := int32(0)
	for id, w := range s.watchers {
		if now-w.lastContact > watcherTimeout && s.contacts.Conclusive(now) {
			s.endLocked(id)
			continue
		}
		if !w.control {
			count++
		}
	}
	return count
}

// Entries returns the number of live entry instances.
func (s *Server) Entries() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return int(s.entriesLocked())
}

// medianTimeLocked returns the median of the wall clocks of the live instances
// and this one, so that a few clocks that stepped do not affect it.
func (s *Server) medianTimeLocked() time.Duration {
	now := s.now()
	if s.medianAt == 0 || now-s.medianAt > medianTTL {
		offsets := []time.Duration{time.Duration(clock.Wall().UnixNano()) - now}
		for _, w := range s.watchers {
			if now-w.lastContact < watcherTimeout {
				offsets = append(offsets, w.offset)
			}
		}
		slices.Sort(offsets)
		s.medianOffset, s.medianAt = offsets[len(offsets)/2], now
	}
	return s.medianOffset + now
}

// MedianTime returns the estimated time since 1970, which is the median of the
// wall clocks of the live instances.
func (s *Server) MedianTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.medianTimeLocked()
}

// suspicionsLocked returns the suspicions with crash counts summed over all
// incarnations and removes expired ones. Requests that were also served are left out: their
// failures have another cause, or the board decides.
func (s *Server) suspicionsLocked() []*peer.Suspicion {
	now := s.now()
	var list []*peer.Suspicion
	for fingerprint, bySource := range s.suspicions {
		each := &peer.Suspicion{Fingerprint: fingerprint}
		newest := time.Duration(0)
		for _, m := range bySource {
			each.Crashes += m.crashes
			newest = max(newest, m.at)
		}
		if now-newest > suspicionTTL {
			delete(s.suspicions, fingerprint)
			continue
		}
		if s.suspects.Proven(fingerprint) {
			continue
		}
		each.AgeMs = (now - newest).Milliseconds()
		list = append(list, each)
	}
	return list
}

// StartedRequests returns the number of started requests of a usage window by
// workspace, summed over all incarnations, and whether every live entry instance
// has polled this server since the given time on clock.Now.
func (s *Server) StartedRequests(window int64, since time.Duration) (map[string]int64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sums := map[string]int64{}
	for k, n := range s.counters {
		if k.window == window {
			sums[k.workspace] += n
		}
	}
	complete := true
	for _, w := range s.watchers {
		if !w.control && w.lastContact < since {
			complete = false
		}
	}
	return sums, complete
}

// OldestWindow returns the earliest window that has a counter, or 0.
func (s *Server) OldestWindow() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	oldest := int64(0)
	for k := range s.counters {
		if oldest == 0 || k.window < oldest {
			oldest = k.window
		}
	}
	return oldest
}

// DropWindowsBefore drops the counters of all windows before the given one.
func (s *Server) DropWindowsBefore(before int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.counters, func(k counterKey, _ int64) bool { return k.window < before })
	kept := slices.IndexFunc(s.ended, func(k counterKey) bool { return k.window >= before })
	if kept < 0 {
		kept = len(s.ended)
	}
	s.ended = slices.Clone(s.ended[kept:])
	s.endedBefore += uint64(kept)
}
