// Package peer defines the peer protocol, which auburnscale's own processes use among
// each other: the messages that they exchange and store, and the twirp client and
// server generated from peer.proto.
//
// It contains the types, and Encodable, which finds and leaves out what cannot be encoded.
// It must not import any other package of this module, so that
// packages without I/O (quorum, control) can use the messages without depending on a
// transport.
//
// # Usage
//
//	client := peer.NewPeerProtobufClient("http://10.0.0.2:7101", httpClient)
//	response, err := client.Sync(ctx, &peer.SyncRequest{Instance: "a1"})
//
// Regenerate with:
//
//	go generate ./peer
package peer

//go:generate protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
