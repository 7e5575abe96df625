package route

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Prompt holds the properties of a prompt that placement uses.
type Prompt struct {
	// Blocks holds the chained hashes of the prefix blocks that other requests may
	// share. BlockEnds holds, for each block, the prompt's length in tokens up to
	// the block's end.
	Blocks    []uint64
	BlockEnds []int64
	// TotalTokens is the length of the whole prompt, shared or not.
	TotalTokens int64
	// OutputTokens is the predicted number of output tokens, and RunTime the predicted run
	// time at usual speed of a request without a prompt; 0 if there is no prediction.
	OutputTokens float64
	RunTime      time.Duration
}

// A Placement represents the targets chosen for a request.
type Placement struct {
	// DecodeTarget generates the response. It is nil if no target is available.
	DecodeTarget *Target
	// PrefillTarget, if not nil, prefills the prompt first; its KV cache is then
	// transferred to DecodeTarget. If it is nil, DecodeTarget prefills as well.
	PrefillTarget *Target
	// FirstEvent is the estimated time to the first event of the response.
	FirstEvent time.Duration
	// PrefillTokens is the number of prompt tokens that the target which prefills
	// is not expected to have in its cache.
	PrefillTokens int64
	// Completion is the expected time to the end of the response; 0 if costs are not weighed.
	Completion time.Duration
	// PrefillWork and RestWork are the predicted work at usual speed of the prefill and of all
	// else; 0 if costs are not weighed.
	PrefillWork, RestWork time.Duration
	// model, if not nil, learns from the observed prefill.
	model *CostModel
	// queuedTokens is the number of tokens that the target prefills before this
	// prompt. rates holds the averages that Observe updates.
	queuedTokens int64
	rates        *Rates
	// cost is FirstEvent plus the delay that the placement causes other requests.
	cost time.Duration
}

// Observe updates the prefill rates with the time that this placement's prefill
// took, which ended now.
func (p Placement) Observe(took time.Duration, now time.Time) {
	if p.model != nil {
		t := p.DecodeTarget
		if p.PrefillTarget != nil {
			t = p.PrefillTarget
		}
		p.model.observePrefill(t, p.queuedTokens+p.PrefillTokens, took, now)
	}
	if p.rates != nil {
		p.rates.Observe(p.queuedTokens+p.PrefillTokens, took, p.PrefillTarget != nil)
	}
}

// A Placer chooses targets by estimated cost. It compares every target of a small
// fleet and a sample of a large one.
type Placer struct {
	// TransferDelay is the time to transfer a prompt's KV cache between targets.
	TransferDelay time.Duration
	// RemoteDelay is the extra time to reach a target in another failure domain.
	RemoteDelay time.Duration
	// CrossDomainDelay is the extra time to transfer a KV cache to another failure
	// domain.
	CrossDomainDelay time.Duration
	// Cost says when predicted costs are weighed.
	Cost CostMode
	// RandIntN returns a random number in [0, n). If nil, rand.IntN is used.
	RandIntN func(n int) int
}

const (
	// mixedFactor is the initial prefill rate of a target that also decodes,
	// relative to a prefill target. Prefill on such a target also delays the output
	// of its other requests.
	mixedFactor = 0.25
	// initialRate is the prefill rate, in tokens per second, that is assumed
	// for a prefill target before any observation.
	initialRate = 45_000
	// minSampleTokens is the size of the smallest prefill that updates the rate.
	minSampleTokens = 500
	// rateSmoothing is the weight of one observation in the moving average, once there
	// are many.
	rateSmoothing = 0.03
	// initialRateWeight is the number of observations that the initial rate stands for.
	// An instance of a large fleet sees few prefills, so the first ones count for more.
	initialRateWeight = 4
	// minPrefillRate and maxPrefillRate, in tokens per second, bound each
	// observation, so that one outlier cannot distort the average.
	minPrefillRate = 2_000
	maxPrefillRate = 2_000_000
	// silentPenalty is the added cost of a target that no instance has heard from
	// lately.
	silentPenalty = 400 * time.Millisecond
	// occupancyPenalty is how much a full batch delays the requests in it.
	occupancyPenalty = 150 * time.Millisecond
	// fullInterferenceRequests is the number of requests on a target from which a
	// prefill there is taken to cost them its whole duration.
	fullInterferenceRequests = 3.0
	// reportTTL is how long a target's load report is used.
	reportTTL = 500 * time.Millisecond
	// repeatedPrefillWeight is the number of requests that are taken to wait behind
	// a repeated prefill.
	repeatedPrefillWeight = 2
)

