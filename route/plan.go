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
	Pieces []uint64
	Tokens []int64
	// Total is the length of the whole prompt.
	Total int64
}

// A Placement represents where a request goes.
type Placement struct {
	// Runner makes the answer.
	Runner *Target
	// Reader, if not nil, reads the prompt first and hands its cache over.
	Reader *Target
	// First is the estimated time to the first event.
	First time.Duration
	// Work is the tokens of prompt that are still to be read, by whoever reads.
	Work int64
	// waiting is the tokens that are read before, rates what a reading teaches.
	waiting int64
	rates   *Rates
	// cost is First with what the placement costs other requests.
	cost time.Duration
}

// Learn takes how long the reading by this placement took.
func (p Placement) Learn(took time.Duration) {
	if p.rates != nil {
		p.rates.Learn(p.waiting+p.Work, took, p.Reader != nil)
	}
}

// A Placer represents the choice of targets over a whole fleet. It compares
// every target of a small fleet, and a sample of a large one.
type Placer struct {
	// HandOver is what moving a prompt's cache between targets costs.
	HandOver time.Duration
	// Remote is what a target of another failure domain costs.
	Remote time.Duration
	// Move is what it costs more to move a cache to another failure domain.
	Move time.Duration
	// Draw returns a random number below n; rand.IntN if it is nil.
	Draw func(n int) int
}

const (
	// mixedRate is the speed, relative to a reader, at which a target reads
	// prompts between the output of other requests. Each token read there also
	// delays that output.
	mixedRate = 0.25
	// firstReadRate is the tokens a second that a reader is taken to read until
	// it is known better.
	firstReadRate = 45_000
	// leastRead is the shortest reading that tells the rate.
	leastRead = 500
	// rateWeight is the weight of one reading in the rate.
	rateWeight = 0.03
	// The bounds of a rate that one odd reading cannot leave.
	minReadRate = 2_000
	maxReadRate = 2_000_000
	// silentCost is what a target that nobody has heard lately costs.
	silentCost = 400 * time.Millisecond
	// crowdCost is what a full batch costs the requests in it.
	crowdCost = 150 * time.Millisecond
	// disturbed is the number of requests on a target from which a reading there
	// costs others as much as the request itself.
	disturbed = 3.0
	// reportLife is how long a target's word on its load is of use.
	reportLife = 500 * time.Millisecond
	// againWeight is how many requests wait behind a reading, as it were.
	againWeight = 2
)

// Place returns where a request with the prompt goes. The avoided targets get it
// only if it returns nil otherwise.
func (p Placer) Place(f *Fleet, prompt Prompt, avoid []string, now time.Time) Placement {
	best := p.Direct(f, prompt, avoid, now)
	if prompt.Total == 0 || best.Runner == nil {
		return best
	}
	runners := p.lightest(f, avoid, now)
	if runners.best.target == nil {
		// Only targets that may be cut off are left.
		return best
	}
	for _, c := range p.contenders(f, f.readers, prompt) {
		if c.target.takes(now) && !slices.Contains(avoid, c.target.name) {
			best = sooner(best, p.handedOver(f, c.target, runners.beside(c.target, p.Move), prompt, c.trust))
		}
	}
	return best
}

// Direct returns the target that does all of the request.
func (p Placer) Direct(f *Fleet, prompt Prompt, avoid []string, now time.Time) Placement {
	best := p.directAmong(p.contenders(f, f.runners, prompt), f, prompt, avoid, (*Target).takes, now)
	if best.Runner == nil && len(f.runners) > compareAll {
		// Nobody in the sample takes it now.
		best = p.directAmong(everyone(f.runners), f, prompt, avoid, (*Target).takes, now)
	}
	if best.Runner == nil {
		// Better a target that may be cut off than none.
		best = p.directAmong(everyone(f.runners), f, prompt, avoid, (*Target).mayTake, now)
	}
	return best
}

func (p Placer) directAmong(among []contender, f *Fleet, prompt Prompt, avoid []string, takes func(*Target, time.Time) bool, now time.Time) Placement {
	best := Placement{}
	for _, c := range among {
		if takes(c.target, now) && !slices.Contains(avoid, c.target.name) {
			best = sooner(best, p.direct(f, c.target, prompt, c.trust, now))
		}
	}
	return best
}

// Has reports whether the target is still there and takes requests.
func (f *Fleet) Has(t *Target, now time.Time) bool {
	return slices.Contains(f.targets, t) && t.takes(now)
}

func sooner(a, b Placement) Placement {
	if a.Runner == nil || b.cost < a.cost {
		return b
	}
	return a
}

func (p Placer) direct(f *Fleet, t *Target, prompt Prompt, trust float64, now time.Time) Placement {
	work := f.unread(t, prompt, trust)
	rate := f.rates.Mixed()
	first := readTime(t.backlog()+work, rate) + p.presence(f, t, now)
	cost := first + again(work, prompt, rate) + t.disturbance(readTime(work, rate), now)
	return Placement{Runner: t, First: first, Work: work, waiting: t.backlog(), rates: f.rates, cost: cost}
}

