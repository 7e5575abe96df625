package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
	"auburnscale/peer"
)

const (
	// finalCrashes is the number of crashes from which a block is refused for
	// longHold, twice as long after each further one. Up to lastTrialCrashes a single
	// request is let through after that time, as the target's software may be mended.
	finalCrashes     = 5
	lastTrialCrashes = 8
	shortHold        = time.Minute
	longHold         = 10 * time.Minute
	// trialSpread and minTrialSpread spread the trials of the instances, by the number of
	// instances, so that the first one decides before the next.
	trialSpread    = 3 * time.Second
	minTrialSpread = 10 * time.Second
	// maxReports and maxKeptBlocks bound the crashed requests that are kept for control instances
	// which have not received them, and the blocks of all of them. maxReportedRequests and
	// maxReportedBlocks are those bounds for one message, which holds one request at least.
	maxReports          = 512
	maxKeptBlocks       = 1 << 17
	maxReportedRequests = 64
	maxReportedBlocks   = 8192
	// maxBlocksPerRequest bounds the blocks of one request in a report: as many as fit into a
	// header of 16 KiB.
	maxBlocksPerRequest = 4096
	// soundGeneration is the number of served blocks after which the older half is forgotten.
	soundGeneration = 1 << 16
	// viewTTL is how long the list of a control instance that no longer responds is kept.
	viewTTL = 30 * time.Second
	// aloneAfter is the time without a list of any control instance after which this instance
	// decides by its own crashes. It cannot tell as well which targets are alive.
	aloneAfter = 5 * time.Second
)

// Blocks holds the blocks that this instance refuses requests for, and what it has to report.
// It is safe for concurrent use.
type Blocks struct {
	now    func() time.Duration
	random func() float64
	logger *event.Logger
	// changed has an element when there may be something to report.
	changed chan struct{}

	mutex sync.Mutex
	// own holds the evidence of this instance, which decides if no control instance can be
	// reached.
	own     *Evidence
	held    map[uint64]*heldBlock
	reports []crashReport
	// kept counts the blocks of the reports.
	kept      int
	lastSeq   uint64
	sound     [2]map[uint64]time.Duration
	views     map[string]*controlView
	instances int
}

// A heldBlock is a quarantined block.
type heldBlock struct {
	crashes, targets int
	at               time.Duration
	// trialAt is when this instance lets a single request through.
	trialAt time.Duration
	trying  bool
	// own is true if this instance decided alone.
	own bool
}

type crashReport struct {
	seq     uint64
	at      time.Duration
	request *peer.CrashedRequest
}

// A controlView is what one incarnation of a control instance knows.
type controlView struct {
	// received is the position up to which it has the crash reports.
	received uint64
	// at is when its list arrived.
	at     time.Duration
	listed map[uint64]*peer.SuspectBlock
	// told holds the quarantined blocks and the times of served blocks that it was sent.
	told map[uint64]time.Duration
}

func newControlView() *controlView { return &controlView{told: map[uint64]time.Duration{}} }

// An Admission is the decision on one request.
type Admission struct {
	// Refused is true if the request must not be sent to a target. Block is then the
	// quarantined block, and Wait the time until a request with it may be let through.
	Refused bool
	Block   uint64
	Wait    time.Duration
	// trial holds the quarantined blocks that the request is let through with.
	trial []uint64
}

// Trial reports whether the request is let through to find out whether its quarantined blocks
// still crash targets.
func (a Admission) Trial() bool { return len(a.trial) > 0 }

// NewBlocks returns Blocks that refuse nothing. random returns numbers in [0, 1).
func NewBlocks(now func() time.Duration, random func() float64, logger *event.Logger) *Blocks {
	return &Blocks{
		now: now, random: random, logger: logger, changed: make(chan struct{}, 1), own: NewEvidence(now, nil, event.Nop()), held: map[uint64]*heldBlock{},
		sound: [2]map[uint64]time.Duration{{}, {}}, views: map[string]*controlView{}, instances: 1,
	}
}

// SetInstances sets the number of instances that send requests to the targets.
func (b *Blocks) SetInstances(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.instances = max(1, n)
}

// Changed returns a channel that receives when there may be something to report.
func (b *Blocks) Changed() <-chan struct{} { return b.changed }

// Quarantined returns the number of quarantined blocks.
func (b *Blocks) Quarantined() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.held)
}

