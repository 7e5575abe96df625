// Package link carries the inner protocol: twirp over HTTP between instances,
// authenticated by a shared key and, where settings give certificates, by mutual
// TLS.
//
// It owns connections between instances and the queues of quorum messages. It
// must not decide anything about their content.
//
// # Usage
//
//	client := link.NewClient(localIP, key, certificates)
//	answer, err := client.Peer("10.0.0.2:7101").Sync(ctx, request)
//	handler := link.Handler(key, server)
package link

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"auburnscale/bind"
	"auburnscale/certificate"
	"auburnscale/peer"
)

const (
	// maxMessageBytes bounds one message of the inner protocol.
	maxMessageBytes   = 64 << 20
	idlePerPeer       = 4
	idleTimeout       = 30 * time.Second
	headerTimeout     = 5 * time.Second
	authorizationName = "Authorization"
	authorizationKind = "Bearer "
)

// A Client represents the outgoing side of the inner protocol. It is safe for
// concurrent use.
type Client struct {
	key          string
	certificates *certificate.Store
	transport    *http.Transport
	http         *http.Client

	mutex sync.Mutex
	peers map[string]peer.Peer
}

// A DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client whose connections come from the local IP number.
// The certificates may be nil for plain TCP.
func NewClient(local netip.Addr, key string, certificates *certificate.Store) *Client {
	c := NewClientOver(bind.Dialer(local).DialContext, key)
	if certificates != nil {
		c.certificates = certificates
		c.transport.TLSClientConfig = certificates.ClientConfig()
	}
	return c
}

// NewClientOver returns a client over the dial function, without TLS.
func NewClientOver(dial DialFunc, key string) *Client {
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{key: key, transport: transport, http: &http.Client{Transport: transport}, peers: map[string]peer.Peer{}}
}

// Peer returns the stub for the instance at the peer address.
func (c *Client) Peer(address string) peer.Peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stub := c.peers[address]
	if stub == nil {
		stub = c.newPeer(address)
		c.peers[address] = stub
	}
	return stub
}

func (c *Client) newPeer(address string) peer.Peer {
	scheme := "http://"
	if c.certificates != nil {
		scheme = "https://"
	}
	authorize := twirp.WithClientHooks(&twirp.ClientHooks{
		RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
			r.Header.Set(authorizationName, authorizationKind+c.key)
			return ctx, nil
		},
	})
	return peer.NewPeerProtobufClient(scheme+address, c.http, authorize)
}

// Handler serves the inner protocol to those who know the key, or to everyone
// if the key is empty.
func Handler(key string, server peer.Peer) http.Handler {
	inner := peer.NewPeerServer(server)
	want := []byte(authorizationKind + key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get(authorizationName))
		if key != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "the peer key does not match", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		inner.ServeHTTP(w, r)
	})
}

// A Server represents the listening side of the inner protocol.
type Server struct {
	http         *http.Server
	listener     net.Listener
	certificates *certificate.Store
}

// Listen opens the listener for the handler. Serve must be called next.
func Listen(address string, handler http.Handler, certificates *certificate.Store) (*Server, error) {
	listener, err := bind.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: 2 * idleTimeout}
	if certificates != nil {
		server.TLSConfig = certificates.MutualServerConfig()
	}
	return &Server{http: server, listener: listener, certificates: certificates}, nil
}

// Serve answers until Close.
func (s *Server) Serve() error {
	if s.certificates != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// Close ends the listener and its connections.
func (s *Server) Close() error { return s.http.Close() }
