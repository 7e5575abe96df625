package voter

import (
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quorum"
)

// run is the voter's loop. One pass handles all queued messages and proposals, up to
// maxItemsPerPass, so that many proposals share one sync of the log.
func (v *Voter) run() {
	defer close(v.done)
	defer v.failWaiters()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !v.halted {
		select {
		case <-v.stop:
			return
		case <-ticker.C:
		case messages := <-v.inbox:
			v.receive(messages)
		case p := <-v.proposals:
			v.propose(p)
		}
		v.drainQueues()
		v.node.Tick(v.now())
		v.processEffects()
	}
	<-v.stop
}

func (v *Voter) drainQueues() {
	for range maxItemsPerPass {
		select {
		case messages := <-v.inbox:
			v.receive(messages)
		case p := <-v.proposals:
			v.propose(p)
		default:
			return
		}
	}
}

func (v *Voter) receive(messages []*peer.Message) {
	for _, m := range messages {
		if m.To == v.config.ID {
			v.node.Receive(v.now(), m)
		}
	}
}

func (v *Voter) propose(p proposal) {
	if p.voters != nil {
		v.proposeVoters(p)
		return
	}
	index, ok := v.node.Propose(v.now(), []*peer.Command{p.command})
	if !ok {
		p.resultCh <- proposalResult{err: ErrNotLeader}
		return
	}
	v.waiters[index] = waiter{term: v.node.Term(), resultCh: p.resultCh}
}

func (v *Voter) proposeVoters(p proposal) {
	if v.node.Role() != quorum.Leader {
		p.resultCh <- proposalResult{err: ErrNotLeader}
		return
	}
	if err := v.node.ChangeVoters(v.now(), p.voters); err != nil {
		p.resultCh <- proposalResult{result: &peer.Result{Code: peer.Result_REFUSED, Detail: err.Error()}}
		return
	}
	v.log(event.VotersChanged, zap.Uint64s("voters", p.voters.Ids), zap.Uint64s("learners", p.voters.Learners))
	v.waiters[v.node.LastIndex()] = waiter{term: v.node.Term(), resultCh: p.resultCh}
}

// processEffects persists the effects of the quorum node, then sends its messages,
// applies committed entries and publishes the status. Nothing is sent before the
// state that it depends on is stored.
func (v *Voter) processEffects() {
	v.handleRoleChange()
	effects := v.node.TakeEffects()
	if err := v.store(effects); err != nil {
		v.handleStorageFailure(err)
		return
	}
	v.node.MarkDurable(v.now(), v.node.LastIndex())
	if len(effects.Messages) > 0 {
		v.link.Send(effects.Messages)
	}
	v.applyCommitted()
	v.publishStatus()
	v.maybeCompact()
}

// handleRoleChange handles the gain and the loss of leadership. A new leader
// proposes an entry of its own term, which also commits the uncommitted entries of
// earlier leaders. A leader that lost its role fails all pending proposals.
func (v *Voter) handleRoleChange() {
	if v.node.HoldOffEndedEarly() && !v.holdOffEndLogged {
		v.holdOffEndLogged = true
		v.log(event.HoldOffEndedEarly, zap.Uint64("term", v.node.Term()))
	}
	leading := v.node.Role() == quorum.Leader
	if leading && (!v.wasLeader || v.leaderTerm != v.node.Term()) {
		v.leaderSince = clock.Now()
		v.leaderTerm = v.node.Term()
		v.log(event.LeaderElected, zap.Uint64("term", v.node.Term()))
		v.node.Propose(v.now(), []*peer.Command{{
			AtMs: clock.Wall().UnixMilli(),
			Body: &peer.Command_StartTerm{StartTerm: &peer.StartTerm{Issuer: v.config.Incarnation}},
		}})
	}
	if !leading && v.wasLeader {
		v.log(event.LeaderLost, zap.Uint64("term", v.node.Term()))
		v.failWaiters()
		v.mutex.Lock()
		v.notifyChangedLocked()
		v.mutex.Unlock()
	}
	v.wasLeader = leading
}

