package route

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// A CostMode says when placement weighs predicted costs.
type CostMode int

const (
	// CostAuto weighs costs while targets of the service state their speed.
	CostAuto CostMode = iota
	// CostOn always weighs costs.
	CostOn
	// CostOff never does.
	CostOff
)

// ParseCostMode returns the mode of that name in the settings.
func ParseCostMode(name string) (CostMode, error) {
	switch name {
	case "auto":
		return CostAuto, nil
	case "on":
		return CostOn, nil
	case "off":
		return CostOff, nil
	}
	return CostOff, fmt.Errorf("unknown cost mode %q", name)
}

const (
	// statedTTL is how long a service counts as one whose targets state their speed. A
	// quiet service of 300 entries has a response at each within it.
	statedTTL = 30 * time.Second
	// costPrefillRate is the initial prefill rate of a prefill target in tokens a second,
	// and costMixedRate that of a target that also decodes, which prefills at half the speed.
	costPrefillRate = 37_900
	costMixedRate   = costPrefillRate / 2
	// ratePriorSeconds is the prefill time that the initial rate of the service stands for,
	// and targetPriorSeconds the one that the rate of the service stands for at a target:
	// an entry instance of a large fleet sees a target once in many seconds.
	ratePriorSeconds   = 1.0
	targetPriorSeconds = 1.0
	// rateMemorySeconds is the prefill time that is averaged.
	rateMemorySeconds = 20.0
	// maxTargetDeviation bounds the factor by which a target's observed rate differs from
	// that of the service.
	maxTargetDeviation = 4.0
	// minFirstEvent is the time to the first event without any prefill or queue.
	minFirstEvent = 19 * time.Millisecond
	// initialStep and initialStepPerRequest are the duration of one step of a batch and
	// what each running request adds to it, before there are observations.
	initialStep           = 4.63 / 1000
	initialStepPerRequest = 0.153 / 1000
	// stepPrior is the number of observations that they stand for, and stepMemory the number
	// that are averaged.
	stepPrior  = 20.0
	stepMemory = 500.0
	// typicalOutput and typicalRunTime are assumed before any request has ended.
	typicalOutput  = 150
	typicalRunTime = 0.1
	// meanWeight is the weight of one request in the mean work of a request.
	meanWeight = 0.02
)

// A CostModel holds what this instance learned of the costs of a service's requests. Rates
// and times are those at usual speed. It is safe for concurrent use.
type CostModel struct {
	outputs  *predictor
	runTimes *predictor

	mutex    sync.Mutex
	statedAt time.Time
	// factorSum and factorWeight hold the work factors that targets stated.
	factorSum, factorWeight float64
	prefill, mixed          rateSums
	steps                   stepSums
	// rest is the mean work of a request apart from its prefill, in seconds.
	rest float64
}

// rateSums holds decayed sums of prefilled tokens and the seconds that they took.
type rateSums struct{ tokens, seconds float64 }

func (r rateSums) rate() float64 { return r.tokens / r.seconds }

func (r *rateSums) add(tokens, seconds float64) {
	kept := math.Exp(-seconds / rateMemorySeconds)
	r.tokens, r.seconds = r.tokens*kept+tokens, r.seconds*kept+seconds
}

// stepSums holds the decayed sums of a linear regression of the duration of a step on the
// number of requests in the batch.
type stepSums struct{ n, x, xx, y, xy float64 }

func (s *stepSums) add(weight, x, y float64) {
	kept := 1 - weight/stepMemory
	s.n, s.x, s.xx = s.n*kept+weight, s.x*kept+weight*x, s.xx*kept+weight*x*x
	s.y, s.xy = s.y*kept+weight*y, s.xy*kept+weight*x*y
}

// line returns the duration of a step without requests and what each of them adds.
func (s stepSums) line() (base, perRequest float64) {
	if determinant := s.n*s.xx - s.x*s.x; determinant > 0 {
		perRequest = max(0, (s.n*s.xy-s.x*s.y)/determinant)
	}
	return max(0, (s.y-perRequest*s.x)/s.n), perRequest
}

// NewCostModel returns a model with initial figures.
func NewCostModel() *CostModel {
	m := &CostModel{
		outputs: newPredictor(typicalOutput), runTimes: newPredictor(typicalRunTime),
		prefill: rateSums{costPrefillRate * ratePriorSeconds, ratePriorSeconds}, mixed: rateSums{costMixedRate * ratePriorSeconds, ratePriorSeconds},
		rest: typicalOutput * initialStepPerRequest,
	}
	const fullBatch = 64
	for _, x := range []float64{1, fullBatch} {
		m.steps.add(stepPrior/2, x, initialStep+initialStepPerRequest*x)
	}
	return m
}

func (m *CostModel) recordFactor(factor float64, at time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if at.After(m.statedAt) {
		m.statedAt = at
	}
	// 500 figures are averaged: of each target of a large fleet, a few.
	const kept = 1 - 1.0/500
	m.factorSum, m.factorWeight = m.factorSum*kept+factor, m.factorWeight*kept+1
}

// SpeedStated reports whether a target of the service stated its speed lately.
func (f *Fleet) SpeedStated(now time.Time) bool {
	f.model.mutex.Lock()
	defer f.model.mutex.Unlock()
	return !f.model.statedAt.IsZero() && now.Sub(f.model.statedAt) < statedTTL
}

