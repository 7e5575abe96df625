package authority

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/control"
	"auburnscale/event"
	"auburnscale/peer"
)

// A log is the replicated log that several voters share in a test.
type log struct {
	machine *control.Machine
	index   uint64
	term    uint64
}

func newLog() *log {
	return &log{machine: control.New(control.Limits{ClaimRetain: time.Hour}), term: 1}
}

// release says that a process is gone.
func (l *log) release(issuer string) {
	l.index++
	l.machine.Apply(&peer.Entry{Index: l.index, Term: l.term, Command: &peer.Command{Body: &peer.Command_Release{
		Release: &peer.ReleaseIssuer{Issuer: issuer, Reason: "gone"},
	}}})
}

// A fakeVoter is one process's part: it may believe that it leads.
type fakeVoter struct {
	log         *log
	incarnation string
	leads       bool
}

func (v *fakeVoter) MayAct() bool        { return v.leads }
func (v *fakeVoter) Incarnation() string { return v.incarnation }

func (v *fakeVoter) Read(f func(*control.Machine)) { f(v.log.machine) }

func (v *fakeVoter) Propose(_ context.Context, c *peer.Command) (*peer.Result, error) {
	if !v.leads {
		return nil, errors.New("not the leader")
	}
	v.log.index++
	return v.log.machine.Apply(&peer.Entry{Index: v.log.index, Term: v.log.term, Command: c}), nil
}

// A fakeTarget takes payloads and may fail to answer.
type fakeTarget struct {
	taken  []string
	pause  func()
	silent bool
}

func (t *fakeTarget) Send(_ context.Context, _ string, _ uint64, payload []byte) (int, string, error) {
	if t.pause != nil {
		pause := t.pause
		t.pause = nil
		pause()
	}
	t.taken = append(t.taken, string(payload))
	if t.silent {
		return 0, "", errors.New("no answer")
	}
	return 200, "", nil
}

func authorityOf(v *fakeVoter, t *fakeTarget) *Executor {
	return New(v, map[string]Sender{"order": t}, event.Nop())
}

func order(id, payload string) Action {
	return Action{ID: id, Target: "e1", Kind: "order", Payload: []byte(payload)}
}

// TestPausedIssuerCannotConflict pauses a leader between its lease check and its
// write. The successor takes the order over, and may not give a different one
// until the paused process is known to be gone, so whatever the paused one
// writes when it wakes is what the target has.
func TestPausedIssuerCannotConflict(t *testing.T) {
	l := newLog()
	target := &fakeTarget{}
	first := &fakeVoter{log: l, incarnation: "A", leads: true}
	second := &fakeVoter{log: l, incarnation: "B"}
	target.pause = func() {
		first.leads, second.leads = false, true
		l.term = 2
		b := authorityOf(second, target)
		b.RetryOpen(context.Background())
		require.Equal(t, []string{"prefill"}, target.taken)
		require.ErrorContains(t, b.Execute(context.Background(), order("i2", "decode")), "issuer A of intent i1 is not released")
		require.Equal(t, []string{"prefill"}, target.taken, "nothing different was sent")
	}
	require.Error(t, authorityOf(first, target).Execute(context.Background(), order("i1", "prefill")))
	require.Equal(t, []string{"prefill", "prefill"}, target.taken, "the late write repeats what the target has")

	l.release("A")
	require.NoError(t, authorityOf(second, target).Execute(context.Background(), order("i2", "decode")))
	require.Equal(t, "decode", target.taken[2])
}

func TestNoLeaseNoAction(t *testing.T) {
	target := &fakeTarget{}
	v := &fakeVoter{log: newLog(), incarnation: "A"}
	require.Error(t, authorityOf(v, target).Execute(context.Background(), order("i1", "prefill")))
	require.Empty(t, target.taken)
}

