package authority

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
)

type fakeBegun struct {
	counts   map[int64]map[string]int64
	complete bool
	now      time.Duration
}

func (f *fakeBegun) StartedRequests(window int64, _ time.Duration) (map[string]int64, bool) {
	return f.counts[window], f.complete
}

func (f *fakeBegun) OldestWindow() int64 {
	oldest := int64(0)
	for window := range f.counts {
		if oldest == 0 || window < oldest {
			oldest = window
		}
	}
	return oldest
}

func (f *fakeBegun) DropWindowsBefore(int64)   {}
func (f *fakeBegun) MedianTime() time.Duration { return f.now }

type recordingSender struct {
	sent []string
	err  error
}

func (r *recordingSender) Send(_ context.Context, _ string, epoch uint64, payload []byte) (int, string, error) {
	r.sent = append(r.sent, fmt.Sprintf("%d %s", epoch, payload))
	return 200, "", r.err
}

type noPlans struct{}

func (noPlans) Wanted() []Action { return nil }

func newMeter(v *fakeVoter, source RequestCounts, sender Sender) *Meter {
	encode := func(w *peer.Window, lengthMs int64) ([]byte, error) {
		text := fmt.Sprint(w.Window/lengthMs, ":")
		for _, f := range w.Figures {
			text += fmt.Sprintf(" %s=%d", f.Workspace, f.Requests)
		}
		return []byte(text), nil
	}
	return NewMeter(MeterConfig{Window: 5 * time.Second, ReportDue: 10 * time.Second, Lease: 3 * time.Second, Encode: encode, Kind: "usage_report", Planner: noPlans{}},
		New(v, map[string]Sender{"usage_report": sender}, event.Nop()), source, event.Nop())
}

// TestMeterReportsEachWindowOnce closes windows in their order, with what was
// counted, and sends each report once; a report without an answer is sent again
// as it was committed.
func TestMeterReportsEachWindowOnce(t *testing.T) {
	v := &fakeVoter{log: newLog(), incarnation: "A", leads: true}
	source := &fakeBegun{counts: map[int64]map[string]int64{50_000: {"guild": 7}, 55_000: {"guild": 1, "venue": 2}}, complete: true, now: 56 * time.Second}
	sender := &recordingSender{err: errors.New("no answer")}
	m := newMeter(v, source, sender)
	passOnce(m)
	require.Empty(t, sender.sent, "the grace of the first window is not over")
	source.now = 58 * time.Second
	passOnce(m)
	require.Equal(t, []string{"1 10: guild=7"}, sender.sent)
	source.counts[50_000]["guild"] = 9
	sender.err = nil
	passOnce(m)
	require.Equal(t, []string{"1 10: guild=7", "1 10: guild=7"}, sender.sent, "the committed figures are sent again")
	source.now = 63 * time.Second
	passOnce(m)
	passOnce(m)
	require.Equal(t, "1 11: guild=1 venue=2", sender.sent[len(sender.sent)-1])
	require.Len(t, sender.sent, 3)
}

func TestMeterWaitsForTheCutOff(t *testing.T) {
	v := &fakeVoter{log: newLog(), incarnation: "A", leads: true}
	source := &fakeBegun{counts: map[int64]map[string]int64{50_000: {"guild": 7}}, now: 59 * time.Second}
	sender := &recordingSender{}
	m := newMeter(v, source, sender)
	passOnce(m)
	require.Empty(t, sender.sent, "an instance has not been heard")
	source.now = 62500 * time.Millisecond
	passOnce(m)
	require.Len(t, sender.sent, 1, "the report is due")
}

// TestNextHolderWaits takes over from a holder that has acted. Nothing goes out
// within the lease.
func TestNextHolderWaits(t *testing.T) {
	v := &fakeVoter{log: newLog(), incarnation: "A", leads: true}
	source := &fakeBegun{counts: map[int64]map[string]int64{50_000: {"guild": 7}}, complete: true, now: 58 * time.Second}
	sender := &recordingSender{}
	passOnce(newMeter(v, source, sender))
	require.Len(t, sender.sent, 1, "nobody has acted before")

	source.counts[55_000], source.now = map[string]int64{"guild": 3}, 63*time.Second
	next := newMeter(v, source, sender)
	passOnce(next)
	require.Len(t, sender.sent, 1)
	next.since = clock.Now() - 4*time.Second
	passOnce(next)
	require.Len(t, sender.sent, 2)

	v.leads = false
	source.counts[60_000], source.now = map[string]int64{"guild": 3}, 68*time.Second
	passOnce(next)
	require.Len(t, sender.sent, 2, "without the lease nothing goes out")
	require.Zero(t, next.since)
}

// TestReportThatIsOnItsWay has a report without an answer yet. The next pass
// leaves it alone, and comes to its end.
func TestReportThatIsOnItsWay(t *testing.T) {
	v := &fakeVoter{log: newLog(), incarnation: "A", leads: true}
	source := &fakeBegun{counts: map[int64]map[string]int64{50_000: {"guild": 7}}, complete: true, now: 58 * time.Second}
	sender := &recordingSender{}
	m := newMeter(v, source, sender)
	require.True(t, m.authority.begin("platform/usage"))
	passOnce(m)
	require.Empty(t, sender.sent)
	m.authority.end("platform/usage")
	passOnce(m)
	m.authority.Wait()
	require.Len(t, sender.sent, 1)
}

// passOnce takes one pass and waits for what it started.
func passOnce(m *Meter) {
	m.pass(context.Background())
	m.authority.Wait()
}
