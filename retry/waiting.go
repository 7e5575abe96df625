package retry

import (
	"math"
	"sync"
	"time"
)

// A WaitStage says what of a target is awaited. Each stage has its own distribution of times.
type WaitStage int

// The stages.
const (
	// PrefillStage awaits a prompt that another target prefills.
	PrefillStage WaitStage = iota
	// TransferStage awaits the first event after a KV cache transfer.
	TransferStage
	// FirstEventStage awaits the first event of a stream that its target prefills itself.
	FirstEventStage
	// PlainStage awaits the response to a plain request that may be repeated.
	PlainStage
	waitStages
)

// String returns the stage as it is logged.
func (s WaitStage) String() string {
	return [...]string{"prefill", "transfer", "first_event", "plain"}[s]
}

// Conditions are the facts on which the decision to wait for a target depends.
type Conditions struct {
	// Age is the time since the request arrived. Objective and Limit are the ages from which a
	// response is late and worthless.
	Age, Objective, Limit time.Duration
	// Waited is the time since the request was sent to the target.
	Waited time.Duration
	// Elsewhere is the time that another target is expected to take.
	Elsewhere time.Duration
	State     TargetState
}

const (
	// lateLoss is the loss of a response that comes exactly at its objective; one at the limit
	// has a loss of 1.
	lateLoss = 0.1
	// repeatLoss is the loss that sending a request once more causes other requests, which wait
	// behind it.
	repeatLoss = 0.03
	// minTimeScale is added to expected times: transport and scheduling take as long also where
	// the work itself takes no time.
	minTimeScale = 30 * time.Millisecond
	// minFactor and maxFactor bound how much slower than its service a target is taken to be.
	// factorPrior is the number of observations after which half of the difference counts.
	minFactor   = 0.5
	maxFactor   = 4.0
	factorPrior = 4.0
	// abandonRatio is the part of a service's sends that may be given up, and maxAbandons the
	// number that may be given up at once: each one costs another target the same work again.
	abandonRatio = 0.03
	maxAbandons  = 2.0
	// maxTimedTargets bounds the targets, and the groups, whose times are kept. All are dropped when it
	// is reached.
	maxTimedTargets = 4096
)

// loss returns the loss of a response that comes after the given time from now.
func (c Conditions) loss(after time.Duration) float64 {
	age, objective := c.Age+after, min(c.Objective, c.Limit)
	switch {
	case age >= c.Limit:
		return 1
	case age <= objective:
		return lateLoss * float64(age) / float64(max(1, objective))
	}
	return lateLoss + (1-lateLoss)*float64(age-objective)/float64(c.Limit-objective)
}

// repeatedLoss returns the expected loss if another target is used after the given time from now.
func (d *distribution) repeatedLoss(c Conditions, after time.Duration) float64 {
	masses, never := d.after(0, NotHeard)
	sum := repeatLoss + never
	for i, mass := range masses {
		sum += mass * c.loss(after+time.Duration(middle(i, 0)*float64(c.Elsewhere+minTimeScale)))
	}
	return sum
}

// keepWaiting returns how much longer to wait for a target at least: 0 if another target should be
// used now. scale is the time that is expected of the target. Each time up to which the wait can
// go on is compared: the response comes before it, or another target is used then.
func (d *distribution) keepWaiting(c Conditions, scale time.Duration) time.Duration {
	ratio := float64(c.Waited) / float64(scale)
	masses, never := d.after(ratio, c.State)
	left := c.Limit - c.Age
	best, bestLoss := time.Duration(0), d.repeatedLoss(c, 0)
	// answered is the expected loss of the responses up to a bucket, and open the probability of
	// none up to there.
	answered, open := 0.0, 1.0
	for i, mass := range masses {
		if timeBounds[i] <= ratio {
			continue
		}
		until := time.Duration((timeBounds[i] - ratio) * float64(scale))
		answered += mass * c.loss(time.Duration((middle(i, ratio)-ratio)*float64(scale)))
		open -= mass
		if until >= left {
			break
		}
		if loss := answered + open*d.repeatedLoss(c, until); loss < bestLoss {
			best, bestLoss = until, loss
		}
	}
	stay := never
	for i, mass := range masses {
		stay += mass * c.loss(time.Duration((middle(i, ratio)-ratio)*float64(scale)))
	}
	if stay < bestLoss {
		return max(left, 1)
	}
	return best
}

// Waiting decides how long an instance waits for targets that do not respond, from the times that
// it observed. Times are kept by group and stage relative to what was expected, and by target as
// a factor. The rate at which waits are given up is bounded. It is safe for concurrent use.
type Waiting struct {
	mode string

	mutex    sync.Mutex
	groups   map[string]*groupTimes
	targets  map[string]*targetTimes
	abandons map[string]float64
}

// groupTimes holds the times of requests that take alike: those to a service, or on one route.
type groupTimes struct {
	stages [waitStages]distribution
	// means holds the mean logarithm of the ratios of each stage, over all targets.
	means [waitStages]decayingMean
}

type targetTimes struct {
	means      [waitStages]decayingMean
	answeredAt time.Duration
}

// A decayingMean is the mean of values that lose half of their weight in timesHalfLife.
type decayingMean struct {
	sum, weight float64
	at          time.Duration
}

