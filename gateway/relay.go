package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"auburnscale/exchange"
	"auburnscale/route"
)

// A bufferedResponse is a target's response that was read in full.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the caller.
func (k *bufferedResponse) write(c *call) {
	c.status = strconv.Itoa(k.status)
	c.copyHeader(k.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	c.writer.WriteHeader(k.status)
	// The error is ignored: a disconnected caller cancels the request's context.
	_, _ = c.writer.Write(k.body)
}

// copyHeader sets the header of the response to the caller from that of a target's.
func (c *call) copyHeader(from http.Header) {
	h := c.writer.Header()
	for name, values := range from {
		if c.server.deps.Codec.ForwardsToCaller(name) {
			h[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a content type.
		h["Content-Type"] = nil
	}
}

var eventTerminator = []byte("\n\n")

// A relay forwards a stream of server-sent events to the caller, from one target
// after the other if the stream is resumed. Only complete events are forwarded, so
// that the next target can continue after the last event.
type relay struct {
	call      *call
	resumable bool
	started   bool
	pending   []byte
	lastID    string
}

const relayBufferBytes = 8 << 10

// stream forwards events as they arrive, and resumes the stream at another target if
// this one fails and the route allows it. Once the caller has received a part, a
// stream that cannot be resumed is aborted so that it does not look complete. Before
// that, stream returns false, with a failure if the request must not be retried.
func (c *call) stream(t *route.Target, reply *exchange.Response, onStart func()) (bool, *failure) {
	r := &relay{call: c, resumable: c.route.Resumable, lastID: c.info.LastEventID}
	for {
		err := r.copy(reply, onStart)
		if err == nil {
			c.status = "200"
			c.server.deps.Fleets.Succeeded(c.service.Name, t)
			c.server.deps.Suspects.Clear(c.fingerprint)
			return true, nil
		}
		f := c.requestFailed(t, err)
		if !r.started {
			return false, f
		}
		reply.Close()
		if f != nil {
			r.abort(t, err)
		}
		next, nextReply := r.resume()
		if nextReply == nil {
			r.abort(t, err)
		}
		t, reply, onStart = next, nextReply, func() {}
		defer reply.Close()
	}
}

// abort closes the caller's connection in the middle of the response. It panics, as
// net/http requires for that.
func (r *relay) abort(t *route.Target, err error) {
	r.call.server.logCut(r.call, t, err)
	panic(http.ErrAbortHandler)
}

// copy forwards events until the end of the response. It returns nil only if
// the stream is complete. It calls onStart when the first bytes arrive.
func (r *relay) copy(reply *exchange.Response, onStart func()) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := reply.Body().Read(buffer)
		if n > 0 {
			if !r.started || onStart != nil {
				onStart()
				onStart = func() {}
			}
			if werr := r.forward(reply, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return r.finish(reply)
		}
		if err != nil {
			return err
		}
	}
}

var errIncompleteEvent = errors.New("stream ended before the end of an event")

// finish handles the end of the response. Bytes after the last complete event are
// forwarded only if the stream cannot be resumed and its end is marked by a length or
// by chunked encoding.
func (r *relay) finish(reply *exchange.Response) error {
	if !r.started && len(r.pending) == 0 {
		return errIncompleteEvent
	}
	if len(r.pending) == 0 {
		return nil
	}
	if r.resumable || !reply.Framed() {
		return errIncompleteEvent
	}
	return r.write(reply, nil)
}

// forward appends data to the pending bytes and forwards the complete events among
// them.
func (r *relay) forward(reply *exchange.Response, data []byte) error {
	r.pending = append(r.pending, data...)
	end := bytes.LastIndex(r.pending, eventTerminator)
	if end < 0 {
		return nil
	}
	end += len(eventTerminator)
	events := r.pending[:end]
	r.recordLastID(events)
	err := r.write(reply, events)
	r.pending = append(r.pending[:0], r.pending[end:]...)
	return err
}

// write sends events, or all pending bytes if events is nil, to the caller. The
// first call sends the header of the target's response ahead of them.
func (r *relay) write(reply *exchange.Response, events []byte) error {
	c := r.call
	if events == nil {
		events = r.pending
	}
	if !r.started {
		r.started = true
		c.countRun()
		c.copyHeader(reply.Header())
		if length := reply.Length(); length >= 0 && !r.resumable {
			c.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		}
		c.writer.WriteHeader(http.StatusOK)
	}
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}

// recordLastID records the id of the last event that has one.
func (r *relay) recordLastID(events []byte) {
	at := bytes.LastIndex(events, []byte("id:"))
	if at < 0 || at > 0 && events[at-1] != '\n' {
		return
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	r.lastID = string(bytes.TrimSpace(line))
}

// resume continues the stream at another target, after the last event that the
// caller received. It returns nil if no target takes the stream.
func (r *relay) resume() (*route.Target, *exchange.Response) {
	c := r.call
	r.pending = r.pending[:0]
	for c.mayRetry() && c.ctx.Err() == nil {
		placement := c.server.deps.Fleets.Placer().Direct(c.server.deps.Fleets.Fleet(c.service.Name), c.prompt, c.excluded, time.Now())
		t := placement.DecodeTarget
		if t == nil || !c.spendRetry() {
			return nil, nil
		}
		reply, err := c.server.deps.Dialer.Send(c.ctx, t.Address(), c.request(Dispatch{Target: t.Name(), LastEventID: r.lastID}))
		if err != nil {
			if _, f := c.sendFailed(t, err); f != nil {
				return nil, nil
			}
			continue
		}
		c.sends++
		info := c.recordResponse(t, reply)
		if info.NotRun || !info.FromTarget || reply.Status() != http.StatusOK {
			c.excluded = append(c.excluded, t.Name())
			reply.Close()
			continue
		}
		c.runs++
		c.target = t.Name()
		c.server.logResumed(c, t, r.lastID)
		return t, reply
	}
	return nil, nil
}
