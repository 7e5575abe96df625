package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"auburnscale/account"
	"auburnscale/clock"
	"auburnscale/exchange"
	"auburnscale/route"
)

// A bufferedResponse is a target's response that was read in full.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// hold is the memory that the body takes.
	hold *account.Hold
}

// writePieceBytes is written at once, so that a caller that reads slowly makes progress.
const writePieceBytes = 64 << 10

// write sends the response to the caller. A caller that stops reading loses its connection.
func (b *bufferedResponse) write(c *call) {
	c.status = strconv.Itoa(b.status)
	c.copyHeader(b.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	c.writer.WriteHeader(b.status)
	b.hold.Unpin(c.connection.Abort)
	for rest := b.body; len(rest) > 0; {
		n, err := c.writer.Write(rest[:min(len(rest), writePieceBytes)])
		if err != nil {
			// A disconnected caller cancels the request's context.
			return
		}
		b.hold.Progress(n)
		rest = rest[n:]
	}
}

// copyHeader copies the headers of a target's response that may be forwarded to the
// response to the caller.
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

// completeEvents returns the length of the complete events at the start of data, which ends after its last
// blank line. A line ends with \n, \r\n or \r, and a stream may mix them. A \r at the end of data does not end
// its line yet unless the response has ended: the \n that may follow belongs to it.
func completeEvents(data []byte, ended bool) (length int) {
	for at := 0; at < len(data); {
		line, rest := cutLine(data[at:])
		next := len(data) - len(rest)
		undecided := len(rest) == 0 && !ended && data[len(data)-1] == '\r'
		if len(line) == 0 && !undecided {
			length = next
		}
		if len(rest) == 0 && at+len(line) == len(data) {
			// The last line has not ended.
			return length
		}
		at = next
	}
	return length
}

// endsInHalfLineEnd reports whether data, whose last event is complete, ends with a \r after a line that ended with \r\n.
func endsInHalfLineEnd(data []byte) bool { return bytes.HasSuffix(data, []byte("\r\n\r")) }

// hasLoneReturn reports whether a line of data ends with \r alone.
func hasLoneReturn(data []byte) bool {
	return bytes.Count(data, []byte{'\r'}) > bytes.Count(data, []byte("\r\n"))
}

// A relay forwards a stream of server-sent events to the caller, from one target
// after the other if the stream is resumed. Only complete events are forwarded, so
// that the next target can continue after the last event.
type relay struct {
	call *call
	// target is the one whose response is being forwarded.
	target    *route.Target
	resumable bool
	started   bool
	// begun is true once events of the target's response have been forwarded.
	begun   bool
	pending []byte
	cursor  eventCursor
	// hold is the memory that pending takes, and held how much of it is reserved.
	hold *account.Hold
	held int
}

const (
	relayBufferBytes = 8 << 10
	// maxEventBytes bounds an event, which is held until it is complete.
	maxEventBytes = 1 << 20
)

var errEventTooLong = errors.New("event of the stream exceeds the limit")

// stream forwards events as they arrive, and resumes the stream at another target if
// this one fails and the route allows it. Once the caller has received a part, a
// stream that cannot be resumed is aborted so that it does not look complete. Before
// that, stream returns false, with a failure if the request must not be retried.
func (c *call) stream(t *route.Target, response *exchange.Response, onStart func()) (bool, *failure) {
	if c.info.LastEventID != "" && c.resumable() && !isEventStream(response.Header()) {
		return false, c.requestFailed(t, errNotEventStream)
	}
	r := &relay{call: c, hold: c.server.deps.Account.Open(account.Stream, func() {}), target: t, resumable: c.resumable() && isEventStream(response.Header()), cursor: eventCursor{lastID: c.info.LastEventID, resumed: true}}
	// It cannot be evicted: it holds nothing yet.
	_ = r.hold.Pin()
	defer r.hold.Close()
	for {
		err := r.copy(response, onStart)
		if err == nil {
			c.status = "200"
			c.server.deps.Fleets.Succeeded(c.service.Name, t)
			c.server.deps.Suspects.Clear(c.fingerprint)
			c.server.deps.Blocks.Served(c.suspects)
			return true, nil
		}
		f := c.requestFailed(t, err)
		if !r.started {
			return false, f
		}
		response.Close()
		if f != nil || !r.resumable {
			r.abort(t, err)
		}
		next, nextResponse := r.resume(t)
		if nextResponse == nil {
			r.abort(t, err)
		}
		t, response, onStart = next, nextResponse, func() {}
		r.target = t
		defer response.Close()
	}
}

// abort closes the caller's connection in the middle of the response. It panics, as
// net/http requires for that. To a caller of HTTP/1.0, which gets no chunks, the end of the
// connection is that of the response, unless the connection is reset.
func (r *relay) abort(t *route.Target, err error) {
	if !r.call.http.ProtoAtLeast(1, 1) {
		r.call.recorder.resetOnClose()
	}
	r.call.recorded.Broken()
	r.call.server.logCut(r.call, t, err)
	panic(http.ErrAbortHandler)
}

// copy forwards events until the end of the response. It returns nil only if
// the stream is complete. It calls onStart when the first bytes arrive.
func (r *relay) copy(response *exchange.Response, onStart func()) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body().Read(buffer)
		if n > 0 {
			r.call.answered(r.target)
			if !r.started || onStart != nil {
				onStart()
				onStart = func() {}
			}
			if werr := r.forward(response, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return r.finish(response)
		}
		if err != nil {
			return err
		}
	}
}

