package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
	"auburnscale/platform/standin"
	"auburnscale/retry"
)

// TestLeavingTargetGetsNoNewRequests checks that a target that states in any response
// that it is leaving gets no request afterwards, although its heartbeats say that it is
// ready, until it has started again.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	for name, test := range map[string]struct {
		behaviour standin.Behaviour
		headers   []string
	}{
		"response":  {behaviour: standin.Respond},
		"failure":   {behaviour: standin.Fail},
		"refusal":   {behaviour: standin.Refuse},
		"stream":    {behaviour: standin.Respond, headers: streamHeaders},
		"truncated": {behaviour: standin.TruncateStreamAfter(1), headers: streamHeaders},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.targets[0].Script(standin.Leaving(test.behaviour))
			path := "/reads/1"
			if test.headers != nil {
				path = "/streams/1"
			}
			f.send(http.MethodGet, path, test.headers...)
			require.Len(t, f.targets[0].Seen(), 1)
			f.announce(0, peer.TargetRow_STAGE_UNSPECIFIED)
			response, _ := f.send(http.MethodGet, path, test.headers...)
			require.Equal(t, 503, response.status, "no other target is left")
			require.Len(t, f.targets[0].Seen(), 1)

			f.roster.UpdateTarget(&peer.TargetRow{
				Id: "e0", Service: "desk", Address: f.targets[0].Address(), Domain: "d0", Slots: 8, State: peer.TargetRow_READY, BornMs: 2, Seq: 1,
			})
			f.refresh()
			response, _ = f.send(http.MethodGet, path, test.headers...)
			require.Equal(t, 200, response.status, "a later start is used")
		})
	}
}

// TestLeavingPrefillTarget checks that a prefill target that states that it is leaving
// gets no further prompts, and that its KV cache is still used.
func TestLeavingPrefillTarget(t *testing.T) {
	f := newFixture(t, 2)
	f.announce(0, peer.TargetRow_PREFILL)
	f.announce(1, peer.TargetRow_DECODE)
	f.targets[0].Script(standin.Leaving(standin.Respond))
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	response, _ := f.send(http.MethodPost, "/streams/1", long...)
	require.Equal(t, threeEvents, response.body)
	require.NotEmpty(t, f.targets[1].Seen()[0].Source)
	response, _ = f.send(http.MethodPost, "/streams/1", long...)
	require.Equal(t, threeEvents, response.body)
	require.Len(t, f.targets[0].Seen(), 1)
}

// TestTargetThatAsksForAPause checks that a target that turned a request away with a
// Retry-After gets none until then, that this is no failure of the target, and that
// callers are refused truly and at once when every target asked for a pause.
func TestTargetThatAsksForAPause(t *testing.T) {
	f := newFixtureWithBudget(t, 2, retry.NewBudgetShare(1, 100, time.Minute))
	f.targets[0].Script(standin.RefuseFor("30"))
	f.targets[1].Script(standin.RefuseFor("20.5"))
	response, id := f.send(http.MethodGet, "/reads/1")
	require.Equal(t, 503, response.status)
	require.Zero(t, f.runs(id))
	for range 5 {
		response, id = f.send(http.MethodGet, "/reads/1")
		require.Equal(t, 503, response.status)
		require.Contains(t, response.body, `"not_run":true`)
		wait, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, wait, 15.0, "no earlier than the first target takes requests again")
		require.Zero(t, f.runs(id))
	}
	require.Len(t, f.targets[0].Seen(), 1)
	require.Len(t, f.targets[1].Seen(), 1)
	f.announce(0, peer.TargetRow_DECODE)
	f.send(http.MethodGet, "/reads/1")
	require.Len(t, f.targets[0].Seen(), 1, "a change of stage does not end the pause")
}

// TestPauseEnds checks that a target is used again once the pause that it asked for is
// over, without a further backoff.
func TestPauseEnds(t *testing.T) {
	f := newFixture(t, 1)
	f.targets[0].Script(standin.RefuseFor("0.05"))
	f.send(http.MethodGet, "/reads/1")
	time.Sleep(60 * time.Millisecond)
	response, _ := f.send(http.MethodGet, "/reads/1")
	require.Equal(t, 200, response.status)
}

// TestPauseOnEveryPath checks that the pause also keeps prompts from a prefill target,
// the retry of an idempotent request and the continuation of a stream from the target.
func TestPauseOnEveryPath(t *testing.T) {
	long := []string{"X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000"}
	t.Run("prefill", func(t *testing.T) {
		f := newFixture(t, 2)
		f.announce(0, peer.TargetRow_PREFILL)
		f.announce(1, peer.TargetRow_DECODE)
		f.targets[0].Script(standin.RefuseFor("30"))
		for range 3 {
			response, _ := f.send(http.MethodPost, "/streams/1", long...)
			require.Equal(t, threeEvents, response.body)
		}
		require.Len(t, f.targets[0].Seen(), 1)
	})
	t.Run("continuation", func(t *testing.T) {
		f := newFixture(t, 2)
		for _, target := range f.targets {
			target.Script(standin.RefuseFor("30"))
		}
		f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		f = newFixture(t, 2)
		f.targets[0].Script(standin.RefuseFor("30"))
		for len(f.targets[0].Seen()) == 0 {
			f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		}
		f.targets[1].Script(standin.TruncateStreamAfter(1))
		response, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		require.Error(t, response.err, "nobody can continue the stream")
		require.Len(t, f.targets[0].Seen(), 1)
	})
}

// TestLeavingIsReported checks that what an instance learned of a leaving target reaches
// another one, and does not affect a later start.
func TestLeavingIsReported(t *testing.T) {
	f := newFixture(t, 1)
	f.targets[0].Script(standin.Leaving(standin.Respond))
	f.send(http.MethodGet, "/reads/1")
	reports := f.roster.LeavingReports()
	require.Len(t, reports, 1)
	require.Equal(t, "e0", reports[0].Id)
	require.EqualValues(t, 1, reports[0].BornMs)
}
