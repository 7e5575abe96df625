package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
)

const (
	// evidenceTTL is how long a crash counts as evidence.
	evidenceTTL = time.Minute
	// soundTTL is how long a block counts as proved sound.
	soundTTL = 10 * time.Minute
	// verdictTTL is how long a quarantined block is remembered after its last crash.
	verdictTTL = 24 * time.Hour
	// releaseTTL is how long the release of a block is told.
	releaseTTL = time.Minute
	// listedCrashes is the number of crashes from which a block is listed, so that
	// instances that served requests with it say so.
	listedCrashes = 2
	// quarantineCrashes is the number of crashes after which a block is quarantined if no
	// request with it is known to have been served. provenCrashes is that number for other
	// blocks.
	quarantineCrashes = 3
	provenCrashes     = 5
	// episodeGap is the time within which crashes count as one: targets that share a rack
	// or a failure domain crash together whatever they run.
	episodeGap = 250 * time.Millisecond
	// heartbeatTolerance is by how much later than the end of a connection a heartbeat must
	// be to prove that the target did not crash. It covers the travel of heartbeats and reports,
	// and the error of the ages with which control instances exchange heartbeats.
	heartbeatTolerance = 600 * time.Millisecond
	// reviewTime is how long a decision is made anew with each report: instances report the
	// requests in flight at the same crash one after the other.
	reviewTime = time.Second
	// decisionInterval is how long decisions hold without new reports; time alone changes
	// them slowly.
	decisionInterval = 100 * time.Millisecond

	// Bounds of what is kept and listed. A crash has the blocks of all requests that were in
	// flight; maxBlocks bounds the blocks of all crashes together.
	maxCrashes        = 128
	maxBlocksPerCrash = 1 << 15
	maxBlocks         = 1 << 17
	maxVerdicts       = 256
	maxSoundBlocks    = 1 << 16
	maxListedSuspects = 128
)

// Liveness knows when targets were last in contact.
type Liveness interface {
	// HeardSince reports whether the incarnation of the target sent a heartbeat after the
	// time, or announced that it ends.
	HeardSince(target, incarnation string, at time.Duration) bool
}

// Evidence holds the crashes of targets with the blocks that were in flight there, as reported
// by all instances. It is safe for concurrent use.
type Evidence struct {
	now      func() time.Duration
	liveness Liveness
	logger   *event.Logger

	mutex   sync.Mutex
	crashes map[crashID]*crash
	// counts holds the number of crashes with each block, and blocks the sum of them.
	counts   map[uint64]int
	blocks   int
	sound    map[uint64]time.Duration
	verdicts map[uint64]*verdict
	// revision counts the changes of what List returns, decisions those of verdicts.
	revision, decisions uint64
	listed              []listedBlock
	decidedAt           time.Duration
	// sweptAt is when expired blocks were last removed from sound.
	sweptAt time.Duration
	// stale is true if the crashes, or what is decided on their blocks, changed since the
	// last decision.
	stale bool
}

// A listedBlock is a block that List describes. crashes and at, the time of the last crash, are
// those of a block without a verdict.
type listedBlock struct {
	block   uint64
	crashes int
	at      time.Duration
}

// A crashID identifies the start of a target that crashed.
type crashID struct{ target, incarnation string }

// A crash holds the blocks of the requests that were in flight on a target at its crash.
type crash struct {
	at time.Duration
	// blocks holds the largest position of each block in its prompts.
	blocks map[uint64]int
}

// NewEvidence returns evidence without crashes. liveness may be nil.
func NewEvidence(now func() time.Duration, liveness Liveness, logger *event.Logger) *Evidence {
	return &Evidence{now: now, liveness: liveness, logger: logger, crashes: map[crashID]*crash{}, counts: map[uint64]int{}, sound: map[uint64]time.Duration{}, verdicts: map[uint64]*verdict{}}
}

// Record adds what an instance reports. It returns whether other blocks are listed than
// before, and whether a block was quarantined or released.
func (e *Evidence) Record(report *peer.SuspectReport) (listed, decided bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	revision, decisions := e.revision, e.decisions
	for _, r := range report.Crashed {
		e.recordCrash(r, now)
	}
	for _, s := range report.Sound {
		e.recordSound(s.Block, now-peer.Age(s.AgeMs))
	}
	for _, q := range report.Quarantined {
		e.adopt(q, now)
	}
	e.decide(now)
	return e.revision > revision, e.decisions > decisions
}

// Quarantined returns the number of quarantined blocks.
func (e *Evidence) Quarantined() (n int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, v := range e.verdicts {
		if v.quarantined {
			n++
		}
	}
	return n
}

// List returns the blocks that instances should know of: those quarantined, those released a
// short time ago, and those under which several targets crashed.
func (e *Evidence) List() []*peer.SuspectBlock {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	if now-e.decidedAt >= decisionInterval {
		e.decide(now)
	}
	list := make([]*peer.SuspectBlock, 0, len(e.listed))
	for _, l := range e.listed {
		list = append(list, e.describe(l, now))
	}
	return list
}

// Proven reports whether an instance reported that it served a request with the block.
func (e *Evidence) Proven(block uint64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	at, ok := e.sound[block]
	return ok && e.now()-at < soundTTL
}

