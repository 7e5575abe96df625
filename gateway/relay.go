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

// A keptReply represents a target's whole answer.
type keptReply struct {
	status int
	header http.Header
	body   []byte
}

func (k *keptReply) write(c *call) {
	c.outcome = strconv.Itoa(k.status)
	c.copyHeader(k.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	c.writer.WriteHeader(k.status)
	// A caller that has gone shows in the request's context.
	_, _ = c.writer.Write(k.body)
}

func (c *call) copyHeader(from http.Header) {
	h := c.writer.Header()
	for name, values := range from {
		if c.server.parts.Codec.ForwardsToCaller(name) {
			h[name] = values
		}
	}
	if _, ok := from["Content-Type"]; !ok {
		// The HTTP library would guess one.
		h["Content-Type"] = nil
	}
}

var eventEnd = []byte("\n\n")

// A relay represents a stream on its way to the caller, over all targets that
// take part. Of a stream that may go on elsewhere only whole events are passed
// on, so that the next target continues behind the last.
type relay struct {
	c       *call
	whole   bool
	started bool
	pending []byte
	lastID  string
}

const relayBuffer = 8 << 10

// stream relays events as they come. Once the caller has a part, a stream that
// cannot go on is cut so that it does not look complete.
func (c *call) stream(t *route.Target, reply *exchange.Response, began func()) (bool, *failure) {
	r := &relay{c: c, whole: c.route.Resumable, lastID: c.ask.LastEventID}
	for {
		err := r.copy(reply, began)
		if err == nil {
			c.outcome = "200"
			c.server.parts.Fleets.Succeeded(c.service.Name, t)
			c.server.parts.Suspects.Clear(c.fingerprint)
			return true, nil
		}
		f := c.broken(t, err)
		if !r.started {
			return false, f
		}
		reply.Close()
		if f != nil {
			r.cut(t, err)
		}
		next, nextReply := r.resume()
		if nextReply == nil {
			r.cut(t, err)
		}
		t, reply, began = next, nextReply, func() {}
		defer reply.Close()
	}
}

// cut ends the caller's connection in the middle of the answer.
func (r *relay) cut(t *route.Target, err error) {
	r.c.server.logCut(r.c, t, err)
	panic(http.ErrAbortHandler)
}

// copy passes on what comes until the stream's end. It returns nil only if the
// stream is whole.
func (r *relay) copy(reply *exchange.Response, began func()) error {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := reply.Body().Read(buffer)
		if n > 0 {
			if !r.started || began != nil {
				began()
				began = func() {}
			}
			if werr := r.pass(reply, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return r.end(reply)
		}
		if err != nil {
			return err
		}
	}
}

var errCutEvent = errors.New("the stream ended within an event")

// end passes on what is left of a whole stream.
func (r *relay) end(reply *exchange.Response) error {
	if !r.started && len(r.pending) == 0 {
		return errCutEvent
	}
	if len(r.pending) == 0 {
		return nil
	}
	if r.whole || !reply.Framed() {
		return errCutEvent
	}
	return r.write(reply, nil)
}

// pass forwards the whole events of the data, or all of it if the stream cannot
// go on elsewhere anyway.
func (r *relay) pass(reply *exchange.Response, data []byte) error {
	r.pending = append(r.pending, data...)
	end := bytes.LastIndex(r.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := r.pending[:end]
	r.noteID(events)
	err := r.write(reply, events)
	r.pending = append(r.pending[:0], r.pending[end:]...)
	return err
}

// write sends bytes to the caller, behind the header of the first target.
func (r *relay) write(reply *exchange.Response, events []byte) error {
	c := r.c
	if events == nil {
		events = r.pending
	}
	if !r.started {
		r.started = true
		c.count()
		c.copyHeader(reply.Header())
		if length := reply.Length(); length >= 0 && !r.whole {
			c.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		}
		c.writer.WriteHeader(http.StatusOK)
	}
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}

// noteID keeps the id of the last whole event.
func (r *relay) noteID(events []byte) {
	at := bytes.LastIndex(events, []byte("id:"))
	if at < 0 || at > 0 && events[at-1] != '\n' {
		return
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	r.lastID = string(bytes.TrimSpace(line))
}

// resume goes on at another target behind the last event that the caller has. It
// returns no reply if none takes the stream.
func (r *relay) resume() (*route.Target, *exchange.Response) {
	c := r.c
	r.pending = r.pending[:0]
	for c.mayRepeat() && c.ctx.Err() == nil {
		placement := c.server.parts.Fleets.Placer().Direct(c.server.parts.Fleets.Fleet(c.service.Name), c.prompt, c.avoid, time.Now())
		t := placement.Runner
		if t == nil || !c.repeat() {
			return nil, nil
		}
		reply, err := c.server.parts.Dialer.Send(c.ctx, t.Address(), c.request(Dispatch{Target: t.Name(), LastEventID: r.lastID}))
		if err != nil {
			if _, f := c.sendFailed(t, err); f != nil {
				return nil, nil
			}
			continue
		}
		c.sends++
		said := c.note(t, reply)
		if said.NotRun || !said.FromTarget || reply.Status() != http.StatusOK {
			c.avoid = append(c.avoid, t.Name())
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
