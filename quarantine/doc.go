// Package quarantine finds the prompt blocks under which targets crash, so that requests
// with such a block are refused instead of being sent to ever more targets.
//
// Requests that share a block differ in everything else, and a target that crashes breaks
// off all requests that are in flight there. Therefore a block is judged by all crashes
// together: the blocks are sought that explain them with as few blocks as possible, and a
// complete response to a request with a block proves that block sound. The fingerprint of a
// request counts as its last block, so that a single request that is sent again and again is
// blamed itself, not the blocks that it shares with others.
//
// It owns the [Evidence] that control instances gather from all instances, and the [Blocks]
// that an instance refuses requests by. Both are soft state: instances report to every
// control instance, and pass on what one of them does not know. The package does no I/O.
//
// # Usage
//
//	evidence := quarantine.NewEvidence(clock.Now, roster, logger)
//	evidence.Record(report)
//	list := evidence.List()
//
//	blocks := quarantine.NewBlocks(clock.Now, rand.Float64, logger)
//	admission := blocks.Admit(ids)
//	defer blocks.End(admission)
//	blocks.Crashed(target, incarnation, ids)
package quarantine
