package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/permit"
	"auburnscale/platform/standin"
)

// TestLimitsOfTargetsAreLogged checks that the log shows when a target named a rate limit, when
// it changed or ended, and when it could not be understood.
func TestLimitsOfTargetsAreLogged(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	f := newFixtureWith(t, 1, fixtureOptions{logger: event.New(zap.New(core))})
	for _, limit := range []string{"", "1000", "1000", "500.5", "soon", ""} {
		f.targets[0].SetLimit(limit)
		response, _ := f.send(http.MethodGet, "/reads/1")
		require.Equal(t, http.StatusOK, response.status)
	}
	var rates []float64
	for _, line := range lines.FilterMessage("target_limited").All() {
		require.Equal(t, "e0", line.ContextMap()["target"])
		require.EqualValues(t, 1, line.ContextMap()["incarnation"])
		rates = append(rates, line.ContextMap()["per_second"].(float64))
	}
	require.Equal(t, []float64{1000, 500.5, 0}, rates)
	require.Len(t, lines.FilterMessage("target_limit_invalid").All(), 1)
}

// refuseFor returns an asker that issues no permit and names the time until there is one. It
// counts the questions.
func refuseFor(wait time.Duration, asked *atomic.Int64) permit.Asker {
	return askerFunc(func(limit *peer.TargetLimit) (*peer.PermitResponse, error) {
		asked.Add(1)
		return &peer.PermitResponse{Current: true, WaitMs: wait.Milliseconds(), Limit: limit}, nil
	})
}

// TestPermitOnEveryPath checks that nothing is sent to a target whose limit is used up: no first
// attempt, no prefill, no decode after a prefill elsewhere, no second attempt and no continuation
// of a stream.
func TestPermitOnEveryPath(t *testing.T) {
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	newLimited := func(t *testing.T, targets int) *fixture {
		var asked atomic.Int64
		return newFixtureWith(t, targets, fixtureOptions{asker: refuseFor(time.Minute, &asked)})
	}
	// name lets the target name a limit in its next response, which it gets by the path.
	name := func(f *fixture, target int, path string, headers ...string) {
		f.targets[target].SetLimit("0.5")
		f.waitFor("the limit is named", func() bool {
			f.send(http.MethodPost, path, headers...)
			return len(f.targets[target].Seen()) > 0
		})
	}
	t.Run("first attempt", func(t *testing.T) {
		f := newLimited(t, 1)
		name(f, 0, "/reads/1")
		response, _ := f.send(http.MethodGet, "/reads/1")
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Len(t, f.targets[0].Seen(), 1)
	})
	t.Run("prefill", func(t *testing.T) {
		f := newLimited(t, 2)
		f.announce(0, peer.TargetRow_PREFILL)
		f.announce(1, peer.TargetRow_DECODE)
		name(f, 0, "/streams/1", long...)
		for range 3 {
			response, _ := f.send(http.MethodPost, "/streams/1", long...)
			require.Equal(t, threeEvents, response.body, "the decode target prefills")
		}
		require.Len(t, f.targets[0].Seen(), 1)
	})
	t.Run("decode", func(t *testing.T) {
		f := newLimited(t, 2)
		f.announce(0, peer.TargetRow_PREFILL)
		f.announce(1, peer.TargetRow_DECODE)
		name(f, 1, "/streams/1", long...)
		response, id := f.send(http.MethodPost, "/streams/1", long...)
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Zero(t, f.runs(id))
		require.Len(t, f.targets[1].Seen(), 1)
	})
	t.Run("second attempt", func(t *testing.T) {
		f := newLimited(t, 2)
		name(f, 0, "/reads/1")
		f.targets[1].Script(standin.Fail)
		response, _ := f.send(http.MethodGet, "/reads/2")
		require.Equal(t, http.StatusInternalServerError, response.status)
		require.Len(t, f.targets[0].Seen(), 1)
	})
	t.Run("continuation", func(t *testing.T) {
		f := newLimited(t, 2)
		name(f, 0, "/resumable/1", streamHeaders...)
		f.targets[1].Script(standin.TruncateStreamAfter(1))
		response, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		require.Error(t, response.err, "nobody can continue the stream")
		require.Len(t, f.targets[0].Seen(), 1)
	})
}

