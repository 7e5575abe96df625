package permit

import (
	"math"
	"time"
)

// A target tolerates, in any toleranceWindow, toleratedRatio times what its limit allows and
// toleratedExtra requests more.
const (
	toleranceWindow = 4 * time.Second
	toleratedRatio  = 1.5
	toleratedExtra  = 5
)

// takeOwnPart decides without a leader. The own part of the limit is one request in the time in
// which the limit allows one for each instance, so that all of them together keep to it. Where
// there are too many instances for that they send none.
func (g *Gate) takeOwnPart(k key, perSecond float64, wait time.Duration) Decision {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	perSecond = max(minPerSecond, perSecond)
	now := g.now()
	if !ownPartsFit(g.instances, perSecond) || now-g.lostAt < ownPartDelay {
		return Decision{wait: wait, reason: NoLeader}
	}
	interval := time.Duration(float64(g.instances) / perSecond * float64(time.Second))
	from, known := g.ownPart[k]
	if !known {
		from = g.lostAt + ownPartDelay + interval
		g.ownPart[k] = from
	}
	if now < from {
		return Decision{wait: max(wait, from-now), reason: OwnPart}
	}
	g.ownPart[k] = now + interval
	return Decision{allowed: true, reason: OwnPart}
}

// ownPartsFit reports whether so many instances may each use their own part of the limit: in any
// toleranceWindow all of them together send no more than a target tolerates, even if each begins at
// the same moment.
func ownPartsFit(instances int, perSecond float64) bool {
	if instances == 0 {
		return false
	}
	n, allowed := float64(instances), perSecond*toleranceWindow.Seconds()
	return n*(math.Floor(allowed/n)+1) <= toleratedRatio*allowed+toleratedExtra
}