// Errors of a response that is no stream, or no whole one.
var (
	errIncompleteEvent = errors.New("stream ended before the end of an event")
	errNotEventStream  = errors.New("the response is no stream of events")
	errNoEvent         = errors.New("the response to a request for the rest of a stream has no event")
)

// finish handles the end of the response. A stream that is empty or ends inside an event has
// been broken off, also if its framing says that it is complete. Only a response that is no
// event stream is forwarded as it is, if its end is marked by a length or by chunked encoding.
//
// A whole response without an event does not end a stream that it was to continue: it may be all that a failing
// target sends, and callers would take what they have for the whole stream.
func (r *relay) finish(response *exchange.Response) error {
	if err := r.forwardLast(response); err != nil {
		return err
	}
	switch {
	case r.cursor.continuing() && len(r.pending) == 0:
		return errNoEvent
	case r.cursor.continuing():
		return errIncompleteEvent
	case !r.started && len(r.pending) == 0:
		return errIncompleteEvent
	case len(r.pending) == 0:
		return nil
	case r.resumable || !response.Framed() || isEventStream(response.Header()):
		return errIncompleteEvent
	}
	return r.write(response, nil)
}

// isEventStream reports whether the header announces a stream of events, as it does if it names
// no type.
func isEventStream(h http.Header) bool {
	contentType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	contentType = strings.TrimSpace(contentType)
	return contentType == "" || strings.EqualFold(contentType, "text/event-stream")
}

// forwardLast forwards the events that the end of the response completes: a \r that was its last byte ended a line.
func (r *relay) forwardLast(response *exchange.Response) error {
	end := completeEvents(r.pending, true)
	if end == 0 {
		return nil
	}
	if r.mayLackNewline(response, bytes.TrimPrefix(r.pending[:end], byteOrderMark)) {
		return errIncompleteEvent
	}
	return r.forwardEvents(response, end)
}

// mayLackNewline reports whether the response may have been broken off before the \n of the line end that ends its last
// event. It has not been if the stream ends lines with \r alone, or if another response ended in the same way.
func (r *relay) mayLackNewline(response *exchange.Response, last []byte) bool {
	c := r.call
	if !endsInHalfLineEnd(last) || !r.resumable && response.Framed() || c.loneReturns || hasLoneReturn(last[:len(last)-1]) || bytes.Equal(last, c.ambiguousEnd) {
		return false
	}
	c.ambiguousEnd = bytes.Clone(last)
	return true
}

// forward appends data to the pending bytes and forwards the complete events among
// them.
func (r *relay) forward(response *exchange.Response, data []byte) error {
	if err := r.reserve(len(r.pending) + len(data)); err != nil {
		return err
	}
	r.pending = append(r.pending, data...)
	end := completeEvents(r.pending, false)
	if end == 0 {
		if len(r.pending) > maxEventBytes {
			return errEventTooLong
		}
		return nil
	}
	return r.forwardEvents(response, end)
}

