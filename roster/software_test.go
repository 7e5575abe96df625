package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/origin"
	"auburnscale/peer"
)

func versionRow(id, address, version string, start int64, seq uint64) *peer.TargetRow {
	r := row(id, address, start, seq)
	r.SoftwareVersion = version
	return r
}

// seen returns the software of the service with its ages.
func seen(r *Roster) map[string]time.Duration {
	list, _ := r.SoftwareSeen("desk")
	ages := map[string]time.Duration{}
	for _, s := range list {
		ages[s.Origin.Software] = s.Age
	}
	return ages
}

func software(version string) string { return origin.Software(version, "", 0) }

// TestVersionBelongsToOneStart checks that a heartbeat without a version takes none away, that two
// versions of one start leave it without one, and that a later start has its own.
func TestVersionBelongsToOneStart(t *testing.T) {
	r, _ := newRoster()
	r.UpdateTarget(versionRow("e1", "1:1", "", 10, 1))
	r.UpdateTarget(versionRow("e1", "1:1", "v1", 10, 2))
	require.Equal(t, "v1", r.Snapshot().Target("e1").SoftwareVersion)
	r.UpdateTarget(versionRow("e1", "1:1", "", 10, 3))
	require.Equal(t, "v1", r.Snapshot().Target("e1").SoftwareVersion)
	r.UpdateTarget(versionRow("e1", "1:1", "v2", 10, 4))
	require.Empty(t, r.Snapshot().Target("e1").SoftwareVersion)
	require.True(t, r.Snapshot().Target("e1").VersionDisputed)
	r.UpdateTarget(versionRow("e1", "1:1", "v1", 10, 5))
	require.Empty(t, r.Snapshot().Target("e1").SoftwareVersion, "a dispute does not end")
	r.UpdateTarget(versionRow("e1", "1:1", "v3", 11, 1))
	require.Equal(t, "v3", r.Snapshot().Target("e1").SoftwareVersion)
	require.False(t, r.Snapshot().Target("e1").VersionDisputed)
	r.UpdateTarget(&peer.TargetRow{Id: "e1", State: peer.TargetRow_GONE})
	require.Equal(t, "v3", r.Snapshot().Target("e1").SoftwareVersion, "a deregistration names none")
}

// TestSoftwareThatServed checks how long it is remembered which software served: of targets that end,
// start again under their id, lose their address, or fall silent.
func TestSoftwareThatServed(t *testing.T) {
	r, c := newRoster()
	r.UpdateTarget(versionRow("e1", "1:1", "v1", 10, 1))
	r.UpdateTarget(versionRow("e2", "1:2", "v2", 10, 1))
	r.UpdateTarget(versionRow("e3", "1:3", "v3", 10, 1))
	r.UpdateTarget(versionRow("e4", "1:4", "v4", 10, 1))
	r.UpdateTarget(versionRow("e5", "1:5", "", 10, 1))
	c.at += 4 * time.Second
	r.UpdateTarget(versionRow("e1", "1:1", "v9", 20, 1))
	r.UpdateTarget(&peer.TargetRow{Id: "e2", State: peer.TargetRow_GONE})
	r.UpdateTarget(versionRow("e6", "1:3", "v9", 20, 1))
	r.UpdateTarget(versionRow("e5", "1:5", "v5", 10, 2))
	c.at += 3 * time.Second
	r.Tick()
	require.Equal(t, map[string]time.Duration{
		software("v9"): 0, software("v5"): 0, software("v1"): 3 * time.Second, software("v2"): 3 * time.Second, software("v3"): 3 * time.Second,
		software("v4"): 7 * time.Second,
	}, seen(r))
	_, covered := r.SoftwareSeen("desk")
	require.Equal(t, 7*time.Second, covered)

	// An instance that starts now learns of targets that have ended.
	rows, _ := r.Rows(0)
	later := New(c.now, 5*time.Second)
	later.Merge(rows)
	require.Contains(t, seen(later), software("v2"))
	require.Contains(t, seen(later), software("v9"))
	_, covered = later.SoftwareSeen("desk")
	require.Zero(t, covered)

	c.at += softwareRetention
	r.Tick()
	require.NotContains(t, seen(r), software("v1"))
}

// TestManyVersionsAreBounded checks that the memory of software does not grow with the number of
// versions, and that what was forgotten does not count as covered.
func TestManyVersionsAreBounded(t *testing.T) {
	r, c := newRoster()
	for i := range 2 * maxSoftware {
		c.at += time.Millisecond
		r.UpdateTarget(versionRow("e1", "1:1", fmt.Sprint("v", i), int64(10+i), 1))
	}
	require.LessOrEqual(t, len(seen(r)), maxSoftware+1)
	_, covered := r.SoftwareSeen("desk")
	require.Equal(t, (maxSoftware)*time.Millisecond, covered)
}

// TestDrainingTimeSpreads checks that an instance counts the time for which a target drains from when
// the first instance learned of it.
func TestDrainingTimeSpreads(t *testing.T) {
	a, c := newRoster()
	a.UpdateTarget(versionRow("e1", "1:1", "v1", 10, 1))
	draining := versionRow("e1", "1:1", "v1", 10, 2)
	draining.State = peer.TargetRow_DRAINING
	a.UpdateTarget(draining)
	c.at += 700 * time.Millisecond
	b := New(c.now, 5*time.Second)
	rows, _ := a.Rows(0)
	b.Merge(rows)
	for _, r := range []*Roster{a, b} {
		since, drains := r.DrainingFor("e1", 10)
		require.True(t, drains)
		require.Equal(t, 700*time.Millisecond, since)
		_, drains = r.DrainingFor("e1", 11)
		require.False(t, drains)
	}
	again := versionRow("e1", "1:1", "v1", 10, 3)
	again.State = peer.TargetRow_DRAINING
	b.UpdateTarget(again)
	since, _ := b.DrainingFor("e1", 10)
	require.Equal(t, 700*time.Millisecond, since, "a later heartbeat does not begin it anew")
}
