package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/platform/standin"
	"auburnscale/roster"
)

// announceVersion announces the target as one of the version, in a start that began then.
func (f *fixture) announceVersion(i int, version string, born int64) {
	f.targets[i].SetVersion(version)
	f.targets[i].SetStart(born)
	f.announceRow(i, func(row *peer.TargetRow) { row.SoftwareVersion, row.BornMs = version, born })
}

// recordOrigin records that the version of the service began the stream of the request.
func (f *fixture) recordOrigin(id, service, version string) {
	stream := f.origins.Open(origin.Hash("guild", id))
	stream.Sent(origin.Origin{Service: service, Software: origin.Software(version, "", 0)}, "a target", 1)
	stream.Close()
}

// takeUp asks for the rest of the stream after the first event.
func (f *fixture) takeUp(resumes string) callerResponse {
	response, _ := f.send(http.MethodPost, "/resumable/1", append([]string{"Last-Event-Id", "1", "Resumes", resumes}, streamHeaders...)...)
	return response
}

// TestStreamGoesOnOnlyAtTheSameSoftware checks, for a stream that breaks off at the target that
// begins it, whether the other one continues it within the response.
func TestStreamGoesOnOnlyAtTheSameSoftware(t *testing.T) {
	for name, c := range map[string]struct {
		versions [2]string
		whole    bool
	}{
		"same version":     {[2]string{"v1", "v1"}, true},
		"other version":    {[2]string{"v1", "v2"}, false},
		"no known version": {[2]string{"", ""}, false},
		"one of two known": {[2]string{"v1", ""}, false},
	} {
		f := newFixture(t, 2)
		for i, version := range c.versions {
			f.announceVersion(i, version, 2)
			f.targets[i].Script(standin.BreakFresh(1))
		}
		response, id := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		require.Equal(t, c.whole, response.err == nil, name)
		if c.whole {
			require.NoError(t, standin.CheckStream(response.body, 3), name)
			require.Equal(t, 2, f.runs(id), name)
			continue
		}
		require.Equal(t, 1, f.runs(id), name)
	}
}

// TestTakenUpStreamOfAVersion checks what becomes of a stream that a caller takes up, by what is on
// record and what serves.
func TestTakenUpStreamOfAVersion(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		record   func(*fixture)
		resumes  string
		code     string
		ran      int
	}{
		"on record":                     {[]string{"v1", "v2"}, func(f *fixture) { f.recordOrigin("r", "desk", "v2") }, "r", "", 1},
		"version is gone":               {[]string{"v1", "v1"}, func(f *fixture) { f.recordOrigin("r", "desk", "v2") }, "r", "version_gone", -1},
		"service is not of the route":   {[]string{"v1", "v1"}, func(f *fixture) { f.recordOrigin("r", "other", "v1") }, "r", "version_gone", -1},
		"not on record, two versions":   {[]string{"v1", "v2"}, func(*fixture) {}, "r", "version_unknown", -1},
		"not on record, not long known": {[]string{"v1", "v1"}, func(*fixture) {}, "r", "version_unknown", -1},
		"no request named":              {[]string{"v1", "v2"}, func(f *fixture) { f.recordOrigin("r", "desk", "v2") }, "", "version_unknown", -1},
		"records differ": {[]string{"v1", "v2"}, func(f *fixture) {
			f.recordOrigin("r", "desk", "v1")
			f.recordOrigin("r", "desk", "v2")
		}, "r", "version_unknown", -1},
	} {
		f := newFixture(t, 2)
		for i, version := range c.versions {
			f.announceVersion(i, version, 2)
		}
		c.record(f)
		response := f.takeUp(c.resumes)
		require.NoError(t, response.err, name)
		if c.code == "" {
			require.Equal(t, http.StatusOK, response.status, name)
			require.Equal(t, []string{c.versions[c.ran]}, standin.Versions(response.body), name)
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, response.status, name)
		require.Contains(t, response.body, c.code, name)
		require.Contains(t, response.body, `"not_run":true`, name)
		for _, target := range f.targets {
			require.Empty(t, target.Seen(), name)
		}
	}
}

// TestTakenUpStreamOfAVersionThatIsBackSoon checks that a caller is told to come back if the only targets
// of the version are at another stage now, or if this instance knows no targets yet.
func TestTakenUpStreamOfAVersionThatIsBackSoon(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"another stage": func(f *fixture) {
			f.announceRow(0, func(row *peer.TargetRow) { row.Stage = peer.TargetRow_PREFILL })
			f.announceVersion(1, "v2", 2)
		},
		"no targets known": func(f *fixture) {
			f.fleets.Refresh(roster.New(clock.Now, time.Hour).Snapshot(), []string{"desk"}, time.Now())
		},
	} {
		f := newFixture(t, 2)
		f.recordOrigin("r", "desk", "v1")
		prepare(f)
		response := f.takeUp("r")
		require.Equal(t, http.StatusServiceUnavailable, response.status, name)
		require.Contains(t, response.body, "no_target", name)
		require.NotEmpty(t, response.header.Get("Retry-After"), name)
	}
}

