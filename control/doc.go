// Package control is the replicated state machine: the configuration, withdrawn
// keys, drains, claims of non-idempotent calls, intents of outward actions,
// usage windows, known instances and the audit trail.
//
// It owns the rules by which a committed command changes the state. Apply is
// deterministic: it reads no clock (time comes with the command), draws no
// random number and keeps its results in an order that does not depend on map
// iteration. It must not import quorum, a transport or the inventory's checks;
// a configuration is checked before it is proposed.
//
// # Usage
//
//	machine := control.New(control.Limits{ClaimRetain: 24 * time.Hour})
//	result := machine.Apply(entry)
//	state := machine.Snapshot()
package control