// forwardEvents forwards the complete events at the start of the pending bytes, which end at end.
func (r *relay) forwardEvents(response *exchange.Response, end int) error {
	events := r.pending[:end]
	r.call.cost.countEvents(events, r.call.prompt.OutputTokens)
	content := events
	if !r.begun {
		content = bytes.TrimPrefix(events, byteOrderMark)
	}
	if r.resumable {
		if err := r.cursor.advance(content); err != nil {
			return err
		}
	}
	if r.started {
		// A byte order mark is one only at the start of what the caller gets.
		events = content
	}
	r.begun = true
	r.call.loneReturns = r.call.loneReturns || hasLoneReturn(content)
	err := r.write(response, events)
	r.pending = append(r.pending[:0], r.pending[end:]...)
	return err
}

// reserve reserves the memory for pending bytes of the length, in steps as the buffer grows. The largest buffer that
// the stream had is kept.
func (r *relay) reserve(length int) error {
	if length <= r.held {
		return nil
	}
	more := max(relayBufferBytes, 2*length-r.held)
	if r.hold.Grow(int64(more)) != nil {
		return exchange.ErrBuffersFull
	}
	r.held += more
	return nil
}

// write sends events, or all pending bytes if events is nil, to the caller. The
// first call sends the header of the target's response ahead of them.
func (r *relay) write(response *exchange.Response, events []byte) error {
	c := r.call
	if events == nil {
		events = r.pending
	}
	if !r.started {
		if r.resumable {
			if err := c.bind(r.target, c.certainStart(r.target, response)); err != nil {
				return err
			}
		}
		r.started = true
		c.outlastStop()
		c.countRun()
		c.copyHeader(response.Header())
		if length := response.Length(); length >= 0 && !r.resumable {
			c.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		}
		c.writer.WriteHeader(http.StatusOK)
	}
	if _, err := c.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(c.writer).Flush()
}

// resume continues the stream at another target than before, after the last event that the
// caller received. It returns nil if no target takes the stream.
func (r *relay) resume(before *route.Target) (*route.Target, *exchange.Response) {
	c := r.call
	r.pending, r.cursor.resumed, r.begun = r.pending[:0], true, false
	for !r.cursor.lost && c.mayRetry() && c.ctx.Err() == nil && c.mayContinue() {
		placement := c.server.deps.Fleets.Placer().Direct(c.fleet(), c.prompt, c.excluded, time.Now())
		t := placement.DecodeTarget
		if t == nil || c.refuseIfQuarantined() != nil || c.heldOff > maxHeldOff {
			return nil, nil
		}
		if !c.permitted(t) {
			continue
		}
		if !c.spendRetry() {
			return nil, nil
		}
		c.chargeAgain()
		c.server.countSend(t, sendContinued)
		sent := clock.Now()
		response, err := c.server.deps.Dialer.Send(c.ctx, t.Address(), c.request(t, Dispatch{Target: t.Name(), LastEventID: r.cursor.lastID}))
		if err != nil {
			if _, f := c.sendFailed(t, err); f != nil {
				return nil, nil
			}
			continue
		}
		c.sends++
		info := c.recordResponse(t, response, sent)
		if !info.NotRun {
			c.runs++
		}
		if !c.continues(t, response, info) {
			response.Close()
			continue
		}
		c.setTarget(t)
		c.server.logResumed(c, before, t, r.cursor.lastID)
		return t, response
	}
	return nil, nil
}

// continues reports whether the response may continue a stream whose header the caller has. An error, or a body of
// another type, would end up in the middle of the events. A target that does not continue the
// stream is excluded from further attempts of this request.
func (c *call) continues(t *route.Target, response *exchange.Response, info ResponseInfo) bool {
	if !info.NotRun && info.FromTarget && response.Status() == http.StatusOK && isEventStream(response.Header()) && c.server.deps.Fleets.certainSoftware(t) {
		return true
	}
	c.excluded = append(c.excluded, t.Name())
	c.server.logNotContinued(c, t, response, info)
	if !info.NotRun && info.RetryAfter <= 0 && response.Status() >= http.StatusInternalServerError {
		c.server.deps.Fleets.Failed(c.service.Name, t, false)
	}
	return false
}
