// Package peer holds the inner protocol: the messages that auburnscale's own
// processes exchange and store, and the twirp stubs generated from peer.proto.
//
// It owns types only. It must not import any other package of this module, so
// that the pure packages (quorum, control) can use the messages without pulling
// in a transport.
//
// # Usage
//
//	client := peer.NewPeerProtobufClient("http://10.0.0.2:7101", httpClient)
//	answer, err := client.Sync(ctx, &peer.SyncRequest{Instance: "a1"})
//
// Regenerate with:
//
//	go generate ./peer
package peer

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
