package route

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Prompt represents what placement needs to know of a request's prompt.
type Prompt struct {
	// Pieces are chained hashes of the parts that other requests may share, and
	// Tokens the length of the prompt up to the end of each.
	Blocks    []uint64
	BlockEnds []int64
	// Total is the length of the whole prompt.
	TotalTokens int64
}

// A Placement represents where a request goes.
type Placement struct {
	// Runner makes the answer.
	DecodeTarget *Target
	// Reader, if not nil, reads the prompt first and hands its cache over.
	PrefillTarget *Target
	// First is the estimated time to the first event.
	FirstEvent time.Duration
	// Work is the tokens of prompt that are still to be read, by whoever reads.
	PrefillTokens int64
	// waiting is the tokens that are read before, rates what a reading teaches.
	queuedTokens int64
	rates        *Rates
	// cost is First with what the placement costs other requests.
	cost time.Duration
}

// Learn takes how long the reading by this placement took.
func (p Placement) Observe(took time.Duration) {
	if p.rates != nil {
		p.rates.Observe(p.queuedTokens+p.PrefillTokens, took, p.PrefillTarget != nil)
	}
}

// A Placer represents the choice of targets over a whole fleet. It compares
// every target of a small fleet, and a sample of a large one.
type Placer struct {
	// HandOver is what moving a prompt's cache between targets costs.
	TransferDelay time.Duration
	// Remote is what a target of another failure domain costs.
	RemoteDelay time.Duration
	// Move is what it costs more to move a cache to another failure domain.
	CrossDomainDelay time.Duration
	// Draw returns a random number below n; rand.IntN if it is nil.
	RandIntN func(n int) int
}

const (
	// mixedRate is the speed, relative to a reader, at which a target reads
	// prompts between the output of other requests. Each token read there also
	// delays that output.
	mixedRateFactor = 0.25
	// firstReadRate is the tokens a second that a reader is taken to read until
	// it is known better.
	initialPrefillRate = 45_000
	// leastRead is the shortest reading that tells the rate.
	minSampleTokens = 500
	// rateWeight is the weight of one reading in the rate.
	rateSmoothing = 0.03
	// The bounds of a rate that one odd reading cannot leave.
	minPrefillRate = 2_000
	maxPrefillRate = 2_000_000
	// silentCost is what a target that nobody has heard lately costs.
	silentPenalty = 400 * time.Millisecond
	// crowdCost is what a full batch costs the requests in it.
	occupancyPenalty = 150 * time.Millisecond
	// disturbed is the number of requests on a target from which a reading there
	// costs others as much as the request itself.
	fullInterferenceRequests = 3.0
	// reportLife is how long a target's word on its load is of use.
	reportTTL = 500 * time.Millisecond
	// againWeight is how many requests wait behind a reading, as it were.
	repeatedPrefillWeight = 2
)

// Place returns where a request with the prompt goes. The avoided targets get it
// only if it returns nil otherwise.
func (p Placer) Place(f *Fleet, prompt Prompt, avoid []string, now time.Time) Placement {
	best := p.Direct(f, prompt, avoid, now)
	if prompt.TotalTokens == 0 || best.DecodeTarget == nil {
		return best
	}
	runners := p.leastLoaded(f, avoid, now)
	if runners.best.target == nil {
		// Only targets that may be cut off are left.
		return best
	}
	for _, c := range p.prefixCandidates(f, f.prefillTargets, prompt) {
		if c.target.available(now) && !slices.Contains(avoid, c.target.name) {
			best = cheaper(best, p.disaggregated(f, c.target, runners.forPrefill(c.target, p.CrossDomainDelay), prompt, c.assumedCached))
		}
	}
	return best
}

// Direct returns the target that does all of the request.
func (p Placer) Direct(f *Fleet, prompt Prompt, avoid []string, now time.Time) Placement {
	best := p.directAmong(p.prefixCandidates(f, f.decodeTargets, prompt), f, prompt, avoid, (*Target).available, now)
	if best.DecodeTarget == nil && len(f.decodeTargets) > fullScanLimit {
		// Nobody in the sample takes it now.
		best = p.directAmong(allCandidates(f.decodeTargets), f, prompt, avoid, (*Target).available, now)
	}
	if best.DecodeTarget == nil {
		// Better a target that may be cut off than none.
		best = p.directAmong(allCandidates(f.decodeTargets), f, prompt, avoid, (*Target).availableIfReachable, now)
	}
	return best
}

func (p Placer) directAmong(among []prefixCandidate, f *Fleet, prompt Prompt, avoid []string, takes func(*Target, time.Time) bool, now time.Time) Placement {
	best := Placement{}
	for _, c := range among {
		if takes(c.target, now) && !slices.Contains(avoid, c.target.name) {
			best = cheaper(best, p.wholeRequest(f, c.target, prompt, c.assumedCached, now))
		}
	}
	return best
}

// Has reports whether the target is still there and takes requests.
func (f *Fleet) Available(t *Target, now time.Time) bool {
	return slices.Contains(f.targets, t) && t.available(now)
}

func cheaper(a, b Placement) Placement {
	if a.DecodeTarget == nil || b.cost < a.cost {
		return b
	}
	return a
}

func (p Placer) wholeRequest(f *Fleet, t *Target, prompt Prompt, trust float64, now time.Time) Placement {
	work := f.uncachedTokens(t, prompt, trust)
	rate := f.rates.Mixed()
	first := prefillTime(t.backlog()+work, rate) + p.occupancyCost(f, t, now)
	cost := first + repeatedPrefillCost(work, prompt, rate) + t.interference(prefillTime(work, rate), now)
	return Placement{DecodeTarget: t, FirstEvent: first, PrefillTokens: work, queuedTokens: t.backlog(), rates: f.rates, cost: cost}
}