// TestEveryTargetLimited checks that callers are refused at once and truly when the limits of all
// targets are used up, that those refused one after the other are told to return one after the
// other, and that the leader is asked once, not for each of them.
func TestEveryTargetLimited(t *testing.T) {
	var asked atomic.Int64
	f := newFixtureWith(t, 1, fixtureOptions{asker: refuseFor(2*time.Second, &asked)})
	f.targets[0].SetLimit("2")
	f.send(http.MethodGet, "/reads/1")
	first := time.Now()
	for n := range 5 {
		began := time.Now()
		response, id := f.send(http.MethodGet, "/reads/1")
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Contains(t, response.body, `"code":"targets_limited"`)
		require.Contains(t, response.body, `"not_run":true`)
		require.Zero(t, f.runs(id))
		require.Less(t, time.Since(began), time.Second)
		wait, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, wait+time.Since(first).Seconds(), 2+0.5*float64(n)-0.01, "the limit lets one in every half second")
	}
	require.EqualValues(t, 1, asked.Load())
	require.Len(t, f.targets[0].Seen(), 1)
}

// TestLimitEndsOrIsOfAnEarlierStart checks that a target is used freely again once a response
// names no limit any more, and that the limit of one start does not hold for the next.
func TestLimitEndsOrIsOfAnEarlierStart(t *testing.T) {
	var asked atomic.Int64
	f := newFixtureWith(t, 1, fixtureOptions{asker: refuseFor(time.Minute, &asked)})
	f.targets[0].SetLimit("2")
	f.send(http.MethodGet, "/reads/1")
	f.send(http.MethodGet, "/reads/1")
	require.Len(t, f.targets[0].Seen(), 1)
	f.targets[0].SetLimit("")
	f.roster.UpdateTarget(&peer.TargetRow{
		Id: "e0", Service: "desk", Address: f.targets[0].Address(), Domain: "d0", Slots: 8, State: peer.TargetRow_READY, BornMs: 2, Seq: 1,
	})
	f.refresh()
	response, _ := f.send(http.MethodGet, "/reads/1")
	require.Equal(t, http.StatusOK, response.status)

	// What another instance learned ends the hold-off as well.
	f.targets[0].SetLimit("2")
	f.send(http.MethodGet, "/reads/1")
	response, _ = f.send(http.MethodGet, "/reads/1")
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	f.targets[0].SetLimit("")
	time.Sleep(5 * time.Millisecond)
	f.fleets.MergeLimits([]*peer.TargetLimit{{Target: "e0", Incarnation: "2", Ended: true}})
	f.refresh()
	response, _ = f.send(http.MethodGet, "/reads/1")
	require.Equal(t, http.StatusOK, response.status)
}

// TestRaisedLimitIsUsedAtOnce checks that a target that is held off for long, because its limit is
// small, is asked for again as soon as another instance reports a larger one.
func TestRaisedLimitIsUsedAtOnce(t *testing.T) {
	asker := askerFunc(func(limit *peer.TargetLimit) (*peer.PermitResponse, error) {
		return &peer.PermitResponse{Current: true, Issued: limit.PerSecond > 1, WaitMs: time.Hour.Milliseconds(), Limit: limit}, nil
	})
	f := newFixtureWith(t, 1, fixtureOptions{asker: asker})
	f.targets[0].SetLimit("0.1")
	f.send(http.MethodGet, "/reads/1")
	response, _ := f.send(http.MethodGet, "/reads/1")
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	time.Sleep(5 * time.Millisecond)
	f.fleets.MergeLimits([]*peer.TargetLimit{{Target: "e0", Incarnation: "1", PerSecond: 50}})
	response, _ = f.send(http.MethodGet, "/reads/1")
	require.Equal(t, http.StatusOK, response.status)
}
