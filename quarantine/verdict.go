package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"auburnscale/event"
)

// A verdict is what is decided on a block.
type verdict struct {
	// crashes counts crashes at the same moment once, targets does not.
	crashes, targets int
	at               time.Duration
	quarantined      bool
	// quarantinedAt is when it was quarantined by reported crashes, or 0.
	quarantinedAt time.Duration
	// releasedAt is when the block was released, if it is not quarantined.
	releasedAt time.Duration
	// adopted is the number of crashes that another control instance counted, counted holds the
	// times of the others.
	adopted int
	counted map[crashID]time.Duration
}

// counts reports whether the crash is included.
func (v *verdict) counts(id crashID) bool {
	_, ok := v.counted[id]
	return ok
}

// episodes returns the number of crashes at the sorted times, counting those within episodeGap
// as one.
func episodes(times []time.Duration) (n int) {
	last := time.Duration(0)
	for _, at := range times {
		if n == 0 || at-last >= episodeGap {
			n++
			last = at
		}
	}
	return n
}

// decide drops what has expired, quarantines the blocks that explain the crashes, and updates
// the list.
func (e *Evidence) decide(now time.Duration) {
	e.decidedAt = now
	e.expire(now)
	if !e.stale {
		return
	}
	e.stale = false
	recent := e.takeRecent(now)
	candidates := e.candidates()
	for best := bestExplanation(candidates); best != nil && len(e.verdicts) < maxVerdicts; best = bestExplanation(candidates) {
		e.quarantine(best.block, best.times, recent[best.block], now)
		delete(recent, best.block)
		candidates = e.candidates()
	}
	for block, v := range recent {
		e.verdicts[block] = v
		e.release(block, v, "other block")
	}
	if listed := e.blocksToList(candidates); !slices.Equal(listed, e.listed) {
		e.listed = listed
		e.revision++
	}
}

// takeRecent removes the quarantined blocks that are still under review and returns them.
func (e *Evidence) takeRecent(now time.Duration) map[uint64]*verdict {
	recent := map[uint64]*verdict{}
	for block, v := range e.verdicts {
		if v.quarantined && v.quarantinedAt > 0 && now-v.quarantinedAt < reviewTime {
			recent[block] = v
			delete(e.verdicts, block)
		}
	}
	return recent
}

// quarantine quarantines the block for the crashes at the times. before is its verdict if it is
// under review.
func (e *Evidence) quarantine(block uint64, times []time.Duration, before *verdict, now time.Duration) {
	v := &verdict{crashes: episodes(times), at: times[len(times)-1], quarantined: true, quarantinedAt: now, counted: map[crashID]time.Duration{}}
	var targets []string
	for id, c := range e.crashes {
		if _, ok := c.blocks[block]; ok {
			v.counted[id] = c.at
			targets = append(targets, id.target)
		}
	}
	v.targets = len(targets)
	e.verdicts[block] = v
	if before != nil {
		v.quarantinedAt = before.quarantinedAt
		if v.crashes == before.crashes && v.targets == before.targets {
			return
		}
	}
	e.decisions++
	slices.Sort(targets)
	_, proven := e.sound[block]
	e.logger.Log(event.BlockBlamed, zap.String("block", blockName(block)), zap.Int("crashes", v.crashes), zap.Bool("proven", proven), zap.Strings("targets", targets))
}

// expire removes old crashes and verdicts, and crashes of targets that are alive.
func (e *Evidence) expire(now time.Duration) {
	for id, c := range e.crashes {
		switch {
		case now-c.at > evidenceTTL:
			e.dropCrash(id)
		case e.liveness != nil && e.liveness.HeardSince(id.target, id.incarnation, c.at+heartbeatTolerance):
			e.dropCrash(id)
			e.discount(id)
		}
	}
	for block, v := range e.verdicts {
		if v.quarantined && now-v.at > verdictTTL || !v.quarantined && now-v.releasedAt > releaseTTL {
			delete(e.verdicts, block)
			e.stale = true
		}
	}
	if now-e.sweptAt > soundTTL/10 {
		e.sweptAt = now
		maps.DeleteFunc(e.sound, func(_ uint64, at time.Duration) bool { return now-at > soundTTL })
	}
}

