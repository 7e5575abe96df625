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

// A Dialer returns peer protocol clients.
type Dialer interface {
	// Peer returns the client for the instance at a peer address.
	Peer(address string) peer.Peer
}

// A UsageSource holds the usage counters that the control leader has not settled
// yet.
type UsageSource interface {
	// Unsettled returns the counters to send.
	Unsettled(view *View) []*peer.Counter
	// Acknowledge takes, for each of the counters, whether the leader of the term
	// reported it as settled.
	Acknowledge(counters []*peer.Counter, settled []bool, term uint64)
}

// A SuspectSink takes the lists of suspect prompt blocks.
type SuspectSink interface {
	// Received takes over the list of an incarnation of a voter.
	Received(server string, list []*peer.SuspectBlock)
	// SetInstances sets the number of live instances.
	SetInstances(n int)
}

const (
	// minHeartbeatPause keeps a leader that responds immediately, without holding
	// heartbeats, from being flooded.
	minHeartbeatPause = 2 * time.Millisecond
	// responseMargin is the time that a response may take in addition to the time
	// that the leader holds the heartbeat.
	responseMargin = 500 * time.Millisecond
)

// ControlClientConfig holds the identity and settings of the instance of a
// ControlClient.
type ControlClientConfig struct {
	Instance      string
	Incarnation   string
	FailureDomain string
	Address       string
	Interval      time.Duration
	Freshness     time.Duration
	// Voters holds the peer addresses of the control group by voter id.
	Voters map[uint64]string
}

// A ControlClient sends the heartbeats of an instance to the control group and
// keeps the View that the responses add up to. It is safe for concurrent use.
type ControlClient struct {
	config   ControlClientConfig
	dialer   Dialer
	usage    UsageSource
	suspects SuspectSink
	logger   *event.Logger

	view atomic.Pointer[View]
	// freshUntil is when the freshness that a leader granted ends, on clock.Now,
	// in nanoseconds, or 0 before the first grant.
	freshUntil atomic.Int64
	replaced   atomic.Bool
	draining   atomic.Bool
	wake       chan struct{}
	stop       chan struct{}
	done       chan struct{}
	stopOnce   sync.Once
	// viewMutex serializes the writers of view.
	viewMutex sync.Mutex
	// voterIDs holds the sorted ids of the voters.
	voterIDs []uint64
	// firstVoter is the index into voterIDs, modulo its length, of the first voter
	// to try.
	firstVoter int
	// inContact is the contact state as last logged.
	inContact  bool
	onReplaced func()
}

// NewControlClient returns a client that has sent no heartbeat yet. onReplaced is
// called once if a newer process has taken this instance's place.
func NewControlClient(config ControlClientConfig, dialer Dialer, usage UsageSource, suspects SuspectSink, logger *event.Logger, onReplaced func()) *ControlClient {
	c := &ControlClient{
		config: config, dialer: dialer, usage: usage, suspects: suspects, logger: logger, onReplaced: onReplaced,
		wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	for id := range config.Voters {
		c.voterIDs = append(c.voterIDs, id)
	}
	slices.Sort(c.voterIDs)
	c.view.Store(&View{})
	return c
}

// Start runs the heartbeat loop in the background.
func (c *ControlClient) Start() { go c.run() }

// Stop ends the heartbeat loop and waits for it.
func (c *ControlClient) Stop() {
	c.stopOnce.Do(func() { close(c.stop) })
	<-c.done
}

// View returns the state that the instance currently decides by.
func (c *ControlClient) View() *View { return c.view.Load() }

// SetDraining makes the following heartbeats report that this instance is
// draining.
func (c *ControlClient) SetDraining() { c.draining.Store(true) }

// Wake makes the loop send the next heartbeat immediately.
func (c *ControlClient) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Fresh reports whether a leader that holds its lease responded to a heartbeat that
// was sent less than the freshness bound ago.
func (c *ControlClient) Fresh() bool {
	until := c.freshUntil.Load()
	return until > 0 && int64(clock.Now()) < until
}

// Ready reports whether the instance has a configuration that a leader confirmed
// under its lease. A restarted instance is not ready before that, so that it cannot
// serve by an older configuration than before the restart.
func (c *ControlClient) Ready() bool { return c.freshUntil.Load() > 0 && c.View().Snapshot() != nil }

// Flush sends one more heartbeat immediately, so that the control leader has the
// last counters. It is called at a planned stop, after the heartbeat loop has ended.
func (c *ControlClient) Flush(ctx context.Context) {
	if leader := c.View().Leader(); leader != 0 {
		c.syncWith(ctx, leader)
	}
}

// Withdraw marks a key as withdrawn on behalf of an operator of this instance. It
// takes effect here immediately, whether the control group can be reached or not.
func (c *ControlClient) Withdraw(keyID string) {
	c.viewMutex.Lock()
	defer c.viewMutex.Unlock()
	next := *c.View()
	next.withdrawn = extendSet(next.withdrawn, []string{keyID})
	c.view.Store(&next)
}

func (c *ControlClient) run() {
	defer close(c.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.cancelOnStop(cancel)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-timer.C:
		case <-c.wake:
		}
		timer.Reset(c.delayAfter(c.sendHeartbeat(ctx)))
	}
}

func (c *ControlClient) cancelOnStop(cancel context.CancelFunc) {
	<-c.stop
	cancel()
}