// Place returns the cheapest placement of a request with the prompt. It never
// chooses a target named in avoid; DecodeTarget is nil if no other is available.
func (p Placer) Place(f *Fleet, prompt Prompt, avoid []string, now time.Time) Placement {
	best := p.Direct(f, prompt, avoid, now)
	if prompt.TotalTokens == 0 || best.DecodeTarget == nil {
		return best
	}
	decoders := p.leastLoaded(f, prompt, avoid, now)
	if decoders.best.target == nil {
		// Only targets in failure domains that seem unreachable are left.
		return best
	}
	for _, c := range p.prefixCandidates(f, f.prefillTargets, prompt, now) {
		if c.target.Available(now) && !slices.Contains(avoid, c.target.name) {
			best = cheaper(best, p.disaggregated(f, c.target, decoders.forPrefill(c.target, p.CrossDomainDelay), prompt, c.assumedCached, now))
		}
	}
	return best
}

// Direct returns the cheapest placement that runs the whole request, prefill and
// decode, on one target.
func (p Placer) Direct(f *Fleet, prompt Prompt, avoid []string, now time.Time) Placement {
	best := Placement{}
	if t := p.exploredTarget(f, now); t != nil && (prompt.TotalTokens == 0 || len(f.prefillTargets) == 0) {
		best = p.directAmong([]prefixCandidate{{target: t}}, f, prompt, avoid, (*Target).Available, now)
	}
	if best.DecodeTarget == nil {
		best = p.directAmong(p.prefixCandidates(f, f.decodeTargets, prompt, now), f, prompt, avoid, (*Target).Available, now)
	}
	if best.DecodeTarget == nil && !p.comparesAll(f, f.decodeTargets, now) {
		// No target in the sample is available.
		best = p.directAmong(allCandidates(f.decodeTargets), f, prompt, avoid, (*Target).Available, now)
	}
	if best.DecodeTarget == nil {
		// A target that may be unreachable is better than none.
		best = p.directAmong(allCandidates(f.decodeTargets), f, prompt, avoid, (*Target).availableIfReachable, now)
	}
	return best
}

func (p Placer) directAmong(among []prefixCandidate, f *Fleet, prompt Prompt, avoid []string, available func(*Target, time.Time) bool, now time.Time) Placement {
	best := Placement{}
	for _, c := range among {
		if available(c.target, now) && !slices.Contains(avoid, c.target.name) {
			best = cheaper(best, p.wholeRequest(f, c.target, prompt, c.assumedCached, now))
		}
	}
	return best
}

// Available reports whether the target is still in the fleet and can be expected to
// accept a request.
func (f *Fleet) Available(t *Target, now time.Time) bool {
	return slices.Contains(f.targets, t) && t.Available(now)
}

