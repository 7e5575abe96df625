package admit

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A fakeTargets has a number of free slots that the test sets. Each call of HasRoom
// that returns true takes one.
type fakeTargets struct{ free atomic.Int64 }

func newFakeTargets(free int64) *fakeTargets {
	f := &fakeTargets{}
	f.free.Store(free)
	return f
}

func (f *fakeTargets) HasRoom() bool {
	if f.free.Load() <= 0 {
		return false
	}
	f.free.Add(-1)
	return true
}

func (f *fakeTargets) HasReserve() bool { return false }

func (f *fakeTargets) Capacity() (slots, requests int64) { return 1 << 40, 0 }

func request(workspace string, weight, cost float64) Request {
	return Request{Workspace: workspace, Weight: weight, Cost: cost}
}

// admissionOrder queues the requests, frees one slot after another and returns the
// workspaces in the order in which their requests were admitted.
func admissionOrder(t *testing.T, fair bool, requests []Request) []string {
	r := newFakeTargets(0)
	q := New(Config{Fair: fair, FirstTokenLimit: time.Hour, MaxQueue: 100}, r)
	admitted := make(chan string, len(requests))
	for i, each := range requests {
		go func() {
			_, err := q.Acquire(context.Background(), each)
			if err == nil {
				admitted <- each.Workspace
			}
		}()
		require.Eventually(t, func() bool { return q.Waiting() == i+1 }, time.Minute, time.Millisecond)
	}
	var names []string
	for range requests {
		r.free.Store(1)
		q.AdmitWaiting()
		names = append(names, <-admitted)
	}
	return names
}

func TestFairAndFifoOrder(t *testing.T) {
	var requests []Request
	for range 6 {
		requests = append(requests, request("heavy", 1, 100))
	}
	requests = append(requests, request("light", 1, 100), request("double", 2, 100), request("double", 2, 100))
	fair := admissionOrder(t, true, requests)
	require.Equal(t, []string{"heavy", "light", "double", "double", "heavy"}, fair[:5])
	fifo := admissionOrder(t, false, requests)
	require.Equal(t, []string{"heavy", "heavy", "heavy", "heavy", "heavy", "heavy", "light", "double", "double"}, fifo)
}

// TestEarlyRefusalHasRetryAfter checks that a request whose predicted wait is too long
// is refused at once, both with the initial service time and with an observed admission
// interval.
func TestEarlyRefusalHasRetryAfter(t *testing.T) {
	for interval, want := range map[time.Duration]time.Duration{0: initialServiceTime, 2 * time.Hour: 2 * time.Hour} {
		q := New(Config{Fair: true, FirstTokenLimit: 500 * time.Millisecond, MaxQueue: 100}, newFakeTargets(0))
		q.admissionInterval = interval
		_, err := q.Acquire(context.Background(), request("guild", 1, 100))
		var refusal *Refusal
		require.True(t, errors.As(err, &refusal))
		require.Equal(t, want, refusal.RetryAfter())
		require.Zero(t, q.Waiting())
	}
}

// TestWaitEndsAtLimit checks that a request which was queued because its predicted
// wait was short is refused when it has waited for the longer of minWait and half of
// FirstTokenLimit.
func TestWaitEndsAtLimit(t *testing.T) {
	q := New(Config{Fair: true, FirstTokenLimit: 20 * time.Millisecond, MaxQueue: 100}, newFakeTargets(0))
	q.admissionInterval = time.Nanosecond
	_, err := q.Acquire(context.Background(), request("guild", 1, 100))
	require.ErrorContains(t, err, "no target came free in time")
	require.Zero(t, q.Waiting())
}

func TestExpiredRequestLeavesQueue(t *testing.T) {
	q := New(Config{Fair: true, FirstTokenLimit: time.Hour, MaxQueue: 100}, newFakeTargets(0))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := q.Acquire(ctx, request("guild", 1, 100))
	require.Error(t, err)
	require.Zero(t, q.Waiting())
}

func TestHeavyWorkspaceGetsLowerPriority(t *testing.T) {
	q := New(Config{Fair: true, FirstTokenLimit: time.Hour, MaxQueue: 100}, newFakeTargets(1000))
	var heavy, light *Ticket
	for i := range 40 {
		var err error
		heavy, err = q.Acquire(context.Background(), request("heavy", 1, 1000))
		require.NoError(t, err)
		if i%10 == 0 {
			light, err = q.Acquire(context.Background(), request("light", 1, 1000))
			require.NoError(t, err)
		}
	}
	require.Zero(t, light.Priority())
	require.Positive(t, heavy.Priority())
}

func TestLimitHoldsAcrossInstances(t *testing.T) {
	const instances, rate, burst = 4, 400.0, 800.0
	taken := 0.0
	for range instances {
		l := NewLimits(&sharedBucket{err: errors.New("no leader")})
		for l.Take(context.Background(), "guild", rate, burst, 50, instances) == nil {
			taken += 50
		}
	}
	require.InDelta(t, burst, taken, 0.1*burst)
}

// TestLimitHoldsForLargeRequestsAtManyInstances lets a workspace send requests that cost more than
// an instance's part of the burst to hundreds of instances at once. All together must not be
// charged less than they cost: the limit holds up to the burst and one request.
func TestLimitHoldsForLargeRequestsAtManyInstances(t *testing.T) {
	const rate, burst, cost, instances = 100, 3000, 1000, 300
	shared := &sharedBucket{tokens: burst}
	taken := 0
	for range instances {
		l := NewLimits(shared)
		for l.Take(context.Background(), "guild", rate, burst, cost, instances) == nil {
			taken += cost
		}
	}
	require.LessOrEqual(t, taken, burst+cost)
	require.GreaterOrEqual(t, taken, burst-cost)
}

// TestLimitWithoutLeader checks that an instance that reaches no leader goes on with an equal
// part, and charges a request that costs more than its part with all of it.
func TestLimitWithoutLeader(t *testing.T) {
	l := NewLimits(&sharedBucket{err: errors.New("no leader")})
	require.NoError(t, l.Take(context.Background(), "guild", 100, 300, 500, 3))
	var refusal *Refusal
	require.ErrorAs(t, l.Take(context.Background(), "guild", 100, 300, 50, 3), &refusal)
	require.Greater(t, refusal.RetryAfter(), 12*time.Second, "400 tokens of debt and 50 more, at 33 a second")
}

// sharedBucket is a bucket that all instances share and that is not refilled.
type sharedBucket struct {
	tokens float64
	err    error
}

func (b *sharedBucket) TakeTokens(_ context.Context, _ string, _, _, amount float64) (time.Duration, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.tokens <= 0 {
		return time.Second, nil
	}
	b.tokens -= amount
	return 0, nil
}

func BenchmarkAcquire(b *testing.B) {
	q := New(Config{Fair: true, FirstTokenLimit: time.Hour, MaxQueue: 100}, newFakeTargets(1<<40))
	for i := range 1000 {
		t, _ := q.Acquire(context.Background(), request(fmt.Sprint(i), 1, 100))
		t.Release()
	}
	b.ReportAllocs()
	for b.Loop() {
		t, _ := q.Acquire(context.Background(), request("guild", 1, 100))
		t.Release()
	}
}