// discount takes a crash that did not happen out of the verdicts.
func (e *Evidence) discount(id crashID) {
	for block, v := range e.verdicts {
		if !v.quarantined || !v.counts(id) {
			continue
		}
		delete(v.counted, id)
		v.targets--
		v.crashes = min(v.crashes, v.adopted+episodes(slices.Sorted(maps.Values(v.counted))))
		_, proven := e.sound[block]
		if v.crashes < quarantineCrashes || proven && v.crashes < provenCrashes {
			e.release(block, v, "target alive")
		}
	}
}

// A candidate is a block that may explain crashes which no quarantined block explains.
type candidate struct {
	block    uint64
	times    []time.Duration
	position int
	proven   bool
}

// better reports whether c explains the crashes better than other: it is not known to have
// been served, it was in flight at more of them, or it is more specific, since it comes later
// in the prompts.
func (c *candidate) better(other *candidate) bool {
	own, others := episodes(c.times), episodes(other.times)
	switch {
	case c.proven != other.proven:
		return !c.proven
	case own != others:
		return own > others
	case c.position != other.position:
		return c.position > other.position
	}
	return c.block < other.block
}

// bestExplanation returns the candidate that explains the crashes best, or nil if none was in
// flight at enough of them.
func bestExplanation(candidates map[uint64]*candidate) (best *candidate) {
	for _, c := range candidates {
		enough := quarantineCrashes
		if c.proven {
			enough = provenCrashes
		}
		if len(c.times) >= enough && episodes(c.times) >= enough && (best == nil || c.better(best)) {
			best = c
		}
	}
	return best
}

// candidates returns the blocks of several crashes that no quarantined block explains.
func (e *Evidence) candidates() map[uint64]*candidate {
	byBlock := map[uint64]*candidate{}
	for _, c := range e.crashes {
		if e.explained(c) {
			continue
		}
		for block, position := range c.blocks {
			if e.counts[block] < listedCrashes {
				continue
			}
			known := byBlock[block]
			if known == nil {
				_, proven := e.sound[block]
				known = &candidate{block: block, proven: proven}
				byBlock[block] = known
			}
			known.times = append(known.times, c.at)
			known.position = max(known.position, position)
		}
	}
	for _, c := range byBlock {
		if len(c.times) > 1 {
			slices.Sort(c.times)
		}
	}
	return byBlock
}

// explained reports whether a quarantined block was in flight at the crash.
func (e *Evidence) explained(c *crash) bool {
	for block := range c.blocks {
		if v := e.verdicts[block]; v != nil && v.quarantined {
			return true
		}
	}
	return false
}

// blocksToList returns the blocks that List describes, in order.
func (e *Evidence) blocksToList(candidates map[uint64]*candidate) []listedBlock {
	list := make([]listedBlock, 0, len(e.verdicts))
	for _, block := range slices.Sorted(maps.Keys(e.verdicts)) {
		list = append(list, listedBlock{block: block})
	}
	var suspects []listedBlock
	for block, c := range candidates {
		if n := len(c.times); n >= listedCrashes && e.verdicts[block] == nil && episodes(c.times) >= listedCrashes {
			suspects = append(suspects, listedBlock{block, episodes(c.times), c.times[n-1]})
		}
	}
	if len(suspects) > maxListedSuspects {
		slices.SortFunc(suspects, func(x, y listedBlock) int {
			if candidates[x.block].better(candidates[y.block]) {
				return -1
			}
			return 1
		})
		suspects = suspects[:maxListedSuspects]
	}
	slices.SortFunc(suspects, func(x, y listedBlock) int { return cmp.Compare(x.block, y.block) })
	return append(list, suspects...)
}
