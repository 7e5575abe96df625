package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"auburnscale/platform/standin"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// responseDelay is the time before a response and between two events.
	responseDelay = 25 * time.Millisecond
	streamEvents  = 8
	// drainLinger is how long a target goes on serving after its drain time.
	drainLinger = 1500 * time.Millisecond
)

// A target represents an address with one stand-in target at a time: when one
// stops, another incarnation starts there.
type target struct {
	env     *env
	host    int
	domain  string
	service string
	stage   string

	mutex        sync.Mutex
	current      *standin.Target
	incarnations []*standin.Target
	starts       int
	startTime    time.Time
	seq          uint64
	// version is the software version that the incarnation announces, or empty.
	version  string
	draining bool
	// mute is true while the target sends no heartbeats.
	mute bool
	// keepName makes the next incarnation start under the name of the one before.
	keepName bool
	// endServing ends the record of the incarnation as one that serves.
	endServing func()
	// drainAcked is closed once the drain announcement was acknowledged.
	drainAcked chan struct{}
	stopped    bool
	// limiting is held while a series of rate limits lasts.
	limiting sync.Mutex
	// endlessBytes counts what the target sent in responses without end.
	endlessBytes atomic.Int64
}

func (t *target) address() string { return t.env.at(t.host, targetPort).String() }

// start starts the next incarnation, unless one runs: faults that overlap may both start one.
func (t *target) start() error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current != nil && !t.stopped {
		return nil
	}
	t.starts++
	name := fmt.Sprintf("i-%d-%d", t.host, t.starts)
	if t.starts%3 == 0 {
		// Every third incarnation has the name of the one before.
		name = fmt.Sprintf("i-%d-%d", t.host, t.starts-1)
	}
	if t.keepName {
		name = t.current.ID()
	}
	current := standin.NewTarget(name)
	current.SetEvents(streamEvents)
	current.SetPause(responseDelay)
	if t.stage != "" {
		current.SetEngine(t.stage, t.env.actions)
		t.armCrash(current)
	}
	version, written := softwareVersion(t.host, t.starts)
	current.SetVersion(written)
	current.SetLineEnd(lineEnds[int(written[len(written)-1])%len(lineEnds)])
	startTime := time.Now()
	current.SetStart(startTime.UnixMilli())
	if err := current.Listen(t.env.at(t.host, targetPort+listenPortOffset).String()); err != nil {
		return err
	}
	t.current, t.startTime, t.seq, t.draining, t.stopped, t.drainAcked = current, startTime, 0, false, false, make(chan struct{})
	t.version, t.endServing = version, t.env.history.beginServing(t.stage, written)
	t.incarnations = append(t.incarnations, current)
	return nil
}

// stop stops the target without an announcement.
func (t *target) stop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
	t.endServing()
	t.current.Close()
}

// run sends the target's heartbeats until the context ends.
func (t *target) run(ctx context.Context) {
	client := t.env.client(t.host)
	for at := t.host; ctx.Err() == nil; {
		if heartbeat, inc, ok := t.heartbeat(); ok {
			control := t.env.controls[at%len(t.env.controls)]
			if err := heartbeat.Send(ctx, client, t.env.at(control.host, operatorPort).String()); err != nil {
				at++
				t.env.sleep(ctx, retryDelay)
				continue
			}
			if heartbeat.Draining {
				t.acknowledged(inc)
			}
		}
		t.env.sleep(ctx, heartbeatInterval)
	}
}

// lineEnds are what ends the lines of events, by software version: a stream goes on only at the version that began it,
// and is compared byte by byte.
var lineEnds = []string{"\n", "\r\n", "\r"}

// An incarnation is one start of a target. Its name also holds the number of the
// start, because two incarnations may have the same target ID.
type incarnation struct {
	name       string
	drainAcked chan struct{}
}

func incarnationName(id string, start int) string { return fmt.Sprintf("%s in start %d", id, start) }

