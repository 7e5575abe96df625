// Package transport is the transport of the peer protocol: Twirp over HTTP between
// instances, authenticated by a shared key and, if the settings name certificates,
// by mutual TLS.
//
// It owns the connections between instances and the queues of quorum messages. It
// does not interpret the messages.
//
// # Usage
//
//	client := transport.NewClient(localIP, key, certificates)
//	response, err := client.Peer("10.0.0.2:7101").Sync(ctx, request)
//	handler := transport.Handler(key, server, report)
package transport

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"auburnscale/account"
	"auburnscale/certificate"
	"auburnscale/connlimit"
	"auburnscale/peer"
	"auburnscale/tcp"
)

const (
	// maxMessageBytes is the maximum size of one message of the peer protocol.
	maxMessageBytes = 32 << 20
	// maxResponsesBytes bounds the responses that are being read at once: one of the maximum size and many small ones.
	maxResponsesBytes = 40 << 20
	maxIdlePerPeer    = 4
	idleTimeout       = 30 * time.Second
	headerTimeout     = 5 * time.Second
	// requestTimeout bounds the time that a request takes to arrive.
	requestTimeout    = 30 * time.Second
	maxHeaderBytes    = 64 << 10
	authorizationName = "Authorization"
	authorizationKind = "Bearer "
)

// A Client is the client side of the peer protocol. It is safe for concurrent use.
type Client struct {
	key          string
	certificates *certificate.Store
	transport    *http.Transport
	http         *http.Client

	mutex sync.Mutex
	// peers holds the clients by peer address.
	peers map[string]peer.Peer
}

// A DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client whose connections have the local IP address. The
// certificates are nil for connections without TLS.
func NewClient(local netip.Addr, key string, certificates *certificate.Store) *Client {
	c := NewClientWithDial(tcp.Dialer(local).DialContext, key)
	if certificates != nil {
		c.certificates = certificates
		c.transport.TLSClientConfig = certificates.ClientConfig()
	}
	return c
}

// NewClientWithDial returns a client that connects with the dial function, without
// TLS.
func NewClientWithDial(dial DialFunc, key string) *Client {
	transport := &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	bounded := boundedTransport{transport, account.NewBudget(maxResponsesBytes)}
	return &Client{key: key, transport: transport, http: &http.Client{Transport: bounded}, peers: map[string]peer.Peer{}}
}

// A boundedTransport bounds the bodies of responses to maxMessageBytes each and, together, to the budget.
type boundedTransport struct {
	*http.Transport
	budget *account.Budget
}

// RoundTrip implements [http.RoundTripper].
func (t boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &keptBody{ReadCloser: http.MaxBytesReader(nil, response.Body, maxMessageBytes), budget: t.budget}
	return response, nil
}

var errResponsesFull = errors.New("responses of other instances exceed the memory for them")

// A keptBody is a body whose reader keeps the bytes until it closes the body. It has a single reader.
type keptBody struct {
	io.ReadCloser
	budget *account.Budget
	kept   int64
}

// Read implements [io.Reader].
func (b *keptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if !b.budget.Reserve(b.kept, int64(n)) {
			return 0, errResponsesFull
		}
		b.kept += int64(n)
	}
	return n, err
}

// Close implements [io.Closer].
func (b *keptBody) Close() error {
	b.budget.Release(b.kept)
	b.kept = 0
	return b.ReadCloser.Close()
}

// Peer returns the peer protocol client for the instance at the peer address.
func (c *Client) Peer(address string) peer.Peer {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	client := c.peers[address]
	if client == nil {
		client = c.newPeer(address)
		c.peers[address] = client
	}
	return client
}

// newPeer returns a new client that sends the key with every request.
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
	return peer.NewPeerProtobufClient(scheme+address, c.http, authorize, twirp.WithClientInterceptors(encodableRequests))
}

// Handler returns a handler that serves the peer protocol to clients that send the
// key, or to all clients if the key is empty. What cannot be encoded of a response is left out and
// reported.
func Handler(key string, server peer.Peer, report TextReport) http.Handler {
	peerServer := peer.NewPeerServer(server, twirp.WithServerInterceptors(encodableResponses(report)))
	want := []byte(authorizationKind + key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get(authorizationName))
		if key != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "the peer key does not match", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxMessageBytes)
		peerServer.ServeHTTP(w, r)
	})
}

// A Server is the server side of the peer protocol.
type Server struct {
	http         *http.Server
	listener     net.Listener
	certificates *certificate.Store
}

// Listen listens at the address and returns a server for the handler, with mutual
// TLS unless the certificates are nil. The caller must then call Serve.
func Listen(address string, handler http.Handler, certificates *certificate.Store) (*Server, error) {
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, IdleTimeout: 2 * idleTimeout, MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true}
	if certificates != nil {
		server.TLSConfig = certificates.MutualServerConfig()
	}
	return &Server{http: server, listener: listener, certificates: certificates}, nil
}

// Limit bounds the connections of the server. It must be called before Serve.
func (s *Server) Limit(l *connlimit.Limiter) { s.listener = l.Apply(s.http, s.listener) }

// Serve handles requests until Close. It always returns a non-nil error.
func (s *Server) Serve() error {
	if s.certificates != nil {
		return s.http.ServeTLS(s.listener, "", "")
	}
	return s.http.Serve(s.listener)
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }
