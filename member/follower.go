package member

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/delta"
	"auburnscale/event"
	"auburnscale/inventory"
	"auburnscale/peer"
)

// Dialer gives the stub of the instance at a peer address.
type Dialer interface {
	Peer(address string) peer.Peer
}

// UsageSource gives the counters that the control leader has not settled yet.
type UsageSource interface {
	Unsettled(view *View) []*peer.Counter
	Acknowledge(counters []*peer.Counter, settled []bool, term uint64)
}

const (
	// minPause keeps a leader that cannot hold heartbeats from being flooded.
	minPause = 2 * time.Millisecond
	// answerSlack is what an answer may take beyond the time it is held.
	answerSlack = 500 * time.Millisecond
)

// FollowerConfig is what a follower needs to know about its instance.
type FollowerConfig struct {
	Instance      string
	Incarnation   string
	FailureDomain string
	Address       string
	Interval      time.Duration
	Freshness     time.Duration
	// Voters are the peer addresses of the control group by voter id.
	Voters map[uint64]string
}

// A Follower represents an instance's link to the control group.
type Follower struct {
	config FollowerConfig
	dialer Dialer
	usage  UsageSource
	logger *event.Logger

	view      atomic.Pointer[View]
	fresh     atomic.Int64
	replaced  atomic.Bool
	draining  atomic.Bool
	wake      chan struct{}
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	writes    sync.Mutex
	order     []uint64
	next      int
	contact   bool
	onReplace func()
}

// NewFollower returns a follower that has not asked anyone yet. onReplace is
// called if a newer process has taken this instance's place.
func NewFollower(config FollowerConfig, dialer Dialer, usage UsageSource, logger *event.Logger, onReplace func()) *Follower {
	f := &Follower{
		config: config, dialer: dialer, usage: usage, logger: logger, onReplace: onReplace,
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	for id := range config.Voters {
		f.order = append(f.order, id)
	}
	slices.Sort(f.order)
	f.view.Store(&View{})
	return f
}

// Start runs the loop.
func (f *Follower) Start() { go f.run() }

// Stop ends the loop and waits for it.
func (f *Follower) Stop() {
	f.stopOnce.Do(func() { close(f.stop) })
	<-f.done
}

// View returns what the instance decides by now.
func (f *Follower) View() *View { return f.view.Load() }

// SetDraining makes the following heartbeats say that this instance stops.
func (f *Follower) SetDraining() { f.draining.Store(true) }

// Wake makes the next heartbeat come at once.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Fresh reports whether a leader under its lease answered a heartbeat that was
// sent less than the freshness bound ago.
func (f *Follower) Fresh() bool {
	until := f.fresh.Load()
	return until > 0 && int64(clock.Now()) < until
}

// Ready reports whether the instance has a configuration that a leader under its
// lease gave it. A restarted instance is not ready before that, so it cannot
// serve by an older configuration than it had.
func (f *Follower) Ready() bool { return f.fresh.Load() > 0 && f.View().Snapshot() != nil }

// Flush sends one more heartbeat now, so that the control leader has the last
// counters. It is called at a planned stop, beside the loop.
func (f *Follower) Flush(ctx context.Context) {
	if leader := f.View().Leader(); leader != 0 {
		f.ask(ctx, leader)
	}
}

// Withdraw adds a withdrawal that was entered at this instance. It holds here
// from now on, whether the control group can be reached or not.
func (f *Follower) Withdraw(keyID string) {
	f.writes.Lock()
	defer f.writes.Unlock()
	next := *f.View()
	next.withdrawn = extendSet(next.withdrawn, []string{keyID})
	f.view.Store(&next)
}

func (f *Follower) run() {
	defer close(f.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.cancelOnStop(cancel)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-timer.C:
		case <-f.wake:
		}
		timer.Reset(f.pause(f.beat(ctx)))
	}
}

func (f *Follower) cancelOnStop(cancel context.CancelFunc) {
	<-f.stop
	cancel()
}

// pause returns the time to the next heartbeat. The leader holds a heartbeat
// for the interval, so the next one follows at once; without a leader the
// instance waits, a little less than the interval so that no bound is missed.
func (f *Follower) pause(answered bool) time.Duration {
	if answered {
		return minPause
	}
	return f.config.Interval / 4
}

