// Package usage counts what each workspace used, on the instance where a request
// ended, and keeps a copy on a second instance before the caller gets the last
// byte.
//
// It owns the cumulative counters of this incarnation and the copies held for
// others. Counters only grow, so sending one twice does no harm. It must not
// know windows' figures; those are committed by the control group.
//
// # Usage
//
//	recorder := usage.New(source, window, dialer, members, logger)
//	recorder.Start()
//	recorder.Record(ctx, usage.Use{Workspace: "guild", OutputTokens: 12})
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
	// gather is how long a copy waits for more records to share it.
	gather = time.Millisecond
	// holdTimeout bounds one try to place a copy.
	holdTimeout = 250 * time.Millisecond
	// holdTries is the number of instances that are tried.
	holdTries   = 2
	recordQueue = 8192
)

// A Use represents what one finished request used.
type Use struct {
	Workspace    string
	PromptTokens int64
	OutputTokens int64
	// Cost is in millionths of the inventory's currency.
	Cost int64
}

// Dialer gives the stub of the instance at a peer address.
type Dialer interface {
	Peer(address string) peer.Peer
}

// ViewSource gives what the instance knows of the others.
type ViewSource interface {
	View() *member.View
}

type key struct {
	source    string
	window    int64
	workspace string
}

type record struct {
	use  Use
	done chan struct{}
}

// A Recorder represents the usage counters of one instance.
type Recorder struct {
	source  string
	self    string
	window  time.Duration
	dialer  Dialer
	views   ViewSource
	logger  *event.Logger
	records chan record

	mutex sync.Mutex
	own   map[key]*peer.Counter
	held  map[key]*peer.Counter
	// taken holds, per counter, the requests that the leader of takenTerm has
	// heard of. Another leader has heard of none.
	taken     map[key]int64
	takenTerm uint64

	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
}

// New returns the recorder of the incarnation source of the instance self.
func New(source, self string, window time.Duration, dialer Dialer, logger *event.Logger) *Recorder {
	return &Recorder{
		source: source, self: self, window: window, dialer: dialer, logger: logger,
		records: make(chan record, recordQueue), own: map[key]*peer.Counter{}, held: map[key]*peer.Counter{}, taken: map[key]int64{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Start runs the loop over the views that tell where copies can go.
func (r *Recorder) Start(views ViewSource) {
	r.views = views
	go r.run()
}

// Stop ends the loop after the records that wait.
func (r *Recorder) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
}

// Record counts the use and returns once a second instance has a copy, or once
// the tries to place one have failed. The count itself is never lost by that.
func (r *Recorder) Record(use Use) {
	rec := record{use: use, done: make(chan struct{})}
	select {
	case r.records <- rec:
	case <-r.done:
		r.count(use)
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
			r.finish()
			return
		case rec := <-r.records:
			r.place(r.collect(rec))
		}
	}
}

func (r *Recorder) finish() {
	for {
		select {
		case rec := <-r.records:
			r.place(r.collect(rec))
		default:
			return
		}
	}
}

// collect gathers the records that come within a millisecond.
func (r *Recorder) collect(first record) []record {
	batch := []record{first}
	timer := time.NewTimer(gather)
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

// place counts the batch, copies the changed counters to a second instance and
// then lets the requests end.
func (r *Recorder) place(batch []record) {
	changed := map[key]*peer.Counter{}
	for _, rec := range batch {
		k, c := r.count(rec.use)
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

// count adds the use to its counter. A counter is replaced, not changed, since
// the old one may be on its way to another instance.
func (r *Recorder) count(use Use) (key, *peer.Counter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	k := key{r.source, r.currentWindow(time.Now()), use.Workspace}
	old := r.own[k]
	next := &peer.Counter{
		Source: k.source, Window: k.window, Workspace: k.workspace,
		PromptTokens: old.GetPromptTokens() + use.PromptTokens, OutputTokens: old.GetOutputTokens() + use.OutputTokens,
		Requests: old.GetRequests() + 1, Cost: old.GetCost() + use.Cost,
	}
	r.own[k] = next
	return k, next
}

// currentWindow returns the window that a request ending now belongs to. If the
// control group has closed it already, because clocks differ, the use goes to
// the next one.
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
	holders := r.holders()
	for _, address := range holders[:min(holdTries, len(holders))] {
		ctx, cancel := context.WithTimeout(context.Background(), holdTimeout)
		_, err := r.dialer.Peer(address).Hold(ctx, request)
		cancel()
		if err == nil {
			return
		}
	}
	r.logger.Log(event.HoldFailed, zap.Int("tried", min(holdTries, len(holders))))
}

// holders returns the addresses of living instances, those that are not about
// to stop first.
func (r *Recorder) holders() []string {
	var stay, leave []string
	for _, m := range r.views.View().Members() {
		switch {
		case m.Instance == r.self:
		case m.Draining:
			leave = append(leave, m.Address)
		default:
			stay = append(stay, m.Address)
		}
	}
	return append(stay, leave...)
}

// Hold keeps a copy of another instance's counters.
func (r *Recorder) Hold(counters []*peer.Counter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, c := range counters {
		k := key{c.Source, c.Window, c.Workspace}
		if known := r.held[k]; known == nil || known.Requests < c.Requests {
			r.held[k] = c
		}
	}
}

// Unsettled returns the counters that the control leader needs: of this
// incarnation, and those held for incarnations that are not alive any more. A
// counter of an open window is left out if the leader has heard of it as it is;
// one of a closed window is sent until the committed figures include it.
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
	for k, c := range r.held {
		if !alive[k.source] && r.needed(k, c, view) {
			list = append(list, c)
		}
	}
	return list
}

func (r *Recorder) needed(k key, c *peer.Counter, view *member.View) bool {
	return k.window <= view.SettledWindow() || r.takenTerm != view.Term() || r.taken[k] < c.Requests
}

// Settled notes what the leader of the term has heard, and forgets the counters
// of closed windows that the committed figures include. A counter of a window
// that is still open stays, since it may grow.
func (r *Recorder) MarkSettled(counters []*peer.Counter, settled []bool, term uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if term != r.takenTerm {
		r.takenTerm = term
		r.taken = map[key]int64{}
	}
	closed := r.views.View().SettledWindow()
	for i, c := range counters {
		k := key{c.Source, c.Window, c.Workspace}
		r.taken[k] = max(r.taken[k], c.Requests)
		if i < len(settled) && settled[i] && c.Window <= closed {
			r.forget(k, c)
		}
	}
	r.dropOldCopies(closed)
}

func (r *Recorder) forget(k key, c *peer.Counter) {
	dropIf(r.own, k, c)
	dropIf(r.held, k, c)
	delete(r.taken, k)
}

func dropIf(counters map[key]*peer.Counter, k key, c *peer.Counter) {
	if known := counters[k]; known != nil && known.Requests <= c.Requests {
		delete(counters, k)
	}
}

// dropOldCopies forgets copies for living incarnations once their windows are
// long closed; the owner reports those itself.
func (r *Recorder) dropOldCopies(closed int64) {
	const keepWindows = 60
	for k := range r.held {
		if k.window < closed-keepWindows*r.window.Milliseconds() {
			delete(r.held, k)
		}
	}
}
