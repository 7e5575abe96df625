package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/roster"
	"auburnscale/route"
)

// TestCutOffDomainIsLeftAlone follows a failure domain that is cut off while
// requests go on, and comes back. Load pattern: a domain cut off in a burst, so
// that the entries beside it would try each of its targets in turn.
func TestCutOffDomainIsLeftAlone(t *testing.T) {
	r := newReach()
	now := time.Now()
	require.Zero(t, r.unanswered("d1", "a", now), "one target may have crashed")
	require.Zero(t, r.unanswered("d1", "a", now), "the same again tells nothing")
	require.Zero(t, r.unanswered("d2", "x", now), "another domain")
	require.Equal(t, firstDark, r.unanswered("d1", "b", now.Add(200*time.Millisecond)))
	require.Equal(t, 2*firstDark, r.unanswered("d1", "a", now.Add(time.Second)), "one try is enough to see that it goes on")
	require.Equal(t, longestDark, r.unanswered("d1", "b", now.Add(2*time.Second)))
	require.True(t, r.answered("d1"))
	require.False(t, r.answered("d1"))
	require.Zero(t, r.unanswered("d1", "c", now.Add(3*time.Second)))
}

func TestSilencesFarApartAreNoCut(t *testing.T) {
	r := newReach()
	now := time.Now()
	require.Zero(t, r.unanswered("d1", "a", now))
	require.Zero(t, r.unanswered("d1", "b", now.Add(2*silentSpan)))
	r.answered("d1")
	require.Zero(t, r.unanswered("d1", "a", now.Add(2*silentSpan)), "somebody answered in between")
}

// TestOwnDomainIsNeverCutOff has two targets beside the instance fall silent, and
// two of another domain.
func TestOwnDomainIsNeverCutOff(t *testing.T) {
	f := NewFleets("d0", route.Placer{}, event.Nop())
	r := roster.New(func() time.Duration { return time.Minute }, time.Hour)
	for i, domain := range []string{"d0", "d0", "d0", "d1", "d1", "d1"} {
		name := string(rune('a' + i))
		r.UpdateTarget(&peer.TargetRow{Id: name, Service: "desk", Address: "127.0.0.1:" + string(rune('1'+i)), Domain: domain, Slots: 8, State: peer.TargetRow_READY, BornMs: 1, Seq: 1})
	}
	now := time.Now()
	f.Refresh(r.Snapshot(), []string{"desk"}, now)
	silent := map[string]bool{"a": true, "b": true, "d": true, "e": true}
	for _, target := range f.Fleet("desk").Targets() {
		if silent[target.Name()] {
			f.Unanswered(target, now)
		}
	}
	takes := func(at time.Time) (names string) {
		for _, target := range f.Fleet("desk").Targets() {
			if f.Fleet("desk").Available(target, at) {
				names += target.Name()
			}
		}
		return names
	}
	require.Equal(t, "abc", takes(now), "the third one of the other domain rests with it")
	require.Equal(t, "abcdef", takes(now.Add(firstDark)))
}