// beat sends one heartbeat. It asks the known leader first and then the voters
// in turn, until one answers as the leader.
func (f *Follower) beat(ctx context.Context) bool {
	ids := f.candidates()
	for i := 0; i < len(ids); i++ {
		answer := f.ask(ctx, ids[i])
		if answer == nil {
			continue
		}
		if answer.Current {
			f.noteContact(true)
			return true
		}
		if answer.Leader != 0 && !slices.Contains(ids[:i+1], answer.Leader) {
			ids = slices.Insert(ids, i+1, answer.Leader)
		}
	}
	f.next++
	f.noteContact(f.Fresh())
	return false
}

// candidates returns the voters to ask. One that does not answer costs its
// timeout, so a beat tries three at most.
func (f *Follower) candidates() []uint64 {
	const tries = 3
	var ids []uint64
	if leader := f.View().Leader(); leader != 0 && f.config.Voters[leader] != "" {
		ids = append(ids, leader)
	}
	for i := range f.order {
		id := f.order[(f.next+i)%len(f.order)]
		if len(ids) < tries && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (f *Follower) ask(ctx context.Context, voter uint64) *peer.SyncResponse {
	address := f.config.Voters[voter]
	if address == "" {
		return nil
	}
	view := f.View()
	counters := f.usage.Unsettled(view)
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, f.config.Interval+answerSlack)
	defer cancel()
	answer, err := f.dialer.Peer(address).Sync(ctx, &peer.SyncRequest{
		Instance: f.config.Instance, Incarnation: f.config.Incarnation, Domain: f.config.FailureDomain,
		Address: f.config.Address, Revision: view.revision, Version: view.Version(),
		Digest: view.configuration.GetDigest(), Counters: counters, Draining: f.draining.Load(),
		MembersDigest: view.membersDigest,
	})
	if err != nil {
		return nil
	}
	if answer.Replaced {
		f.noteReplaced()
		return nil
	}
	f.take(answer, sent)
	if answer.Current {
		f.usage.Acknowledge(counters, answer.Settled, answer.Term)
	}
	return answer
}

// take merges the answer. Freshness counts from when the heartbeat was sent, so
// a late answer grants nothing that the leader did not mean to grant.
func (f *Follower) take(answer *peer.SyncResponse, sent time.Duration) {
	f.writes.Lock()
	defer f.writes.Unlock()
	view := f.View()
	configuration, snapshot, ok := f.configurationOf(view, answer)
	if !ok {
		return
	}
	f.view.Store(view.merge(answer, configuration, snapshot))
	if answer.Current && answer.Revision >= view.revision {
		f.fresh.Store(max(f.fresh.Load(), int64(sent+f.config.Freshness)))
	}
}

// configurationOf returns the configuration after the answer. An answer that is
// behind this instance, or whose delta does not fit, changes nothing.
func (f *Follower) configurationOf(view *View, answer *peer.SyncResponse) (*peer.ApplyConfiguration, *inventory.Snapshot, bool) {
	if answer.Delta == nil || answer.Delta.Version <= view.Version() {
		return view.configuration, view.snapshot, true
	}
	configuration, err := delta.Rebuild(view.configuration, answer.Delta)
	if err != nil {
		f.logger.Log(event.ConfigurationRefused, zap.Uint64("version", answer.Delta.Version), zap.Error(err))
		return nil, nil, false
	}
	snapshot, findings := inventory.Parse(configuration.Version, configuration.Inventory, configuration.Rules)
	if err := findings.Err(); err != nil {
		f.logger.Log(event.ConfigurationRefused, zap.Uint64("version", configuration.Version), zap.Error(err))
		return nil, nil, false
	}
	f.logger.Log(event.ConfigurationInEffect, zap.Uint64("version", configuration.Version))
	return configuration, snapshot, true
}

func (f *Follower) noteContact(contact bool) {
	if contact == f.contact {
		return
	}
	f.contact = contact
	if contact {
		f.logger.Log(event.ContactRestored, zap.Uint64("leader", f.View().Leader()))
		return
	}
	f.logger.Log(event.ContactLost)
}

func (f *Follower) noteReplaced() {
	if f.replaced.CompareAndSwap(false, true) && f.onReplace != nil {
		f.onReplace()
	}
}
