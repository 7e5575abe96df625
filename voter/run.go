package voter

import (
	"time"

	"go.uber.org/zap"

	"auburnscale/clock"
	"auburnscale/event"
	"auburnscale/peer"
	"auburnscale/quorum"
)

// run is the voter's loop. One pass takes whatever waits, so that many
// proposals share one sync of the disk.
func (v *Voter) run() {
	defer close(v.done)
	defer v.failWaiters()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !v.broken {
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
		v.settle()
	}
	<-v.stop
}

func (v *Voter) drainQueues() {
	for range maxBatch {
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
		p.answer <- answer{err: ErrNotLeader}
		return
	}
	v.waiters[index] = waiter{term: v.node.Term(), answer: p.answer}
}

func (v *Voter) proposeVoters(p proposal) {
	if v.node.Role() != quorum.Leader {
		p.answer <- answer{err: ErrNotLeader}
		return
	}
	if err := v.node.ChangeVoters(v.now(), p.voters); err != nil {
		p.answer <- answer{result: &peer.Result{Code: peer.Result_REFUSED, Detail: err.Error()}}
		return
	}
	v.log(event.VotersChanged, zap.Uint64s("voters", p.voters.Ids), zap.Uint64s("learners", p.voters.Learners))
	v.waiters[v.node.LastIndex()] = waiter{term: v.node.Term(), answer: p.answer}
}

// settle makes the effects durable, sends messages and applies what is
// committed. Nothing is sent before it is stored.
func (v *Voter) settle() {
	v.noticeRole()
	effects := v.node.TakeEffects()
	if err := v.store(effects); err != nil {
		v.breakDown(err)
		return
	}
	v.node.MarkDurable(v.now(), v.node.LastIndex())
	if len(effects.Messages) > 0 {
		v.link.Send(effects.Messages)
	}
	v.apply()
	v.publish()
	v.compact()
}

// noticeRole opens a leader's term with an entry of its own, which also commits
// what earlier leaders left behind.
func (v *Voter) noticeRole() {
	if v.node.HoldOffEndedEarly() && !v.quietEnded {
		v.quietEnded = true
		v.log(event.QuietEnded, zap.Uint64("term", v.node.Term()))
	}
	leading := v.node.Role() == quorum.Leader
	if leading && (!v.leading || v.startTerm != v.node.Term()) {
		v.since = clock.Now()
		v.startTerm = v.node.Term()
		v.log(event.LeaderElected, zap.Uint64("term", v.node.Term()))
		v.node.Propose(v.now(), []*peer.Command{{
			AtMs: clock.Wall().UnixMilli(),
			Body: &peer.Command_StartTerm{StartTerm: &peer.StartTerm{Issuer: v.config.Incarnation}},
		}})
	}
	if !leading && v.leading {
		v.log(event.LeaderLost, zap.Uint64("term", v.node.Term()))
		v.failWaiters()
		v.mutex.Lock()
		v.signalLocked()
		v.mutex.Unlock()
	}
	v.leading = leading
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
	v.applied = s.Index
	v.appliedTerm = s.Term
	v.compacted = s.Index
	v.log(event.SnapshotTaken, zap.Uint64("index", s.Index))
	return nil
}

func (v *Voter) apply() {
	entries := v.node.Entries(v.applied+1, v.node.CommitIndex())
	if len(entries) == 0 {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	before := v.machine.Revision()
	for _, e := range entries {
		result := v.machine.Apply(e)
		v.applied = e.Index
		v.appliedTerm = e.Term
		v.answer(e, result)
	}
	if v.machine.Revision() != before {
		v.signalLocked()
	}
}

// signalLocked wakes those who wait for a change.
func (v *Voter) signalLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *Voter) answer(e *peer.Entry, result *peer.Result) {
	w, ok := v.waiters[e.Index]
	if !ok {
		return
	}
	delete(v.waiters, e.Index)
	if w.term != e.Term {
		w.answer <- answer{err: ErrUncertain}
		return
	}
	w.answer <- answer{result: result}
}

// publish makes the standing visible. A leader may act only once it has applied
// the first entry of its own term, and with it all that was committed before.
func (v *Voter) publish() {
	now := v.now()
	lease, held := v.node.LeaseUntil(now)
	v.standing.Store(&Status{
		leader: v.node.Leader(), term: v.node.Term(), commit: v.node.CommitIndex(),
		leading: held && v.appliedOwnTerm(), lease: v.started + lease,
		voters: v.node.Voters(), since: v.since, members: v.node.Members(now),
		heard: v.started + v.node.LastLeaderContact(now),
	})
}

func (v *Voter) appliedOwnTerm() bool { return v.appliedTerm == v.node.Term() }

func (v *Voter) compact() {
	if v.applied-v.compacted < v.config.CompactEntries {
		return
	}
	v.mutex.RLock()
	state := v.machine.Snapshot()
	v.mutex.RUnlock()
	snapshot := v.node.Compact(v.applied, state)
	if snapshot == nil {
		return
	}
	if err := v.folder.SaveSnapshot(snapshot, v.node.EntriesAfterSnapshot()); err != nil {
		v.breakDown(err)
		return
	}
	v.compacted = v.applied
	v.log(event.SnapshotSaved, zap.Uint64("index", snapshot.Index))
}

// breakDown ends this voter's part: what the disk holds is unknown, so it must
// neither vote nor acknowledge. The process goes on as an entry instance.
func (v *Voter) breakDown(err error) {
	if !v.broken {
		close(v.failure)
	}
	v.broken = true
	v.log(event.StorageFailed, zap.Error(err))
	v.failWaiters()
	v.standing.Store(&Status{voters: v.node.Voters()})
}

func (v *Voter) failWaiters() {
	for index, w := range v.waiters {
		w.answer <- answer{err: ErrUncertain}
		delete(v.waiters, index)
	}
}