func (t *target) heartbeat() (standin.Heartbeat, incarnation, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seq++
	return standin.Heartbeat{
		ID: t.current.ID(), Service: t.service, Address: t.address(), Domain: t.domain, Stage: t.current.Stage(), Slots: 16, Version: t.version,
		StartTime: t.startTime.UnixMilli(), Seq: t.seq, Draining: t.draining,
	}, incarnation{incarnationName(t.current.ID(), t.starts), t.drainAcked}, !t.stopped && !t.mute
}

func (t *target) acknowledged(inc incarnation) {
	select {
	case <-inc.drainAcked:
	default:
		t.env.history.drain(Span{From: time.Now(), Name: inc.name})
		close(inc.drainAcked)
	}
}

// drain announces that the target drains, goes on serving for the drain time and
// drainLinger, deregisters it, and starts the next incarnation.
func (t *target) drain(ctx context.Context) {
	t.mutex.Lock()
	t.draining = true
	t.endServing()
	current, drainAcked, startTime := t.current, t.drainAcked, t.startTime
	t.mutex.Unlock()
	current.SetLeaving()
	select {
	case <-drainAcked:
	case <-time.After(configuredBounds.Drain):
	case <-ctx.Done():
		return
	}
	t.env.sleep(ctx, configuredBounds.Drain+drainLinger)
	t.mutex.Lock()
	same := t.startTime.Equal(startTime) && !t.stopped
	t.stopped = t.stopped || same
	t.mutex.Unlock()
	if !same {
		return
	}
	client := t.env.client(t.host)
	for _, control := range t.env.controls {
		if standin.Deregister(ctx, client, t.env.at(control.host, operatorPort).String(), current.ID()) == nil {
			break
		}
	}
	t.replace()
}

// replace stops the target and starts the next incarnation at the same address.
func (t *target) replace() {
	t.stop()
	time.Sleep(retryDelay)
	if err := t.start(); err != nil {
		t.env.addFinding("test harness", "target at %s: %v", t.address(), err)
	}
}

// scriptFailures makes the next responses fail, each in another way, beginning with
// the behaviour that which selects.
func (t *target) scriptFailures(which int) {
	behaviours := []standin.Behaviour{
		standin.Refuse, standin.Fail, standin.Reset, standin.Garble, standin.MismatchID, standin.Truncate, standin.ExtraResponse, standin.Unframed,
		standin.Unstamped, standin.TruncateStreamAfter(3), standin.RefuseFor("1.5"),
		standin.Endless(standin.EndlessHeader, "X-More: 1\r\n", &t.endlessBytes), standin.Endless(standin.EndlessEvent, "x", &t.endlessBytes),
	}
	if t.stage == "prefill" {
		// Prefill alone does not run the request, so a faulty prefill must not
		// count as a run.
		behaviours = []standin.Behaviour{standin.Refuse}
	}
	const failureCount = 6
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for n := range failureCount {
		t.current.Script(behaviours[(which+n)%len(behaviours)])
	}
}

// collect adds to the history what all incarnations recorded.
func (t *target) collect(h *History) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for i, s := range t.incarnations {
		for id, n := range s.AllRuns() {
			h.Runs[id] += n
		}
		for id, at := range s.Begun() {
			if first, known := h.Begun[id]; !known || at.Before(first) {
				h.Begun[id] = at
			}
		}
		for _, seen := range s.Seen() {
			if seen.ID == "" || seen.Method != http.MethodPost || seen.Expect != "" && seen.Expect != s.ID() {
				continue
			}
			h.Arrivals = append(h.Arrivals, Arrival{Target: incarnationName(s.ID(), i+1), ID: seen.ID, Workspace: seen.Tenant, Key: seen.Key, At: seen.At, Service: t.service, PrefillOnly: seen.Stage == "prefill", CrashingBlock: standin.HasSharedBlock(seen.Blocks, crashingBlock)})
		}
	}
}