// Admit decides on a request with the blocks. End must be called with the result when the
// request has ended.
func (b *Blocks) Admit(blocks []uint64) Admission {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	refusal := b.check(blocks, nil)
	if refusal.Refused {
		return refusal
	}
	var a Admission
	for _, block := range blocks {
		if h := b.held[block]; h != nil {
			h.trying = true
			a.trial = append(a.trial, block)
			b.logger.Log(event.BlockTried, zap.String("block", blockName(block)), zap.Int("crashes", h.crashes))
		}
	}
	return a
}

// Check decides whether a request that was admitted may be sent to a target now.
func (b *Blocks) Check(blocks []uint64, a Admission) Admission {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.check(blocks, a.trial)
}

func (b *Blocks) check(blocks, trial []uint64) Admission {
	if len(b.held) == 0 {
		return Admission{}
	}
	now := b.now()
	var a Admission
	for _, block := range blocks {
		h := b.held[block]
		if h == nil || slices.Contains(trial, block) || now >= h.trialAt && !h.trying {
			continue
		}
		if wait := h.trialAt - now; !a.Refused || wait > a.Wait {
			a = Admission{Refused: true, Block: block, Wait: max(0, wait)}
		}
	}
	return a
}

// End ends a request that was admitted.
func (b *Blocks) End(a Admission) {
	if len(a.trial) == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, block := range a.trial {
		if h := b.held[block]; h != nil {
			h.trying = false
		}
	}
}

// Crashed records that the connection to the target ended while a request with the blocks was
// in flight there.
func (b *Blocks) Crashed(target, incarnation string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastSeq++
	b.extendHolds(blocks)
	blocks = b.suspectsAmong(blocks)
	request := &peer.CrashedRequest{Target: target, Incarnation: incarnation, Blocks: blocks}
	b.reports = append(b.reports, crashReport{b.lastSeq, b.now(), request})
	b.kept += len(blocks)
	for len(b.reports) > maxReports || b.kept > maxKeptBlocks {
		first := b.reports[0].seq
		b.dropReports(func(r crashReport) bool { return r.seq == first })
	}
	b.own.Record(&peer.SuspectReport{Crashed: []*peer.CrashedRequest{request}, Sound: b.soundAmong(blocks)})
	if b.alone() {
		b.merge(b.own.List(), true)
	}
	b.notify()
}

// suspectsAmong returns the blocks of a crashed request, in order, or maxBlocksPerRequest of them: the fingerprint, which
// is the last, then those that are not known to have been served, then the others.
func (b *Blocks) suspectsAmong(blocks []uint64) []uint64 {
	if len(blocks) <= maxBlocksPerRequest {
		return blocks
	}
	last := len(blocks) - 1
	unserved := 0
	for _, block := range blocks[:last] {
		if _, served := b.soundAt(block); !served {
			unserved++
		}
	}
	left := maxBlocksPerRequest - 1
	leftServed := max(0, left-unserved)
	chosen := make([]uint64, 0, maxBlocksPerRequest)
	for _, block := range blocks[:last] {
		_, served := b.soundAt(block)
		if left == 0 || served && leftServed == 0 {
			continue
		}
		if served {
			leftServed--
		}
		left--
		chosen = append(chosen, block)
	}
	return append(chosen, blocks[last])
}

// dropReports removes the reports for which drop returns true.
func (b *Blocks) dropReports(drop func(crashReport) bool) {
	b.reports = slices.DeleteFunc(b.reports, func(r crashReport) bool {
		if !drop(r) {
			return false
		}
		b.kept -= len(r.request.Blocks)
		return true
	})
}

// alone reports whether no control instance has sent a list lately.
func (b *Blocks) alone() bool {
	for _, v := range b.views {
		if b.now()-v.at < aloneAfter {
			return false
		}
	}
	return true
}

// extendHolds refuses quarantined blocks under which a target has just crashed for as long as
// before. The control instances will count the crash.
func (b *Blocks) extendHolds(blocks []uint64) {
	for _, block := range blocks {
		if h := b.held[block]; h != nil {
			h.at = b.now()
			h.trialAt = b.trialTime(h)
		}
	}
}

// trialTime returns when this instance lets a request with the block through.
func (b *Blocks) trialTime(h *heldBlock) time.Duration {
	spread := max(minTrialSpread, time.Duration(b.instances)*trialSpread)
	end := h.at + holdTime(max(h.crashes, min(h.targets, finalCrashes)))
	return max(end, b.now()) + time.Duration(b.random()*float64(spread))
}

// Alive records that the target responded to a request sent at the time. Connections to it
// that ended earlier did not end by a crash.
func (b *Blocks) Alive(target, incarnation string, sent time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.reports) == 0 {
		return
	}
	b.own.retract(crashID{target, incarnation}, sent)
	b.dropReports(func(r crashReport) bool {
		return r.request.Target == target && r.request.Incarnation == incarnation && r.at < sent
	})
}