func (e *Evidence) describe(l listedBlock, now time.Duration) *peer.SuspectBlock {
	_, proven := e.sound[l.block]
	d := &peer.SuspectBlock{Block: l.block, Crashes: int32(l.crashes), AgeMs: (now - l.at).Milliseconds(), Proven: proven}
	v := e.verdicts[l.block]
	switch {
	case v == nil:
	case v.quarantined:
		d.Crashes, d.Targets, d.AgeMs, d.Quarantined = int32(v.crashes), int32(v.targets), (now - v.at).Milliseconds(), true
	default:
		at := v.releasedAt
		if proven {
			at = e.sound[l.block]
		}
		d.Crashes, d.AgeMs, d.Released = int32(v.crashes), (now - at).Milliseconds(), true
	}
	return d
}

func (e *Evidence) recordCrash(r *peer.CrashedRequest, now time.Duration) {
	at := now - peer.Age(r.AgeMs)
	if now-at > evidenceTTL {
		return
	}
	id := crashID{r.Target, r.Incarnation}
	c := e.crashes[id]
	if c == nil {
		if len(e.crashes) >= maxCrashes {
			e.dropOldestCrash()
		}
		c = &crash{at: at, blocks: map[uint64]int{}}
		e.crashes[id] = c
	}
	e.stale = true
	for position, block := range r.Blocks {
		if served, ok := e.sound[block]; ok && served >= c.at {
			continue
		}
		if _, known := c.blocks[block]; known || len(c.blocks) < maxBlocksPerCrash {
			c.blocks[block] = max(c.blocks[block], position)
			if !known {
				e.counts[block]++
				e.blocks++
			}
		}
		e.countAgain(block, id, c.at)
	}
	e.trimBlocks()
}

// trimBlocks takes blocks from the oldest crashes until at most maxBlocks are left: those of no other crash first, which
// explain the least.
func (e *Evidence) trimBlocks() {
	if e.blocks <= maxBlocks {
		return
	}
	byAge := slices.SortedFunc(maps.Values(e.crashes), func(x, y *crash) int { return cmp.Compare(x.at, y.at) })
	for _, shared := range []int{1, math.MaxInt} {
		for _, c := range byAge {
			for block := range c.blocks {
				if e.blocks <= maxBlocks {
					return
				}
				if e.counts[block] <= shared {
					delete(c.blocks, block)
					e.uncount(block)
				}
			}
		}
	}
}

// countAgain adds a crash under a quarantined block to its verdict.
func (e *Evidence) countAgain(block uint64, id crashID, at time.Duration) {
	v := e.verdicts[block]
	if v == nil || !v.quarantined || v.counts(id) {
		return
	}
	v.counted[id] = at
	v.targets++
	if at-v.at >= episodeGap {
		v.crashes++
	}
	v.at = max(v.at, at)
	e.decisions++
	e.logger.Log(event.BlockBlamed, zap.String("block", blockName(block)), zap.Int("crashes", v.crashes), zap.Int("crashed_targets", v.targets), zap.String("target", id.target))
}

func (e *Evidence) dropOldestCrash() {
	var oldest crashID
	first := time.Duration(0)
	for id, c := range e.crashes {
		if first == 0 || c.at < first {
			oldest, first = id, c.at
		}
	}
	e.dropCrash(oldest)
}

func (e *Evidence) dropCrash(id crashID) {
	for block := range e.crashes[id].blocks {
		e.uncount(block)
	}
	delete(e.crashes, id)
	e.stale = true
}

func (e *Evidence) uncount(block uint64) {
	e.blocks--
	if e.counts[block]--; e.counts[block] == 0 {
		delete(e.counts, block)
	}
}

// recordSound records that a request with the block was served at the time. Earlier crashes
// are not the block's doing.
func (e *Evidence) recordSound(block uint64, at time.Duration) {
	if known, ok := e.sound[block]; ok && at <= known {
		return
	}
	if len(e.sound) >= maxSoundBlocks {
		clear(e.sound)
	}
	e.sound[block] = at
	if e.counts[block] == 0 {
		e.releaseServed(block, at)
		return
	}
	for _, c := range e.crashes {
		if _, ok := c.blocks[block]; ok {
			e.stale = true
			if c.at <= at {
				delete(c.blocks, block)
				e.uncount(block)
			}
		}
	}
	e.releaseServed(block, at)
}

// releaseServed releases the block, if it is quarantined, for a request that was served at the
// time.
func (e *Evidence) releaseServed(block uint64, at time.Duration) {
	v := e.verdicts[block]
	if v != nil && v.quarantined && (at > v.at || v.crashes < provenCrashes) {
		e.release(block, v, "served")
	}
}

func (e *Evidence) release(block uint64, v *verdict, reason string) {
	v.quarantined, v.releasedAt = false, e.now()
	e.stale = true
	e.decisions++
	e.logger.Log(event.BlockCleared, zap.String("block", blockName(block)), zap.Int("crashes", v.crashes), zap.String("reason", reason))
}

// adopt takes over a quarantined block that an instance knows from another control instance.
func (e *Evidence) adopt(q *peer.SuspectBlock, now time.Duration) {
	at := now - peer.Age(q.AgeMs)
	known := e.verdicts[q.Block]
	if now-at > verdictTTL || known == nil && len(e.verdicts) >= maxVerdicts || known != nil && known.quarantined && known.crashes >= int(q.Crashes) {
		return
	}
	v := &verdict{crashes: int(q.Crashes), targets: int(q.Targets), adopted: int(q.Crashes), at: at, quarantined: true, counted: map[crashID]time.Duration{}}
	e.verdicts[q.Block] = v
	e.stale = true
	e.decisions++
	if served, ok := e.sound[q.Block]; ok && (served > at || v.crashes < provenCrashes) {
		e.release(q.Block, v, "served")
	}
}