// TestTakenUpStreamGoesOnAtADrainingTarget checks that the only target of a version gets the rest of
// its streams for a while after it announced that it drains, or stated that it leaves, and no new ones.
func TestTakenUpStreamGoesOnAtADrainingTarget(t *testing.T) {
	for name, drain := range map[string]func(*fixture){
		"announced": func(f *fixture) {
			f.announceRow(0, func(row *peer.TargetRow) { row.BornMs, row.State = 2, peer.TargetRow_DRAINING })
		},
		"stated": func(f *fixture) {
			f.targets[0].SetLeaving()
			f.recordOrigin("r0", "desk", "v1")
			require.Equal(f.t, http.StatusOK, f.takeUp("r0").status)
			f.refresh()
		},
	} {
		f := newFixture(t, 2)
		f.announceVersion(0, "v1", 2)
		f.announceVersion(1, "v2", 2)
		f.recordOrigin("r", "desk", "v1")
		drain(f)
		response := f.takeUp("r")
		require.Equal(t, http.StatusOK, response.status, "%s: %s", name, response.body)
		require.Equal(t, []string{"v1"}, standin.Versions(response.body), name)
		before := len(f.targets[0].Seen())
		for range 5 {
			fresh, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
			require.Equal(t, []string{"v2"}, standin.Versions(fresh.body), name)
		}
		require.Len(t, f.targets[0].Seen(), before, name)
		time.Sleep(drainTime / 2)
		response = f.takeUp("r")
		require.Equal(t, http.StatusServiceUnavailable, response.status, name)
		require.Contains(t, response.body, "version_gone", name)
	}
}

// TestStreamOfAnUncertainStartDoesNotGoOn checks that a stream does not go on if its target turns out
// to have started again, with another version, when its first event arrived: the later start may have
// written it.
func TestStreamOfAnUncertainStartDoesNotGoOn(t *testing.T) {
	f := newFixture(t, 2)
	f.announceVersion(0, "v1", 2)
	f.announceVersion(1, "v1", 2)
	f.targets[1].Script(standin.Refuse)
	release := f.targets[0].Hold()
	r, id := f.request(context.Background(), http.MethodPost, "/resumable/1", streamHeaders...)
	done := make(chan callerResponse)
	go func() { done <- send(r) }()
	f.waitFor("the request runs", func() bool { return f.targets[0].Runs(id) == 1 })
	f.announceVersion(0, "v2", 3)
	release()
	<-done
	response := f.takeUp(id)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Contains(t, response.body, "version_unknown")
}

// TestStreamOfALaterStartIsNotContinued checks the same within a response that breaks off after the
// later start has become known.
func TestStreamOfALaterStartIsNotContinued(t *testing.T) {
	f := newFixture(t, 2)
	f.announceVersion(0, "v1", 2)
	f.announceVersion(1, "v1", 2)
	for i, target := range f.targets {
		target.Script(func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
			f.announceRow(i, func(row *peer.TargetRow) { row.SoftwareVersion, row.BornMs = "v2", 3 })
			return standin.BreakFresh(1)(t, w, r)
		})
	}
	response, id := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.Error(t, response.err)
	require.Equal(t, 1, f.runs(id))
}

// TestDeclinedRequestGoesToAnotherVersion checks that a request that no target has begun goes to any
// version, until control instances may have on record where it was sent.
func TestDeclinedRequestGoesToAnotherVersion(t *testing.T) {
	for _, reported := range []bool{false, true} {
		f := newFixture(t, 2)
		f.announceVersion(0, "v1", 2)
		f.announceVersion(1, "v2", 2)
		var declined atomic.Int64
		for _, target := range f.targets {
			target.Script(func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
				if reported {
					f.origins.Report(false)
				}
				return declined.Add(1) == 1 && standin.Refuse(t, w, r)
			})
		}
		response, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
		if reported {
			require.Equal(t, http.StatusServiceUnavailable, response.status)
			require.EqualValues(t, 1, declined.Load())
			continue
		}
		require.NoError(t, standin.CheckStream(response.body, 3))
		require.EqualValues(t, 2, declined.Load())
	}
}

// TestRestartedTargetContinuesNothing guards against streams that go on at a target that has started
// again under its id, with another version, before this instance learns of it.
func TestRestartedTargetContinuesNothing(t *testing.T) {
	f := newFixtureWith(t, 2, fixtureOptions{engines: true})
	f.announceVersion(0, "v1", 2)
	f.announceVersion(1, "v1", 2)
	restart := func(i int) {
		f.targets[i].Restart()
		f.targets[i].SetVersion("v2")
		f.targets[i].SetStart(3)
	}
	f.recordOrigin("r", "desk", "v1")
	restart(0)
	for range 4 {
		response := f.takeUp("r")
		require.Equal(t, []string{"v1"}, standin.Versions(response.body))
	}
	restart(1)
	response := f.takeUp("r")
	require.Equal(t, http.StatusServiceUnavailable, response.status, response.body)

	// The same within a response.
	f.announceVersion(0, "v1", 4)
	f.announceVersion(1, "v1", 4)
	for i, target := range f.targets {
		target.Script(func(t *standin.Target, w http.ResponseWriter, r *http.Request) bool {
			restart(1 - i)
			return standin.BreakFresh(1)(t, w, r)
		})
	}
	response, id := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.Error(t, response.err)
	require.Equal(t, 1, f.runs(id))
}

