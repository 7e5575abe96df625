// Package quorum decides, for one voter of the replicated log, what to do about
// each message, each tick of time and each proposal.
//
// It owns the election (with pre-vote and check-quorum), the leader's lease,
// log replication, snapshots and changes of the voter set. It is a pure step
// function: it reads no clock, opens no file and sends nothing. The caller hands
// in the monotonic time, takes Effects out, makes them durable, and only then
// sends their messages. It must not import storage, a transport or control.
//
// # Lease
//
// A leader's lease runs from the time it sent the heartbeat that a quorum has
// acknowledged. A voter that acknowledges promises not to help elect another
// leader for Timing.Promise from the receipt. The promise is not stored, so a
// voter that starts again keeps quiet for a whole Promise first. With clocks
// that drift by less than Promise/Lease, no new leader can be elected before the
// old one's lease has ended.
//
// # Usage
//
//	node := quorum.New(quorum.Config{ID: 1, Voters: ids, Timing: timing, Rand: r}, restored, now)
//	node.Receive(now, message)
//	node.Tick(now)
//	effects := node.Take()
//	// store effects.Hard and effects.Entries, sync, then:
//	node.Stored(lastIndex)
//	// send effects.Messages, apply node.Committed()
package quorum