// TestUnansweredActionIsRepeatedAsItWas loses the answer once.
func TestUnansweredActionIsRepeatedAsItWas(t *testing.T) {
	target := &fakeTarget{silent: true}
	v := &fakeVoter{log: newLog(), incarnation: "A", leads: true}
	a := authorityOf(v, target)
	require.Error(t, a.Execute(context.Background(), order("i1", "prefill")))
	require.Error(t, a.Execute(context.Background(), order("i2", "decode")), "the open one comes first")
	target.silent = false
	a.RetryOpen(context.Background())
	require.Equal(t, []string{"prefill", "prefill"}, target.taken)
	require.NoError(t, a.Execute(context.Background(), order("i2", "decode")))
	require.NoError(t, a.Execute(context.Background(), order("i2", "decode")), "an answered one is not sent again")
	require.Len(t, target.taken, 3)
}

// A fakeTable gives fixed counters.
type fakeTable struct {
	counters []*peer.Counter
	heard    bool
}

func (f *fakeTable) Counters(int64) []*peer.Counter       { return f.counters }
func (f *fakeTable) DropSettled()                         {}
func (f *fakeTable) AllContactedSince(time.Duration) bool { return f.heard }

// at is a moment that long after the time of day of an hour, on both clocks.
func at(later time.Duration) moment {
	return moment{time.UnixMilli(0).Add(time.Hour + later), time.Hour + later}
}

type noPlan struct{}

func (noPlan) Wanted() []Action { return nil }

// TestReportRepeatsCommittedFigures loses the platform's answer, lets the counter
// grow, and changes the leader: the report must be the same, byte for byte, and
// the growth must come with the next window.
func TestReportRepeatsCommittedFigures(t *testing.T) {
	l := newLog()
	table := &fakeTable{heard: true, counters: []*peer.Counter{{Source: "s", Window: 0, Workspace: "w", Requests: 1, OutputTokens: 10}}}
	target := &fakeTarget{silent: true}
	config := LeaderTasksConfig{Window: time.Minute, Grace: time.Second, Reports: true}
	duties := func(incarnation string) *LeaderTasks {
		a := New(&fakeVoter{log: l, incarnation: incarnation, leads: true}, map[string]Sender{control.UsageIntentKind: target}, event.Nop())
		return NewLeaderTasks(config, a, table, noPlan{}, event.Nop())
	}
	first := duties("A")
	first.pass(context.Background(), at(0))
	first.pass(context.Background(), at(2*time.Second))
	require.NotEmpty(t, target.taken)

	table.counters[0] = &peer.Counter{Source: "s", Window: 0, Workspace: "w", Requests: 2, OutputTokens: 25}
	l.term = 2
	target.silent = false
	second := duties("B")
	second.pass(context.Background(), at(10*time.Second))
	for _, payload := range target.taken {
		require.Equal(t, target.taken[0], payload)
	}
	second.pass(context.Background(), at(70*time.Second))
	require.Equal(t, target.taken[0], target.taken[len(target.taken)-1],
		"the platform does not check fencing numbers, so the next window waits until A is released")
	l.release("A")
	second.pass(context.Background(), at(72*time.Second))
	require.Contains(t, target.taken[len(target.taken)-1], `"output_tokens":15`)
}

// TestWindowWaitsForEveryone keeps a window open until every living instance was
// heard after its end.
func TestWindowWaitsForEveryone(t *testing.T) {
	l := newLog()
	table := &fakeTable{}
	a := New(&fakeVoter{log: l, incarnation: "A", leads: true}, nil, event.Nop())
	d := NewLeaderTasks(LeaderTasksConfig{Window: time.Minute, Grace: time.Second}, a, table, noPlan{}, event.Nop())
	d.since = at(-time.Minute).now
	d.closeWindow(context.Background(), at(2*time.Second))
	require.Zero(t, l.machine.LastClosedWindow())
	table.heard = true
	d.closeWindow(context.Background(), at(2*time.Second))
	require.Equal(t, at(-time.Minute).wall.UnixMilli(), l.machine.LastClosedWindow())
}
