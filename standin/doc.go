// Package standin holds stand-ins for the systems that auburnscale serves with:
// a model engine, a plain service and the platform, each with switches for
// faults.
//
// It owns their protocols as docs/TARGETS.md gives them, the timing model of an
// engine (continuous batching, prefill and decode competing for a step, a
// limited prefix cache and KV memory) and the record of what reached them. Random
// numbers come from a seed. It must not import the product's decisions, so that
// an error in them cannot hide in the stand-in.
//
// # Usage
//
//	engine := standin.NewEngine(standin.EngineConfig{Name: "e1", Slots: 16})
//	err := engine.Listen("127.0.0.1:8001")
//	defer engine.Kill()
package standin
