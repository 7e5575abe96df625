package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"auburnscale/exchange"
)

// Errors of an incomplete or inconsistent stream.
var (
	// ErrBroken means that the stream ended before its end marker, had no finish
	// reason before it, or could not be read or decoded.
	ErrBroken = errors.New("stream ended before its end marker")
	// ErrTokenSequence means that a token is missing or repeated.
	ErrTokenSequence = errors.New("token missing or repeated in stream")
)

const (
	// maxLineBytes bounds a line, and the data of an event, which may have many lines.
	maxLineBytes = 1 << 20
	// maxTextBytes bounds the text of a completion. It is far above what the largest number of tokens takes.
	maxTextBytes = 4 << 20
)

var (
	errEventTooLong = errors.New("event exceeds the size limit")
	errTextTooLong  = errors.New("text exceeds the size limit")
)

var (
	dataField     = []byte("data")
	doneMarker    = []byte("[DONE]")
	byteOrderMark = []byte("\ufeff")
)

// A Stream represents a completion that an engine is sending. It must have a single
// reader.
type Stream struct {
	response *exchange.OneShotResponse
	// keep reserves the memory for text that the reader keeps until the stream is closed.
	keep     func(bytes int) error
	kept     int
	lines    *bufio.Scanner
	begun    bool
	position int
	finished bool
}

func newStream(response *exchange.OneShotResponse, resumeAt int) *Stream {
	return &Stream{response: response, keep: response.Keep, lines: newLineScanner(response.Body()), position: resumeAt}
}

// newLineScanner returns a scanner of the lines of an event stream, which end with \n, \r\n or \r.
func newLineScanner(body io.Reader) *bufio.Scanner {
	s := &lineSplitter{}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	lines.Split(s.split)
	return lines
}

// A lineSplitter splits a stream into lines without waiting for what follows a \r.
type lineSplitter struct {
	// afterReturn is true if the last line ended with a \r, to which a \n may belong.
	afterReturn bool
	// searched counts the bytes of the unfinished line that hold no line end, which are not searched again.
	searched int
}

// split implements [bufio.SplitFunc].
func (s *lineSplitter) split(data []byte, atEOF bool) (advance int, line []byte, err error) {
	skip := 0
	if s.afterReturn && len(data) > 0 {
		s.afterReturn = false
		if data[0] == '\n' {
			skip = 1
		}
	}
	rest := data[skip:]
	if found := bytes.IndexAny(rest[s.searched:], "\r\n"); found >= 0 {
		end := s.searched + found
		s.searched, s.afterReturn = 0, rest[end] == '\r'
		return skip + end + 1, rest[:end], nil
	}
	if atEOF && len(rest) > 0 {
		s.searched = 0
		return len(data), rest, nil
	}
	s.searched = len(rest)
	return skip, nil, nil
}

// Version returns the version of the software that generates the completion, or "" if the engine
// names none.
func (s *Stream) Version() string {
	return string(s.response.Header().Peek(VersionHeader))
}

// Next returns the next chunk, or io.EOF after the end marker. Any other end is an
// error: a stream without its end marker is broken, however long it is.
func (s *Stream) Next() (*Chunk, error) {
	data, err := s.nextEvent()
	switch {
	case err != nil:
		return nil, err
	case bytes.Equal(data, doneMarker):
		return nil, s.checkEnd()
	}
	return s.decode(data)
}

// nextEvent returns the data of the next event that has any. Several lines of data are joined. An event at whose end
// the blank line is missing is incomplete, unless it is the end marker.
func (s *Stream) nextEvent() ([]byte, error) {
	var data []byte
	hasData := false
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if !s.begun {
			line, s.begun = bytes.TrimPrefix(line, byteOrderMark), true
		}
		if len(line) == 0 && hasData {
			return data, nil
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.Equal(field, dataField) {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		data, hasData = append(data, bytes.TrimPrefix(value, []byte(" "))...), true
		if len(data) > maxLineBytes {
			return nil, fmt.Errorf("%w: %w", ErrBroken, errEventTooLong)
		}
	}
	if err := s.lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if bytes.Equal(data, doneMarker) {
		return data, nil
	}
	return nil, ErrBroken
}

// checkEnd returns io.EOF if the end marker follows a finish reason, and ErrBroken
// otherwise.
func (s *Stream) checkEnd() error {
	if !s.finished {
		return ErrBroken
	}
	return io.EOF
}

func (s *Stream) decode(data []byte) (*Chunk, error) {
	chunk := &Chunk{}
	if err := json.Unmarshal(data, chunk); err != nil {
		return nil, fmt.Errorf("%w: decode chunk: %w", ErrBroken, err)
	}
	if len(chunk.Choices) == 0 {
		return chunk, nil
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		s.finished = true
		return chunk, nil
	}
	if chunk.Text() == "" {
		return chunk, nil
	}
	s.position++
	if chunk.Position != s.position {
		return nil, fmt.Errorf("%w: got position %d, want %d", ErrTokenSequence, chunk.Position, s.position)
	}
	s.kept += len(chunk.Text())
	if s.kept > maxTextBytes {
		return nil, fmt.Errorf("%w: %w", ErrBroken, errTextTooLong)
	}
	if err := s.keep(len(chunk.Text())); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return chunk, nil
}

// Position returns the number of output tokens up to the last chunk, including those
// before a resume.
func (s *Stream) Position() int { return s.position }

// Close ends the exchange, which cancels a completion that is still running.
func (s *Stream) Close() { s.response.Close() }

// Text returns the new text of the chunk.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	if d := c.Choices[0].Delta; d != nil {
		return d.Content
	}
	return c.Choices[0].Text
}

// FinishReason returns the finish reason, or "".
func (c *Chunk) FinishReason() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}
