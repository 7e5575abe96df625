// Package usage counts what each workspace used. The instance on which a request ends
// counts it and copies the counter to a second instance before the caller gets the
// last byte.
//
// It holds the cumulative counters of this incarnation and copies of the counters of
// other instances. Counters only grow, so that sending one twice is idempotent. The
// package must not compute the final usage of a window, which the control group
// commits.
//
// # Usage
//
//	recorder := usage.New(source, self, window, dialer, logger)
//	recorder.Start(views)
//	recorder.Record(usage.RequestUsage{Workspace: "guild", OutputTokens: 12})
package usage

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/member"
	"auburnscale/peer"
)

const (
	// batchDelay is how long a record waits for others to be copied in the same call.
	batchDelay = time.Millisecond
	// holdTimeout is the timeout of one attempt to copy counters to an instance.
	holdTimeout = 250 * time.Millisecond
	// maxHoldAttempts is the maximum number of instances to which a copy is tried.
	maxHoldAttempts   = 2
	recordQueueLength = 8192
)

// A RequestUsage holds what one finished request used.
type RequestUsage struct {
	Workspace    string
	PromptTokens int64
	OutputTokens int64
	// Cost is the price of the request in millionths of the inventory's currency.
	Cost int64
}

// Dialer returns the RPC client for the instance at a peer address.
type Dialer interface {
	Peer(address string) peer.Peer
}

// ViewSource returns the current view of the fleet's members.
type ViewSource interface {
	View() *member.View
}

type counterKey struct {
	source    string
	window    int64
	workspace string
}

type pendingRecord struct {
	usage RequestUsage
	done  chan struct{}
}