// PauseLeft returns the time until the first of the fleet's decode targets takes requests
// again, or 0 unless every one of them asked for a pause or has used up its rate limit.
func (f *Fleet) PauseLeft(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, t := range f.decodeTargets {
		if t.leaving.Load() {
			continue
		}
		left := max(t.pauseLeft(now), t.heldOffLeft(now))
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

func cheaper(a, b Placement) Placement {
	if a.DecodeTarget == nil || b.cost < a.cost {
		return b
	}
	return a
}

func (p Placer) wholeRequest(f *Fleet, t *Target, prompt Prompt, assumedCached float64, now time.Time) Placement {
	if p.WeighsCost(f, now) {
		return p.wholeRequestByCost(f, t, prompt, assumedCached, now)
	}
	uncached := f.uncachedTokens(t, prompt, assumedCached)
	rate := f.rates.Mixed()
	first := prefillTime(t.backlog()+uncached, rate) + p.occupancyCost(f, t, now)
	cost := first + repeatedPrefillCost(uncached, prompt, rate) + t.interference(prefillTime(uncached, rate), now)
	return Placement{DecodeTarget: t, FirstEvent: first, PrefillTokens: uncached, queuedTokens: t.backlog(), rates: f.rates, cost: cost}
}

// interference returns the cost of a prefill of that duration for the requests on
// the target, whose output it delays.
func (t *Target) interference(prefill time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(prefill) * min(1, float64(t.estimatedRequests(now))/fullInterferenceRequests))
}

// repeatedPrefillCost returns the cost, for the requests queued behind it, of
// prefilling again shared blocks that another target may already hold.
func repeatedPrefillCost(uncached int64, prompt Prompt, rate float64) time.Duration {
	if len(prompt.BlockEnds) == 0 {
		return 0
	}
	unshared := prompt.TotalTokens - prompt.BlockEnds[len(prompt.BlockEnds)-1]
	return prefillTime(max(0, uncached-unshared), rate) * repeatedPrefillWeight
}

func (p Placer) disaggregated(f *Fleet, prefillTarget *Target, decoder decodeCandidate, prompt Prompt, assumedCached float64, now time.Time) Placement {
	if p.WeighsCost(f, now) {
		return p.disaggregatedByCost(f, prefillTarget, decoder, prompt, assumedCached, now)
	}
	uncached := f.uncachedTokens(prefillTarget, prompt, assumedCached)
	first := prefillTime(prefillTarget.backlog()+uncached, f.rates.PrefillOnly()) + p.TransferDelay + decoder.occupancyCost
	if prefillTarget.domain != decoder.target.domain {
		first += p.CrossDomainDelay
	}
	if prefillTarget.Silent() {
		first += silentPenalty
	}
	return Placement{
		DecodeTarget: decoder.target, PrefillTarget: prefillTarget, FirstEvent: first, PrefillTokens: uncached, queuedTokens: prefillTarget.backlog(), rates: f.rates,
		cost: first + repeatedPrefillCost(uncached, prompt, f.rates.PrefillOnly()),
	}
}

// A decodeCandidate is a decode target with the cost of running one more request
// on it. A request whose KV cache is transferred does not wait behind the prompts
// that the target prefills, but is slowed by them: they count in the score only.
type decodeCandidate struct {
	target        *Target
	occupancyCost time.Duration
	score         time.Duration
	// cost is set if costs are weighed.
	cost requestCost
}

// decodeCandidates holds the least loaded decode target overall and of each failure
// domain.
type decodeCandidates struct {
	best     decodeCandidate
	byDomain map[string]decodeCandidate
}

// forPrefill returns the decode target for a prompt that prefillTarget prefills: the
// least loaded of the same failure domain, unless another has a score that is lower
// by more than crossDomainDelay.
func (c decodeCandidates) forPrefill(prefillTarget *Target, crossDomainDelay time.Duration) decodeCandidate {
	if local, ok := c.byDomain[prefillTarget.domain]; ok && local.score <= c.best.score+crossDomainDelay {
		return local
	}
	return c.best
}

func (p Placer) leastLoaded(f *Fleet, prompt Prompt, avoid []string, now time.Time) decodeCandidates {
	all := p.leastLoadedAmong(p.sampleDecodeTargets(f, now), f, prompt, avoid, now)
	if all.best.target == nil {
		// No target in the sample is available.
		all = p.leastLoadedAmong(f.decodeTargets, f, prompt, avoid, now)
	}
	return all
}

func (p Placer) leastLoadedAmong(among []*Target, f *Fleet, prompt Prompt, avoid []string, now time.Time) decodeCandidates {
	all := decodeCandidates{byDomain: map[string]decodeCandidate{}}
	for _, t := range among {
		if !t.Available(now) || slices.Contains(avoid, t.name) {
			continue
		}
		c := p.decodeCandidate(f, t, prompt, now)
		if all.best.target == nil || c.score < all.best.score {
			all.best = c
		}
		if local, ok := all.byDomain[t.domain]; !ok || c.score < local.score {
			all.byDomain[t.domain] = c
		}
	}
	return all
}

func (p Placer) decodeCandidate(f *Fleet, t *Target, prompt Prompt, now time.Time) decodeCandidate {
	if p.WeighsCost(f, now) {
		return p.decodeCandidateByCost(f, t, prompt, now)
	}
	c := decodeCandidate{target: t, occupancyCost: p.occupancyCost(f, t, now)}
	c.score = c.occupancyCost + prefillTime(t.backlog(), f.rates.Mixed())
	return c
}

// occupancyCost returns the expected delay of one more request on the target, apart
// from its prefill.
func (p Placer) occupancyCost(f *Fleet, t *Target, now time.Time) time.Duration {
	occupancy := float64(t.estimatedRequests(now)) / float64(max(1, t.slots))
	cost := time.Duration(occupancy * float64(occupancyPenalty))
	if occupancy >= 1 {
		cost += time.Duration((occupancy - 1) * float64(time.Second))
	}
	if t.domain != f.domain {
		cost += p.RemoteDelay
	}
	if t.Silent() {
		cost += silentPenalty
	}
	return cost + t.warmUpLeft()
}

func prefillTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// uncachedTokens returns how many tokens of the prompt the target would have to
// prefill. assumedCached is the fraction of the shared tokens that it is assumed to
// have in its cache even if the index does not say so.
func (f *Fleet) uncachedTokens(t *Target, prompt Prompt, assumedCached float64) int64 {
	depth := f.index.Depth(t, prompt.Blocks)
	cached := int64(0)
	if depth > 0 {
		cached = prompt.BlockEnds[depth-1]
	}
	if n := len(prompt.BlockEnds); n > 0 {
		cached = max(cached, int64(assumedCached*float64(prompt.BlockEnds[n-1])))
	}
	return max(0, prompt.TotalTokens-cached)
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mix hashes a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Depth returns how many leading blocks the target is expected to hold.
func (x *PrefixIndex) Depth(t *Target, blocks []uint64) int {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	for i, block := range blocks {
		if !slices.Contains(x.lookup(block), t) {
			return i
		}
	}
	return len(blocks)
}

// Rates holds moving averages of the prefill rates of a service's targets, in tokens
// per second. It is safe for concurrent use.
type Rates struct {
	mutex          sync.Mutex
	prefill, mixed rateAverage
}

// A rateAverage is a moving average with the number of observations in it.
type rateAverage struct {
	rate         float64
	observations int
}

// add adds an observation.
func (a *rateAverage) add(rate float64) {
	a.observations++
	a.rate += max(rateSmoothing, 1/float64(initialRateWeight+a.observations)) * (rate - a.rate)
}

// NewRates returns the initial rates, before any observation.
func NewRates() *Rates {
	return &Rates{prefill: rateAverage{rate: initialRate}, mixed: rateAverage{rate: initialRate * mixedFactor}}
}

// PrefillOnly returns the rate of a prefill target.
func (r *Rates) PrefillOnly() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.prefill.rate
}

// Mixed returns the prefill rate of a target that also decodes.
func (r *Rates) Mixed() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mixed.rate
}

// Observe updates a rate with one prefill: the number of tokens, including those
// queued before it, and the time that they took.
func (r *Rates) Observe(tokens int64, took time.Duration, prefillOnly bool) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	rate := min(maxPrefillRate, max(minPrefillRate, float64(tokens)/took.Seconds()))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := &r.mixed
	if prefillOnly {
		known = &r.prefill
	}
	known.add(rate)
}
