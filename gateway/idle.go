package gateway

import (
	"net"
	"net/http"
	"sync"
)

// idleConnections are the callers' connections on which no request is in progress. [http.Server.Shutdown] would close
// them too, but also those on which the header of a request is arriving, and any other one after its next response,
// even if a further request has arrived on it.
type idleConnections struct {
	mutex sync.Mutex
	conns map[net.Conn]bool
	// closing is true once idle connections are closed.
	closing bool
}

// stateChanged records the state of a connection, as [http.Server.ConnState] reports it.
func (i *idleConnections) stateChanged(c net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if state != http.StateIdle {
		delete(i.conns, c)
		return
	}
	i.conns[c] = true
	if i.closing {
		i.close(c)
	}
}

// closeAll closes the idle connections, and from now on each one that becomes idle.
func (i *idleConnections) closeAll() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.closing = true
	for c := range i.conns {
		i.close(c)
	}
}

// requestArrived reports whether the start of a request has arrived on one of them.
func (i *idleConnections) requestArrived() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c := range i.conns {
		if recorder, ok := c.(*headerRecorder); ok && recorder.requestArrived() {
			return true
		}
	}
	return false
}

// close closes an idle connection unless a request has arrived on it. i.mutex must be held.
func (i *idleConnections) close(c net.Conn) {
	if recorder, ok := c.(*headerRecorder); ok && recorder.requestArrived() {
		return
	}
	_ = c.Close()
}