// retract removes a crash before the time that did not happen.
func (e *Evidence) retract(id crashID, before time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if c := e.crashes[id]; c != nil && c.at < before {
		e.dropCrash(id)
		e.discount(id)
	}
}

// Served records that a request with the blocks was served in full, which proves them sound.
func (b *Blocks) Served(blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	for _, block := range blocks {
		b.rememberSound(block, now)
	}
	if len(b.reports) > 0 {
		b.own.Record(&peer.SuspectReport{Sound: b.soundAmong(blocks)})
	}
	if b.hasNews(blocks) {
		b.notify()
	}
}

func (b *Blocks) rememberSound(block uint64, at time.Duration) {
	if len(b.sound[0]) >= soundGeneration {
		b.sound = [2]map[uint64]time.Duration{{}, b.sound[0]}
	}
	b.sound[0][block] = max(at, b.sound[0][block])
	if h := b.held[block]; h != nil && at > h.at {
		b.unhold(block)
	}
}

func (b *Blocks) unhold(block uint64) {
	b.logger.Log(event.BlockReleased, zap.String("block", blockName(block)), zap.Int("crashes", b.held[block].crashes))
	delete(b.held, block)
}

// release ends the quarantine of a block that a control instance released.
func (b *Blocks) release(s *peer.SuspectBlock, at time.Duration) {
	if s.Proven {
		b.rememberSound(s.Block, at)
	}
	if h := b.held[s.Block]; h != nil && (at >= h.at || s.Proven && h.crashes < provenCrashes) {
		b.unhold(s.Block)
	}
}

// soundAt returns when a request with the block was last served, if that is known.
func (b *Blocks) soundAt(block uint64) (time.Duration, bool) {
	at, ok := b.sound[0][block]
	if !ok {
		at, ok = b.sound[1][block]
	}
	return at, ok && b.now()-at < soundTTL
}

func (b *Blocks) soundAmong(blocks []uint64) (list []*peer.SoundBlock) {
	for _, block := range blocks {
		if at, ok := b.soundAt(block); ok {
			list = append(list, &peer.SoundBlock{Block: block, AgeMs: (b.now() - at).Milliseconds()})
		}
	}
	return list
}

// hasNews reports whether a control instance lists one of the blocks that were just served.
func (b *Blocks) hasNews(blocks []uint64) bool {
	for _, v := range b.views {
		for _, block := range blocks {
			if l := v.listed[block]; l != nil && !l.Released {
				return true
			}
		}
	}
	return false
}

func (b *Blocks) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// merge takes over the decisions of a list, which is this instance's own or a control instance's.
func (b *Blocks) merge(list []*peer.SuspectBlock, own bool) {
	now := b.now()
	for _, s := range list {
		at := now - peer.Age(s.AgeMs)
		if s.Released {
			b.release(s, at)
		}
		if s.Quarantined {
			b.hold(s, at, own)
		}
	}
}

// hold quarantines the block, unless a request with it was served since its last crash.
func (b *Blocks) hold(s *peer.SuspectBlock, at time.Duration, own bool) {
	if served, ok := b.soundAt(s.Block); ok && (served > at || s.Crashes < provenCrashes) {
		return
	}
	h := b.held[s.Block]
	if h != nil && int(s.Crashes) <= h.crashes && int(s.Targets) <= h.targets {
		h.own = h.own && own
		return
	}
	if h == nil {
		h = &heldBlock{own: own}
		b.held[s.Block] = h
	}
	h.own = h.own && own
	h.crashes, h.targets, h.at = max(h.crashes, int(s.Crashes)), max(h.targets, int(s.Targets)), max(h.at, at)
	h.trialAt = b.trialTime(h)
	b.logger.Log(event.BlockQuarantined, zap.String("block", blockName(s.Block)), zap.Int("crashes", h.crashes),
		zap.Int64("age_ms", (b.now()-at).Milliseconds()), zap.Int64("trial_in_ms", (h.trialAt-b.now()).Milliseconds()))
}

// holdTime returns how long a block is refused after the last of that many crashes. Targets
// that crashed together count separately up to finalCrashes, so that a block for which many
// requests came at once gets no more trials than others.
func holdTime(crashes int) time.Duration {
	switch {
	case crashes < finalCrashes:
		return shortHold
	case crashes < lastTrialCrashes:
		return longHold << (crashes - finalCrashes)
	}
	return verdictTTL
}

// blockName returns the name of a block in log lines: its id in hexadecimal.
func blockName(block uint64) string { return strconv.FormatUint(block, 16) }
