package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/origin"
	"auburnscale/peer"
	"auburnscale/permit"
	"auburnscale/roster"
)

// TestUnreachableDomainIsAvoided checks that a failure domain is avoided while it is
// unreachable and used again after a response. Load pattern: a failure domain becomes
// unreachable during a burst, so that entry instances elsewhere would try each of its
// targets in turn.
func TestUnreachableDomainIsAvoided(t *testing.T) {
	r := newReachability()
	now := time.Now()
	require.Zero(t, r.connectTimedOut("d1", "a", now), "a single target may have crashed")
	require.Zero(t, r.connectTimedOut("d1", "a", now), "the same target again adds no information")
	require.Zero(t, r.connectTimedOut("d2", "x", now), "another domain")
	require.Equal(t, minAvoidTime, r.connectTimedOut("d1", "b", now.Add(200*time.Millisecond)))
	require.Equal(t, 2*minAvoidTime, r.connectTimedOut("d1", "a", now.Add(time.Second)), "one time-out is enough to extend the time")
	require.Equal(t, maxAvoidTime, r.connectTimedOut("d1", "b", now.Add(2*time.Second)))
	require.True(t, r.responded("d1"))
	require.False(t, r.responded("d1"))
	require.Zero(t, r.connectTimedOut("d1", "c", now.Add(3*time.Second)))
}

func TestDistantTimeoutsAreIgnored(t *testing.T) {
	r := newReachability()
	now := time.Now()
	require.Zero(t, r.connectTimedOut("d1", "a", now))
	require.Zero(t, r.connectTimedOut("d1", "b", now.Add(2*unreachableWindow)))
	r.responded("d1")
	require.Zero(t, r.connectTimedOut("d1", "a", now.Add(2*unreachableWindow)), "a target responded in between")
}

// TestOwnDomainIsNeverAvoided checks that time-outs of two targets make the gateway
// avoid their failure domain, but not if it is the gateway's own.
func TestOwnDomainIsNeverAvoided(t *testing.T) {
	f := NewFleets(FleetsConfig{FailureDomain: "d0"}, nil, permit.NewGate(clock.Now, nil), origin.NewJournal(clock.Now), event.Nop())
	r := roster.New(func() time.Duration { return time.Minute }, time.Hour)
	for i, domain := range []string{"d0", "d0", "d0", "d1", "d1", "d1"} {
		name := string(rune('a' + i))
		r.UpdateTarget(&peer.TargetRow{Id: name, Service: "desk", Address: "127.0.0.1:" + string(rune('1'+i)), Domain: domain, Slots: 8, State: peer.TargetRow_READY, BornMs: 1, Seq: 1})
	}
	now := time.Now()
	f.Refresh(r.Snapshot(), []string{"desk"}, now)
	timedOut := map[string]bool{"a": true, "b": true, "d": true, "e": true}
	for _, target := range f.Fleet("desk").Targets() {
		if timedOut[target.Name()] {
			f.ConnectTimedOut(target, now)
		}
	}
	available := func(at time.Time) (names string) {
		for _, target := range f.Fleet("desk").Targets() {
			if f.Fleet("desk").Available(target, at) {
				names += target.Name()
			}
		}
		return names
	}
	require.Equal(t, "abc", available(now), "the third target of the other domain is avoided too")
	require.Equal(t, "abcdef", available(now.Add(minAvoidTime)))
}
