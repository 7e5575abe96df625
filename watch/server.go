// Package watch spreads what control instances know to every instance, and what
// entry instances saw back to them: targets, the configuration, the list of
// control instances, counts of begun requests and suspicions.
//
// It owns the long poll on both sides. An instance watches every control
// instance it knows of, so that each can be lost, or cut off from the others,
// without anyone missing what another one acknowledged. It must not decide what
// the knowledge means.
//
// # Usage
//
//	server := watch.NewServer(config, voter, roster)
//	answer := server.Watch(ctx, request)
//	client := watch.NewClient(config, dialer, sink, logger)
//	client.Start()
package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"auburnscale/clock"
	"auburnscale/control"
	"auburnscale/peer"
	"auburnscale/roster"
	"auburnscale/silence"
	"auburnscale/voter"
)

const (
	// Hold is how long an answer waits for something new.
	MaxHold = time.Second
	// gather is how long a change of the targets waits for others.
	gather = 10 * time.Millisecond
	// aliveFor is the silence after which an instance no longer counts.
	aliveFor = 5 * time.Second
	// suspicionLife is how long a suspicion is passed on.
	suspicionLife = 60 * time.Second
	// maxSuspicions bounds the suspicions kept.
	maxSuspicions = 4096
)

// A Server represents a control instance's side of the long poll.
type Server struct {
	incarnation string
	voter       *voter.Voter
	roster      *roster.Roster
	// now is clock.Now but in tests.
	now func() time.Duration

	mutex      sync.Mutex
	ear        *silence.ContactTracker
	watchers   map[string]*watcher
	counters   map[counterKey]int64
	suspicions map[uint64]map[string]mark
	spread     chan struct{}
}

type watcher struct {
	instance string
	control  bool
	heard    time.Duration
	// offset is the watcher's time of day less this instance's clock.Now.
	offset time.Duration
}

type counterKey struct {
	source    string
	window    int64
	workspace string
}

type mark struct {
	crashes int32
	at      time.Duration
}

// NewServer returns the server of a control instance's incarnation.
func NewServer(incarnation string, v *voter.Voter, r *roster.Roster) *Server {
	return &Server{
		incarnation: incarnation, voter: v, roster: r, now: clock.Now, ear: silence.New(aliveFor), watchers: map[string]*watcher{}, counters: map[counterKey]int64{},
		suspicions: map[uint64]map[string]mark{}, spread: make(chan struct{}),
	}
}

// Watch answers once this instance knows something that the asker lacks, or
// after Hold.
func (s *Server) Watch(ctx context.Context, request *peer.WatchRequest) *peer.WatchResponse {
	s.note(request)
	s.wait(ctx, request)
	return s.answer(request)
}

func (s *Server) note(request *peer.WatchRequest) {
	now := s.now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ear.Record(now)
	s.watchers[request.Incarnation] = &watcher{
		instance: request.Instance, control: request.Control, heard: now,
		offset: time.Duration(request.WallMs)*time.Millisecond - now,
	}
	for _, c := range request.Begun {
		key := counterKey{request.Incarnation, c.Window, c.Workspace}
		s.counters[key] = max(s.counters[key], c.Requests)
	}
	s.noteSuspicions(request, now)
}

func (s *Server) noteSuspicions(request *peer.WatchRequest, now time.Duration) {
	changed := false
	for _, each := range request.Suspicions {
		bySource := s.suspicions[each.Fingerprint]
		if bySource == nil {
			if len(s.suspicions) >= maxSuspicions {
				continue
			}
			bySource = map[string]mark{}
			s.suspicions[each.Fingerprint] = bySource
		}
		changed = changed || bySource[request.Incarnation].crashes != each.Crashes
		bySource[request.Incarnation] = mark{each.Crashes, now - time.Duration(each.AgeMs)*time.Millisecond}
	}
	if changed {
		close(s.spread)
		s.spread = make(chan struct{})
	}
}

// wait returns when there is something new for the asker.
func (s *Server) wait(ctx context.Context, request *peer.WatchRequest) {
	if request.Server != s.incarnation {
		return
	}
	timer := time.NewTimer(MaxHold)
	defer timer.Stop()
	s.mutex.Lock()
	spread := s.spread
	s.mutex.Unlock()
	for {
		rows, changed := s.roster.Changed(), s.voter.Changed()
		if s.roster.Snapshot().Revision() != request.Roster || s.version() > request.Version {
			return
		}
		select {
		case <-rows:
			// Targets often change together, as when a failure domain is ordered.
			time.Sleep(gather)
			return
		case <-changed:
		case <-spread:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) version() (version uint64) {
	s.voter.Read(func(m *control.Machine) { version = m.Document().GetVersion() })
	return version
}

func (s *Server) answer(request *peer.WatchRequest) *peer.WatchResponse {
	a := &peer.WatchResponse{Server: s.incarnation}
	since := request.Roster
	if request.Server != s.incarnation || request.Control && since == s.roster.Snapshot().Revision() {
		// Control instances get all rows once a hold, for the rows' ages.
		since = 0
	}
	a.Full = since == 0
	a.Rows, a.Roster = s.roster.Rows(since)
	current := s.voter.MayAct()
	s.voter.Read(func(m *control.Machine) {
		d := m.Document()
		a.Version = d.GetVersion()
		if a.Version > request.Version && !request.Spare {
			a.Document = d
		}
	})
	// The lease is looked at after the reading: what was read was current while
	// it held.
	a.Current = current && s.voter.MayAct()
	a.Control, a.Term = s.voter.Status().Voters().GetReplicas(), s.voter.Status().Term()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.Entries = s.entriesLocked()
	a.WallMs = s.trueTimeLocked().Milliseconds()
	a.Suspicions = s.suspicionsLocked()
	return a
}

func (s *Server) entriesLocked() int32 {
	now := s.now()
	count := int32(0)
	for id, w := range s.watchers {
		if now-w.heard > aliveFor && s.ear.Conclusive(now) {
			delete(s.watchers, id)
			continue
		}
		if !w.control {
			count++
		}
	}
	return count
}

// trueTimeLocked is the median of the instances' times of day, this one's
// included, so that a few clocks that stepped do not move it.
func (s *Server) trueTimeLocked() time.Duration {
	now := s.now()
	offsets := []time.Duration{time.Duration(clock.Wall().UnixNano()) - now}
	for _, w := range s.watchers {
		if now-w.heard < aliveFor {
			offsets = append(offsets, w.offset)
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2] + now
}

// TrueTime returns the estimate of true time since 1970.
func (s *Server) MedianTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.trueTimeLocked()
}

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
		if now-newest > suspicionLife {
			delete(s.suspicions, fingerprint)
			continue
		}
		each.AgeMs = (now - newest).Milliseconds()
		list = append(list, each)
	}
	return list
}

// Begun returns the begun requests of a window by workspace, summed over all
// incarnations, and whether every living entry instance has been heard since the
// moment on clock.Now.
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
		if !w.control && w.heard < since {
			complete = false
		}
	}
	return sums, complete
}

// OldestWindow returns the first window that any counter belongs to, or 0.
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

// Forget drops the counters of windows before the given one.
func (s *Server) DropWindowsBefore(before int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.counters, func(k counterKey, _ int64) bool { return k.window < before })
}