// disturbance is what a reading of that length costs the requests whose output
// it delays.
func (t *Target) disturbance(reading time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(reading) * min(1, float64(t.crowd(now))/disturbed))
}

// again is what reading shared parts once more costs the requests behind it.
func again(work int64, prompt Prompt, rate float64) time.Duration {
	if len(prompt.Tokens) == 0 {
		return 0
	}
	own := prompt.Total - prompt.Tokens[len(prompt.Tokens)-1]
	return readTime(max(0, work-own), rate) * againWeight
}

func (p Placer) handedOver(f *Fleet, reader *Target, runner candidate, prompt Prompt, trust float64) Placement {
	work := f.unread(reader, prompt, trust)
	first := readTime(reader.backlog()+work, f.rates.Read()) + p.HandOver + runner.presence
	if reader.domain != runner.target.domain {
		first += p.Move
	}
	if reader.Silent() {
		first += silentCost
	}
	return Placement{
		Runner: runner.target, Reader: reader, First: first, Work: work, waiting: reader.backlog(), rates: f.rates,
		cost: first + again(work, prompt, f.rates.Read()),
	}
}

// A candidate is a runner with what it costs to be one more there. A request
// whose cache is handed over does not wait behind the prompts that the runner
// reads, but is slowed by them: they count in its rank.
type candidate struct {
	target   *Target
	presence time.Duration
	rank     time.Duration
}

// candidates are the lightest runner of all and of each failure domain.
type candidates struct {
	best     candidate
	byDomain map[string]candidate
}

// beside returns the runner for what the reader hands over: the lightest of its
// failure domain, unless another is lighter by more than a move costs.
func (c candidates) beside(reader *Target, move time.Duration) candidate {
	if near, ok := c.byDomain[reader.domain]; ok && near.rank <= c.best.rank+move {
		return near
	}
	return c.best
}

func (p Placer) lightest(f *Fleet, avoid []string, now time.Time) candidates {
	all := p.lightestAmong(p.sampleRunners(f), f, avoid, now)
	if all.best.target == nil {
		// Nobody in the sample takes it now.
		all = p.lightestAmong(f.runners, f, avoid, now)
	}
	return all
}

func (p Placer) lightestAmong(among []*Target, f *Fleet, avoid []string, now time.Time) candidates {
	all := candidates{byDomain: map[string]candidate{}}
	for _, t := range among {
		if !t.takes(now) || slices.Contains(avoid, t.name) {
			continue
		}
		c := candidate{target: t, presence: p.presence(f, t, now)}
		c.rank = c.presence + readTime(t.backlog(), f.rates.Mixed())
		if all.best.target == nil || c.rank < all.best.rank {
			all.best = c
		}
		if near, ok := all.byDomain[t.domain]; !ok || c.rank < near.rank {
			all.byDomain[t.domain] = c
		}
	}
	return all
}

// presence is what it costs to be one more on the target.
func (p Placer) presence(f *Fleet, t *Target, now time.Time) time.Duration {
	crowd := float64(t.crowd(now)) / float64(max(1, t.slots))
	cost := time.Duration(crowd * float64(crowdCost))
	if crowd >= 1 {
		cost += time.Duration((crowd - 1) * float64(time.Second))
	}
	if t.domain != f.domain {
		cost += p.Remote
	}
	if t.Silent() {
		cost += silentCost
	}
	return cost + t.startLeft()
}

func readTime(tokens int64, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// unread returns the tokens of the prompt that the target would still read. trust
// is the part of the shared ones that it is taken to hold in any case.
func (f *Fleet) unread(t *Target, prompt Prompt, trust float64) int64 {
	depth := f.index.Depth(t, prompt.Pieces)
	cached := int64(0)
	if depth > 0 {
		cached = prompt.Tokens[depth-1]
	}
	if n := len(prompt.Tokens); n > 0 {
		cached = max(cached, int64(trust*float64(prompt.Tokens[n-1])))
	}
	return max(0, prompt.Total-cached)
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
	mutex       sync.Mutex
	read, mixed float64
}

// NewRates returns the rates before any reading.
func NewRates() *Rates { return &Rates{read: firstReadRate, mixed: firstReadRate * mixedRate} }

// Read returns the speed of a target that only reads.
func (r *Rates) Read() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.read
}

// Mixed returns the speed of a target that makes answers besides.
func (r *Rates) Mixed() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.mixed
}

// Learn takes a reading: the tokens that were read, those waiting before it
// included, and the time.
func (r *Rates) Learn(tokens int64, took time.Duration, reader bool) {
	if tokens < leastRead || took <= 0 {
		return
	}
	rate := min(maxReadRate, max(minReadRate, float64(tokens)/took.Seconds()))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := &r.mixed
	if reader {
		known = &r.read
	}
	*known += rateWeight * (rate - *known)
}
