// Package caller is the side towards callers: the HTTP API for completions and
// plain services, health and metrics.
//
// It owns a request from its first byte to its last: who asks, whether the rules
// allow it, admission, dispatch, retries, resume, the claim of calls that may
// run only once, and the usage record. The decisions themselves are in route,
// admit and retry; this package applies them. It must not speak the inner
// protocol or read files.
//
// # Usage
//
//	server := caller.New(caller.Config{...}, caller.Parts{...})
//	err := server.Listen("10.0.0.2:7001")
//	go server.Serve()
//	server.Stop()
package caller
