package route

import (
	"math"
	"sync"
	"time"
)

const (
	// speedPeriod is how long a stated work factor is valid at most: targets draw a new one
	// after this time.
	speedPeriod = 600 * time.Millisecond
	// speedMemory is the time constant with which figures lose their weight in the usual
	// factor of a target, so that it follows a target that moves to another machine.
	speedMemory = 12 * time.Second
	// priorPeriods is the number of periods that the mean of the service stands for in the
	// usual factor of a target.
	priorPeriods = 2
	// speedSpread is the standard deviation of stated factors: targets of 0.6, 1.0 and 1.6
	// of the usual duration, 15% of them 2.5 times slower for a period, give about 0.5.
	speedSpread = 0.5
	// uncertaintyWeight is the number of standard errors of the usual factor that are added
	// in comparisons. A target without a figure costs 7% more than one that is known well,
	// which does not keep requests from it when others have a queue.
	uncertaintyWeight = 0.2
	// minWorkFactor and maxWorkFactor bound the factors that are used.
	minWorkFactor = 0.05
	maxWorkFactor = 20
)

// A speed holds the work factors that one target stated: how long work takes there,
// relative to the usual duration. It is safe for concurrent use.
type speed struct {
	mutex  sync.Mutex
	stated float64
	at     time.Time
	// ownAt is when this instance last got a figure from the target itself.
	ownAt time.Time
	// sum and weight hold the stated factors, each weighed by the part of a period since
	// the one before.
	sum, weight float64
}

// record stores the factor that the target stated at the given time, and reports whether
// that is news.
func (s *speed) record(factor float64, at time.Time) bool {
	if !(factor > 0) {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !at.After(s.at) {
		return false
	}
	factor = min(maxWorkFactor, max(minWorkFactor, factor))
	since := at.Sub(s.at)
	part := min(1, float64(since)/float64(speedPeriod))
	kept := math.Exp(-float64(since) / float64(speedMemory))
	s.sum, s.weight = s.sum*kept+part*factor, s.weight*kept+part
	s.stated, s.at = factor, at
	return true
}

// expected returns the mean factor that is expected from now until the horizon has passed,
// given the mean of the service, and the standard error of the target's usual factor.
func (s *speed) expected(now time.Time, horizon time.Duration, mean float64) (factor, uncertainty float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.at.IsZero() {
		return mean, speedSpread / math.Sqrt(priorPeriods)
	}
	age := max(0, now.Sub(s.at))
	kept := math.Exp(-float64(age) / float64(speedMemory))
	weight := priorPeriods + s.weight*kept
	usual := (priorPeriods*mean + s.sum*kept) / weight
	return usual + (s.stated-usual)*validity(age, horizon), speedSpread / math.Sqrt(weight)
}

// latest returns the last stated factor with its age, or 0 unless it is younger than the limit
// and the target stated it to this instance.
func (s *speed) latest(now time.Time, limit time.Duration) (factor float64, age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	age = max(0, now.Sub(s.at))
	if s.at.IsZero() || !s.at.Equal(s.ownAt) || age > limit {
		return 0, 0
	}
	return s.stated, age
}

// age returns the time since a figure was stated.
func (s *speed) age(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return now.Sub(s.at)
}

// markOwn records that this instance got the figure of that time from the target itself.
func (s *speed) markOwn(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ownAt = at
}

// inherit takes over what the other speed holds.
func (s *speed) inherit(other *speed) {
	other.mutex.Lock()
	stated, at, sum, weight := other.stated, other.at, other.sum, other.weight
	other.mutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stated, s.at, s.sum, s.weight = stated, at, sum, weight
}

// validity returns the mean probability, from the age until the horizon has passed, that a
// figure of that age still holds. At a random time in its period, a figure holds for
// another time a with the probability 1 - a/speedPeriod.
func validity(age, horizon time.Duration) float64 {
	a, h := float64(age)/float64(speedPeriod), float64(horizon)/float64(speedPeriod)
	if a >= 1 {
		return 0
	}
	if h <= 0 {
		return 1 - a
	}
	end := min(1, a+h)
	return ((end - a) - (end*end-a*a)/2) / h
}

// RecordSpeed stores the work factor that the target stated to this instance. A factor that is
// not above 0 is ignored.
func (m *CostModel) RecordSpeed(t *Target, factor float64, at time.Time) {
	if t.speed.record(factor, at) {
		t.speed.markOwn(at)
		m.recordFactor(factor, at)
	}
}

// RecordSharedSpeed stores the work factor that the target stated to another instance.
func (m *CostModel) RecordSharedSpeed(t *Target, factor float64, at time.Time) {
	if t.speed.record(factor, at) {
		m.recordFactor(factor, at)
	}
}

// LatestSpeed returns the work factor that the target stated last, to this instance, with its
// age, or 0 if none is recent enough to be of use to other instances.
func (t *Target) LatestSpeed(now time.Time) (factor float64, age time.Duration) {
	return t.speed.latest(now, speedPeriod)
}
