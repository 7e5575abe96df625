package standin

import (
	"encoding/json"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

const (
	jsonType        = "application/json"
	requestIDHeader = "X-Request-Id"
	fencingHeader   = "X-Fencing-Number"
	maxBodyBytes    = 64 << 20
)

// server is the HTTP server that all stand-ins share. It returns the request ID of
// each request in its response.
type server struct {
	http     *fasthttp.Server
	listener *trackedListener
	limit    rateLimit
}

func (s *server) listen(address string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = &trackedListener{Listener: listener, open: map[net.Conn]bool{}}
	s.http = &fasthttp.Server{Handler: echoRequestID(s.limit.name(handler)), MaxRequestBodySize: maxBodyBytes, NoDefaultServerHeader: true, Logger: discardLogger{}}
	go s.run()
	return nil
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

// Address returns the address on which the stand-in listens.
func (s *server) Address() string { return s.listener.Addr().String() }

// Kill closes the listener and every connection, as a crash would.
func (s *server) Kill() { s.listener.kill() }

// discardLogger discards the HTTP library's log lines about connections that an
// injected fault closed.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func echoRequestID(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if id := ctx.Request.Header.Peek(requestIDHeader); len(id) > 0 {
			ctx.Response.Header.SetBytesV(requestIDHeader, id)
		}
		next(ctx)
	}
}

type trackedListener struct {
	net.Listener
	mutex sync.Mutex
	open  map[net.Conn]bool
}

// Accept returns the next connection and adds it to the open connections.
func (l *trackedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: connection, listener: l}
	l.mutex.Lock()
	l.open[tracked] = true
	l.mutex.Unlock()
	return tracked, nil
}

func (l *trackedListener) kill() {
	l.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.open {
		connection.(*trackedConn).Conn.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *trackedListener
}

// Close closes the connection and removes it from the open connections.
func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

func respondJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
}

// messageBody is a JSON response body that holds only a message.
type messageBody struct {
	Message string `json:"message"`
}
