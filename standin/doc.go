// Package standin provides stand-ins for the external systems that auburnscale
// works with: a model engine, a plain service and the platform, each with
// configurable faults.
//
// The package implements their protocols as docs/TARGETS.md describes them, the
// timing model of an engine (continuous batching, prefill and decode competing for
// a step, a limited prefix cache and limited KV memory) and a record of the calls
// they received. Random numbers come from a seed. It must not import the packages
// that make auburnscale's decisions, so that an error in them cannot be repeated,
// and so hidden, in the stand-in.
//
// # Usage
//
//	engine := standin.NewEngine(standin.EngineConfig{Name: "e1", Slots: 16})
//	err := engine.Listen("127.0.0.1:8001")
//	defer engine.Kill()
package standin