func (m *decayingMean) add(value float64, now time.Duration) {
	if now > m.at {
		factor := math.Exp2(-float64(now-m.at) / float64(timesHalfLife))
		m.sum, m.weight, m.at = m.sum*factor, m.weight*factor, now
	}
	m.sum += value
	m.weight++
}

func (m *decayingMean) mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// NewWaiting returns a Waiting without observations. mode is "auto", "on" or "off".
func NewWaiting(mode string) *Waiting {
	return &Waiting{mode: mode, groups: map[string]*groupTimes{}, targets: map[string]*targetTimes{}, abandons: map[string]float64{}}
}

// Active reports whether waits at a service are bounded by observed times. With "auto" they are if
// its targets state their speed. A nil Waiting is never active.
func (w *Waiting) Active(statesSpeed bool) bool {
	return w != nil && (w.mode == "on" || w.mode == "auto" && statesSpeed)
}

// group returns the times of the group. w.mutex must be held.
func (w *Waiting) group(name string) *groupTimes {
	s := w.groups[name]
	if s == nil {
		if len(w.groups) >= maxTimedTargets {
			clear(w.groups)
		}
		s = &groupTimes{}
		w.groups[name] = s
	}
	return s
}

// target returns the times of the target. w.mutex must be held.
func (w *Waiting) target(name string) *targetTimes {
	t := w.targets[name]
	if t == nil {
		if len(w.targets) >= maxTimedTargets {
			clear(w.targets)
		}
		t = &targetTimes{}
		w.targets[name] = t
	}
	return t
}

// Answered records that the target sent this instance something.
func (w *Waiting) Answered(target string, now time.Duration) {
	if w == nil {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.target(target).answeredAt = now
}

// A Wait is a request's wait for one target. It is safe for concurrent use.
type Wait struct {
	waiting         *Waiting
	service, target string
	group           string
	stage           WaitStage
	sent            time.Duration
	expected        time.Duration
	scale           time.Duration
}

// Begin starts the wait for a target of the service that a request was sent to, and that is expected
// to take the given time. Times are compared with those of the group.
func (w *Waiting) Begin(service, group, target string, stage WaitStage, expected, now time.Duration) *Wait {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, known := w.abandons[service]; !known {
		if len(w.abandons) >= maxTimedTargets {
			clear(w.abandons)
		}
		w.abandons[service] = 1
	}
	w.abandons[service] = min(maxAbandons, w.abandons[service]+abandonRatio)
	s := w.group(group)
	base := expected + minTimeScale
	mean := &w.target(target).means[stage]
	difference := (mean.mean() - s.means[stage].mean()) * mean.weight / (mean.weight + factorPrior)
	factor := min(maxFactor, max(minFactor, math.Exp(difference)))
	return &Wait{waiting: w, service: service, group: group, target: target, stage: stage, sent: now, expected: base, scale: time.Duration(factor * float64(base))}
}

// Stage returns what is awaited.
func (w *Wait) Stage() WaitStage { return w.stage }

// State returns what is known of the target. silent tells that no instance has heard from it
// lately.
func (w *Wait) State(silent bool) TargetState {
	w.waiting.mutex.Lock()
	defer w.waiting.mutex.Unlock()
	switch {
	case w.waiting.target(w.target).answeredAt > w.sent:
		return Answering
	case silent:
		return Silent
	}
	return NotHeard
}

// KeepWaiting returns how much longer to wait before the next decision: 0 if using another target
// now costs the caller less.
func (w *Wait) KeepWaiting(c Conditions, now time.Duration) time.Duration {
	w.waiting.mutex.Lock()
	s := w.waiting.group(w.group)
	s.stages[w.stage].decay(now)
	snapshot := s.stages[w.stage]
	w.waiting.mutex.Unlock()
	c.Waited = now - w.sent
	return snapshot.keepWaiting(c, w.scale)
}

// Responded records that the target's response came.
func (w *Wait) Responded(now time.Duration) {
	w.waiting.mutex.Lock()
	defer w.waiting.mutex.Unlock()
	took := now - w.sent
	s, t := w.waiting.group(w.group), w.waiting.target(w.target)
	s.stages[w.stage].observe(float64(took)/float64(w.scale), now)
	raw := math.Log(max(float64(took), float64(time.Millisecond)) / float64(w.expected))
	s.means[w.stage].add(raw, now)
	t.means[w.stage].add(raw, now)
	t.answeredAt = now
}

// Unended records that the wait ended without a response, for another reason than the target's
// failure.
func (w *Wait) Unended(state TargetState, now time.Duration) {
	w.waiting.mutex.Lock()
	defer w.waiting.mutex.Unlock()
	w.waiting.group(w.group).stages[w.stage].observeUnended(float64(now-w.sent)/float64(w.scale), state, now)
}

// TryAbandon reports whether the wait may be given up within the bound on such waits, and if so
// counts it.
func (w *Wait) TryAbandon() bool {
	w.waiting.mutex.Lock()
	defer w.waiting.mutex.Unlock()
	if w.waiting.abandons[w.service] < 1 {
		return false
	}
	w.waiting.abandons[w.service]--
	return true
}