// A Recorder keeps the usage counters of one instance.
type Recorder struct {
	source  string
	self    string
	window  time.Duration
	dialer  Dialer
	views   ViewSource
	logger  *event.Logger
	records chan pendingRecord

	mutex  sync.Mutex
	own    map[counterKey]*peer.Counter
	copies map[counterKey]*peer.Counter
	// acknowledged holds, per counter, the number of requests that the control leader
	// of acknowledgedTerm has received. A leader of another term has received none.
	acknowledged     map[counterKey]int64
	acknowledgedTerm uint64

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// New returns a recorder for the instance self. Its counters are identified by source,
// the instance's incarnation.
func New(source, self string, window time.Duration, dialer Dialer, logger *event.Logger) *Recorder {
	return &Recorder{
		source: source, self: self, window: window, dialer: dialer, logger: logger,
		records: make(chan pendingRecord, recordQueueLength), own: map[counterKey]*peer.Counter{}, copies: map[counterKey]*peer.Counter{}, acknowledged: map[counterKey]int64{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start starts the goroutine that counts and copies. The views tell which instances
// can hold copies.
func (r *Recorder) Start(views ViewSource) {
	r.views = views
	go r.run()
}

// Stop processes the waiting records and then stops the goroutine.
func (r *Recorder) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
}

// Record counts the usage and returns once a second instance has a copy of the counter
// or all attempts to copy it have failed. The usage is counted on this instance in any
// case.
func (r *Recorder) Record(used RequestUsage) {
	rec := pendingRecord{usage: used, done: make(chan struct{})}
	select {
	case r.records <- rec:
	case <-r.done:
		r.count(used)
		return
	}
	select {
	case <-rec.done:
	case <-r.done:
	}
}

func (r *Recorder) run() {
	defer close(r.done)
	for {
		select {
		case <-r.stop:
			r.drain()
			return
		case rec := <-r.records:
			r.recordBatch(r.collectBatch(rec))
		}
	}
}

func (r *Recorder) drain() {
	for {
		select {
		case rec := <-r.records:
			r.recordBatch(r.collectBatch(rec))
		default:
			return
		}
	}
}

// collectBatch returns the first record and those that arrive within batchDelay.
func (r *Recorder) collectBatch(first pendingRecord) []pendingRecord {
	batch := []pendingRecord{first}
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for {
		select {
		case rec := <-r.records:
			batch = append(batch, rec)
		case <-timer.C:
			return batch
		}
	}
}

// recordBatch counts the batch, copies the changed counters to a second instance and
// then unblocks the calls of Record.
func (r *Recorder) recordBatch(batch []pendingRecord) {
	changed := map[counterKey]*peer.Counter{}
	for _, rec := range batch {
		k, c := r.count(rec.usage)
		changed[k] = c
	}
	request := &peer.HoldRequest{}
	for _, c := range changed {
		request.Counters = append(request.Counters, c)
	}
	r.copy(request)
	for _, rec := range batch {
		close(rec.done)
	}
}

// count adds the usage to its counter. The counter is replaced, not modified, since the
// old one may be being sent to another instance.
func (r *Recorder) count(used RequestUsage) (counterKey, *peer.Counter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := counterKey{r.source, r.currentWindow(time.Now()), used.Workspace}
	old := r.own[k]
	next := &peer.Counter{
		Source: k.source, Window: k.window, Workspace: k.workspace,
		PromptTokens: old.GetPromptTokens() + used.PromptTokens, OutputTokens: old.GetOutputTokens() + used.OutputTokens,
		Requests: old.GetRequests() + 1, Cost: old.GetCost() + used.Cost,
	}
	r.own[k] = next
	return k, next
}

// currentWindow returns the start of the window, in milliseconds since 1970, to which
// a request that ends now belongs. If the control group has already closed that window,
// because clocks differ, it returns the next one.
func (r *Recorder) currentWindow(now time.Time) int64 {
	window := now.Truncate(r.window).UnixMilli()
	if r.views == nil {
		return window
	}
	if closed := r.views.View().SettledWindow(); window <= closed {
		return closed + r.window.Milliseconds()
	}
	return window
}

func (r *Recorder) copy(request *peer.HoldRequest) {
	holders := r.copyHolders()
	for _, address := range holders[:min(maxHoldAttempts, len(holders))] {
		ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
		_, err := r.dialer.Peer(address).Hold(ctx, request)
		cancel()
		if err == nil {
			return
		}
	}
	r.logger.Log(event.CounterBackupFailed, zap.Int("tried", min(maxHoldAttempts, len(holders))))
}

// copyHolders returns the addresses of the other live instances, draining ones last.
func (r *Recorder) copyHolders() []string {
	var staying, draining []string
	for _, m := range r.views.View().Members() {
		switch {
		case m.Instance == r.self:
		case m.Draining:
			draining = append(draining, m.Address)
		default:
			staying = append(staying, m.Address)
		}
	}
	return append(staying, draining...)
}

// Hold stores copies of another instance's counters.
func (r *Recorder) Hold(counters []*peer.Counter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range counters {
		k := counterKey{c.Source, c.Window, c.Workspace}
		if known := r.copies[k]; known == nil || known.Requests < c.Requests {
			r.copies[k] = c
		}
	}
}

// Unsettled returns the counters to send to the control leader: those of this
// incarnation, and the copies for incarnations that are no longer alive. A counter of
// an open window is omitted if the leader has received its present value. A counter of
// a closed window is sent until the committed usage includes it.
func (r *Recorder) Unsettled(view *member.View) []*peer.Counter {
	alive := map[string]bool{}
	for _, m := range view.Members() {
		alive[m.Incarnation] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []*peer.Counter
	for k, c := range r.own {
		if r.needed(k, c, view) {
			list = append(list, c)
		}
	}
	for k, c := range r.copies {
		if !alive[k.source] && r.needed(k, c, view) {
			list = append(list, c)
		}
	}
	return list
}

func (r *Recorder) needed(k counterKey, c *peer.Counter, view *member.View) bool {
	return k.window <= view.SettledWindow() || r.acknowledgedTerm != view.Term() || r.acknowledged[k] < c.Requests
}

// Acknowledge records which counters the leader of the term has received, and deletes
// the counters of closed windows that the committed usage includes. A counter of a
// window that is still open is kept, since it may grow.
func (r *Recorder) Acknowledge(counters []*peer.Counter, settled []bool, term uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if term != r.acknowledgedTerm {
		r.acknowledgedTerm = term
		r.acknowledged = map[counterKey]int64{}
	}
	closed := r.views.View().SettledWindow()
	for i, c := range counters {
		k := counterKey{c.Source, c.Window, c.Workspace}
		r.acknowledged[k] = max(r.acknowledged[k], c.Requests)
		if i < len(settled) && settled[i] && c.Window <= closed {
			r.deleteSettled(k, c)
		}
	}
	r.dropOldCopies(closed)
}

func (r *Recorder) deleteSettled(k counterKey, c *peer.Counter) {
	deleteIfNotNewer(r.own, k, c)
	deleteIfNotNewer(r.copies, k, c)
	delete(r.acknowledged, k)
}

func deleteIfNotNewer(counters map[counterKey]*peer.Counter, k counterKey, c *peer.Counter) {
	if known := counters[k]; known != nil && known.Requests <= c.Requests {
		delete(counters, k)
	}
}

// dropOldCopies deletes the copies of windows that closed long ago. A copy for a live
// owner, which reports its counters itself, is not deleted otherwise.
func (r *Recorder) dropOldCopies(closed int64) {
	const keepWindows = 60
	for k := range r.copies {
		if k.window < closed-keepWindows*r.window.Milliseconds() {
			delete(r.copies, k)
		}
	}
}
