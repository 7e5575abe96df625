package retry

import (
	"math"
	"time"
)

// A distribution estimates how long targets take, relative to what was expected of them, as a
// histogram whose observations lose half of their weight in timesHalfLife. The last bucket holds
// the weight of the waits that no response ends. A copy of it is an immutable snapshot.
type distribution struct {
	weights [timeBuckets + 1]float64
	at      time.Duration
}

const (
	// timeBuckets, firstBound and boundFactor define the bounds of the histogram: ratios from
	// 0.25 to 53 of the expected time.
	timeBuckets = 24
	firstBound  = 0.25
	boundFactor = 1.25
	// timesHalfLife is the half-life of observations. An entry instance sends some four requests
	// a second, and demand and the speed of targets change within 10 to 20 s.
	timesHalfLife = 20 * time.Second
	// priorWeight is the number of observations that the prior stands for before there are any; it
	// halves with priorFade of them. Its median and spread are those of an estimate that is often
	// off by a factor of two. priorNever is the part of sends that get no response at all, besides
	// those observed: targets die also after a time in which none did.
	priorWeight = 10
	priorFade   = 20
	priorMedian = 1.2
	priorSigma  = 0.6
	priorNever  = 0.005
)

// timeBounds holds the upper bounds of the finite buckets, and priorTimes the prior
// probabilities.
var timeBounds, priorTimes = newTimeBounds()

func newTimeBounds() (bounds [timeBuckets]float64, prior [timeBuckets]float64) {
	below := 0.0
	for i := range bounds {
		bounds[i] = firstBound * math.Pow(boundFactor, float64(i))
		cumulative := 1.0
		if i < timeBuckets-1 {
			cumulative = 0.5 * math.Erfc(-math.Log(bounds[i]/priorMedian)/(priorSigma*math.Sqrt2))
		}
		prior[i] = cumulative - below
		below = cumulative
	}
	return bounds, prior
}

func bucketOf(ratio float64) int {
	for i, bound := range timeBounds {
		if ratio <= bound {
			return i
		}
	}
	return timeBuckets - 1
}

// lowerBound returns the lower bound of a finite bucket.
func lowerBound(i int) float64 {
	if i == 0 {
		return 0
	}
	return timeBounds[i-1]
}

// middle returns the ratio that stands for a finite bucket above the given ratio.
func middle(i int, above float64) float64 { return (max(lowerBound(i), above) + timeBounds[i]) / 2 }

func (d *distribution) decay(now time.Duration) {
	if now <= d.at {
		return
	}
	factor := math.Exp2(-float64(now-d.at) / float64(timesHalfLife))
	for i := range d.weights {
		d.weights[i] *= factor
	}
	d.at = now
}

// observe adds a response that took ratio times the expected time.
func (d *distribution) observe(ratio float64, now time.Duration) {
	d.decay(now)
	d.weights[bucketOf(ratio)]++
}

// observeUnended adds a wait that was given up after ratio times the expected time. Its weight
// goes to the buckets above in proportion to their weight: without that, each wait given up would
// make the observed times shorter, and the next wait would be given up earlier.
func (d *distribution) observeUnended(ratio float64, state TargetState, now time.Duration) {
	d.decay(now)
	after, never := d.after(ratio, state)
	for i, mass := range after {
		d.weights[i] += mass
	}
	d.weights[timeBuckets] += never
}

// after returns the probability of each finite bucket, and that of no response, given that there
// has been none after ratio times the expected time.
func (d *distribution) after(ratio float64, state TargetState) (masses [timeBuckets]float64, never float64) {
	observed := 0.0
	for _, weight := range d.weights[:timeBuckets] {
		observed += weight
	}
	prior := priorWeight / (1 + observed/priorFade)
	never = (d.weights[timeBuckets] + priorNever*(observed+prior)) * state.neverFactor()
	total := never
	for i := range masses {
		if timeBounds[i] <= ratio {
			continue
		}
		low := lowerBound(i)
		part := (timeBounds[i] - max(low, ratio)) / (timeBounds[i] - low)
		masses[i] = part * (d.weights[i] + prior*priorTimes[i])
		total += masses[i]
	}
	for i := range masses {
		masses[i] /= total
	}
	return masses, never / total
}

// A TargetState says what is known of a target while a response from it is awaited.
type TargetState int

const (
	// NotHeard means that the target answered nothing to this instance since the request was sent.
	NotHeard TargetState = iota
	// Answering means that the target answered something since then: it is busy, not gone.
	Answering
	// Silent means that no instance has heard from the target lately.
	Silent
)

// String returns the state as it is logged.
func (s TargetState) String() string {
	return [...]string{"not_heard", "answering", "silent"}[s]
}

// neverFactor returns by how much the state changes the odds that no response comes.
func (s TargetState) neverFactor() float64 {
	switch s {
	case Answering:
		return 0.05
	case Silent:
		return 20
	}
	return 1
}
