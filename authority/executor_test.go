package authority

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
)

// A fakeLog is a replicated log that several voters of a test share.
type fakeLog struct {
	mutex   sync.Mutex
	machine *control.Machine
	index   uint64
	term    uint64
}

func newFakeLog() *fakeLog {
	return &fakeLog{machine: control.New(control.Limits{ClaimRetain: time.Hour}), term: 1}
}

// release records that the process has terminated.
func (l *fakeLog) release(issuer string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.index++
	l.machine.Apply(&peer.Entry{Index: l.index, Term: l.term, Command: &peer.Command{Body: &peer.Command_Release{
		Release: &peer.ReleaseIssuer{Issuer: issuer, Reason: "process terminated"},
	}}})
}

// A fakeVoter is the voter of one process. It may believe that it holds the lease.
type fakeVoter struct {
	log         *fakeLog
	proposed    []*peer.Command
	incarnation string
	holdsLease  bool
}

func (v *fakeVoter) MayAct() bool        { return v.holdsLease }
func (v *fakeVoter) Incarnation() string { return v.incarnation }

func (v *fakeVoter) Read(f func(*control.Machine)) {
	v.log.mutex.Lock()
	defer v.log.mutex.Unlock()
	f(v.log.machine)
}

func (v *fakeVoter) Propose(_ context.Context, c *peer.Command) (*peer.Result, error) {
	if !v.holdsLease {
		return nil, errors.New("not the leader")
	}
	v.log.mutex.Lock()
	defer v.log.mutex.Unlock()
	v.proposed = append(v.proposed, c)
	v.log.index++
	return v.log.machine.Apply(&peer.Entry{Index: v.log.index, Term: v.log.term, Command: c}), nil
}

// A fakeTarget records the payloads it receives. It may pause before it receives one,
// and may give no response.
type fakeTarget struct {
	received []string
	pause    func()
	silent   bool
	detail   string
}

func (t *fakeTarget) Send(_ context.Context, _ string, _ uint64, payload []byte) (int, string, error) {
	if t.pause != nil {
		pause := t.pause
		t.pause = nil
		pause()
	}
	t.received = append(t.received, string(payload))
	if t.silent {
		return 0, "", errors.New("no response")
	}
	return 200, t.detail, nil
}

func newExecutor(v *fakeVoter, t *fakeTarget) *Executor {
	return New(v, map[string]Sender{"order": t}, event.Nop())
}

func order(id, payload string) Action {
	return Action{ID: id, Target: "e1", Kind: "order", Payload: []byte(payload)}
}

// TestPausedIssuerCannotConflict covers a leader that is paused between its lease
// check and its write, and writes after a successor has taken over. The successor may
// only send the same order until the paused process is released, so the late write
// does not change the target.
func TestPausedIssuerCannotConflict(t *testing.T) {
	l := newFakeLog()
	target := &fakeTarget{}
	first := &fakeVoter{log: l, incarnation: "A", holdsLease: true}
	second := &fakeVoter{log: l, incarnation: "B"}
	target.pause = func() {
		first.holdsLease, second.holdsLease = false, true
		l.term = 2
		b := newExecutor(second, target)
		b.RetryOpen(context.Background())
		require.Equal(t, []string{"prefill"}, target.received)
		require.ErrorContains(t, b.Execute(context.Background(), order("i2", "decode")), "issuer A of intent i1 is not released")
		require.Equal(t, []string{"prefill"}, target.received, "no different order was sent")
	}
	require.Error(t, newExecutor(first, target).Execute(context.Background(), order("i1", "prefill")))
	require.Equal(t, []string{"prefill", "prefill"}, target.received, "the late write repeats the target's current order")

	l.release("A")
	require.NoError(t, newExecutor(second, target).Execute(context.Background(), order("i2", "decode")))
	require.Equal(t, "decode", target.received[2])
}

func TestNoActionWithoutLease(t *testing.T) {
	target := &fakeTarget{}
	v := &fakeVoter{log: newFakeLog(), incarnation: "A"}
	require.Error(t, newExecutor(v, target).Execute(context.Background(), order("i1", "prefill")))
	require.Empty(t, target.received)
}

// TestUnansweredActionIsRetriedUnchanged loses the response to an action. The action
// must be sent again with the same payload before a different one.
func TestUnansweredActionIsRetriedUnchanged(t *testing.T) {
	target := &fakeTarget{silent: true}
	v := &fakeVoter{log: newFakeLog(), incarnation: "A", holdsLease: true}
	a := newExecutor(v, target)
	require.Error(t, a.Execute(context.Background(), order("i1", "prefill")))
	require.Error(t, a.Execute(context.Background(), order("i2", "decode")), "a different intent is open")
	target.silent = false
	a.RetryOpen(context.Background())
	require.Equal(t, []string{"prefill", "prefill"}, target.received)
	require.NoError(t, a.Execute(context.Background(), order("i2", "decode")))
	require.NoError(t, a.Execute(context.Background(), order("i2", "decode")), "an action with a response is not sent again")
	require.Len(t, target.received, 3)
}