func (v *Voter) store(effects quorum.Effects) error {
	if effects.Snapshot != nil {
		if err := v.installSnapshot(effects.Snapshot); err != nil {
			return err
		}
	}
	if effects.HardState == nil && len(effects.Entries) == 0 {
		return nil
	}
	if err := v.folder.Append(effects.HardState, effects.Entries); err != nil {
		return err
	}
	return v.folder.Sync()
}

func (v *Voter) installSnapshot(s *peer.Snapshot) error {
	if err := v.folder.SaveSnapshot(s, nil); err != nil {
		return err
	}
	v.mutex.Lock()
	v.machine.Restore(s.State)
	v.mutex.Unlock()
	v.lastApplied = s.Index
	v.lastAppliedTerm = s.Term
	v.lastCompacted = s.Index
	v.log(event.SnapshotInstalled, zap.Uint64("index", s.Index))
	return nil
}

func (v *Voter) applyCommitted() {
	entries := v.node.Entries(v.lastApplied+1, v.node.CommitIndex())
	if len(entries) == 0 {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	before := v.machine.Revision()
	for _, e := range entries {
		result := v.machine.Apply(e)
		if e.Command != nil && e.Command.Body == nil {
			v.log(event.CommandUnknown, zap.Uint64("index", e.Index))
		}
		v.lastApplied = e.Index
		v.lastAppliedTerm = e.Term
		v.completeProposal(e, result)
	}
	if v.machine.Revision() != before {
		v.notifyChangedLocked()
	}
}

// notifyChangedLocked wakes the goroutines that wait on Changed. The caller must
// hold the mutex.
func (v *Voter) notifyChangedLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// completeProposal sends the result of an applied entry to the proposal that waits
// for its index. An entry of another term has replaced the proposed one there, so
// the proposal gets ErrUncertain.
func (v *Voter) completeProposal(e *peer.Entry, result *peer.Result) {
	w, ok := v.waiters[e.Index]
	if !ok {
		return
	}
	delete(v.waiters, e.Index)
	if w.term != e.Term {
		w.resultCh <- proposalResult{err: ErrUncertain}
		return
	}
	w.resultCh <- proposalResult{result: result}
}

// publishStatus publishes the current status. A leader may perform external actions
// only once it has applied the first entry of its own term, and thereby every entry
// committed before it.
func (v *Voter) publishStatus() {
	now := v.now()
	lease, held := v.node.LeaseUntil(now)
	v.status.Store(&Status{
		leader: v.node.Leader(), term: v.node.Term(), commit: v.node.CommitIndex(),
		activeLeader: held && v.hasAppliedOwnTerm(), leaseEnd: v.startTime + lease,
		voters: v.node.Voters(), leaderSince: v.leaderSince, members: v.node.Members(now),
		lastLeaderContact: v.startTime + v.node.LastLeaderContact(now),
	})
}

func (v *Voter) hasAppliedOwnTerm() bool { return v.lastAppliedTerm == v.node.Term() }

// maybeCompact replaces the log up to the last applied entry by a snapshot if at
// least CompactEntries entries have been applied since the last one.
func (v *Voter) maybeCompact() {
	if v.lastApplied-v.lastCompacted < v.config.CompactEntries {
		return
	}
	v.mutex.RLock()
	state := v.machine.Snapshot()
	v.mutex.RUnlock()
	snapshot := v.node.Compact(v.lastApplied, state)
	if snapshot == nil {
		return
	}
	if err := v.folder.SaveSnapshot(snapshot, v.node.EntriesAfterSnapshot()); err != nil {
		v.handleStorageFailure(err)
		return
	}
	v.lastCompacted = v.lastApplied
	v.log(event.SnapshotSaved, zap.Uint64("index", snapshot.Index))
}

// handleStorageFailure stops this voter's participation. The content of the disk is
// unknown, so the voter must neither vote nor acknowledge entries. The process
// continues as an entry instance.
func (v *Voter) handleStorageFailure(err error) {
	if !v.halted {
		close(v.storageFailed)
	}
	v.halted = true
	v.log(event.StorageFailed, zap.Error(err))
	v.failWaiters()
	v.status.Store(&Status{voters: v.node.Voters()})
}

func (v *Voter) failWaiters() {
	for index, w := range v.waiters {
		w.resultCh <- proposalResult{err: ErrUncertain}
		delete(v.waiters, index)
	}
}
