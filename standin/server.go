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
	maxBody         = 64 << 20
)

// server is the listening side that all stand-ins share. Kill ends it as a crash
// would: every connection is cut.
type server struct {
	http     *fasthttp.Server
	listener *trackedListener
}

func (s *server) listen(address string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = &trackedListener{Listener: listener, open: map[net.Conn]bool{}}
	s.http = &fasthttp.Server{Handler: echoID(handler), MaxRequestBodySize: maxBody, NoDefaultServerHeader: true, Logger: silent{}}
	go s.run()
	return nil
}

func (s *server) run() { _ = s.http.Serve(s.listener) }

// Address returns where the stand-in listens.
func (s *server) Address() string { return s.listener.Addr().String() }

// Kill cuts every connection and stops listening.
func (s *server) Kill() { s.listener.kill() }

// silent drops the HTTP library's words about connections that a fault cut.
type silent struct{}

// Printf drops the line.
func (silent) Printf(string, ...any) {}

func echoID(next fasthttp.RequestHandler) fasthttp.RequestHandler {
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

// Accept returns the next connection and remembers it.
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

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.listener.mutex.Lock()
	delete(c.listener.open, c)
	c.listener.mutex.Unlock()
	return c.Conn.Close()
}

func answerJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(jsonType)
	ctx.SetBody(data)
}

// notice is the JSON form of a plain message.
type notice struct {
	Message string `json:"message"`
}