// A fakeTable returns fixed counters.
type fakeTable struct {
	counters     []*peer.Counter
	allContacted bool
}

func (f *fakeTable) Counters(int64) []*peer.Counter       { return f.counters }
func (f *fakeTable) DropSettled()                         {}
func (f *fakeTable) AllContactedSince(time.Duration) bool { return f.allContacted }

// clockAt returns the reading at the given time after one hour, on both clocks.
func clockAt(later time.Duration) clockReading {
	return clockReading{time.UnixMilli(0).Add(time.Hour + later), time.Hour + later}
}

type noActions struct{}

func (noActions) Wanted() []Action { return nil }

// TestReportRepeatsCommittedFigures loses the platform's response, lets the counter
// grow and changes the leader. The new leader must send an identical report, and the
// growth must be reported with the next window.
func TestReportRepeatsCommittedFigures(t *testing.T) {
	l := newFakeLog()
	table := &fakeTable{allContacted: true, counters: []*peer.Counter{{Source: "s", Window: 0, Workspace: "w", Requests: 1, OutputTokens: 10}}}
	target := &fakeTarget{silent: true}
	config := LeaderTasksConfig{Window: time.Minute, Grace: time.Second, Reports: true}
	newTasks := func(incarnation string) *LeaderTasks {
		executor := New(&fakeVoter{log: l, incarnation: incarnation, holdsLease: true}, map[string]Sender{control.UsageIntentKind: target}, event.Nop())
		return NewLeaderTasks(config, executor, table, noActions{}, event.Nop())
	}
	first := newTasks("A")
	first.runOnce(context.Background(), clockAt(0))
	first.runOnce(context.Background(), clockAt(2*time.Second))
	require.NotEmpty(t, target.received)

	table.counters[0] = &peer.Counter{Source: "s", Window: 0, Workspace: "w", Requests: 2, OutputTokens: 25}
	l.term = 2
	target.silent = false
	second := newTasks("B")
	second.runOnce(context.Background(), clockAt(10*time.Second))
	for _, payload := range target.received {
		require.Equal(t, target.received[0], payload)
	}
	second.runOnce(context.Background(), clockAt(70*time.Second))
	require.Equal(t, target.received[0], target.received[len(target.received)-1],
		"the platform does not check fencing tokens, so the next window waits until A is released")
	l.release("A")
	second.runOnce(context.Background(), clockAt(72*time.Second))
	require.Contains(t, target.received[len(target.received)-1], `"output_tokens":15`)
}

// TestWindowWaitsForAllInstances checks that a window stays open until every live
// instance has reported after its end. Otherwise the window would miss requests.
func TestWindowWaitsForAllInstances(t *testing.T) {
	l := newFakeLog()
	table := &fakeTable{}
	executor := New(&fakeVoter{log: l, incarnation: "A", holdsLease: true}, nil, event.Nop())
	tasks := NewLeaderTasks(LeaderTasksConfig{Window: time.Minute, Grace: time.Second}, executor, table, noActions{}, event.Nop())
	tasks.leaseSince = clockAt(-time.Minute).now
	tasks.closeWindow(context.Background(), clockAt(2*time.Second))
	require.Zero(t, l.machine.LastClosedWindow())
	table.allContacted = true
	tasks.closeWindow(context.Background(), clockAt(2*time.Second))
	require.Equal(t, clockAt(-time.Minute).wall.UnixMilli(), l.machine.LastClosedWindow())
}

// Guards against a response to an order whose text is cut inside a character: no leader could store it, and
// each took that for a failed disk.
func TestResponseTextIsStoredAsUTF8(t *testing.T) {
	for _, detail := range []string{strings.Repeat("é", 150), "x" + strings.Repeat("é", 150), "\xff\xfe", strings.Repeat("\xff", 300), "ok"} {
		v := &fakeVoter{log: newFakeLog(), incarnation: "one", holdsLease: true}
		require.NoError(t, newExecutor(v, &fakeTarget{detail: detail}).Execute(context.Background(), order("a", "x")))
		stored := v.proposed[len(v.proposed)-1].GetCloseIntent()
		require.True(t, utf8.ValidString(stored.Detail), "%q", detail)
		require.LessOrEqual(t, len(stored.Detail), 200)
		require.True(t, strings.HasPrefix(detail, stored.Detail))
	}
}
