package gateway

import (
	"bytes"
	"errors"
	"strconv"

	"auburnscale/peer"
)

// An eventCursor follows the ids of a stream's events, to know where another target can continue it.
type eventCursor struct {
	// lastID is the id of the last event that the caller has, or empty.
	lastID string
	// lost is true if the caller has an event without an id that can be sent to a target. No target
	// could continue after that one.
	lost bool
	// resumed is true until the first event of a response that continues the stream has arrived.
	resumed bool
}

var errRepeatedEvent = errors.New("the stream does not continue after the last event")

// advance reads complete events, which are about to be forwarded. It returns an error if the first event of a
// response that continues the stream is not known to come after those that the caller has.
func (c *eventCursor) advance(events []byte) error {
	var e eventFields
	for len(events) > 0 {
		var line []byte
		line, events = cutLine(events)
		if len(line) > 0 {
			e.add(line)
			continue
		}
		if err := c.endEvent(e); err != nil {
			return err
		}
		e = eventFields{}
	}
	return nil
}

// eventFields is what the lines of an event hold.
type eventFields struct {
	id           []byte
	hasID        bool
	hasData      bool
	hasOtherText bool
}

// add reads a line of the event. Comments and the fields event and retry are no text of the stream.
func (e *eventFields) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.id, e.hasID = bytes.TrimSpace(value), true
	case "data":
		e.hasData = true
	case "", "event", "retry":
	default:
		e.hasOtherText = true
	}
}

// continuing reports whether the response is to continue after an event that the caller has, and no event of it
// has arrived yet.
func (c *eventCursor) continuing() bool { return c.resumed && c.lastID != "" }

// endEvent records an event. One without data, such as a comment, is no part of the stream.
func (c *eventCursor) endEvent(e eventFields) error {
	switch {
	case e.hasID && peer.CheckName(string(e.id)) == nil:
		if c.resumed && !follows(string(e.id), c.lastID) {
			return errRepeatedEvent
		}
		c.lastID, c.lost, c.resumed = string(e.id), false, false
	case c.continuing() && (e.hasData || e.hasOtherText):
		// It cannot be compared with what the caller has, and may be the text of an error.
		return errRepeatedEvent
	case e.hasData:
		c.lost = true
	}
	return nil
}

// follows reports whether an event may follow the one with the id before. Ids that are not numbers have no known
// order, and must only differ.
func follows(id, before string) bool {
	if before == "" {
		return true
	}
	next, err := strconv.ParseUint(id, 10, 64)
	last, err2 := strconv.ParseUint(before, 10, 64)
	if err != nil || err2 != nil {
		return id != before
	}
	return next > last
}

// byteOrderMark may precede the first line of an event stream.
var byteOrderMark = []byte("\ufeff")

// cutLine returns the first line of an event stream, without its end, and the rest. A line ends with \n, \r\n or
// \r.
func cutLine(text []byte) (line, rest []byte) {
	at := bytes.IndexAny(text, "\r\n")
	if at < 0 {
		return text, nil
	}
	rest = text[at+1:]
	if text[at] == '\r' && len(rest) > 0 && rest[0] == '\n' {
		rest = rest[1:]
	}
	return text[:at], rest
}
