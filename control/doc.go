// Package control implements the replicated state machine of the control plane.
// It holds the configuration, withdrawn keys, drains, quarantined requests,
// claims of non-idempotent calls, intents of external actions, usage windows,
// registered instances and the audit trail.
//
// The package defines how each committed command changes the state. Apply is
// deterministic: it reads no clock (the time comes with the command), uses no
// random numbers and produces results whose order does not depend on map
// iteration. The package must not import quorum, a transport or the inventory
// validation; a configuration is validated before it is proposed.
//
// # Usage
//
//	machine := control.New(control.Limits{ClaimRetain: 24 * time.Hour})
//	result := machine.Apply(entry)
//	state := machine.Snapshot()
package control