// TestHandOverStaysAtTheVersion guards against the rest of a stream that goes on, after its prompt was
// read elsewhere, at another version: when it is placed, and when the decode target that was chosen leaves
// meanwhile.
func TestHandOverStaysAtTheVersion(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		f := newFixture(t, 4)
		versions := []string{"v2", "v1", "v2", "v1"}
		for i, version := range versions {
			f.targets[i].SetVersion(version)
			f.announceRow(i, func(row *peer.TargetRow) {
				row.SoftwareVersion, row.Stage = version, peer.TargetRow_DECODE
				if i == 0 {
					row.Stage = peer.TargetRow_PREFILL
				}
			})
		}
		f.recordOrigin("r", "desk", "v1")
		if leaves {
			f.targets[0].Script(func(*standin.Target, http.ResponseWriter, *http.Request) bool {
				f.roster.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE, BornMs: 1})
				f.refresh()
				return false
			})
		}
		for range 8 {
			response, _ := f.send(http.MethodPost, "/resumable/1", "X-Model", "m", "X-Token-Count", "50000,10", "X-Prefix-Hash", "a1:40000,b2:10000", "Last-Event-Id", "1", "Resumes", "r")
			require.Equal(t, []string{"v1"}, standin.Versions(response.body))
		}
		require.NotEmpty(t, f.targets[0].Seen(), "the prompt is read at the prefill target")
		require.Empty(t, f.targets[2].Seen())
	}
}

// TestUnheardStartBeginsNoStream guards against streams that are on record with the version of an earlier
// start: the target crashed, started again under its id with another version, and began a stream
// before any heartbeat of that start.
func TestUnheardStartBeginsNoStream(t *testing.T) {
	f := newFixtureWith(t, 1, fixtureOptions{engines: true})
	f.announceVersion(0, "v1", 2)
	f.targets[0].Script(standin.Reset)
	_, first := f.send(http.MethodPost, "/streams/1", streamHeaders...)
	require.Equal(t, 1, f.runs(first))
	f.targets[0].SetVersion("v2")
	f.targets[0].SetStart(3)
	response, id := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Zero(t, f.runs(id))

	f.announceVersion(0, "v2", 3)
	response, id = f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.NoError(t, standin.CheckStream(response.body, 3))
	response, _ = f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.NoError(t, standin.CheckStream(response.body, 3), "a target that states the known start is used")
	o, _ := f.origins.Find(origin.Hash("guild", id))
	require.Equal(t, origin.Software("v2", "", 0), o.Software)
}

// Guards against a stream that is on record with the version of an earlier start, because this instance, which was
// out of step, has not heard of the target's later start and no connection to it has failed.
func TestUnheardStartBeginsNoStreamWithoutAFailedConnection(t *testing.T) {
	f := newFixtureWith(t, 2, fixtureOptions{engines: true})
	f.announceVersion(0, "v1", 2)
	f.announceVersion(1, "v1", 2)
	response, _ := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.NoError(t, standin.CheckStream(response.body, 3))
	for _, target := range f.targets {
		target.Restart()
		target.SetVersion("v2")
		target.SetStart(3)
	}
	response, id := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.Zero(t, f.runs(id))
	f.announceVersion(1, "v2", 3)
	response, id = f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.NoError(t, standin.CheckStream(response.body, 3))
	o, _ := f.origins.Find(origin.Hash("guild", id))
	require.Equal(t, origin.Software("v2", "", 0), o.Software)
}

// TestStreamOfATargetWithoutStartIsNotContinued has targets that do not answer which start of them runs: they begin
// streams, but these go on nowhere.
func TestStreamOfATargetWithoutStartIsNotContinued(t *testing.T) {
	f := newFixtureWith(t, 2, fixtureOptions{engines: true})
	f.announceVersion(0, "v1", 2)
	f.announceVersion(1, "v1", 2)
	for _, target := range f.targets {
		target.SetStart(0)
		target.Script(standin.BreakFresh(1))
	}
	response, id := f.send(http.MethodPost, "/resumable/1", streamHeaders...)
	require.Error(t, response.err)
	require.Equal(t, 1, f.runs(id))
	o, found := f.origins.Find(origin.Hash("guild", id))
	require.True(t, found)
	require.Empty(t, o)
}

// TestUnknownVersionIsRefusedAtOnce checks that the refusal does not wait for the deadline.
func TestUnknownVersionIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, 2)
	f.announceVersion(0, "v1", 2)
	f.announceVersion(1, "v2", 2)
	began := time.Now()
	response := f.takeUp("never seen")
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, http.StatusServiceUnavailable, response.status)
	require.True(t, strings.Contains(response.body, "which software version"), response.body)
}