// meanFactor returns the mean work factor of the service's targets. m.mutex must be held.
func (m *CostModel) meanFactor() float64 {
	if m.factorWeight == 0 {
		return 1
	}
	return m.factorSum / m.factorWeight
}

// factor returns the work factor that is expected of the target from now until the horizon
// has passed, and the standard error of its usual factor.
func (m *CostModel) factor(t *Target, now time.Time, horizon time.Duration) (factor, uncertainty float64) {
	m.mutex.Lock()
	mean := m.meanFactor()
	m.mutex.Unlock()
	return t.speed.expected(now, horizon, mean)
}

// prefillTime returns the time in which the target prefills the tokens at usual speed.
func (m *CostModel) prefillTime(t *Target, tokens int64) time.Duration {
	m.mutex.Lock()
	rate := m.rateOf(t).rate()
	m.mutex.Unlock()
	return prefillTime(tokens, rate/t.deviation.factor())
}

// rateOf returns the sums of the targets of the stage. m.mutex must be held.
func (m *CostModel) rateOf(t *Target) *rateSums {
	if t.Decodes() {
		return &m.mixed
	}
	return &m.prefill
}

// deviation holds by which factor the prefills of one target take longer than those of its
// service at the speed that the target stated.
type deviation struct {
	mutex               sync.Mutex
	observed, predicted float64
}

func (d *deviation) factor() float64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return min(maxTargetDeviation, max(1/maxTargetDeviation, (targetPriorSeconds+d.observed)/(targetPriorSeconds+d.predicted)))
}

func (d *deviation) add(observed, predicted float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := math.Exp(-predicted / rateMemorySeconds)
	d.observed, d.predicted = d.observed*kept+observed, d.predicted*kept+predicted
}

// observePrefill records that the target prefilled the tokens, queued ones included, in the
// given time, which ended now.
func (m *CostModel) observePrefill(t *Target, tokens int64, took time.Duration, now time.Time) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	factor, _ := m.factor(t, now, 0)
	seconds := max(took-minFirstEvent, took/4).Seconds() / factor
	rate := min(maxPrefillRate, max(minPrefillRate, float64(tokens)/seconds))
	seconds = float64(tokens) / rate
	m.mutex.Lock()
	sums := m.rateOf(t)
	predicted := float64(tokens) / sums.rate()
	sums.add(float64(tokens), seconds)
	m.mutex.Unlock()
	t.deviation.add(seconds, predicted)
}

// step returns the duration of a step without requests and what each of them adds.
func (m *CostModel) step() (base, perRequest float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.steps.line()
}

// usualRest returns the mean work of a request apart from its prefill.
func (m *CostModel) usualRest() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Duration(m.rest * float64(time.Second))
}

// restWork returns the work of the request on the target that runs it, apart from its
// prefill: what its output adds to the steps of the batch, or its run time.
func (m *CostModel) restWork(p Prompt) time.Duration {
	if p.plain() {
		return p.RunTime
	}
	_, perRequest := m.step()
	return time.Duration(m.output(p) * perRequest * float64(time.Second))
}

// output returns the predicted number of output tokens of the request.
func (m *CostModel) output(p Prompt) float64 {
	if p.OutputTokens > 0 {
		return p.OutputTokens
	}
	return m.outputs.predict(nil, 0)
}

// PredictOutput returns the number of output tokens that is expected of a request with the
// keys of OutputKeys and the caller's hint; most, if above 0, is the largest possible one.
func (m *CostModel) PredictOutput(keys []uint64, hint, most float64) float64 {
	n := m.outputs.predict(keys, hint)
	if most > 0 {
		n = min(n, most)
	}
	return max(1, n)
}

// ObserveOutput records that a stream of the target ended after the number of tokens, which
// took the given time from the first one. The batch is taken to have been as large as now.
func (m *CostModel) ObserveOutput(t *Target, keys []uint64, hint, tokens float64, took time.Duration, now time.Time) {
	m.outputs.observe(keys, hint, tokens)
	requests := t.outstanding(m, now).requests
	factor, _ := m.factor(t, now, 0)
	_, perRequest := m.step()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rest += meanWeight * (tokens*perRequest - m.rest)
	if tokens >= minStepTokens && took > 0 {
		m.steps.add(1, max(1, requests), min(maxStep, took.Seconds()/tokens/factor))
	}
}

// minStepTokens is the number of tokens of the shortest stream that updates the steps.
const minStepTokens = 16

// maxStep bounds an observed step, since a stalled stream tells nothing of steps.
const maxStep = 0.2

// PredictRunTime returns the expected run time of a request without a prompt, with the keys of
// PathKeys, at usual speed.
func (m *CostModel) PredictRunTime(keys []uint64) time.Duration {
	return time.Duration(m.runTimes.predict(keys, 0) * float64(time.Second))
}

// ObserveRunTime records that the target answered a request without a prompt in the given time. A
// time that may include a wait for a slot is ignored.
func (m *CostModel) ObserveRunTime(t *Target, keys []uint64, took time.Duration, now time.Time) {
	if r := t.report.Load(); r != nil && r.waiting > 0 && now.Sub(r.at) <= reportTTL {
		return
	}
	factor, _ := m.factor(t, now, 0)
	seconds := took.Seconds() / factor
	m.runTimes.observe(keys, 0, seconds)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.rest += meanWeight * (seconds - m.rest)
}
