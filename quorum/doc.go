// Package quorum implements the consensus protocol of the replicated log for one
// voter: it decides how the voter reacts to each message, clock tick and proposal.
//
// It owns leader election (with pre-vote and check-quorum), the leader's lease,
// log replication, snapshots and changes of the voter set. It is a pure step
// function: it reads no clock, opens no file and sends nothing. The caller passes
// in the monotonic time, takes Effects out, makes them durable, and only then
// sends their messages. It must not import storage, a transport or control.
//
// # Lease
//
// A leader's lease runs from the time it sent the heartbeat that a quorum has
// acknowledged. A voter that acknowledges a heartbeat withholds its vote from
// other candidates for Timing.MinElectionTimeout from the receipt. This
// commitment is not stored, so a restarted voter first holds off: it neither
// votes nor campaigns for a full MinElectionTimeout. As long as the rates of two
// clocks differ by less than the factor MinElectionTimeout/Lease, no new leader
// can be elected before the old leader's lease has ended.
//
// # Usage
//
//	node := quorum.New(quorum.Config{ID: 1, Voters: ids, Timing: timing, Rand: r}, restored, now)
//	node.Receive(now, message)
//	node.Tick(now)
//	effects := node.TakeEffects()
//	// install effects.Snapshot, store effects.HardState and effects.Entries, sync, then:
//	node.MarkDurable(now, node.LastIndex())
//	// send effects.Messages, apply node.Entries(applied+1, node.CommitIndex())
package quorum
