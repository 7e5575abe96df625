// Package caller implements the HTTP API for callers: completions, plain services,
// health and metrics.
//
// It handles a request from the first byte to the last: authentication,
// authorization, admission, dispatch, retries, resumption of broken streams, claims on
// idempotency keys, and usage records. The packages route, admit and retry make the
// decisions; this package applies them. It must not use the peer protocol directly
// or read files.
//
// # Usage
//
//	server := caller.New(caller.Config{...}, caller.Dependencies{...})
//	err := server.Listen("10.0.0.2:7001")
//	go server.Serve()
//	server.Stop(noticePeriod, drainTimeout)
package caller
