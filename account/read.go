package account

import (
	"errors"
	"io"
)

// ErrTooLong means that a body is longer than its limit.
var ErrTooLong = errors.New("the body exceeds the limit")

const (
	// firstAnnounced and firstUnannounced are the first sizes of a buffer, for a body with and without an announced
	// length.
	firstAnnounced   = 64 << 10
	firstUnannounced = 4 << 10
	growthFactor     = 2
)

// Read reads the body, whose announced length is negative if it is unknown. The buffer grows as data arrives, at
// most to the announced length or the limit, and each growth is reserved before. It fails with ErrTooLong at the first
// byte beyond the limit.
func Read(r io.Reader, announced, limit int64, h *Hold) ([]byte, error) {
	if announced > limit {
		return nil, ErrTooLong
	}
	most, first := limit, int64(firstUnannounced)
	if announced >= 0 {
		most, first = announced, firstAnnounced
	}
	var buffer []byte
	for {
		if int64(len(buffer)) == most {
			return buffer, readEnd(r)
		}
		if len(buffer) == cap(buffer) {
			size := min(most, max(first, growthFactor*int64(cap(buffer))))
			if err := h.Grow(size - int64(cap(buffer))); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			buffer = grown
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		h.Progress(n)
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, evictionOr(h, err)
		}
	}
}

// readEnd returns nil if the reader is at its end, and ErrTooLong if more bytes follow.
func readEnd(r io.Reader) error {
	var next [1]byte
	for {
		n, err := r.Read(next[:])
		switch {
		case n > 0:
			return ErrTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// evictionOr returns ErrEvicted if the holder was evicted, which makes its reads fail, and err otherwise.
func evictionOr(h *Hold, err error) error {
	if h.Evicted() {
		return ErrEvicted
	}
	return err
}

// A Reader is a body whose bytes others keep in buffers of their own. It reserves a multiple of each byte before it
// is read.
type Reader struct {
	io.ReadCloser
	hold   *Hold
	factor int64
	failed error
}

// maxRead bounds what one Read of a Reader reserves.
const maxRead = 32 << 10

// NewReader returns a Reader that reserves factor bytes for each byte of the body.
func NewReader(body io.ReadCloser, h *Hold, factor int64) *Reader {
	return &Reader{ReadCloser: body, hold: h, factor: factor}
}

// Read implements [io.Reader].
func (r *Reader) Read(p []byte) (int, error) {
	p = p[:min(len(p), maxRead)]
	reserved := r.factor * int64(len(p))
	if err := r.hold.Grow(reserved); err != nil {
		r.failed = err
		return 0, err
	}
	n, err := r.ReadCloser.Read(p)
	r.hold.Shrink(reserved - r.factor*int64(n))
	r.hold.Progress(n)
	switch {
	case errors.Is(err, io.EOF):
		// The body is complete, so that the client is not waited for.
		if pinned := r.hold.Pin(); pinned != nil {
			r.failed = pinned
			return n, pinned
		}
	case err != nil:
		if err = evictionOr(r.hold, err); errors.Is(err, ErrEvicted) {
			r.failed = err
		}
	}
	return n, err
}

// Failed returns the error of the account that ended the reading, or nil.
func (r *Reader) Failed() error { return r.failed }
