package quarantine

import (
	"maps"
	"slices"
	"time"

	"auburnscale/peer"
)

// Report returns what the incarnation of a control instance does not know yet, or nil if
// there is nothing, and the position to acknowledge once it has received the report. server is
// empty if its incarnation is not known.
func (b *Blocks) Report(server string) (*peer.SuspectReport, uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	b.dropReports(func(r crashReport) bool { return now-r.at > evidenceTTL })
	view := b.views[server]
	if view == nil {
		view = newControlView()
	}
	report := &peer.SuspectReport{}
	position := view.received
	sound := map[uint64]bool{}
	reported := 0
	for _, r := range b.reports {
		if r.seq <= view.received {
			continue
		}
		reported += len(r.request.Blocks)
		if n := len(report.Crashed); n >= maxReportedRequests || n > 0 && reported > maxReportedBlocks {
			break
		}
		position = r.seq
		report.Crashed = append(report.Crashed, &peer.CrashedRequest{
			Target: r.request.Target, Incarnation: r.request.Incarnation, AgeMs: (now - r.at).Milliseconds(), Blocks: r.request.Blocks,
		})
		for _, block := range r.request.Blocks {
			sound[block] = true
		}
	}
	for block, listed := range view.listed {
		if b.contradicts(listed, view) {
			sound[block] = true
		}
	}
	report.Sound = b.soundAmong(slices.Sorted(maps.Keys(sound)))
	if b.views[server] != nil {
		report.Quarantined = b.missingFrom(view)
	}
	if len(report.Crashed)+len(report.Sound)+len(report.Quarantined) == 0 {
		return nil, 0
	}
	return report, position
}

// contradicts reports whether this instance served a request with the listed block that the
// control instance does not know of and that would change its decision.
func (b *Blocks) contradicts(listed *peer.SuspectBlock, view *controlView) bool {
	served, ok := b.soundAt(listed.Block)
	if !ok || listed.Released || served <= view.told[listed.Block] {
		return false
	}
	return !listed.Proven || served > view.at-peer.Age(listed.AgeMs)
}

// missingFrom returns the blocks that another control instance quarantined and this one does not
// list.
func (b *Blocks) missingFrom(view *controlView) (list []*peer.SuspectBlock) {
	now := b.now()
	for _, block := range slices.Sorted(maps.Keys(b.held)) {
		h := b.held[block]
		if known := view.listed[block]; h.own || known != nil && (known.Quarantined || known.Released) || view.told[block] >= h.at {
			continue
		}
		list = append(list, &peer.SuspectBlock{Block: block, Crashes: int32(h.crashes), Targets: int32(h.targets), AgeMs: (now - h.at).Milliseconds(), Quarantined: true})
	}
	return list
}

// Sent records that the incarnation of a control instance received the report.
func (b *Blocks) Sent(server string, report *peer.SuspectReport, position uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	view := b.view(server)
	view.received = max(view.received, position)
	for _, s := range report.Sound {
		view.told[s.Block] = now - peer.Age(s.AgeMs)
	}
	for _, q := range report.Quarantined {
		view.told[q.Block] = now - peer.Age(q.AgeMs)
	}
}

func (b *Blocks) view(server string) *controlView {
	v := b.views[server]
	if v == nil {
		v = newControlView()
		v.at = b.now()
		b.views[server] = v
	}
	return v
}

// Received takes over the list of an incarnation of a control instance.
func (b *Blocks) Received(server string, list []*peer.SuspectBlock) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	maps.DeleteFunc(b.views, func(_ string, v *controlView) bool { return now-v.at > viewTTL })
	view := b.view(server)
	view.at = now
	view.listed = make(map[uint64]*peer.SuspectBlock, len(list))
	for _, s := range list {
		view.listed[s.Block] = s
	}
	maps.DeleteFunc(view.told, func(block uint64, _ time.Duration) bool { return view.listed[block] == nil && b.held[block] == nil })
	b.merge(list, false)
	maps.DeleteFunc(b.held, func(_ uint64, h *heldBlock) bool { return now-h.at > verdictTTL })
	if len(list) > 0 || len(b.held) > 0 {
		b.notify()
	}
}