// disturbance is what a reading of that length costs the requests whose output
// it delays.
func (t *Target) interference(reading time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(reading) * min(1, float64(t.estimatedRequests(now))/fullInterferenceRequests))
}

// again is what reading shared parts once more costs the requests behind it.
func repeatedPrefillCost(work int64, prompt Prompt, rate float64) time.Duration {
	if len(prompt.BlockEnds) == 0 {
		return 0
	}
	own := prompt.TotalTokens - prompt.BlockEnds[len(prompt.BlockEnds)-1]
	return prefillTime(max(0, work-own), rate) * repeatedPrefillWeight
}

func (p Placer) disaggregated(f *Fleet, reader *Target, runner decodeCandidate, prompt Prompt, trust float64) Placement {
	work := f.uncachedTokens(reader, prompt, trust)
	first := prefillTime(reader.backlog()+work, f.rates.PrefillOnly()) + p.TransferDelay + runner.occupancyCost
	if reader.domain != runner.target.domain {
		first += p.CrossDomainDelay
	}
	if reader.Silent() {
		first += silentPenalty
	}
	return Placement{
		DecodeTarget: runner.target, PrefillTarget: reader, FirstEvent: first, PrefillTokens: work, queuedTokens: reader.backlog(), rates: f.rates,
		cost: first + repeatedPrefillCost(work, prompt, f.rates.PrefillOnly()),
	}
}

// A candidate is a runner with what it costs to be one more there. A request
// whose cache is handed over does not wait behind the prompts that the runner
// reads, but is slowed by them: they count in its rank.
type decodeCandidate struct {
	target        *Target
	occupancyCost time.Duration
	score         time.Duration
}

// candidates are the lightest runner of all and of each failure domain.
type decodeCandidates struct {
	best     decodeCandidate
	byDomain map[string]decodeCandidate
}

// beside returns the runner for what the reader hands over: the lightest of its
// failure domain, unless another is lighter by more than a move costs.
func (c decodeCandidates) forPrefill(reader *Target, move time.Duration) decodeCandidate {
	if near, ok := c.byDomain[reader.domain]; ok && near.score <= c.best.score+move {
		return near
	}
	return c.best
}

func (p Placer) leastLoaded(f *Fleet, avoid []string, now time.Time) decodeCandidates {
	all := p.leastLoadedAmong(p.sampleDecodeTargets(f), f, avoid, now)
	if all.best.target == nil {
		// Nobody in the sample takes it now.
		all = p.leastLoadedAmong(f.decodeTargets, f, avoid, now)
	}
	return all
}

func (p Placer) leastLoadedAmong(among []*Target, f *Fleet, avoid []string, now time.Time) decodeCandidates {
	all := decodeCandidates{byDomain: map[string]decodeCandidate{}}
	for _, t := range among {
		if !t.available(now) || slices.Contains(avoid, t.name) {
			continue
		}
		c := decodeCandidate{target: t, occupancyCost: p.occupancyCost(f, t, now)}
		c.score = c.occupancyCost + prefillTime(t.backlog(), f.rates.Mixed())
		if all.best.target == nil || c.score < all.best.score {
			all.best = c
		}
		if near, ok := all.byDomain[t.domain]; !ok || c.score < near.score {
			all.byDomain[t.domain] = c
		}
	}
	return all
}

// presence is what it costs to be one more on the target.
func (p Placer) occupancyCost(f *Fleet, t *Target, now time.Time) time.Duration {
	crowd := float64(t.estimatedRequests(now)) / float64(max(1, t.slots))
	cost := time.Duration(crowd * float64(occupancyPenalty))
	if crowd >= 1 {
		cost += time.Duration((crowd - 1) * float64(time.Second))
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

// unread returns the tokens of the prompt that the target would still read. trust
// is the part of the shared ones that it is taken to hold in any case.
func (f *Fleet) uncachedTokens(t *Target, prompt Prompt, trust float64) int64 {
	depth := f.index.Depth(t, prompt.Blocks)
	cached := int64(0)
	if depth > 0 {
		cached = prompt.BlockEnds[depth-1]
	}
	if n := len(prompt.BlockEnds); n > 0 {
		cached = max(cached, int64(trust*float64(prompt.BlockEnds[n-1])))
	}
	return max(0, prompt.TotalTokens-cached)
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Depth returns how many leading pieces the target is thought to hold.
func (x *PrefixIndex) Depth(t *Target, pieces []uint64) int {
	x.mutex.RLock()
	defer x.mutex.RUnlock()
	for i, piece := range pieces {
		if !slices.Contains(x.lookup(piece), t) {
			return i
		}
	}
	return len(pieces)
}

// Rates represents the speeds at which the targets of a service read prompts,
// in tokens a second, learned from readings. It is safe for concurrent use.
type Rates struct {
	mutex              sync.Mutex
	prefillOnly, mixed float64
}

// NewRates returns the rates before any reading.
func NewRates() *Rates {
	return &Rates{prefillOnly: initialPrefillRate, mixed: initialPrefillRate * mixedRateFactor}
}

// Read returns the speed of a target that only reads.
func (r *Rates) PrefillOnly() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.prefillOnly
}

// Mixed returns the speed of a target that makes answers besides.
func (r *Rates) Mixed() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mixed
}

// Learn takes a reading: the tokens that were read, those waiting before it
// included, and the time.
func (r *Rates) Observe(tokens int64, took time.Duration, reader bool) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	rate := min(maxPrefillRate, max(minPrefillRate, float64(tokens)/took.Seconds()))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := &r.mixed
	if reader {
		known = &r.prefillOnly
	}
	*known += rateSmoothing * (rate - *known)
}