// delayAfter returns the time until the next heartbeat. The leader holds a
// heartbeat for the interval, so the next one follows at once. Without a leader the
// instance waits for less than the interval, so that no time bound is missed.
func (c *ControlClient) delayAfter(succeeded bool) time.Duration {
	if succeeded {
		return minHeartbeatPause
	}
	return c.config.Interval / 4
}

// sendHeartbeat sends one heartbeat. It tries the known leader first and then the
// voters in turn, until one responds as the leader. It returns whether one did.
func (c *ControlClient) sendHeartbeat(ctx context.Context) bool {
	ids := c.votersToTry()
	for i := 0; i < len(ids); i++ {
		response := c.syncWith(ctx, ids[i])
		if response == nil {
			continue
		}
		if response.Current {
			c.setContact(true)
			return true
		}
		if response.Leader != 0 && !slices.Contains(ids[:i+1], response.Leader) {
			ids = slices.Insert(ids, i+1, response.Leader)
		}
	}
	c.firstVoter++
	c.setContact(c.Fresh())
	return false
}

// votersToTry returns the ids of the voters to try. Each voter that does not
// respond costs a timeout, so at most three are tried per heartbeat.
func (c *ControlClient) votersToTry() []uint64 {
	const maxTries = 3
	var ids []uint64
	if leader := c.View().Leader(); leader != 0 && c.config.Voters[leader] != "" {
		ids = append(ids, leader)
	}
	for i := range c.voterIDs {
		id := c.voterIDs[(c.firstVoter+i)%len(c.voterIDs)]
		if len(ids) < maxTries && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// syncWith sends one heartbeat to a voter and applies the response. It returns nil if
// there is none, or if this instance was replaced.
func (c *ControlClient) syncWith(ctx context.Context, voter uint64) *peer.SyncResponse {
	address := c.config.Voters[voter]
	if address == "" {
		return nil
	}
	view := c.View()
	counters := c.usage.Unsettled(view)
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, c.config.Interval+responseMargin)
	defer cancel()
	response, err := c.dialer.Peer(address).Sync(ctx, &peer.SyncRequest{
		Instance: c.config.Instance, Incarnation: c.config.Incarnation, Domain: c.config.FailureDomain,
		Address: c.config.Address, Revision: view.revision, Version: view.Version(),
		Digest: view.configuration.GetDigest(), Counters: counters, Draining: c.draining.Load(),
		MembersDigest: view.membersDigest,
	})
	if err != nil {
		return nil
	}
	if response.Replaced {
		c.reportReplaced()
		return nil
	}
	c.applyResponse(response, sent)
	if response.Suspects != nil {
		c.suspects.SetInstances(c.View().Instances())
		c.suspects.Received(response.Suspects.Server, response.Suspects.Blocks)
	}
	if response.Current {
		c.usage.Acknowledge(counters, response.Settled, response.Term)
	}
	return response
}

// applyResponse merges the response into the view. Freshness counts from when the
// heartbeat was sent, so that a late response does not extend it beyond what the
// leader granted.
func (c *ControlClient) applyResponse(response *peer.SyncResponse, sent time.Duration) {
	c.viewMutex.Lock()
	defer c.viewMutex.Unlock()
	view := c.View()
	configuration, snapshot, ok := c.nextConfiguration(view, response)
	if !ok {
		return
	}
	c.view.Store(view.merge(response, configuration, snapshot))
	if response.Current && response.Revision >= view.revision {
		c.freshUntil.Store(max(c.freshUntil.Load(), int64(sent+c.config.Freshness)))
	}
}

// nextConfiguration returns the configuration after the response, parsed, and
// whether the response can be applied. A response without a newer configuration
// keeps the current one. A response whose configuration cannot be rebuilt or parsed
// must not be applied.
func (c *ControlClient) nextConfiguration(view *View, response *peer.SyncResponse) (*peer.ApplyConfiguration, *inventory.Snapshot, bool) {
	if response.Delta == nil || response.Delta.Version <= view.Version() {
		return view.configuration, view.snapshot, true
	}
	configuration, err := delta.Rebuild(view.configuration, response.Delta)
	if err != nil {
		c.logger.Log(event.ConfigurationRefused, zap.Uint64("version", response.Delta.Version), zap.Error(err))
		return nil, nil, false
	}
	snapshot, findings := inventory.Parse(configuration.Version, configuration.Inventory, configuration.Rules)
	if err := findings.Err(); err != nil {
		c.logger.Log(event.ConfigurationRefused, zap.Uint64("version", configuration.Version), zap.Error(err))
		return nil, nil, false
	}
	c.logger.Log(event.ConfigurationInEffect, zap.Uint64("version", configuration.Version))
	return configuration, snapshot, true
}

// setContact logs when the contact with the leader is lost or is back.
func (c *ControlClient) setContact(contact bool) {
	if contact == c.inContact {
		return
	}
	c.inContact = contact
	if contact {
		c.logger.Log(event.ContactRestored, zap.Uint64("leader", c.View().Leader()))
		return
	}
	c.logger.Log(event.ContactLost)
}

// reportReplaced calls onReplaced on the first call.
func (c *ControlClient) reportReplaced() {
	if c.replaced.CompareAndSwap(false, true) && c.onReplaced != nil {
		c.onReplaced()
	}
}
